"""An entry whose own way to the store fails, and what its callers are told."""

import contextlib
import time

from bilberrypass import clock, errors
from bilberrypass.scheduling import entry, intake, jobs, queues, scheduler
from testing import collecting, fixtures
from testing.standins import keyvalues

ID = "a" * 16
_CFG = scheduler.Settings(lease_s=1.0, status_s=120.0)


@contextlib.contextmanager
def _entries():
    store = keyvalues.Store()
    ways, found = [], []
    for name in ("e1", "e2"):
        way = keyvalues.Way(store)
        config = queues.Follower(way, "op/config", lambda v: None)
        address = f"127.0.0.1:{fixtures.free_port()}"
        one = entry.Entry(name, address, way, config, _CFG)
        one.start()
        ways.append(way)
        found.append(one)
        fixtures.wait_until(lambda o=one: o._election.leader, 5.0, "a leader")
    try:
        yield found, ways, store
    finally:
        for one in found:
            one.hand_over()
            one.stop()


def _job():
    return jobs.Job(ID, "h/q/", "spec", (jobs.Step(1),), time.time())


def test_the_leader_stores_what_a_cut_off_entry_accepts():
    with _entries() as ((_, follower), (_, way), store):
        way.is_cut = True
        follower.submit(_job(), clock.now() + 2)
        assert intake.JOB_PREFIX + ID in store.items
        assert follower.cancel(ID, clock.now() + 2)


def test_a_change_that_may_be_stored_is_not_called_refused():
    with _entries() as ((leader, follower), ways, _):
        ways[1].drops_commits = True
        leader.hand_over()
        leader.stop()
        exc = fixtures.error_of(
            errors.Error, follower.submit, _job(), clock.now() + 1.0
        )
        assert exc.kind is errors.Kind.STORE_UNCERTAIN, exc


def test_a_status_is_read_from_the_store_while_nobody_leads():
    with _entries() as ((leader, follower), _, _):
        follower.submit(_job(), clock.now() + 2)
        leader._scheduler.stop()
        assert follower.status(ID, clock.now() + 2) == "queued"
        assert follower.status("b" * 16, clock.now() + 2) == ""


def test_a_leader_that_is_cut_off_has_its_callers_served_by_others():
    # Seen on nvctg-sched trouble-1: the leader's host was refused by the store, and
    # for seven seconds its callers got 502.
    with _entries() as ((leader, follower), (way, _), store):
        follower.status("b" * 16, clock.now() + 1)
        way.is_cut = True
        leader.submit(_job(), clock.now() + 2)
        assert intake.JOB_PREFIX + ID in store.items
        fixtures.wait_until(lambda: follower._scheduler, 8.0, "the successor")
        assert leader.status(ID, clock.now() + 2) == "queued"


load_tests = collecting.hook(__name__)
