"""Play seeds: ``python -m soak 1-50``."""

import json
import pathlib
import sys
import time
import typing as t

import typer

from soak import mutants, seeds

_PROGRAM: t.Final = ("src/bilberrypassd.py",)
_SIZE: t.Final = seeds.Size()


_REGRESSIONS: t.Final = pathlib.Path(__file__).with_name("regressions.json")
_KEPT: t.Final = "kept"


def _numbers(text: str) -> list[int]:
    found: list[int] = []
    if text == _KEPT:
        return [row["seed"] for row in json.loads(_REGRESSIONS.read_text())]
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def main(
    which: t.Annotated[str, typer.Argument(help="seeds such as 1-50 or 3,7; or kept")],
    entries: int = _SIZE.entries,
    sides: int = _SIZE.sides,
    duration_s: float = _SIZE.duration_s,
    mutation: t.Annotated[
        str, typer.Option(help=f"remove a guard: {', '.join(mutants.NAMES)}")
    ] = "",
    logs: t.Annotated[
        pathlib.Path | None, typer.Option(help="keep the programs' logs here")
    ] = None,
    show_faults: bool = False,
) -> None:
    """Play seeds and print what each has shown; fails if a promise broke."""
    command = ("-m", "soak.mutants", mutation) if mutation else _PROGRAM
    size = seeds.Size(entries, sides, duration_s)
    is_broken = False
    for seed in _numbers(which):
        began = time.monotonic()
        keep = logs / str(seed) if logs else None
        verdict = seeds.play(seed, size, command, keep)
        took_s = time.monotonic() - began
        print(
            f"seed {seed}: {verdict.jobs} jobs, {verdict.starts} starts, "
            f"{len(verdict.broken)} broken, {took_s:.0f} s",
            flush=True,
        )
        for broken in verdict.broken[:10]:
            print(f"  {broken.rule} at {broken.at}: {broken.detail}", flush=True)
        if show_faults:
            print("\n".join(f"  {line}" for line in verdict.faults), flush=True)
        is_broken = is_broken or bool(verdict.broken)
    sys.exit(1 if is_broken else 0)


typer.run(main)
