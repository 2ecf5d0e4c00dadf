"""Every test named on the page PROMISES.md exists."""

import pathlib
import re

from testing import collecting

_TESTING = pathlib.Path(__file__).parent
_PAGE = _TESTING.parent / "docs" / "PROMISES.md"
_MODULE = re.compile(r"`((?:\w+\.)?test_\w+)`(:?)")


def test_each_named_test_exists():
    for row in _PAGE.read_text().splitlines():
        module = ""
        for name, colon in _MODULE.findall(row):
            path = _TESTING / (name.replace(".", "/") + ".py")
            if "." in name or colon or path.exists():
                module = path.read_text()
            else:
                assert f"def {name}(" in module, f"{name}: is in no test module"


load_tests = collecting.hook(__name__)
