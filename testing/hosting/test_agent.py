"""The agent and the reports of its runner: restarts, late reports, clock steps."""

import contextlib

from bilberrypass.connection import channels
from bilberrypass.hosting import agent
from bilberrypass.scheduling import messages
from testing import collecting, events, fixtures
from testing.hosting import sessions
from testing.standins import runners


class _LeaderLocator(agent.LeaderLocator):
    def find(self):
        return None


class _Connector(agent.Connector):
    def __init__(self):
        self.runners = {}

    def connect(self, id, life, address):
        return self.runners[address]


@contextlib.contextmanager
def _agent():
    connector = _Connector()
    identity = agent.Identity("h1", "z", f"127.0.0.1:{fixtures.free_port()}")
    running_agent = agent.Agent(identity, _LeaderLocator(), connector, lease_s=2.0)
    running_agent.start()
    try:
        yield running_agent, connector.runners
    finally:
        running_agent.stop()
        if running_agent._session is not None:
            running_agent._session.end("the test is over")


def _report(running_agent, life, sequence, address="a:1"):
    running_agent.handle_runner_report(sessions.info(life), address, sequence)


def test_new_runner_life_marks_old_runs_gone():
    with _agent() as (running_agent, runners_by_address):
        runners_by_address["a:1"] = runners.Runner(1_000)
        _report(running_agent, 1_000, 1)
        old = running_agent._session
        old.table.apply_order(sessions.order(0))
        runners_by_address["a:1"] = runners.Runner(2_000)
        _report(running_agent, 2_000, 1)
        assert running_agent._session is not old
        assert old.table.rows()[0].state == sessions.State.GONE


def test_report_that_contradicts_the_others_is_ignored_and_recorded():
    with _agent() as (running_agent, runners_by_address), events.recorded() as found:
        runners_by_address["a:1"] = runners.Runner(1_000)
        _report(running_agent, 1_000, 1)
        odd = sessions.info(1_000)._replace(service="ghost")
        running_agent.handle_runner_report(odd, "a:1", 2)
        assert running_agent._session.info.service != "ghost"
        (line,) = found.named("runner.report_ignored")
        assert "contradicts" in line["why"]


def test_late_report_of_old_life_is_ignored():
    with _agent() as (running_agent, runners_by_address):
        runners_by_address["a:1"] = runners.Runner(2_000)
        _report(running_agent, 2_000, 5)
        session = running_agent._session
        _report(running_agent, 1_000, 9)
        assert running_agent._session is session


def test_new_life_after_clock_step_back_is_accepted():
    with _agent() as (running_agent, runners_by_address):
        runners_by_address["a:1"] = runners.Runner(2_000)
        _report(running_agent, 2_000, 5)
        first = running_agent._session
        runners_by_address["a:1"] = runners.Runner(1_500)
        _report(running_agent, 1_500, 1)
        assert running_agent._session is not first
        assert running_agent._session.info.life == 1_500


def test_late_report_does_not_end_the_session_of_a_silent_runner():
    with _agent() as (running_agent, runners_by_address):
        runners_by_address["a:1"] = runners.Runner(2_000)
        _report(running_agent, 2_000, 5)
        session = running_agent._session
        session.table.apply_order(sessions.order(0, life=2_000))
        runners_by_address["a:1"].is_silent = True
        _report(running_agent, 1_000, 9)
        assert running_agent._session is session
        assert session.table.rows()[0].state != sessions.State.GONE


def test_report_without_a_life_does_not_end_the_current_life():
    with _agent() as (running_agent, runners_by_address):
        runners_by_address["a:1"] = runners.Runner(2_000)
        _report(running_agent, 2_000, 5)
        session = running_agent._session
        _report(running_agent, 0, 9)
        assert running_agent._session is session


def test_out_of_order_report_is_ignored():
    with _agent() as (running_agent, runners_by_address):
        runners_by_address["a:1"] = runners.Runner(1_000)
        _report(running_agent, 1_000, 5)
        running_agent.handle_runner_report(
            sessions.info(1_000)._replace(is_draining=True), "a:1", 4
        )
        assert not running_agent._session.info.is_draining
        running_agent.handle_runner_report(
            sessions.info(1_000)._replace(is_draining=True), "a:1", 6
        )
        assert running_agent._session.info.is_draining


def test_exited_runner_has_its_runs_reported_as_gone():
    with _agent() as (running_agent, runners_by_address):
        runners_by_address["a:1"] = runners.Runner(1_000)
        _report(running_agent, 1_000, 1)
        running_agent._session.table.apply_order(sessions.order(0))
        running_agent.handle_runner_exit("i-other")
        assert not running_agent._session.info.is_draining
        running_agent.handle_runner_report(
            sessions.info(1_000)._replace(is_draining=True), "a:1", 2
        )
        running_agent.handle_runner_exit("i-1")
        assert running_agent._session.info.is_draining
        runners_by_address["a:1"].has_left = True
        rows = running_agent._session.table.rows
        fixtures.wait_until(
            lambda: rows()[0].state == sessions.State.GONE, 1.0, "the run's loss"
        )


