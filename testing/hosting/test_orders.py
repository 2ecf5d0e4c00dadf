"""Lost, late and repeated orders: a run that may still start never counts as gone."""

import threading
import time

from bilberrypass import clock
from bilberrypass.hosting import runner as runner_client
from bilberrypass.hosting import runs
from bilberrypass.scheduling import messages
from testing import collecting, fixtures
from testing.hosting import sessions
from testing.standins import runners

Verb = messages.Verb
State = messages.RunState


def test_repeated_start_of_running_task_is_not_rejected():
    """A running task must not be rejected by an agent that has just restarted.

    Found in nvctg-sched scale-1 after kill_all: the new agent had no lease yet and
    rejected the repeated start, although the run was on the runner.
    """
    runner = runners.Runner()
    runner.lease_end_ms = 60_000
    runner.running[sessions.TASK, 1] = ""
    with sessions.session_with(runner, lease_s=0.0) as current:
        current.execute_orders(
            sessions.EPOCH, [sessions.order(Verb.START, is_repeated=True)]
        )
        time.sleep(0.3)
        row = sessions.row(current)
        assert row is None or row.state != State.REJECTED, row
        current.grant_lease(sessions.EPOCH, clock.now() + 5.0)
        sessions.await_state(current, State.RUNNING)


def test_start_waits_for_lease():
    runner = runners.Runner()
    with sessions.session_with(runner, lease_s=0.0) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        time.sleep(0.2)
        assert not runner.started
        current.grant_lease(sessions.EPOCH, clock.now() + 5.0)
        sessions.await_state(current, State.RUNNING)


class _RecordingRunner(runners.Runner):
    """Records the times for which polls wait for an end."""

    def __init__(self):
        super().__init__()
        self.waits_s = []

    def poll(self, acknowledged_end, lease_end_ms, epoch, wait_s):
        self.waits_s.append(wait_s)
        return super().poll(acknowledged_end, lease_end_ms, epoch, wait_s)


def test_first_start_of_a_session_does_not_wait_for_a_long_poll():
    runner = _RecordingRunner()
    with sessions.session_with(runner) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        sessions.await_state(current, State.RUNNING)
        assert runner.waits_s[0] == 0.0, runner.waits_s
        fixtures.wait_until(lambda: any(runner.waits_s), 5.0, "a long poll")


def test_lost_start_is_retried_and_runs_once():
    runner = runners.Runner()
    runner.orders_to_lose, runner.lost_order_delay_s = 1, 0.5
    with sessions.session_with(runner) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        sessions.await_state(current, State.RUNNING)
        time.sleep(0.6)
        assert runner.started == [(sessions.TASK, 1)], runner.started


def test_refusal_after_lost_start_bars_the_run():
    runner = runners.Runner(max_runs=0)
    runner.orders_to_lose, runner.lost_order_delay_s = 1, 0.6
    with sessions.session_with(runner) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        sessions.await_state(current, State.GONE)
        runner.max_runs = 1
        time.sleep(0.8)
        assert not runner.started, runner.started


def test_start_without_an_answer_is_not_repeated_once_the_runner_leaves():
    """It was repeated until it was answered, seconds after the acknowledgement."""
    runner = _RecordingRunner()
    runner.orders_to_lose = 1_000
    with sessions.session_with(runner) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        fixtures.wait_until(lambda: runner.orders_to_lose < 1_000, 5.0, "an attempt")
        current.info = current.info._replace(is_draining=True)
        runner.orders_to_lose = 0
        sessions.await_state(current, State.GONE)
        assert not runner.started and runner.highest_ended[sessions.TASK] == 1


def test_start_on_a_runner_that_leaves_is_rejected_at_once():
    runner = runners.Runner()
    with sessions.session_with(runner) as current:
        current.info = current.info._replace(is_draining=True)
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        assert sessions.await_state(current, State.REJECTED).outcome == "leaving"
        assert not runner.started


def test_refused_start_is_rejected_with_reason():
    runner = runners.Runner(max_runs=0)
    with sessions.session_with(runner) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        assert sessions.await_state(current, State.REJECTED).outcome == "room"


def test_stop_of_unknown_run_bars_it():
    runner = runners.Runner()
    with sessions.session_with(runner) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.STOP)])
        sessions.await_state(current, State.GONE)
        assert runner.highest_ended[sessions.TASK] == 1


def test_order_for_another_life_is_ignored():
    runner = runners.Runner()
    with sessions.session_with(runner) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START, life=999)])
        time.sleep(0.2)
        assert not runner.started


