"""A session with a runner in memory."""

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
    """Return what the runner says of itself."""
    return messages.RunnerInfo("i-1", life, "planner", 64_000, 256_000, 0, ())


def order(verb, run=1, life=1_000, task=TASK, **fields):
    """Return an order for a run."""
    return messages.Order(verb, task, run, life, **fields)


def row(found, run=1, task=TASK):
    """Return the agent's row of a run, or None."""
    rows = {(r.task, r.run): r for r in found.table.rows()}
    return rows.get((task, run))


def await_state(found, state, run=1, task=TASK):
    """Wait until a run has a state, and return its row."""

    def has():
        seen = row(found, run, task)
        return seen if seen is not None and seen.state == state else None

    return fixtures.wait_until(has, 5.0, f"{state!r}; now {row(found, run, task)}")


@contextlib.contextmanager
def session_with(runner, lease_s=5.0, leased_before_s=0.0):
    """Run a session with a runner; a lease of 0 s grants nothing yet."""
    found = session.Session(
        info(runner.life), runner, threading.Event(), clock.now() + leased_before_s
    )
    if lease_s:
        found.grant(EPOCH, clock.now() + lease_s)
    found.start()
    try:
        yield found
    finally:
        found.end("the test is over")
