"""Rules for every module: imports, docstrings, sizes."""

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
    """Yield the line and full name of each ``from`` import of a non-module."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"line {node.lineno}: use an absolute import"
            for alias in node.names:
                name = f"{node.module}.{alias.name}"
                if not _is_module(name):
                    yield node.lineno, name


def test_only_modules_are_imported():
    allowed = {"bilberrypass.__version__"}
    found = [
        f"{path.relative_to(_ROOT)}:{line}: {name}"
        for path, text in _modules("src", "testing", "benchmarks", "soak")
        for line, name in _imported_names(ast.parse(text))
        if name not in allowed
    ]
    assert not found, found


def test_every_module_has_a_docstring():
    for path, text in _modules("src", "testing", "benchmarks", "soak"):
        is_marker = path.is_relative_to(_ROOT / "testing") and not text
        assert is_marker or ast.get_docstring(ast.parse(text)), path


def test_modules_stay_within_the_line_limit():
    for path, text in _modules("src"):
        lines = text.count("\n")
        assert lines <= _MAX_LINES, f"{path}: {lines} lines; split it"


def test_no_module_has_a_legal_notice():
    marks = ("licen" + "se", "copy" + "right", "SP" + "DX", "auth" + "ors:")
    for path, text in _modules("src", "testing", "benchmarks", "soak"):
        head = text[:400].lower()
        for mark in marks:
            assert mark.lower() not in head, f"{path}: {mark}"


# From the lowest layer up; a package imports only from those before it.
_LAYERS = (
    "version observing connection membership claiming configuration execution batch "
    "request interface process scheduling hosting platform commands"
).split()


def _imported_packages(tree):
    """Yield the line and package of each import from the layered packages."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module.startswith("bilberrypass"):
            parts = node.module.split(".")[1:]
            names = [parts[0]] if parts else [alias.name for alias in node.names]
            yield from ((node.lineno, name) for name in names if name in _LAYERS)


def test_packages_import_only_lower_layers():
    source = _ROOT / "src/bilberrypass"
    found = [
        f"{path.relative_to(source)}:{line}: {name}"
        for path, text in _modules("src/bilberrypass")
        for own in [path.relative_to(source).parts[0]]
        if own in _LAYERS
        for line, name in _imported_packages(ast.parse(text))
        if _LAYERS.index(name) > _LAYERS.index(own)
    ]
    assert not found, found


def test_every_package_is_assigned_a_layer():
    source = _ROOT / "src/bilberrypass"
    packages = {path.parent.name for path in source.glob("*/__init__.py")}
    assert packages == set(_LAYERS)


load_tests = collecting.hook(__name__)
