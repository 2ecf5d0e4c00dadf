"""Log lines: the fixed prefix of each part, the level, JSON lines."""

import ast
import json
import pathlib
import re

from testing import collecting, fixtures, system

_SRC = pathlib.Path(__file__).parent.parent.parent / "src"
_LEVELS = {"debug", "info", "warning", "error", "exception", "critical"}


def _calls(tree):
    """Yield the first argument of each call of the module's logger."""
    for node in ast.walk(tree):
        if (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and isinstance(node.func.value, ast.Name)
            and node.func.value.id == "_log"
            and node.func.attr in _LEVELS
        ):
            yield node


def test_each_line_begins_with_its_part():
    seen = 0
    for path in sorted(_SRC.rglob("*.py")):
        text = path.read_text()
        found = re.search(r'^_log = logbook\.Logger\("([a-z_]+)"\)$', text, re.M)
        for call in _calls(ast.parse(text)):
            place = f"{path.name}:{call.lineno}"
            assert found, f"{place}: no _log = logbook.Logger(...)"
            line = call.args[0]
            assert isinstance(line, ast.Constant), f"{place}: no fixed line"
            assert line.value.startswith(f"{found[1]}: "), f"{place}: {line.value!r}"
            seen += 1
    assert seen > 10


def test_parts_have_names_of_their_own():
    pattern = re.compile(r'logbook\.Logger\("([a-z_]+)"\)')
    names = [n for p in _SRC.rglob("*.py") for n in pattern.findall(p.read_text())]
    assert len(names) == len(set(names)), sorted(names)


def _agent_lines(logs):
    cfg = system.agent_settings(0, [system.address()], system.address(), logs=logs)
    del cfg["worker"]
    with system.daemon("agent", cfg) as proc:
        fixtures.wait_until(
            lambda: "serves" in proc.stderr_text() or logs.get("level") == "error",
            10,
            "a line",
        )
        proc.terminate()
        assert proc.wait() == 0
        return proc.stderr_text().splitlines()


def test_lines_are_text_or_json_by_settings():
    text = re.compile(r"^\d{4}-\d\d-\d\dT[\d:.]+ [A-Z]+ +[a-z_]+: .+$")
    lines = _agent_lines({"level": "info"})
    assert lines
    assert all(text.match(line) for line in lines), lines
    for line in _agent_lines({"level": "info", "json_lines": True}):
        said = json.loads(line)
        assert said["message"].startswith(f"{said['part']}: ")
        assert said["level"] == "info"


def test_level_leaves_lesser_lines_out():
    assert _agent_lines({"level": "error"}) == []


load_tests = collecting.hook(__name__)
