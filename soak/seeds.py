"""Runs one seed: starts the fleet, injects the faults, checks the invariants."""

import pathlib
import random
import tempfile
import time
import typing as t

from soak import book, callers, faults, hosts
from testing import fixtures

_READY_TIMEOUT_S: t.Final = 30.0
_SETTLE_TIMEOUT_S: t.Final = 40.0  # covers the longest lease and the accumulated work
_POLL_INTERVAL_S: t.Final = 0.2
_CALLER_COUNT: t.Final = 3


class Size(t.NamedTuple):
    """Size of the fleet, and length of the time with faults in seconds."""

    entries: int = 2
    sides: int = 3
    duration_s: float = 18.0


class Verdict(t.NamedTuple):
    """Result of a seed; ``faults`` has one line for each event."""

    seed: int
    broken: list[book.Broken]
    jobs: int
    starts: int
    faults: list[str]


def play(
    seed: int,
    size: Size,
    command: tuple[str, ...],
    keep: pathlib.Path | None = None,
) -> Verdict:
    """Run one seed and return its result.

    Parameters
    ----------
    seed : int
        Determines submissions, ends of runs, and faults.
    size : Size
        Size of the fleet and length of the time with faults.
    command : tuple of str
        Arguments of the Python interpreter that start a program, before its role.
    keep : pathlib.Path
        Folder for the programs' logs; None keeps no logs.
    """
    with tempfile.TemporaryDirectory() as scratch:
        folder = keep or pathlib.Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        seen = book.Book(hosts.MAX_ATTEMPTS)
        fleet = hosts.build(seen, seed, size.entries, size.sides, folder, command)
        try:
            return _inject_faults(seed, size, seen, fleet)
        finally:
            fleet.stop()


def _inject_faults(
    seed: int, size: Size, seen: book.Book, fleet: hosts.Fleet
) -> Verdict:
    rng = random.Random(seed)
    for entry in fleet.entries:
        fixtures.wait_until(
            entry.program.is_ready, _READY_TIMEOUT_S, f"{entry.name} to serve"
        )
    events = faults.draw(fleet, rng, size.duration_s)
    fleet_callers = [
        callers.Caller(seen, fleet, random.Random(f"{seed} {n}"))
        for n in range(_CALLER_COUNT)
    ]
    started_at = time.monotonic()
    for event in events:
        time.sleep(max(0.0, started_at + event.at - time.monotonic()))
        event.do()
    for caller in fleet_callers:
        caller.stop()
    fleet.heal()
    seen.quiet_since = seen.now()
    _settle(seen, fleet)
    fault_lines = [f"{event.at:.2f} {event.what}" for event in events]
    return Verdict(seed, seen.broken, len(seen.jobs), seen.starts, fault_lines)


def _settle(seen: book.Book, fleet: hosts.Fleet) -> None:
    """Wait until all accepted jobs have settled, and check the states in the end.

    Jobs that run until they are cancelled are cancelled in between.
    """
    accepted = [job for job in seen.jobs.values() if job.accepted_at]
    _wait_for_all(seen, fleet, accepted, _is_settled)
    for job in accepted:
        if job.lasts and not job.cancelled_at:
            if not any(callers.cancel(seen, entry, job) for entry in fleet.entries):
                seen.miss("LOST", f"{job.id}: no entry acknowledged its cancellation")
    long_running = [job for job in accepted if job.lasts]
    _wait_for_all(seen, fleet, long_running, _has_no_active_runs)
    for job in accepted:
        for entry in fleet.entries:
            callers.ask(seen, entry, job)


Check = t.Callable[[book.Book, hosts.Fleet, book.Job], bool]


def _wait_for_all(
    seen: book.Book, fleet: hosts.Fleet, jobs: list[book.Job], check: Check
) -> None:
    """Wait until a check holds for all jobs; record a violation for each other job."""
    deadline = time.monotonic() + _SETTLE_TIMEOUT_S
    remaining = jobs
    while remaining and time.monotonic() < deadline:
        remaining = [job for job in remaining if not check(seen, fleet, job)]
        time.sleep(_POLL_INTERVAL_S)
    for job in remaining:
        seen.miss("LOST", f"{job.id}: {job.describe()}, {seen.active(job)} active runs")


def _is_settled(seen: book.Book, fleet: hosts.Fleet, job: book.Job) -> bool:
    if job.cancel_sent and not job.cancelled_at:
        return True  # the caller cannot know whether the cancellation took effect
    state = callers.ask(seen, fleet.entries[0], job)
    if job.lasts and not job.cancel_sent:
        return seen.active(job) == job.body["steps"][0]["count"]
    return state in book.FINAL and not seen.active(job)


def _has_no_active_runs(seen: book.Book, fleet: hosts.Fleet, job: book.Job) -> bool:
    return not seen.active(job)
