"""Runs one seed: starts the fleet, injects the faults, checks the invariants."""

import collections.abc as abc
import contextlib
import pathlib
import random
import tempfile
import threading
import time
import typing as t

from soak import (
    callers,
    checker,
    clock_steps,
    evacuations,
    faults,
    hosts,
    series,
    stores,
    submissions,
)
from testing import fixtures

_READY_TIMEOUT_S: t.Final = 30.0
_SETTLE_TIMEOUT_S: t.Final = 40.0  # covers the longest lease and the accumulated work
_POLL_INTERVAL_S: t.Final = 0.2
_WATCH_INTERVAL_S: t.Final = 0.05
_CALM: t.Final = "calm spell"
_CALLER_COUNT: t.Final = 3
HISTORY: t.Final = "history.log"
DEFAULT_CRASH_MIX: t.Final = faults.CrashMix()


class Size(t.NamedTuple):
    """Size of the fleet, and length of the time with faults in seconds."""

    entries: int = 2
    agent_hosts: int = 3
    duration_s: float = 18.0


class Result(t.NamedTuple):
    """Result of a seed; ``faults`` has one line for each event."""

    seed: int
    violations: list[checker.Violation]
    jobs: int
    starts: int
    faults: list[str]


def run_seed(
    seed: int,
    size: Size,
    command: tuple[str, ...],
    log_folder: pathlib.Path | None = None,
    crash_mix: faults.CrashMix = DEFAULT_CRASH_MIX,
) -> Result:
    """Run one seed and return its result.

    Parameters
    ----------
    seed : int
        Determines submissions, ends of runs, and faults.
    size : Size
        Size of the fleet and length of the time with faults.
    command : tuple of str
        Arguments of the Python interpreter that start a program, before its role.
    log_folder : pathlib.Path
        Folder for the programs' logs and the history; None keeps no logs.
    crash_mix : faults.CrashMix
        How often runners crash for a short time.
    """
    with tempfile.TemporaryDirectory() as scratch:
        folder = log_folder or pathlib.Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        invariants = checker.InvariantChecker(stores.MAX_ATTEMPTS)
        fleet = hosts.start_fleet(
            invariants, seed, size.entries, size.agent_hosts, folder, command
        )
        try:
            return _inject_faults(seed, size, crash_mix, invariants, fleet)
        finally:
            fleet.stop()
            (folder / HISTORY).write_text("\n".join([*invariants.history, ""]))


def _inject_faults(
    seed: int,
    size: Size,
    crash_mix: faults.CrashMix,
    invariants: checker.InvariantChecker,
    fleet: hosts.Fleet,
) -> Result:
    rng = random.Random(seed)
    for entry in fleet.entries:
        fixtures.wait_until(
            entry.program.is_ready, _READY_TIMEOUT_S, f"{entry.name} to serve"
        )
    crashes = faults.draw_crashes(
        fleet, random.Random(f"{seed} crashes"), size.duration_s, crash_mix
    )
    drawn = [
        *faults.draw_events(fleet, rng, size.duration_s),
        *crashes,
        *series.draw_faults(fleet, random.Random(f"{seed} series"), size.duration_s),
        *evacuations.draw(
            invariants.evacuations,
            fleet,
            random.Random(f"{seed} evacuations"),
            size.duration_s,
        ),
        *clock_steps.draw(
            invariants, fleet, random.Random(f"{seed} clocks"), size.duration_s
        ),
    ]
    calm = faults.Event(0.0, _CALM, lambda: _begin_calm_spell(invariants, fleet))
    events = faults.sort_events(
        [
            *series.insert_calm_spells(drawn, size.duration_s, calm),
            *series.draw_departures(
                fleet,
                random.Random(f"{seed} departures"),
                series.full_duration_s(size.duration_s),
            ),
            *faults.draw_capacities(
                fleet,
                random.Random(f"{seed} capacities"),
                series.full_duration_s(size.duration_s),
            ),
        ]
    )
    fleet_callers = [
        callers.Caller(
            invariants,
            fleet,
            random.Random(f"{seed} {n}"),
            random.Random(f"{seed} cancels {n}"),
            crash_mix.deadly_share,
        )
        for n in range(_CALLER_COUNT)
    ]
    with _watching(invariants):
        _play(invariants, events, series.full_duration_s(size.duration_s))
        for caller in fleet_callers:
            caller.stop()
        _begin_calm_spell(invariants, fleet)
        _settle(invariants, fleet)
    fault_lines = [f"{event.at:.2f} {event.description}" for event in events]
    return Result(
        seed,
        invariants.violations,
        len(invariants.jobs),
        invariants.start_count,
        fault_lines,
    )


