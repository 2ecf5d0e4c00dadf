"""Run one test module and print its counts, passing over KNOWN-RED.txt."""

import pathlib
import re
import sys
import typing as t
import unittest

_ROOT = pathlib.Path(__file__).parent.parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
_COUNTS = re.compile(r"^counts: (\d+) passed, (\d+) failed, (\d+) skipped$", re.M)


class Counts(t.NamedTuple):
    """How many tests passed, failed and were passed over."""

    passed: int
    failed: int
    skipped: int


def format_counts(counts: Counts) -> str:
    return "{} passed, {} failed, {} skipped".format(*counts)


def parse_counts(text: str) -> Counts | None:
    found = _COUNTS.findall(text)
    return Counts(*map(int, found[-1])) if found else None


def known_red() -> list[str]:
    """Return the entries of KNOWN-RED.txt, each starting with a test's full name."""
    if not _KNOWN_RED.exists():
        return []
    lines = _KNOWN_RED.read_text().splitlines()
    return [line for line in lines if line.strip() and not line.startswith("#")]


def _flatten(suite):
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _flatten(item)
        else:
            yield item


def _load(name: str) -> list[unittest.TestCase]:
    """Return a module's tests, or the one test that a name below a module means."""
    path = _ROOT / "testing" / (name.replace(".", "/") + ".py")
    module = name if path.exists() else name.rpartition(".")[0]
    suite = unittest.defaultTestLoader.loadTestsFromName(f"testing.{module}")
    wanted = f"testing.{name}"
    return [test for test in _flatten(suite) if module == name or test.id() == wanted]


def main() -> int:
    red = {line.split()[0].rstrip(":") for line in known_red()}
    tests = _load(sys.argv[1])
    chosen = [test for test in tests if test.id() not in red]
    result = unittest.TextTestRunner(verbosity=2).run(unittest.TestSuite(chosen))
    failed = len(result.failures) + len(result.errors)
    skipped = len(result.skipped) + len(tests) - len(chosen)
    passed = result.testsRun - failed - len(result.skipped)
    print("counts:", format_counts(Counts(passed, failed, skipped)), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