def test_late_exit_of_an_earlier_life_does_not_mark_runs_of_the_next_one_gone():
    with _agent() as (running_agent, runners_by_address):
        runners_by_address["a:1"] = runners.Runner(2_000)
        running_agent.handle_runner_report(
            sessions.info(1_000)._replace(is_draining=True), "a:1", 7
        )
        _report(running_agent, 2_000, 1)
        session = running_agent._session
        session.table.apply_order(sessions.order(0, life=2_000))
        running_agent.handle_runner_exit("i-1")
        assert not session.info.is_draining
        assert session.table.rows()[0].state != sessions.State.GONE


def test_late_exit_of_an_earlier_life_does_not_end_a_draining_life():
    with _agent() as (running_agent, runners_by_address):
        runners_by_address["a:1"] = runners.Runner(2_000)
        draining = sessions.info(2_000)._replace(is_draining=True)
        running_agent.handle_runner_report(draining, "a:1", 1)
        session = running_agent._session
        session.table.apply_order(sessions.order(0, life=2_000))
        running_agent.handle_runner_exit("i-1")
        for _ in fixtures.polls(0.5):
            assert session.table.rows()[0].state != sessions.State.GONE


def test_epoch_does_not_fall_back_to_that_of_a_response_that_it_overtook():
    earlier, later = sessions.EPOCH, sessions.EPOCH + 1
    response = messages.ReportResponse(True, earlier, 2.0)
    server = channels.Server(
        "127.0.0.1:0", {messages.REPORT: lambda report: response}, threads=4
    )
    server.start()
    try:
        with _agent() as (running_agent, _):
            record = running_agent._scheduler_calls.worked

            def worked():
                running_agent._set_scheduler(server.address, later)
                record()

            running_agent._scheduler_calls.worked = worked
            running_agent._set_scheduler(server.address, earlier)
            fixtures.wait_until(lambda: running_agent._epoch == later, 5.0, "the epoch")
            for _ in fixtures.polls(0.5):
                assert running_agent._epoch == later
    finally:
        server.stop(0)


def test_late_report_of_an_earlier_life_is_ignored_after_a_clock_step_back():
    with _agent() as (running_agent, runners_by_address):
        runners_by_address["a:1"] = runners.Runner(2_000)
        _report(running_agent, 2_000, 5)
        runners_by_address["a:1"] = runners.Runner(1_500)
        _report(running_agent, 1_500, 1)
        session = running_agent._session
        assert session.info.life == 1_500
        session.table.apply_order(sessions.order(0, life=1_500))
        _report(running_agent, 2_000, 6)
        assert running_agent._session is session
        assert session.table.rows()[0].state != sessions.State.GONE


def test_orders_that_are_not_taken_are_recorded_with_the_reason():
    """Guards against a stop that an agent refuses without saying why."""
    order = sessions.order(messages.Verb.STOP)
    req = messages.Orders(sessions.EPOCH, "127.0.0.1:1", [order])
    with events.recorded() as found, _agent() as (running_agent, runners_by_address):
        serve = running_agent._serve_orders
        assert not serve(req).is_taken
        runners_by_address["a:1"] = runners.Runner(1_000)
        _report(running_agent, 1_000, 1)
        own = running_agent._incarnation
        running_agent._resumed_sequence = 5
        assert not serve(req._replace(agent=own - 1, sequence=9)).is_taken
        assert not serve(req._replace(agent=own, sequence=4)).is_taken
        assert not serve(req._replace(epoch=sessions.EPOCH - 1)).is_taken
        assert serve(req._replace(agent=own, sequence=5)).is_taken
        lines = found.named("orders.not_taken")
        assert [line["why"] for line in lines] == [
            "no runner has reported",
            "issued to another start of the agent",
            "issued before the end of a grant gap",
            "a scheduler with a higher epoch is known",
        ]
        assert lines[3] == {
            "scheduler": "127.0.0.1:1",
            "epoch": sessions.EPOCH - 1,
            "highest_epoch": sessions.EPOCH,
            "agent": 0,
            "sequence": 0,
            "orders": 1,
            "stops": [f"{sessions.TASK}/1"],
            "why": "a scheduler with a higher epoch is known",
        }


def test_agent_follows_the_leader_that_a_process_it_reports_to_names():
    """The store may turn the agent away, and the leader that it had."""

    def deposed(req):
        return messages.ReportResponse(False, 9, leader=second.address)

    reports = []

    def leading(req):
        reports.append(req)
        return messages.ReportResponse(True, 9, lease_s=1.0)

    with _agent() as (running_agent, _):
        first = channels.Server("127.0.0.1:0", {messages.REPORT: deposed}, threads=2)
        second = channels.Server("127.0.0.1:0", {messages.REPORT: leading}, threads=2)
        for server in (first, second):
            server.start()
        try:
            running_agent._set_scheduler(first.address, 8)
            fixtures.wait_until(lambda: reports, 3.0, "a report to the leader")
        finally:
            for server in (first, second):
                server.stop(0)


load_tests = collecting.hook(__name__)
