"""Command line of the soak test: ``python -m soak 1-50``."""

import json
import pathlib
import sys
import time
import typing as t

import typer

from soak import mutants, seeds

_PROGRAM: t.Final = ("src/bilberrypassd.py",)
_DEFAULT_SIZE: t.Final = seeds.Size()


_REGRESSIONS: t.Final = pathlib.Path(__file__).with_name("regressions.json")
_REGRESSIONS_ARGUMENT: t.Final = "kept"


def _parse_seeds(text: str) -> list[int]:
    seeds_found: list[int] = []
    if text == _REGRESSIONS_ARGUMENT:
        return [row["seed"] for row in json.loads(_REGRESSIONS.read_text())]
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds_found += range(int(first), int(last or first) + 1)
    return seeds_found


def main(
    which: t.Annotated[
        str,
        typer.Argument(help="seeds such as 1-50 or 3,7; or kept (regressions.json)"),
    ],
    entries: int = _DEFAULT_SIZE.entries,
    sides: int = _DEFAULT_SIZE.agent_hosts,
    duration_s: float = _DEFAULT_SIZE.duration_s,
    mutation: t.Annotated[
        str, typer.Option(help=f"remove a guard: {', '.join(mutants.NAMES)}")
    ] = "",
    logs: t.Annotated[
        pathlib.Path | None, typer.Option(help="folder for the programs' logs")
    ] = None,
    show_faults: bool = False,
) -> None:
    """Run seeds and print the result of each; exit with 1 on any violation."""
    command = ("-m", "soak.mutants", mutation) if mutation else _PROGRAM
    size = seeds.Size(entries, sides, duration_s)
    has_violations = False
    for seed in _parse_seeds(which):
        started_at = time.monotonic()
        log_folder = logs / str(seed) if logs else None
        result = seeds.run_seed(seed, size, command, log_folder)
        took_s = time.monotonic() - started_at
        print(
            f"seed {seed}: {result.jobs} jobs, {result.starts} starts, "
            f"{len(result.violations)} broken, {took_s:.0f} s",
            flush=True,
        )
        for violation in result.violations[:10]:
            print(
                f"  {violation.rule} at {violation.at}: {violation.detail}", flush=True
            )
        if show_faults:
            print("\n".join(f"  {line}" for line in result.faults), flush=True)
        has_violations = has_violations or bool(result.violations)
    sys.exit(1 if has_violations else 0)


typer.run(main)
