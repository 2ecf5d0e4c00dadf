"""Command line of the soak test: ``python -m soak 1-50``."""

import json
import pathlib
import sys
import time
import typing as t

import typer

from soak import faults, launcher, mutants, seeds

_DEFAULT_SIZE: t.Final = seeds.Size()


_REGRESSIONS: t.Final = pathlib.Path(__file__).with_name("regressions.json")
_REGRESSIONS_ARGUMENT: t.Final = "kept"


class _Case(t.NamedTuple):
    """A seed with the size and the mix of crashes that it is run with."""

    seed: int
    size: seeds.Size
    crash_mix: faults.CrashMix


def _parse_cases(
    text: str, size: seeds.Size, crash_mix: faults.CrashMix
) -> list[_Case]:
    if text == _REGRESSIONS_ARGUMENT:
        return [
            _Case(
                row["seed"],
                size._replace(**row.get("size", {})),
                crash_mix._replace(**row.get("crashes", {})),
            )
            for row in json.loads(_REGRESSIONS.read_text())
        ]
    seeds_found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds_found += range(int(first), int(last or first) + 1)
    return [_Case(seed, size, crash_mix) for seed in seeds_found]


def main(
    which: t.Annotated[
        str,
        typer.Argument(help="seeds such as 1-50 or 3,7; or kept (regressions.json)"),
    ],
    entries: int = _DEFAULT_SIZE.entries,
    sides: int = _DEFAULT_SIZE.agent_hosts,
    duration_s: float = _DEFAULT_SIZE.duration_s,
    crash_interval_s: t.Annotated[
        float, typer.Option(help="mean time between short crashes of runners")
    ] = seeds.DEFAULT_CRASH_MIX.interval_s,
    agent_kill_share: t.Annotated[
        float, typer.Option(help="share of these around which the agent is killed")
    ] = seeds.DEFAULT_CRASH_MIX.agent_kill_share,
    deadly_share: t.Annotated[
        float, typer.Option(help="share of jobs with a task that crashes its runners")
    ] = seeds.DEFAULT_CRASH_MIX.deadly_share,
    mutation: t.Annotated[
        str, typer.Option(help=f"remove a guard: {', '.join(mutants.NAMES)}")
    ] = "",
    logs: t.Annotated[
        pathlib.Path | None, typer.Option(help="folder for the programs' logs")
    ] = None,
    show_faults: bool = False,
) -> None:
    """Run seeds and print the result of each; exit with 1 on any violation."""
    command = launcher.command(mutation)
    size = seeds.Size(entries, sides, duration_s)
    crash_mix = faults.CrashMix(crash_interval_s, agent_kill_share, deadly_share)
    has_violations = False
    for case in _parse_cases(which, size, crash_mix):
        started_at = time.monotonic()
        log_folder = logs / str(case.seed) if logs else None
        result = seeds.run_seed(
            case.seed, case.size, command, log_folder, case.crash_mix
        )
        took_s = time.monotonic() - started_at
        print(
            f"seed {case.seed}: {result.jobs} jobs, {result.starts} starts, "
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
