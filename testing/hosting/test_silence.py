"""A runner that answers nothing: its runs are given up when its lease has ended."""

import threading
import time

from bilberrypass import clock
from bilberrypass.scheduling import messages
from testing import collecting, fixtures
from testing.hosting import sessions
from testing.standins import runners

Verb = messages.Verb
State = messages.RunState


def _keep_granting(found, lease_s, stopping):
    while not stopping.wait(0.1):
        found.grant(sessions.EPOCH, clock.now() + lease_s)


def test_runs_of_a_silent_runner_are_given_up_though_leases_are_granted_on():
    # Seen in a hunt of nvctg-sched (mix, seed 24540106056): each call without an
    # answer moved the end of the lease, so services of a lost runner stood still.
    runner = runners.Runner()
    stopping = threading.Event()
    with sessions.session_with(runner, lease_s=1.0) as found:
        thread = threading.Thread(target=_keep_granting, args=(found, 1.0, stopping))
        thread.start()
        try:
            found.obey(sessions.EPOCH, [sessions.order(Verb.START)])
            sessions.await_state(found, State.RUNNING)
            runner.is_silent = True
            began = clock.now()
            row = sessions.await_state(found, State.GONE)
            assert row.outcome == "lapsed"
            assert clock.now() - began > 0.8
        finally:
            stopping.set()
            thread.join()


def test_no_run_is_given_up_before_the_lease_of_a_silent_runner_has_ended():
    runner = runners.Runner()
    with sessions.session_with(runner, lease_s=3.0) as found:
        found.obey(sessions.EPOCH, [sessions.order(Verb.START)])
        sessions.await_state(found, State.RUNNING)
        runner.is_silent = True
        time.sleep(1.5)
        assert sessions.row(found).state == State.RUNNING


def test_a_runner_that_answers_again_keeps_its_runs():
    runner = runners.Runner()
    with sessions.session_with(runner, lease_s=4.0) as found:
        found.obey(sessions.EPOCH, [sessions.order(Verb.START)])
        sessions.await_state(found, State.RUNNING)
        runner.is_silent = True
        time.sleep(0.8)
        runner.is_silent = False
        found.grant(sessions.EPOCH, clock.now() + 4.0)
        before = runner.lease_end_ms
        fixtures.wait_until(lambda: runner.lease_end_ms > before, 3.0, "a renewal")
        assert sessions.row(found).state == State.RUNNING


load_tests = collecting.hook(__name__)
