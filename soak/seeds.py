"""One seed from its start to its verdict."""

import pathlib
import random
import tempfile
import time
import typing as t

from soak import book, callers, faults, hosts
from testing import fixtures

_READY_S: t.Final = 30.0
_QUIET_S: t.Final = 40.0  # the longest lease, and work that has piled up
_POLL_S: t.Final = 0.2
_CALLERS: t.Final = 3


class Size(t.NamedTuple):
    """How large and how long a seed is played."""

    entries: int = 2
    sides: int = 3
    duration_s: float = 18.0


class Verdict(t.NamedTuple):
    """What a seed has shown."""

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
    """Play one seed.

    Parameters
    ----------
    seed : int
        Draws submissions, ends and faults.
    size : Size
        Of the fleet and of the time with faults.
    command : tuple of str
        What the interpreter runs for a program, before its role.
    keep : pathlib.Path
        A folder that gets the programs' logs; None keeps none.
    """
    with tempfile.TemporaryDirectory() as scratch:
        folder = keep or pathlib.Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        seen = book.Book(hosts.MAX_ATTEMPTS)
        fleet = hosts.build(seen, seed, size.entries, size.sides, folder, command)
        try:
            return _play(seed, size, seen, fleet)
        finally:
            fleet.stop()


def _play(seed: int, size: Size, seen: book.Book, fleet: hosts.Fleet) -> Verdict:
    rng = random.Random(seed)
    for entry in fleet.entries:
        fixtures.wait_until(entry.program.is_ready, _READY_S, f"{entry.name} to serve")
    events = faults.draw(fleet, rng, size.duration_s)
    clients = [
        callers.Caller(seen, fleet, random.Random(f"{seed} {n}"))
        for n in range(_CALLERS)
    ]
    began = time.monotonic()
    for event in events:
        time.sleep(max(0.0, began + event.at - time.monotonic()))
        event.do()
    for client in clients:
        client.stop()
    fleet.heal()
    seen.quiet_since = seen.now()
    _settle(seen, fleet)
    what = [f"{event.at:.2f} {event.what}" for event in events]
    return Verdict(seed, seen.broken, len(seen.jobs), seen.starts, what)


def _settle(seen: book.Book, fleet: hosts.Fleet) -> None:
    """Wait until all that was accepted has come to its end, and check the rest."""
    accepted = [job for job in seen.jobs.values() if job.accepted_at]
    _await(seen, fleet, accepted, _is_settled)
    for job in accepted:
        if job.lasts and not job.cancelled_at:
            if not any(callers.cancel(seen, entry, job) for entry in fleet.entries):
                seen.miss("LOST", f"{job.id}: no entry takes its cancellation")
    lasting = [job for job in accepted if job.lasts]
    _await(seen, fleet, lasting, _is_gone)
    for job in accepted:
        for entry in fleet.entries:
            callers.ask(seen, entry, job)


Check = t.Callable[[book.Book, hosts.Fleet, book.Job], bool]


def _await(
    seen: book.Book, fleet: hosts.Fleet, jobs: list[book.Job], check: Check
) -> None:
    """Wait until a check holds for all jobs; those left have broken a promise."""
    deadline = time.monotonic() + _QUIET_S
    left = jobs
    while left and time.monotonic() < deadline:
        left = [job for job in left if not check(seen, fleet, job)]
        time.sleep(_POLL_S)
    for job in left:
        seen.miss("LOST", f"{job.id}: {job.describe()}, {seen.active(job)} runs")


def _is_settled(seen: book.Book, fleet: hosts.Fleet, job: book.Job) -> bool:
    if job.cancel_sent and not job.cancelled_at:
        return True  # the caller cannot know whether it holds
    state = callers.ask(seen, fleet.entries[0], job)
    if job.lasts and not job.cancel_sent:
        return seen.active(job) == job.body["steps"][0]["count"]
    return state in book.FINAL and not seen.active(job)


def _is_gone(seen: book.Book, fleet: hosts.Fleet, job: book.Job) -> bool:
    return not seen.active(job)
