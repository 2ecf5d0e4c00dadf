"""Run test modules in parallel and print one final line of counts.

``python -m testing`` runs every module; ``python -m testing request.test_routing``
runs only the named modules or tests. Names are relative to this package.
"""

import concurrent.futures as futures
import pathlib
import subprocess
import sys
import typing as t

from testing import running

_ROOT = pathlib.Path(__file__).parent
_PARALLEL_MODULES = 4
_MODULE_TIMEOUT_S = 600


class _Outcome(t.NamedTuple):
    """The output and the counts of one test module's process."""

    module: str
    text: str
    counts: running.Counts


def _discover_modules() -> list[str]:
    paths = sorted(_ROOT.rglob("test_*.py"))
    return [".".join(p.relative_to(_ROOT).with_suffix("").parts) for p in paths]


def _run_module(module: str) -> _Outcome:
    cmd = [sys.executable, "-m", "testing.running", module]
    try:
        completed = subprocess.run(
            cmd,
            cwd=_ROOT.parent,
            capture_output=True,
            text=True,
            timeout=_MODULE_TIMEOUT_S,
        )
        text = completed.stdout + completed.stderr
    except subprocess.TimeoutExpired as exc:
        text = f"{module}: timed out after {_MODULE_TIMEOUT_S} s\n{exc.stdout!r}"
    counts = running.parse_counts(text)
    if counts is None:
        text += f"\n{module}: exited without printing its counts\n"
        counts = running.Counts(passed=0, failed=1, skipped=0)
    return _Outcome(module, text, counts)


def main() -> int:
    modules = sys.argv[1:] or _discover_modules()
    total = running.Counts(0, 0, 0)
    with futures.ThreadPoolExecutor(_PARALLEL_MODULES) as pool:
        for outcome in pool.map(_run_module, modules):
            print(f"{outcome.module}: {running.format_counts(outcome.counts)}")
            if outcome.counts.failed or outcome.counts.skipped:
                print(outcome.text)
            total = running.Counts(*map(sum, zip(total, outcome.counts, strict=True)))
    for entry in running.known_red():
        print(f"known red: {entry}")
    print(running.format_counts(total))
    return 1 if total.failed or not total.passed else 0


if __name__ == "__main__":
    sys.exit(main())
