"""Stops that a runner refuses, or that arrive while the agent has no session."""

import contextlib
import time

from bilberrypass import clock
from bilberrypass.connection import channels
from bilberrypass.hosting import agent
from bilberrypass.scheduling import messages
from testing import collecting, fixtures
from testing.hosting import sessions
from testing.standins import runners

_LEASE_S = 5.0
_STOP_S = 2.0
_KEY = sessions.TASK, 1
Verb = messages.Verb
State = messages.RunState


class _RefusingRunner(runners.Runner):
    """Refuses stops for a reason while it is set."""

    def __init__(self, reason):
        super().__init__()
        self.reason = reason

    def _stop(self, task, run, epoch):
        return self.reason or super()._stop(task, run, epoch)


def _run_task(runner):
    runner.lease_end_ms = 60_000
    runner.running[_KEY] = ""


def _await_stop(runner):
    fixtures.wait_until(lambda: not runner.running, _STOP_S, "the stop")
    assert runner.ended[-1].outcome == "stopped", runner.ended


def test_refused_stop_is_repeated():
    for reason in ("busy", "fence", "late", "invalid"):
        runner = _RefusingRunner(reason)
        _run_task(runner)
        with sessions.session_with(runner) as current:
            sessions.await_state(current, State.RUNNING)
            current.execute_orders(sessions.EPOCH, [sessions.order(Verb.STOP)])
            for _ in fixtures.polls(0.5):
                assert sessions.row(current).state == State.STOPPING
            runner.reason = ""
            _await_stop(runner)


def test_stop_of_an_earlier_epoch_is_repeated_with_the_next_one():
    runner = runners.Runner()
    _run_task(runner)
    with sessions.session_with(runner) as current:
        sessions.await_state(current, State.RUNNING)
        runner.epoch = sessions.EPOCH + 1
        current.execute_orders(sessions.EPOCH, [sessions.order(Verb.STOP)])
        time.sleep(0.5)
        assert runner.running
        current.grant_lease(sessions.EPOCH + 1, clock.now() + _LEASE_S)
        _await_stop(runner)


class _Host(agent.LeaderLocator, agent.Connector):
    """A host whose agent can start anew beside its runner, and its scheduler."""

    def __init__(self, runner):
        self.runner = runner
        self.reports: list[messages.Report] = []
        self._sequence = 0
        self._server = channels.Server(
            "127.0.0.1:0", {messages.REPORT: self._serve_report}, threads=4
        )
        self._server.start()
        self._start_agent()

    def _start_agent(self):
        identity = agent.Identity("h1", "z", f"127.0.0.1:{fixtures.free_port()}")
        self.agent = agent.Agent(identity, self, self, _LEASE_S)
        self._peer = channels.Peer(identity.peer_address)
        self.agent.start()

    def _serve_report(self, report):
        self.reports.append(report)
        return messages.ReportResponse(True, sessions.EPOCH, _LEASE_S)

    def find(self):
        return self._server.address, sessions.EPOCH

    def connect(self, id, life, address):
        return self.runner

    def report_runner(self, **fields):
        """Let the runner report to the agent."""
        self._sequence += 1
        info = sessions.info(self.runner.life)._replace(**fields)
        self.agent.handle_runner_report(info, "a:1", self._sequence)

    def deliver(self, verb, run=1):
        """Deliver an order to the agent, and return whether it was taken."""
        address = self._server.address
        req = messages.Orders(sessions.EPOCH, address, [sessions.order(verb, run)])
        return self._peer.call(messages.ORDERS, req, time.monotonic() + 2.0).is_taken

    def await_row(self, state, run=1):
        """Wait for a new report whose row of a run has this state."""
        key = sessions.TASK, run

        def is_found():
            rows = {(r.task, r.run): r for r in self.reports[-1].runs}
            return key in rows and rows[key].state == state

        self.reports.clear()
        fixtures.wait_until(lambda: self.reports, 5.0, "a report")
        fixtures.wait_until(is_found, 5.0, f"a row in {state!r}")

    def restart_agent(self):
        self._stop_agent()
        self.reports.clear()
        self._start_agent()

    def _stop_agent(self):
        self.agent.stop()
        if self.agent._session is not None:
            self.agent._session.end("the agent stops")
        self._peer.close()

    def stop(self):
        self._stop_agent()
        self._server.stop(0)


@contextlib.contextmanager
def _host_with_running_task():
    runner = runners.Runner()
    host = _Host(runner)
    try:
        host.report_runner()
        host.deliver(Verb.START)
        host.await_row(State.RUNNING)
        yield host
    finally:
        host.stop()


def test_stop_that_arrives_before_the_runner_of_a_new_agent_is_refused():
    """The scheduler repeats a refused stop, but not one that was taken."""
    with _host_with_running_task() as host:
        host.restart_agent()
        assert not host.deliver(Verb.STOP)
        host.report_runner()
        assert host.deliver(Verb.STOP)
        _await_stop(host.runner)


def test_orders_for_a_runner_that_has_left_are_answered_by_a_lost_run():
    """The scheduler would repeat a start that is in no report until the next life."""
    with _host_with_running_task() as host:
        host.agent._session.end("left")
        assert host.deliver(Verb.START, run=2)
        host.await_row(State.GONE, run=2)


def test_stop_reaches_a_runner_that_lives_on_after_its_exit():
    with _host_with_running_task() as host:
        host.report_runner(is_draining=True)
        host.agent.handle_runner_exit("i-1")
        for _ in range(3):
            host.await_row(State.RUNNING)
        assert host.deliver(Verb.STOP)
        _await_stop(host.runner)


load_tests = collecting.hook(__name__)
