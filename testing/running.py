"""Run one test module and print its counts; tests in KNOWN-RED.txt are skipped."""

import pathlib
import re
import sys
import typing as t
import unittest

_ROOT = pathlib.Path(__file__).parent.parent
_KNOWN_RED_PATH = _ROOT / "KNOWN-RED.txt"
_COUNTS_PATTERN = re.compile(
    r"^counts: (\d+) passed, (\d+) failed, (\d+) skipped$", re.M
)


class Counts(t.NamedTuple):
    """Numbers of tests that passed, failed and were skipped."""

    passed: int
    failed: int
    skipped: int


def format_counts(counts: Counts) -> str:
    return "{} passed, {} failed, {} skipped".format(*counts)


def parse_counts(text: str) -> Counts | None:
    matches = _COUNTS_PATTERN.findall(text)
    return Counts(*map(int, matches[-1])) if matches else None


def known_red() -> list[str]:
    """Return the entries of KNOWN-RED.txt; each starts with the full name of a test."""
    if not _KNOWN_RED_PATH.exists():
        return []
    lines = _KNOWN_RED_PATH.read_text().splitlines()
    return [line for line in lines if line.strip() and not line.startswith("#")]


def _iterate_tests(suite):
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _iterate_tests(item)
        else:
            yield item


def _load_tests(name: str) -> list[unittest.TestCase]:
    """Return the tests of a module, or one test if ``name`` is module.test."""
    path = _ROOT / "testing" / (name.replace(".", "/") + ".py")
    module = name if path.exists() else name.rpartition(".")[0]
    suite = unittest.defaultTestLoader.loadTestsFromName(f"testing.{module}")
    test_id = f"testing.{name}"
    return [
        test for test in _iterate_tests(suite) if module == name or test.id() == test_id
    ]


def main() -> int:
    known_red_ids = {line.split()[0].rstrip(":") for line in known_red()}
    tests = _load_tests(sys.argv[1])
    selected = [test for test in tests if test.id() not in known_red_ids]
    result = unittest.TextTestRunner(verbosity=2).run(unittest.TestSuite(selected))
    failed = len(result.failures) + len(result.errors)
    skipped = len(result.skipped) + len(tests) - len(selected)
    passed = result.testsRun - failed - len(result.skipped)
    print("counts:", format_counts(Counts(passed, failed, skipped)), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
