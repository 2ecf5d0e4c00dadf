"""Starts that a runner carries out late, after their runs were stopped or given up."""

import threading

from bilberrypass import clock
from bilberrypass.hosting import runner as runner_client
from bilberrypass.hosting import runs
from bilberrypass.scheduling import messages
from testing import collecting, fixtures
from testing.hosting import sessions
from testing.standins import runners

_STOP_S = 3.0  # three long polls
_LATE_S = 1.0
_KEY = sessions.TASK, 1
Verb = messages.Verb
State = messages.RunState


def _start_late(runner):
    """Carry out a start of the run whose call got no answer."""
    spec = runner_client.RunSpec(*_KEY, "", "", "")
    assert not runner.start(spec, runner.clock_ms + 5_000, runner.epoch, 0.0).reason


def _assert_barred(runner):
    for _ in fixtures.polls(_LATE_S + 0.5):
        assert not runner.running, runner.running


def _await_stop(runner):
    fixtures.wait_until(lambda: not runner.running, _STOP_S, "the stop")


def _settle_rejected_run(current, runner):
    runner.max_runs = 0
    current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
    sessions.await_state(current, State.REJECTED)
    current.acknowledge_ends(0, [_KEY])
    runner.max_runs = 1


def test_start_is_barred_by_a_stop_that_arrives_before_it_is_carried_out():
    runner = runners.Runner()
    runner.orders_to_lose, runner.lost_order_delay_s = 1, _LATE_S
    with sessions.session_with(runner) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        fixtures.wait_until(lambda: not runner.orders_to_lose, 2.0, "the lost start")
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.STOP)])
        _assert_barred(runner)
        sessions.await_state(current, State.GONE)


def test_start_is_barred_although_the_first_stops_get_no_answer():
    runner = runners.Runner()
    runner.orders_to_lose, runner.lost_order_delay_s = 3, _LATE_S
    with sessions.session_with(runner) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        fixtures.wait_until(lambda: runner.orders_to_lose < 3, 2.0, "the lost start")
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.STOP)])
        _assert_barred(runner)
        assert not runner.started, runner.started


def test_start_of_an_earlier_agent_is_barred_by_a_stop_of_the_next_one():
    runner = runners.Runner()
    runner.orders_to_lose, runner.lost_order_delay_s = 1_000, _LATE_S
    with sessions.session_with(runner) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        fixtures.wait_until(lambda: runner.orders_to_lose < 1_000, 2.0, "a lost start")
    runner.orders_to_lose = 0
    with sessions.session_with(runner) as current:
        stop = sessions.order(Verb.STOP, is_repeated=True)
        current.execute_orders(sessions.EPOCH, [stop])
        _assert_barred(runner)


def test_settled_run_that_the_runner_starts_late_is_stopped():
    runner = runners.Runner()
    with sessions.session_with(runner) as current:
        _settle_rejected_run(current, runner)
        _start_late(runner)
        _await_stop(runner)
        end = sessions.await_state(current, State.ENDED)
        assert end.outcome == "stopped" and end.end


def test_settled_run_that_the_runner_starts_late_is_stopped_once_stops_are_answered():
    runner = runners.Runner()
    with sessions.session_with(runner) as current:
        _settle_rejected_run(current, runner)
        _start_late(runner)
        runner.orders_to_lose = 2
        assert sessions.await_state(current, State.ENDED).outcome == "stopped"


def test_lost_run_that_the_runner_starts_late_is_stopped():
    """The lease has lapsed and the scheduler has settled the run by then."""
    runner = runners.Runner()
    runner.orders_to_lose = 1_000
    with sessions.session_with(runner, lease_s=0.6) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        fixtures.wait_until(lambda: runner.orders_to_lose < 1_000, 2.0, "a lost start")
        runner.is_silent = True
        assert sessions.await_state(current, State.GONE).outcome == "lapsed"
        current.acknowledge_ends(0, [_KEY])
        runner.is_silent, runner.orders_to_lose = False, 0
        current.grant_lease(sessions.EPOCH, clock.now() + 5.0)
        _start_late(runner)
        _await_stop(runner)


def test_settled_run_that_is_listed_is_not_reported_as_running():
    """The scheduler takes its row for the final one that it has settled."""
    table = runs.RunTable(threading.Event())
    table.record_rejection(table.apply_order(sessions.order(Verb.START)), "room")
    table.remove_acknowledged(0, [_KEY])
    listed = runner_client.ActiveRun(*_KEY, "", 0, 0)
    snapshot = runner_client.RunnerSnapshot([listed], [], 1, 1_000)
    assert table.apply_snapshot(snapshot, clock.now()).strays == [_KEY]
    assert not table.rows()


class _InertRunner(runners.Runner):
    """Answers the first stops without acting on them."""

    def __init__(self, inert_stops):
        super().__init__()
        self.inert_stops = inert_stops

    def _stop(self, task, run, epoch):
        if self.inert_stops:
            self.inert_stops -= 1
            return ""
        return super()._stop(task, run, epoch)


def test_run_that_stays_listed_after_an_answered_stop_is_stopped_again():
    runner = _InertRunner(inert_stops=2)
    with sessions.session_with(runner, lease_s=20.0) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        sessions.await_state(current, State.RUNNING)
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.STOP)])
        assert sessions.await_state(current, State.ENDED).outcome == "stopped"


def test_run_that_is_listed_while_it_stops_is_not_stopped_again():
    """A runner may take 0.9 s to stop a run."""
    table = runs.RunTable(threading.Event())
    start, stop = sessions.order(Verb.START), sessions.order(Verb.STOP)
    run = table.apply_order(start)
    table.record_start(run, 10.0)
    table.apply_order(stop)
    table.begin_stop(run)
    listed = runner_client.ActiveRun(*_KEY, "", 0, 0)
    snapshot = runner_client.RunnerSnapshot([listed], [], 1, 1_000)
    assert not table.apply_snapshot(snapshot, 20.0).strays
    table.record_stop(run, 20.0)
    assert not table.apply_snapshot(snapshot, 20.9).strays
    assert table.apply_snapshot(snapshot, 21.1).strays == [_KEY]


load_tests = collecting.hook(__name__)