def _play(
    invariants: checker.InvariantChecker, events: list[faults.Event], duration_s: float
) -> None:
    started_at = time.monotonic()
    for event in events:
        time.sleep(max(0.0, started_at + event.at - time.monotonic()))
        invariants.log(f"fault: {event.description}")
        if event.place and not event.is_end:
            invariants.disturbances.begin(event.place, event.fault)
        began_at = time.monotonic()
        event.action()
        if event.place and event.is_end:
            invariants.disturbances.end(event.place, event.fault)
        if event.description == _CALM:
            started_at += time.monotonic() - began_at
    time.sleep(max(0.0, started_at + duration_s - time.monotonic()))


def _begin_calm_spell(invariants: checker.InvariantChecker, fleet: hosts.Fleet) -> None:
    fleet.heal()
    invariants.disturbances.end_all()


@contextlib.contextmanager
def _watching(invariants: checker.InvariantChecker) -> abc.Iterator[None]:
    """Check the runs of cancelled jobs until the context exits."""
    stopping = threading.Event()

    def watch() -> None:
        while not stopping.wait(_WATCH_INTERVAL_S):
            invariants.check_cancelled_runs()

    thread = threading.Thread(target=watch, daemon=True)
    thread.start()
    try:
        yield
    finally:
        stopping.set()
        thread.join()


def _settle(invariants: checker.InvariantChecker, fleet: hosts.Fleet) -> None:
    """Wait until all accepted jobs have settled, and check the states in the end.

    Jobs that run until they are cancelled are cancelled in between.
    """
    accepted = [job for job in invariants.jobs.values() if job.accepted_at]
    _wait_for_all(invariants, fleet, accepted, _is_settled)
    for job in accepted:
        if job.is_long_running and not job.cancel_acked_at:
            if not any(
                callers.cancel(invariants, entry, job) for entry in fleet.entries
            ):
                invariants.add_violation(
                    "LOST", f"{job.id}: no entry acknowledged its cancellation"
                )
    long_running = [job for job in accepted if job.is_long_running]
    _wait_for_all(invariants, fleet, long_running, _has_no_active_runs)
    for job in accepted:
        for entry in fleet.entries:
            callers.check_state(invariants, entry, job)


JobCheck = t.Callable[[checker.InvariantChecker, hosts.Fleet, submissions.Job], bool]


def _wait_for_all(
    invariants: checker.InvariantChecker,
    fleet: hosts.Fleet,
    jobs: list[submissions.Job],
    check: JobCheck,
) -> None:
    """Wait until a check holds for all jobs.

    A violation is recorded for each job for which it does not hold in time.
    """
    deadline = time.monotonic() + _SETTLE_TIMEOUT_S
    remaining = jobs
    while remaining and time.monotonic() < deadline:
        remaining = [job for job in remaining if not check(invariants, fleet, job)]
        time.sleep(_POLL_INTERVAL_S)
    for job in remaining:
        invariants.add_violation(
            "LOST",
            f"{job.id}: {job.describe()}, "
            f"{invariants.count_active_runs(job)} active runs",
        )


def _is_settled(
    invariants: checker.InvariantChecker, fleet: hosts.Fleet, job: submissions.Job
) -> bool:
    if job.cancel_sent and not job.cancel_acked_at:
        return True  # the caller cannot know whether the cancellation took effect
    state = callers.check_state(invariants, fleet.entries[0], job)
    # Whether a job may fail is checked with its states.
    if job.is_long_running and not job.cancel_sent and state != "failed":
        return invariants.count_active_runs(job) == job.body["steps"][0]["count"]
    return state in checker.FINAL_STATES and not invariants.count_active_runs(job)


def _has_no_active_runs(
    invariants: checker.InvariantChecker, fleet: hosts.Fleet, job: submissions.Job
) -> bool:
    return not invariants.count_active_runs(job)
