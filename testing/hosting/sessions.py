"""Helpers that run a session with an in-memory runner."""

import contextlib
import threading

from bilberrypass import clock
from bilberrypass.hosting import session
from bilberrypass.scheduling import messages
from testing import fixtures

TASK = "a" * 16 + ".0.0.0"
EPOCH = 7
State = messages.RunState


def info(life=1_000):
    """Return the runner's description of itself."""
    return messages.RunnerInfo("i-1", life, "planner", 64_000, 256_000, 0, ())


def order(verb, run=1, life=1_000, task=TASK, **fields):
    """Return an order for a run; ``fields`` sets further fields."""
    return messages.Order(verb, task, run, life, **fields)


def row(current, run=1, task=TASK):
    """Return the row of a run in the session's table, or None."""
    rows = {(r.task, r.run): r for r in current.table.rows()}
    return rows.get((task, run))


def await_state(current, state, run=1, task=TASK):
    """Wait up to 5 s until a run has this state, and return its row."""

    def row_in_state():
        candidate = row(current, run, task)
        return candidate if candidate is not None and candidate.state == state else None

    return fixtures.wait_until(
        row_in_state, 5.0, f"{state!r}; now {row(current, run, task)}"
    )


@contextlib.contextmanager
def session_with(runner, lease_s=5.0, leased_before_s=0.0, life=None):
    """Run a session with a runner; no lease is granted if ``lease_s`` is 0.

    ``life`` is given for a runner that is a client of one.
    """
    current = session.RunnerSession(
        info(runner.life if life is None else life),
        runner,
        threading.Event(),
        clock.now() + leased_before_s,
    )
    if lease_s:
        current.grant_lease(EPOCH, clock.now() + lease_s)
    current.start()
    try:
        yield current
    finally:
        current.end("the test is over")
