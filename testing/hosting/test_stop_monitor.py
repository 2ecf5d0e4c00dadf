"""Log events of runs that a runner lists although they were stopped or have ended."""

import threading

from bilberrypass.hosting import runner, runs, stop_monitor
from bilberrypass.scheduling import messages
from testing import collecting, events, fixtures
from testing.hosting import sessions
from testing.standins import runners

Verb = messages.Verb
KEY = (sessions.TASK, 1)
RUN = {"task": sessions.TASK, "run": 1}


class _DeafRunner(runners.Runner):
    """A runner that answers stops without stopping anything."""

    def _stop(self, task, run, epoch):
        return ""


class _Checks:
    """A table with one running run, and snapshots at times that a test chooses."""

    def __init__(self):
        self.table = runs.RunTable(threading.Event())
        self.monitor = stop_monitor.StopMonitor(sessions.info())
        self.run = self.table.apply_order(sessions.order(Verb.START))
        self.table.record_start(self.run, 0.0)
        self.listed = {KEY}
        self.ended: list[runner.EndedRun] = []

    def stop(self, ordered_at, answered_at=None):
        self.table.apply_order(sessions.order(Verb.STOP))
        self.run.stop_wanted_at = ordered_at
        self.table.begin_stop(self.run)
        if answered_at is not None:
            self.table.record_stop(self.run, answered_at)

    def poll(self, requested_at):
        """Apply and check a snapshot; return the lines that it caused."""
        snapshot = runner.RunnerSnapshot(
            [runner.ActiveRun(*key, "", 50, 0) for key in self.listed],
            self.ended,
            1,
            1_000,
        )
        with events.recorded() as found:
            self.table.apply_snapshot(snapshot, requested_at)
            self.monitor.check(self.table, snapshot, requested_at)
        return found.named("run.still_listed")


def _count():
    return stop_monitor._still_listed_runs._value.get()


def test_run_listed_long_after_its_answered_stop_is_recorded():
    """Guards against a runner that answers a stop and goes on, without a line."""
    checks, before = _Checks(), _count()
    assert not checks.poll(9.0)
    checks.stop(10.0, answered_at=10.1)
    assert not checks.poll(11.0)
    assert checks.poll(11.5) == [
        {
            **RUN,
            "life": 1_000,
            "state": "STOPPING",
            "how": "",
            "ordered_ago_s": 1.5,
            "answered_ago_s": 1.4,
            "listed_for_s": 2.5,
        }
    ]
    assert not checks.poll(13.0)
    assert len(checks.poll(13.5)) == 1
    assert _count() - before == 1


def test_stop_ordered_after_the_snapshot_was_requested_is_not_overdue():
    """The run was answered for its start, and no thread has begun to stop it."""
    checks = _Checks()
    checks.poll(9.0)
    checks.table.apply_order(sessions.order(Verb.STOP))
    checks.run.stop_wanted_at = 10.0
    assert not checks.poll(9.7)
    assert not checks.poll(10.5)


def test_run_first_listed_after_its_stop_was_answered_shows_as_started_late():
    checks = _Checks()
    checks.listed = set()
    checks.stop(10.0, answered_at=10.1)
    assert not checks.poll(10.5)
    checks.listed = {KEY}
    assert not checks.poll(11.0)
    (line,) = checks.poll(12.0)
    assert line["listed_for_s"] == 1.0 and line["answered_ago_s"] == 1.9, line


def test_run_listed_while_its_stop_is_not_answered_is_recorded():
    checks = _Checks()
    assert not checks.poll(9.0)
    checks.stop(10.0)
    assert not checks.poll(11.5)
    (line,) = checks.poll(12.5)
    assert line["answered_ago_s"] is None and line["ordered_ago_s"] == 2.5, line


def test_run_listed_after_its_end_is_recorded():
    """Guards against a run that starts again under its number, without a line."""
    checks = _Checks()
    checks.ended = [runner.EndedRun(1, *KEY, "stopped", "")]
    assert not checks.poll(10.0)
    (line,) = checks.poll(10.5)
    assert (line["state"], line["how"]) == ("ENDED", "stopped")


def test_stop_in_time_is_not_recorded():
    """Guards against a line for each cancelled run on a calm day."""
    checks = _Checks()
    checks.poll(9.0)
    checks.stop(10.0, answered_at=10.1)
    assert not checks.poll(10.5)
    checks.listed, checks.ended = set(), [runner.EndedRun(1, *KEY, "stopped", "")]
    assert not checks.poll(11.5) and not checks.poll(20.0)


def test_session_records_a_run_that_its_runner_does_not_stop():
    deaf = _DeafRunner()
    with events.recorded() as found, sessions.session_with(deaf, 30.0) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        sessions.await_state(current, sessions.State.RUNNING)
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.STOP)])
        (line,) = fixtures.wait_until(
            lambda: found.named("run.still_listed"), 8.0, "run.still_listed"
        )
        assert line["answered_ago_s"] >= 1.0, line


load_tests = collecting.hook(__name__)
