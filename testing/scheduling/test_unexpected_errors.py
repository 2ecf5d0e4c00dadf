"""Unexpected errors in the threads of a scheduler, an election and an agent."""

import concurrent.futures as futures
import threading
from unittest import mock

from bilberrypass.scheduling import (
    election,
    interference,
    jobs,
    messages,
    queues,
    reconciling,
    sending,
)
from testing import collecting, events, fixtures
from testing.scheduling import clusters
from testing.standins import keyvalues

STEP = jobs.Step(1, cpu_milli=100)


def _failing_once(method):
    """Return a method that raises an unexpected error in its first call."""
    failed = threading.Event()

    def call(*args, **kwargs):
        if not failed.is_set():
            failed.set()
            raise KeyError("unexpected")
        return method(*args, **kwargs)

    call.failed = failed
    return call


def test_jobs_are_seen_after_an_unexpected_error_of_their_watch():
    """The scheduler led on without its watch, and no new job was ever started."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        watch = _failing_once(cluster.store.watch)
        with mock.patch.object(cluster.store, "watch", watch):
            fixtures.wait_until(watch.failed.is_set, 5.0, "the error")
            cluster.submit(STEP)
            host.await_orders(1)


def test_leadership_is_left_after_an_unexpected_error_of_the_writer():
    """The scheduler led on without its writer, and nothing was ever stored again."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        commit = _failing_once(cluster.store.commit)
        with mock.patch.object(cluster.store, "commit", commit):
            cluster.scheduler._intake_watcher._on_job(
                jobs.Job("a" * 16, clusters.QUEUE, "", (STEP,), 0.0)
            )

            def is_left():
                host.report()
                return cluster.lost_leadership

            fixtures.wait_until(is_left, 5.0, "the leadership to be left")


def test_configuration_is_applied_after_an_unexpected_error_of_its_watch():
    store = keyvalues.Store()
    store.put("op/config", b"3")

    def decode(value):
        return queues.Config(int(value), (), queues.Limits())

    watcher = queues.ConfigWatcher(store, "op/config", decode)
    watch = _failing_once(store.watch)
    with mock.patch.object(store, "watch", watch):
        watcher.start()
        try:
            fixtures.wait_until(watch.failed.is_set, 5.0, "the error")
            store.put("op/config", b"7")
            fixtures.wait_until(
                lambda: watcher.table and watcher.table.config.version == 7,
                5.0,
                "the newer version",
            )
        finally:
            watcher.stop()


class _Candidate(election.Candidate):
    """Fails to take its duties over the first time."""

    def __init__(self):
        self.elected, self.lost = [], []

    def on_elected(self, epoch):
        self.elected.append(epoch)
        if len(self.elected) == 1:
            raise RuntimeError("can't start new thread")

    def on_leadership_lost(self, epoch):
        self.lost.append(epoch)


def test_election_is_held_again_if_the_winner_cannot_take_its_duties_over():
    """Its lease was renewed for good, so no other process could be elected."""
    candidate = _Candidate()
    running = election.Election(keyvalues.Store(), "e1", "e1:1", candidate)
    running.start()
    try:
        fixtures.wait_until(lambda: len(candidate.elected) > 1, 8.0, "a second term")
        assert candidate.lost == candidate.elected[:1]
    finally:
        running.release_leadership()


def test_orders_reach_a_host_after_an_unexpected_error_of_a_call():
    """The host counted as being sent to for good, so its orders only queued up."""
    failed, sent = futures.Future(), futures.Future()
    sender = sending.PeerOrderSender(1, "s:1", lambda *args: failed.set_result(args))
    order = messages.Order(int(messages.Verb.START), "t", 1, 1)

    class Peer:
        address = "h:1"
        call = mock.Mock(side_effect=KeyError("unexpected"))

        def close(self):
            pass

    peer = Peer()
    with mock.patch.object(sender, "_connect", lambda host, address: peer):
        sender.send("h", "h:1", [order], 1, 1)
        assert failed.result(5.0) == ("h", [order])
        taken = messages.OrdersResponse(True, 1)
        peer.call = lambda *args: sent.set_result(args) or taken
        sender.send("h", "h:1", [order], 1, 1)
        assert sent.result(5.0)
    sender.stop()


def test_report_that_fails_does_not_cost_the_leadership():
    """Each process that was elected failed on the same report in turn."""
    handle = reconciling.Reconciler.handle_report

    def fail(self, report, at, lease_s):
        if report.host == "h1":
            raise KeyError("unexpected")
        return handle(self, report, at, lease_s)

    with (
        mock.patch.object(reconciling.Reconciler, "handle_report", fail),
        clusters.running_cluster() as cluster,
        events.recorded() as found,
    ):
        bad, good = (cluster.add_host(name) for name in ("h1", "h2"))
        assert not bad.report().is_counted
        cluster.submit(STEP)
        good.await_orders(1)
        assert found.named("host.report_failed")[0]["host"] == "h1"
        assert not cluster.lost_leadership


def test_unreadable_estimates_are_ignored():
    """They stopped each scheduler that loaded them, so that none ever led."""
    estimates = interference.Estimates()
    estimates.observe("s", 2.0, {"f": 0.1})
    before = estimates.loss("s", "f")
    estimates.restore(b"\xc1")
    assert estimates.loss("s", "f") == before
    with clusters.running_cluster() as cluster:
        cluster.store.put("interference", b"\xc1")
        cluster.elect_scheduler()
        assert cluster.scheduler.is_loaded and not cluster.lost_leadership


load_tests = collecting.hook(__name__)
