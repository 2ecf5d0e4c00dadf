"""Orders that are lost, late or repeated: no run is taken for gone that may come."""

import time

from bilberrypass import clock
from bilberrypass.scheduling import messages
from testing import collecting, fixtures
from testing.hosting import sessions
from testing.standins import runners

Verb = messages.Verb
State = messages.RunState


def test_a_start_repeated_by_a_new_agent_is_never_rejected_while_it_runs():
    # Seen on nvctg-sched scale-1 after kill_all: the new agent had no lease yet and
    # rejected the repeated start, though the run was on the runner.
    runner = runners.Runner()
    runner.lease_end_ms = 60_000
    runner.running[sessions.TASK, 1] = ""
    with sessions.session_with(runner, lease_s=0.0) as found:
        found.obey(sessions.EPOCH, [sessions.order(Verb.START, is_repeated=True)])
        time.sleep(0.3)
        seen = sessions.row(found)
        assert seen is None or seen.state != State.REJECTED, seen
        found.grant(sessions.EPOCH, clock.now() + 5.0)
        sessions.await_state(found, State.RUNNING)


def test_a_start_waits_for_its_lease():
    runner = runners.Runner()
    with sessions.session_with(runner, lease_s=0.0) as found:
        found.obey(sessions.EPOCH, [sessions.order(Verb.START)])
        time.sleep(0.2)
        assert not runner.started
        found.grant(sessions.EPOCH, clock.now() + 5.0)
        sessions.await_state(found, State.RUNNING)


def test_a_lost_start_is_repeated_and_runs_once():
    runner = runners.Runner()
    runner.lose, runner.late_s = 1, 0.5
    with sessions.session_with(runner) as found:
        found.obey(sessions.EPOCH, [sessions.order(Verb.START)])
        sessions.await_state(found, State.RUNNING)
        time.sleep(0.6)
        assert runner.started == [(sessions.TASK, 1)], runner.started


def test_a_refusal_after_a_lost_start_bars_the_run_first():
    runner = runners.Runner(room=0)
    runner.lose, runner.late_s = 1, 0.6
    with sessions.session_with(runner) as found:
        found.obey(sessions.EPOCH, [sessions.order(Verb.START)])
        sessions.await_state(found, State.GONE)
        runner.room = 1
        time.sleep(0.8)
        assert not runner.started, runner.started


def test_a_refused_start_is_rejected_with_its_reason():
    runner = runners.Runner(room=0)
    with sessions.session_with(runner) as found:
        found.obey(sessions.EPOCH, [sessions.order(Verb.START)])
        assert sessions.await_state(found, State.REJECTED).outcome == "room"


def test_a_stop_of_a_run_that_is_not_there_bars_it():
    runner = runners.Runner()
    with sessions.session_with(runner) as found:
        found.obey(sessions.EPOCH, [sessions.order(Verb.STOP)])
        sessions.await_state(found, State.GONE)
        assert runner.barred[sessions.TASK] == 1


def test_an_order_for_another_life_is_left_alone():
    runner = runners.Runner()
    with sessions.session_with(runner) as found:
        found.obey(sessions.EPOCH, [sessions.order(Verb.START, life=999)])
        time.sleep(0.2)
        assert not runner.started


def test_a_lease_ends_no_later_than_it_was_granted_on_a_slow_clock():
    runner = runners.Runner(clock_rate=0.98)
    with sessions.session_with(runner, lease_s=1.0) as found:
        granted_until = clock.now() + 1.0
        found.obey(sessions.EPOCH, [sessions.order(Verb.START)])
        sessions.await_state(found, State.RUNNING)
        row = fixtures.wait_until(
            lambda: (r := sessions.row(found)) and r.state == State.ENDED and r,
            5.0,
            "the lapse",
        )
        assert row.outcome == "lapsed"
        assert clock.now() > granted_until - 0.2
        left_ms = runner.lease_end_ms - runner.clock_ms
        assert clock.now() + left_ms / 980 <= granted_until + 0.05


load_tests = collecting.hook(__name__)
