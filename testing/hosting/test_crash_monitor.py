"""What an agent knows of the runs that a crash of its runner took down."""

import concurrent.futures as futures
import time

from bilberrypass import errors
from bilberrypass.hosting import runner
from bilberrypass.platform import runner as runner_client
from bilberrypass.scheduling import messages
from testing import collecting, fixtures
from testing.hosting import sessions
from testing.standins import runhttp, runners

_LIFE, _NEXT_LIFE = 1_000, 2_000
State = messages.RunState
START = messages.Verb.START


def _order_start(current, **fields):
    current.execute_orders(sessions.EPOCH, [sessions.order(START, **fields)])


def _await_crash(current):
    return fixtures.wait_until(current.describe_crash, 5.0, "the crash")


def test_crash_lists_the_runs_that_had_begun_with_their_age():
    id = sessions.info().id
    with runhttp.RunnerProcess(id, _LIFE) as process:
        client = runner_client.Runner(id, _LIFE, process.address)
        with sessions.session_with(client, life=_LIFE) as current:
            _order_start(current)
            sessions.await_state(current, State.RUNNING)
            assert current.describe_crash() is None
            begun_ms = process.runner.clock_ms
            fixtures.wait_until(
                lambda: current._crash_monitor._clock_ms > begun_ms, 5.0, "an answer"
            )
            process.crash()
            crash = _await_crash(current)
            (lost,) = crash.runs
            assert (crash.life, lost.task, lost.run) == (_LIFE, sessions.TASK, 1)
            assert 0.0 < lost.min_age_s <= lost.age_s < 5.0


def test_start_that_a_dead_runner_refused_is_not_listed():
    found = runners.Runner()
    with sessions.session_with(found) as current:
        _order_start(current)
        sessions.await_state(current, State.RUNNING)
        found.has_left = True
        _await_crash(current)
        _order_start(current, task="b" * 16 + ".0.0.0")
        sessions.await_state(current, State.STARTING, task="b" * 16 + ".0.0.0")
        assert [run.task for run in current.describe_crash().runs] == [sessions.TASK]


def test_start_whose_connection_broke_is_listed():
    """The runner may crash before it answers the start that takes it down."""
    found = runners.Runner()

    def crash(*args):
        found.has_left = True
        raise runner.ConnectionClosed("reset")

    found.start = crash
    with sessions.session_with(found) as current:
        _order_start(current)
        assert [run.task for run in _await_crash(current).runs] == [sessions.TASK]


def test_start_that_a_hung_runner_never_listed_is_not_blamed():
    """Its job failed after three crashes, though no runner had begun it (review/6).

    The runner answers polls, and neither executes nor answers starts.
    """
    found = runners.Runner()

    def hang(*args):
        time.sleep(0.05)
        raise errors.Error(errors.Kind.ANSWER_LOST, "no answer")

    executed, found.start = found.start, hang
    with sessions.session_with(found) as current:
        _order_start(current)
        (run,) = fixtures.wait_until(current.table.live_runs, 2.0, "the run")
        fixtures.wait_until(lambda: run.was_unlisted, 3.0, "a list without the run")
        found.start = executed
        sessions.await_state(current, State.RUNNING)
        assert [run.key for run in current.table.started_runs()] == [run.key]
    found = runners.Runner()
    found.start = hang
    with sessions.session_with(found) as current:
        _order_start(current)
        (run,) = fixtures.wait_until(current.table.live_runs, 2.0, "the run")
        fixtures.wait_until(lambda: run.was_unlisted, 3.0, "a list without the run")
        found.has_left = True
        assert _await_crash(current).runs == []


def test_start_that_silenced_its_runner_is_blamed():
    """A runner that answers nothing after a start may have been taken down by it."""
    found = runners.Runner()

    def fall_silent(*args):
        found.is_silent = True
        raise errors.Error(errors.Kind.ANSWER_LOST, "no answer")

    found.start = fall_silent
    with sessions.session_with(found) as current:
        _order_start(current)
        for _ in fixtures.polls(1.5):
            assert current.describe_crash() is None
        found.has_left = True
        assert [run.task for run in _await_crash(current).runs] == [sessions.TASK]


def test_silent_runner_has_not_crashed():
    """A runner that is cut off, or whose host lost power, does not answer at all."""
    found = runners.Runner()
    with sessions.session_with(found) as current:
        _order_start(current)
        sessions.await_state(current, State.RUNNING)
        found.is_silent = True
        calls = fixtures.polls(1.0)
        assert not [1 for _ in calls if current.describe_crash()]


def test_runner_that_answers_again_has_not_crashed():
    found = runners.Runner()
    with sessions.session_with(found) as current:
        found.has_left = True
        _await_crash(current)
        found.has_left = False
        fixtures.wait_until(lambda: not current.describe_crash(), 5.0, "an answer")


def test_runner_that_exits_as_announced_has_not_crashed():
    found = runners.Runner()
    with sessions.session_with(found) as current:
        current.info = current.info._replace(is_draining=True)
        found.has_left = True
        fixtures.wait_until(
            lambda: current._crash_monitor.is_down, 5.0, "refused connections"
        )
        assert current.describe_crash() is None


def test_runner_that_crashes_before_it_was_to_leave_has_crashed():
    """A start that was under way when it began to drain took it down."""
    found = runners.Runner()
    with sessions.session_with(found) as current:
        _order_start(current)
        sessions.await_state(current, State.RUNNING)
        current.info = current.info._replace(is_draining=True, time_left_s=60.0)
        found.has_left = True
        assert [run.task for run in _await_crash(current).runs] == [sessions.TASK]


def test_crash_lists_runs_whose_lease_has_lapsed_since():
    """The evidence came only after the scheduler had requeued the runs."""
    found = runners.Runner()
    with sessions.session_with(found, lease_s=1.0) as current:
        _order_start(current)
        sessions.await_state(current, State.RUNNING)
        found.has_left = True
        assert sessions.await_state(current, State.GONE).outcome == "lapsed"
        assert [run.task for run in current.describe_crash().runs] == [sessions.TASK]


def test_closed_connection_is_told_from_a_lost_answer():
    id = sessions.info().id
    with runhttp.RunnerProcess(id, _LIFE) as process:
        client = runner_client.Runner(id, _LIFE, process.address)
        client.poll(0, None, 1, 0.0)
        with futures.ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(client.poll, 0, None, 1, 5.0)
            fixtures.wait_until(lambda: waiting.running(), 5.0, "the call")
            time.sleep(0.2)  # the request is sent
            process.crash()
            exc = waiting.exception(5.0)
        assert isinstance(exc, runner.ConnectionClosed), exc
        exc = fixtures.error_of(errors.Error, client.poll, 0, None, 1, 0.0)
        assert isinstance(exc, runner.NotListening), exc


load_tests = collecting.hook(__name__)
