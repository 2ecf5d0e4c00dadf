"""Runners that live on after an announced exit, and stops that are not sent."""

import time

from bilberrypass import errors
from bilberrypass.platform import runner as runner_client
from bilberrypass.scheduling import messages
from testing import collecting, fixtures
from testing.hosting import sessions
from testing.standins import runhttp, runners

_LIFE = 1_000
_FREEZE_S = 3.5
_STOP_S = 3.0
State = messages.RunState
Verb = messages.Verb


def test_frozen_runner_that_announced_its_exit_does_not_count_as_left():
    id = sessions.info().id
    with runhttp.RunnerProcess(id, _LIFE) as process:
        client = runner_client.Runner(id, _LIFE, process.address)
        with sessions.session_with(client, life=_LIFE) as current:
            current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
            sessions.await_state(current, State.RUNNING)
            current.await_exit()
            poll, frozen_until = process.runner.poll, time.monotonic() + _FREEZE_S

            def poll_frozen(*args):
                time.sleep(max(0.0, frozen_until - time.monotonic()))
                return poll(*args)

            process.runner.poll = poll_frozen
            for _ in fixtures.polls(_FREEZE_S):
                row = sessions.row(current)
                assert row.state == State.RUNNING or not process.runner.running, row


def test_busy_runner_that_announced_its_exit_does_not_count_as_left():
    id = sessions.info().id
    with runhttp.RunnerProcess(id, _LIFE) as process:
        client = runner_client.Runner(id, _LIFE, process.address)
        with sessions.session_with(client, life=_LIFE) as current:
            current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
            sessions.await_state(current, State.RUNNING)
            poll, failed = process.runner.poll, []

            def poll_busy(*args):
                if len(failed) < 3:
                    failed.append(args)
                    raise errors.Error(errors.Kind.ENDPOINT_UNREACHABLE, "busy")
                return poll(*args)

            process.runner.poll = poll_busy
            process._link.cut()  # the open connections; new ones are accepted
            current.await_exit()
            for _ in fixtures.polls(2.0):
                row = sessions.row(current)
                assert row.state == State.RUNNING or not process.runner.running, row


def test_stop_is_repeated_after_an_unexpected_error():
    runner = runners.Runner()
    stop, calls = runner.stop, []

    def fail_once(*args):
        calls.append(args)
        if len(calls) == 1:
            raise ValueError("unexpected")
        return stop(*args)

    runner.stop = fail_once
    with sessions.session_with(runner) as current:
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.START)])
        sessions.await_state(current, State.RUNNING)
        order = sessions.order(Verb.STOP)
        for _ in fixtures.polls(_STOP_S):
            current.execute_orders(sessions.EPOCH, [order])
            order = order._replace(is_repeated=True)
            time.sleep(0.5)
        assert not runner.running, (sessions.row(current), len(calls))


def test_stop_does_not_wait_for_repeated_stops_of_other_runs():
    runner = runners.Runner()
    stop, blocked = runner.stop, set()

    def stop_slowly(task, run, *args):
        if task in blocked:
            time.sleep(0.7)
            raise errors.Error(errors.Kind.ANSWER_LOST, "no answer")
        return stop(task, run, *args)

    runner.stop = stop_slowly
    tasks = ["a" * 16 + f".0.0.{index}" for index in range(41)]
    with sessions.session_with(runner, lease_s=60.0) as current:
        starts = [sessions.order(Verb.START, task=task) for task in tasks]
        current.execute_orders(sessions.EPOCH, starts)
        for task in tasks:
            sessions.await_state(current, State.RUNNING, task=task)
        # An answered stop of 40 runs that the runner goes on to list.
        runner._end = lambda key, outcome: None
        current.execute_orders(
            sessions.EPOCH,
            [sessions.order(Verb.STOP, task=task) for task in tasks[:40]],
        )
        time.sleep(0.5)
        blocked.update(tasks[:40])
        time.sleep(8.0)
        del runner._end
        current.execute_orders(
            sessions.EPOCH, [sessions.order(Verb.STOP, task=tasks[40])]
        )
        fixtures.wait_until(
            lambda: (tasks[40], 1) not in runner.running, _STOP_S, "the stop"
        )


load_tests = collecting.hook(__name__)
