"""Log lines: the fixed prefix of each part, the level and JSON lines."""

import ast
import json
import pathlib
import re

from testing import collecting, fixtures, system

_SRC = pathlib.Path(__file__).parent.parent.parent / "src"
_LEVELS = {"debug", "info", "warning", "error", "exception", "critical"}


def _logger_calls(tree):
    """Yield each call of a method of the module's logger."""
    for node in ast.walk(tree):
        if (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and isinstance(node.func.value, ast.Name)
            and node.func.value.id == "_log"
            and node.func.attr in _LEVELS
        ):
            yield node


def test_log_lines_begin_with_their_part():
    seen = 0
    for path in sorted(_SRC.rglob("*.py")):
        text = path.read_text()
        found = re.search(r'^_log = logbook\.Logger\("([a-z_]+)"\)$', text, re.M)
        for call in _logger_calls(ast.parse(text)):
            place = f"{path.name}:{call.lineno}"
            assert found, f"{place}: no _log = logbook.Logger(...)"
            line = call.args[0]
            assert isinstance(line, ast.Constant), (
                f"{place}: the line is no string constant"
            )
            assert line.value.startswith(f"{found[1]}: "), f"{place}: {line.value!r}"
            seen += 1
    assert seen > 10


def test_logger_names_are_unique():
    pattern = re.compile(r'logbook\.Logger\("([a-z_]+)"\)')
    names = [n for p in _SRC.rglob("*.py") for n in pattern.findall(p.read_text())]
    assert len(names) == len(set(names)), sorted(names)


def _agent_lines(logs):
    cfg = system.agent_settings(
        0, [system.unused_address()], system.unused_address(), logs=logs
    )
    del cfg["worker"]
    with system.daemon("agent", cfg) as proc:
        fixtures.wait_until(
            lambda: "serves" in proc.stderr_text() or logs.get("level") == "error",
            10,
            "a log line",
        )
        proc.terminate()
        assert proc.wait() == 0
        return proc.stderr_text().splitlines()


def test_settings_select_text_or_json_lines():
    text = re.compile(r"^\d{4}-\d\d-\d\dT[\d:.]+ [A-Z]+ +[a-z_]+: .+$")
    lines = _agent_lines({"level": "info"})
    assert lines
    assert all(text.match(line) for line in lines), lines
    for line in _agent_lines({"level": "info", "json_lines": True}):
        record = json.loads(line)
        assert record["message"].startswith(f"{record['part']}: ")
        assert record["level"] == "info"


def test_lines_below_the_level_are_not_written():
    assert _agent_lines({"level": "error"}) == []


load_tests = collecting.hook(__name__)
