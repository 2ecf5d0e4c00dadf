"""README.md and the pages agree with the checkout that they describe."""

import pathlib
import re

from bilberrypass.commands import client
from testing import collecting

_ROOT = pathlib.Path(__file__).parent.parent
_BLOCK = re.compile(r"^```sh\n(.*?)^```", re.M | re.S)
_LINK = re.compile(r"\]\(([^)#:]+)\)")


def _shell_blocks(name):
    return _BLOCK.findall((_ROOT / name).read_text())


def test_ci_runs_the_test_command_of_the_readme():
    (cmd,) = [b.strip() for b in _shell_blocks("README.md") if "-m testing" in b]
    assert "\n" not in cmd, cmd
    lines = (_ROOT / ".ci/run").read_text().splitlines()
    assert lines[-1] == cmd, (lines[-1], cmd)


def test_ci_stops_at_the_first_failure_and_checks_format_and_lint():
    text = (_ROOT / ".ci/run").read_text()
    assert "set -euo pipefail" in text
    assert "ruff format --check ." in text
    assert "ruff check ." in text


def test_links_point_to_existing_files():
    for page in [_ROOT / "README.md", _ROOT / "CONTRIBUTING.md", *_pages()]:
        for target in _LINK.findall(page.read_text()):
            assert (page.parent / target).exists(), f"{page.name}: {target}"


def _pages():
    return sorted((_ROOT / "docs").rglob("*.md"))


def test_tool_page_lists_the_exit_codes():
    rows = re.findall(r"^\| (\d) \|", (_ROOT / "docs/TOOL.md").read_text(), re.M)
    assert [int(row) for row in rows] == [int(code) for code in client.ExitCode]


load_tests = collecting.hook(__name__)
