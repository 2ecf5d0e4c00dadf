"""Stops beside starts that get no answer or wait for a lease."""

import contextlib
import threading
import time

from bilberrypass import clock, errors
from bilberrypass.scheduling import messages
from testing import collecting, fixtures
from testing.hosting import sessions
from testing.standins import runners

_STOP_S = 2.0
_STARTS = 20  # more than the threads that execute them
_START_TIMEOUT_S = 0.05
Verb = messages.Verb
State = messages.RunState


class _SilentStartsRunner(runners.Runner):
    """Answers no start."""

    def start(self, *args):
        time.sleep(_START_TIMEOUT_S)
        raise errors.Error(errors.Kind.ANSWER_LOST, "no answer")


def _task(number):
    return f"{number:016x}.0.0.0"


def _order_starts(current, count):
    orders = [
        sessions.order(Verb.START, task=_task(n), is_repeated=True)
        for n in range(count)
    ]
    current.execute_orders(sessions.EPOCH, orders)


def _order_stop(current, task):
    current.execute_orders(sessions.EPOCH, [sessions.order(Verb.STOP, task=task)])


@contextlib.contextmanager
def _session_with_running_task(runner, lease_s):
    runner.lease_end_ms = 60_000
    runner.running[sessions.TASK, 1] = ""
    with sessions.session_with(runner, lease_s) as current:
        sessions.await_state(current, State.RUNNING)
        yield current


def _await_bar(runner, task):
    fixtures.wait_until(lambda: runner.highest_ended.get(task), _STOP_S, "the stop")


def test_stop_does_not_wait_for_starts_that_get_no_answer():
    runner = _SilentStartsRunner()
    with _session_with_running_task(runner, lease_s=20.0) as current:
        _order_starts(current, _STARTS)
        _order_stop(current, sessions.TASK)
        _await_bar(runner, sessions.TASK)


def test_stop_does_not_wait_for_starts_without_a_lease():
    runner = runners.Runner()
    with _session_with_running_task(runner, lease_s=0.5) as current:
        expires_at = clock.now() + 0.5
        fixtures.wait_until(lambda: clock.now() > expires_at, 2.0, "the lease's end")
        _order_starts(current, _STARTS)
        _order_stop(current, sessions.TASK)
        _await_bar(runner, sessions.TASK)
        assert not runner.started, runner.started


def test_stop_of_a_start_that_waits_for_others_bars_its_run():
    """The runner may still carry out the start of an earlier agent."""
    runner = _SilentStartsRunner()
    with sessions.session_with(runner, lease_s=20.0) as current:
        _order_starts(current, _STARTS)
        _order_stop(current, _task(_STARTS - 1))
        _await_bar(runner, _task(_STARTS - 1))
        sessions.await_state(current, State.GONE, task=_task(_STARTS - 1))


class _SilentStopsRunner(runners.Runner):
    """Answers no stop until the test allows it."""

    def __init__(self):
        super().__init__()
        self.stopped: list[str] = []
        self.allowed = threading.Event()

    def stop(self, task, *args):
        self.stopped.append(task)
        self.allowed.wait(5.0)
        return super().stop(task, *args)


def test_stray_keeps_one_thread_however_many_snapshots_list_it():
    """Each end of a run brings a snapshot, and other stops would wait."""
    runner = _SilentStopsRunner()
    stray = _task(0)
    with _session_with_running_task(runner, lease_s=20.0) as current:
        current.table.apply_order(sessions.order(Verb.START, task=stray))
        current.table.mark_all_gone("lapsed")
        runner.running[stray, 1] = ""
        fixtures.wait_until(lambda: stray in runner.stopped, _STOP_S, "the stop")
        for number in range(1, 6):
            runner.running[_task(number), 1] = ""
            runner.end_run(_task(number), 1)
            sessions.await_state(current, State.ENDED, task=_task(number))
        assert runner.stopped.count(stray) == 1, runner.stopped
        runner.allowed.set()
        sessions.await_state(current, State.ENDED, task=stray)


load_tests = collecting.hook(__name__)
