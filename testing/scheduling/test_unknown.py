"""What an entry does not know it does not answer: while it loads, and cut off."""

import contextlib
import threading
import time
from unittest import mock

import prometheus_client as prometheus

from bilberrypass import clock, errors
from bilberrypass.scheduling import (
    entry,
    intake,
    jobs,
    messages,
    queues,
    reconciling,
    scheduler,
)
from testing import collecting, fixtures
from testing.scheduling import clusters
from testing.standins import keyvalues

QUEUE = "h/q/"
COUNT = 5
STEP = jobs.Step(1, cpu_milli=100)
_CFG = scheduler.Settings(lease_s=1.0, status_s=120.0)


class _SlowStore(keyvalues.StoreProxy):
    """A connection over which listings wait while ``may_list`` is not set."""

    def __init__(self, store):
        super().__init__(store)
        self.may_list = threading.Event()
        self.may_list.set()

    def list(self, prefix, deadline):
        found = super().list(prefix, deadline)
        assert self.may_list.wait(10.0)
        return found


class _Entry:
    def __init__(self, store, name):
        self.store = _SlowStore(store)
        config = queues.ConfigWatcher(self.store, "op/config", lambda v: None)
        self.address = f"127.0.0.1:{fixtures.free_port()}"
        self.entry = entry.Entry(name, self.address, self.store, config, _CFG)
        self.entry.start()

    @property
    def scheduler(self):
        return self.entry._scheduler

    def count(self):
        """Return the answer to a caller, or the kind of the refusal."""
        try:
            return self.entry.count_waiting(QUEUE)
        except errors.Error as exc:
            return exc.kind

    def stop(self):
        self.store.may_list.set()
        self.entry.release_leadership()
        self.entry.stop()


@contextlib.contextmanager
def _entries():
    """Yield a leader and a follower, and the store, with jobs that wait."""
    store = keyvalues.Store()
    submissions = intake.Submissions(store)
    for number in range(COUNT):
        job = jobs.Job(f"{number:016x}", QUEUE, "spec", (STEP,), time.time())
        submissions.submit(job, clock.now() + 1.0)
    found = []
    for name in ("e1", "e2"):
        found.append(_Entry(store, name))
        fixtures.wait_until(lambda: found[-1].entry._election.leader, 5.0, "a leader")
    leader, follower = found
    try:
        for each in found:
            fixtures.wait_until(lambda e=each: e.count() == COUNT, 5.0, "the count")
        yield leader, follower, store
    finally:
        for each in found:
            each.stop()


def test_new_leader_that_has_not_loaded_tells_no_count():
    """It said that nothing waited, for as long as it loaded (review/15).

    Callers of the new leader and those of other entries are refused until it knows.
    """
    with _entries() as (leader, follower, _):
        follower.store.may_list.clear()
        leader.entry.release_leadership()
        fixtures.wait_until(lambda: follower.scheduler, 5.0, "the election")
        answers = {each.count() for _ in range(20) for each in (leader, follower)}
        assert answers == {errors.Kind.PEER_UNREACHABLE}
        assert follower.entry.status(f"{0:016x}", clock.now() + 1.0) == "queued"
        follower.store.may_list.set()
        fixtures.wait_until(lambda: follower.count() == COUNT, 5.0, "the count")


def test_count_is_told_once_all_jobs_are_loaded():
    """It counted those that were loaded by then."""
    restore = reconciling.Reconciler.restore_runs
    seen = []

    def look(self, job):
        seen.append(self._scheduler.is_loaded)
        restore(self, job)

    with (
        mock.patch.object(reconciling.Reconciler, "restore_runs", look),
        clusters.running_cluster() as cluster,
    ):
        for number in range(COUNT):
            cluster.submit(STEP, id=f"{number:016x}")
        cluster.elect_scheduler()
        assert seen == [False] * COUNT
        assert cluster.scheduler.count_waiting(clusters.QUEUE) == COUNT


def test_leader_that_lost_the_store_tells_no_count():
    """Another one may lead, also when this one wakes from a pause."""
    with _entries() as (leader, follower, _):
        elected = leader.scheduler
        long_ago = clock.now() - scheduler.STORE_CUT_OFF_AFTER_S - 1.0
        elected._last_contact_at = lambda: long_ago
        for each in (leader, follower):
            assert each.count() is errors.Kind.PEER_UNREACHABLE


def test_leader_that_is_paused_while_it_counts_tells_no_count():
    with _entries() as (leader, _, _):
        elected = leader.scheduler
        count = elected.count_waiting

        def pause(name):
            waiting = count(name)
            elected._last_contact_at = lambda: 0.0
            return waiting

        elected.count_waiting = pause
        assert leader.count() is errors.Kind.PEER_UNREACHABLE


def test_entry_that_lost_the_lead_names_itself_to_no_agent():
    """The agent asked it again and again, in place of the store."""
    with _entries() as (leader, _, _):
        with leader.entry._lock:
            stopped, leader.entry._scheduler = leader.entry._scheduler, None
        stopped.stop()
        report = messages.Report("h", "h:1", "z", 1, 1, 0, None, 0.0, 0.0, [])
        response = leader.entry._serve_report(report)
        assert not response.is_leader and response.leader == ""


def test_gauges_of_a_scheduler_are_reset_when_it_ends():
    """A process that no longer led went on showing its last figures."""

    def shown():
        return prometheus.REGISTRY.get_sample_value("bilberrypass_jobs_open")

    with clusters.running_cluster() as cluster:
        cluster.submit(STEP)
        fixtures.wait_until(lambda: shown() == 1, 5.0, "the gauge")
        cluster.scheduler.stop()
        fixtures.wait_until(lambda: shown() == 0, 5.0, "its reset")


load_tests = collecting.hook(__name__)
