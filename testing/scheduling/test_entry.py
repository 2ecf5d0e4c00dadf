"""Requests of callers to an entry that cannot reach the store."""

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
    connections, entries = [], []
    for name in ("e1", "e2"):
        connection = keyvalues.StoreProxy(store)
        config = queues.ConfigWatcher(connection, "op/config", lambda v: None)
        address = f"127.0.0.1:{fixtures.free_port()}"
        started = entry.Entry(name, address, connection, config, _CFG)
        started.start()
        connections.append(connection)
        entries.append(started)
        fixtures.wait_until(lambda e=started: e._election.leader, 5.0, "a leader")
    try:
        yield entries, connections, store
    finally:
        for started in entries:
            started.release_leadership()
            started.stop()


def _job():
    return jobs.Job(ID, "h/q/", "spec", (jobs.Step(1),), time.time())


def test_entry_without_store_writes_through_the_leader():
    with _entries() as ((_, follower), (_, connection), store):
        connection.is_cut = True
        follower.submit(_job(), clock.now() + 2)
        assert intake.JOB_PREFIX + ID in store.items
        assert follower.cancel(ID, clock.now() + 2)


def test_change_with_unknown_outcome_is_reported_as_uncertain():
    """A commit without a response may still take effect.

    The certain failure of a later attempt through a peer must not hide that.
    """
    with _entries() as ((leader, follower), connections, _):
        connections[1].drops_commits = True
        leader.release_leadership()
        leader.stop()
        exc = fixtures.error_of(
            errors.Error, follower.submit, _job(), clock.now() + 1.0
        )
        assert exc.kind is errors.Kind.STORE_UNCERTAIN, exc


def test_change_that_reached_no_store_is_never_uncertain():
    """Callers got 502 although nothing was sent (mod-prix, store resets all calls).

    After a failed change the peer is asked first, and it had ended.
    """
    with _entries() as ((leader, follower), connections, _):
        connections[1].is_cut = True
        leader.stop()
        leader._server.stop(0.0)
        for _ in range(3):
            exc = fixtures.error_of(
                errors.Error, follower.submit, _job(), clock.now() + 1.0
            )
            assert exc.kind is errors.Kind.STORE_DOWN, exc


def test_status_is_read_from_the_store_without_a_leader():
    with _entries() as ((leader, follower), _, _):
        follower.submit(_job(), clock.now() + 2)
        leader._scheduler.stop()
        assert follower.status(ID, clock.now() + 2) == "queued"
        assert follower.status("b" * 16, clock.now() + 2) == ""


def test_leader_without_store_serves_its_callers_through_another_entry():
    """Callers of the leader got 502 for seven seconds (nvctg-sched trouble-1).

    The store refused the leader's host, while other entries could reach it.
    """
    with _entries() as ((leader, follower), (connection, _), store):
        follower.status("b" * 16, clock.now() + 1)
        connection.is_cut = True
        leader.submit(_job(), clock.now() + 2)
        assert intake.JOB_PREFIX + ID in store.items
        fixtures.wait_until(lambda: follower._scheduler, 8.0, "the successor")
        assert leader.status(ID, clock.now() + 2) == "queued"


load_tests = collecting.hook(__name__)
