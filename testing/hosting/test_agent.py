"""An agent and its runner's reports: restarts, late reports, clocks that step."""

import contextlib

from bilberrypass.hosting import agent
from testing import collecting, fixtures
from testing.hosting import sessions
from testing.standins import runners


class _Leadership(agent.Leadership):
    def find(self):
        return None


class _Connector(agent.Connector):
    def __init__(self):
        self.runners = {}

    def connect(self, id, address):
        return self.runners[address]


@contextlib.contextmanager
def _agent():
    connector = _Connector()
    identity = agent.Identity("h1", "z", f"127.0.0.1:{fixtures.free_port()}")
    found = agent.Agent(identity, _Leadership(), connector, lease_s=2.0)
    found.start()
    try:
        yield found, connector.runners
    finally:
        found.stop()
        if found._session is not None:
            found._session.end("the test is over")


def _hear(found, life, sequence, address="a:1"):
    found.hear(sessions.info(life), address, sequence)


def test_a_new_life_ends_what_ran_in_the_old():
    with _agent() as (found, known):
        known["a:1"] = runners.Runner(1_000)
        _hear(found, 1_000, 1)
        old = found._session
        old.table.take(sessions.order(0))
        _hear(found, 2_000, 1)
        assert found._session is not old
        assert old.table.rows()[0].state == sessions.State.GONE


def test_a_late_report_of_an_old_life_changes_nothing():
    with _agent() as (found, known):
        known["a:1"] = runners.Runner(2_000)
        _hear(found, 2_000, 5)
        session = found._session
        _hear(found, 1_000, 9)
        assert found._session is session


def test_a_life_after_a_clock_stepped_back_is_taken_up():
    with _agent() as (found, known):
        known["a:1"] = runners.Runner(2_000)
        _hear(found, 2_000, 5)
        first = found._session
        first._answered_at -= 5.0
        _hear(found, 1_500, 1)
        assert found._session is not first
        assert found._session.info.life == 1_500


def test_a_report_that_was_overtaken_is_left_out():
    with _agent() as (found, known):
        known["a:1"] = runners.Runner(1_000)
        _hear(found, 1_000, 5)
        found.hear(sessions.info(1_000)._replace(is_draining=True), "a:1", 4)
        assert not found._session.info.is_draining
        found.hear(sessions.info(1_000)._replace(is_draining=True), "a:1", 6)
        assert found._session.info.is_draining


def test_a_runner_that_says_it_ends_leaves_its_rows():
    with _agent() as (found, known):
        known["a:1"] = runners.Runner(1_000)
        _hear(found, 1_000, 1)
        found._session.table.take(sessions.order(0))
        found.forget("i-other")
        assert not found._session.info.is_draining
        found.forget("i-1")
        assert found._session.info.is_draining
        assert found._session.table.rows()[0].state == sessions.State.GONE


load_tests = collecting.hook(__name__)