def test_lease_never_outlasts_grant_on_slow_clock():
    runner = runners.Runner(clock_rate=0.98)
    with sessions.session_with(runner, lease_s=1.0) as current:
        granted_until = clock.now() + 1.0
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        sessions.await_state(current, State.RUNNING)
        row = fixtures.wait_until(
            lambda: (r := sessions.row(current)) and r.state == State.ENDED and r,
            5.0,
            "lease expiry",
        )
        assert row.outcome == "lapsed"
        assert clock.now() > granted_until - 0.2
        left_ms = runner.lease_end_ms - runner.clock_ms
        assert clock.now() + left_ms / 980 <= granted_until + 0.05


def test_stop_that_arrives_during_a_start_is_executed():
    runner = runners.Runner()
    start, called, may_answer = runner.start, threading.Event(), threading.Event()

    def start_slowly(*args):
        called.set()
        may_answer.wait(2.0)
        return start(*args)

    runner.start = start_slowly
    stop = sessions.order(Verb.STOP)
    with sessions.session_with(runner) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        assert called.wait(2.0)
        current.execute_orders(sessions.EPOCH, [stop])
        may_answer.set()
        time.sleep(0.5)
        current.execute_orders(sessions.EPOCH, [stop._replace(is_repeated=True)])
        time.sleep(0.5)
        assert not runner.running, sessions.row(current)


def test_run_whose_end_is_not_listed_yet_is_not_missing():
    table = runs.RunTable(threading.Event())
    order = sessions.order(Verb.START)
    table.record_start(table.apply_order(order), 10.0)
    ended = [runner_client.EndedRun(1, "b" * 16 + ".0.0.0", 1, "done", "")]
    snapshot = runner_client.RunnerSnapshot([], ended, 1, 1_000, has_all_ends=False)
    table.apply_snapshot(snapshot, 20.0)
    rows = {(row.task, row.run): row for row in table.rows()}
    assert rows[order.task, order.run].state != State.GONE
    table.apply_snapshot(snapshot._replace(has_all_ends=True), 20.0)
    rows = {(row.task, row.run): row for row in table.rows()}
    assert rows[order.task, order.run].state == State.GONE


def test_run_on_the_runner_is_not_rejected_for_want_of_a_lease():
    runner = runners.Runner()
    runner.lease_end_ms = 60_000
    runner.running[sessions.TASK, 1] = ""
    with sessions.session_with(runner, lease_s=0.0) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        for _ in fixtures.polls(4.0):
            # A rejected run that is still listed is stopped.
            assert not runner.ended, runner.ended


def test_start_delivered_again_after_its_rejection_is_not_executed():
    runner = runners.Runner(max_runs=0)
    order = sessions.order(Verb.START)
    with sessions.session_with(runner) as current:
        current.execute_orders(sessions.EPOCH, [order])
        sessions.await_state(current, State.REJECTED)
        current.acknowledge_ends(0, [(order.task, order.run)])
        runner.max_runs = 1
        current.execute_orders(sessions.EPOCH, [order])
        time.sleep(0.5)
        assert not runner.started, runner.started


def test_start_of_a_settled_run_is_answered_by_a_rejection():
    """A scheduler that still tracks the run would repeat the start forever."""
    runner = runners.Runner(max_runs=0)
    first, second = sessions.order(Verb.START), sessions.order(Verb.START, run=2)
    with sessions.session_with(runner) as current:
        current.execute_orders(sessions.EPOCH, [second])
        sessions.await_state(current, State.REJECTED, run=2)
        current.acknowledge_ends(0, [(second.task, second.run)])
        runner.max_runs = 1
        current.execute_orders(sessions.EPOCH, [first, second])
        assert sessions.row(current, 1).outcome == "settled"
        assert sessions.row(current, 2).outcome == "settled"
        third = sessions.order(Verb.START, run=3)
        current.execute_orders(sessions.EPOCH, [third])
        sessions.await_state(current, State.RUNNING, run=3)
        assert runner.started == [(third.task, 3)], runner.started


def test_start_is_not_repeated_once_the_lease_has_lapsed():
    runner = runners.Runner()
    runner.orders_to_lose = 1_000
    with sessions.session_with(runner, lease_s=0.6) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        time.sleep(1.2)  # the scheduler declares the run lost by now
        runner.orders_to_lose = 0
        current.grant_lease(sessions.EPOCH, clock.now() + 5.0)
        time.sleep(0.6)
        assert not runner.started, runner.started


load_tests = collecting.hook(__name__)
