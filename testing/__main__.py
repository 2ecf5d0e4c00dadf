"""Run all test modules, several at a time, and close with one line of counts.

``python -m testing`` runs everything; ``python -m testing request.test_routing``
runs the named modules or tests, names relative to this package.
"""

import concurrent.futures as futures
import pathlib
import subprocess
import sys
import typing as t

from testing import running

_ROOT = pathlib.Path(__file__).parent
_MODULES_AT_ONCE = 4
_MODULE_LIMIT_S = 600


class _Outcome(t.NamedTuple):
    """What one test module's process printed, and its counts."""

    module: str
    text: str
    counts: running.Counts


def _discover() -> list[str]:
    paths = sorted(_ROOT.rglob("test_*.py"))
    return [".".join(p.relative_to(_ROOT).with_suffix("").parts) for p in paths]


def _run_module(module: str) -> _Outcome:
    cmd = [sys.executable, "-m", "testing.running", module]
    try:
        done = subprocess.run(
            cmd,
            cwd=_ROOT.parent,
            capture_output=True,
            text=True,
            timeout=_MODULE_LIMIT_S,
        )
        text = done.stdout + done.stderr
    except subprocess.TimeoutExpired as exc:
        text = f"{module}: not done within {_MODULE_LIMIT_S} s\n{exc.stdout!r}"
    counts = running.parse_counts(text)
    if counts is None:
        text += f"\n{module}: ended without a result\n"
        counts = running.Counts(passed=0, failed=1, skipped=0)
    return _Outcome(module, text, counts)


def main() -> int:
    modules = sys.argv[1:] or _discover()
    total = running.Counts(0, 0, 0)
    with futures.ThreadPoolExecutor(_MODULES_AT_ONCE) as pool:
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
