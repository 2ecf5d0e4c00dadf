"""What holds for each module: imports, docstrings, sizes."""

import ast
import importlib.util
import pathlib

from testing import collecting

_ROOT = pathlib.Path(__file__).parent.parent
_MAX_LINES = 400


def _modules(*roots):
    for root in roots:
        for path in sorted((_ROOT / root).rglob("*.py")):
            yield path, path.read_text()


def _is_module(name):
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, AttributeError, ValueError):
        return False


def _imported_names(tree):
    """Yield line and full name of each ``from`` import that is no module."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"line {node.lineno}: import by full names"
            for alias in node.names:
                name = f"{node.module}.{alias.name}"
                if not _is_module(name):
                    yield node.lineno, name


def test_modules_and_not_names_are_imported():
    allowed = {"bilberrypass.__version__"}
    found = [
        f"{path.relative_to(_ROOT)}:{line}: {name}"
        for path, text in _modules("src", "testing", "benchmarks")
        for line, name in _imported_names(ast.parse(text))
        if name not in allowed
    ]
    assert not found, found


def test_every_module_has_a_docstring():
    for path, text in _modules("src", "testing", "benchmarks"):
        is_marker = path.is_relative_to(_ROOT / "testing") and not text
        assert is_marker or ast.get_docstring(ast.parse(text)), path


def test_modules_stay_small():
    for path, text in _modules("src"):
        lines = text.count("\n")
        assert lines <= _MAX_LINES, f"{path}: {lines} lines; split it"


def test_no_module_carries_a_notice():
    marks = ("licen" + "se", "copy" + "right", "SP" + "DX", "auth" + "ors:")
    for path, text in _modules("src", "testing", "benchmarks"):
        head = text[:400].lower()
        for mark in marks:
            assert mark.lower() not in head, f"{path}: {mark}"


load_tests = collecting.hook(__name__)
