"""A scheduler, an agent and a runner as one system, for tests of restarts."""

import contextlib
import time

from bilberrypass.connection import channels
from bilberrypass.hosting import agent
from bilberrypass.platform import programs
from bilberrypass.scheduling import messages
from testing import fixtures
from testing.hosting import sessions
from testing.scheduling import clusters
from testing.standins import runhttp

LIFE = 1_000


class _LeaderLocator(agent.LeaderLocator):
    def __init__(self, address, epoch):
        self._leader = address, epoch

    def find(self):
        return self._leader


class Host:
    """A host with an agent and a runner; the test delivers the orders for it."""

    def __init__(self, cluster, process):
        self.orders: list[messages.Order] = []
        self.reports: list[messages.Report] = []
        self.responses: list[messages.ReportResponse] = []
        self.process = process
        self._cluster = cluster
        self._server = channels.Server(
            "127.0.0.1:0", {messages.REPORT: self._serve_report}, threads=4
        )
        self._identity = agent.Identity("h1", "z", f"127.0.0.1:{fixtures.free_port()}")
        self._agent = self._create_agent()
        self._peer = channels.Peer(self._identity.peer_address)
        self._server.start()
        self._agent.start()

    def _create_agent(self):
        return agent.Agent(
            self._identity,
            _LeaderLocator(self._server.address, self._cluster.epoch),
            programs._RunnerConnector(),
            lease_s=1.0,
        )

    def _serve_report(self, report):
        self.reports.append(report)
        self.responses.append(self._cluster.scheduler.report(report))
        return self.responses[-1]

    def restart_agent(self, clock_step_s, first_life=LIFE):
        """Start the next agent after a step of the time of day; return its number.

        The first report that it gets is of ``first_life``.
        """
        self._stop_agent()
        earlier, self._agent = self._agent, self._create_agent()
        step = int(clock_step_s * 1_000_000)
        self._agent._incarnation = earlier._incarnation + step
        self.reports.clear()
        self.responses.clear()
        self._agent.start()
        self.begin_life(first_life)
        return self._agent._incarnation

    def begin_life(self, life):
        """Let the runner report its life to the agent."""
        self.report_runner(sessions.info(life), 1)

    def report_runner(self, info, sequence):
        """Let the runner report what it says of itself to the agent."""
        self._agent.handle_runner_report(info, self.process.address, sequence)

    def await_orders(self):
        """Wait for orders of the scheduler, and return them."""
        fixtures.wait_until(lambda: self.orders, 5.0, "an order")
        return list(self.orders)

    def deliver(self, orders):
        """Deliver orders to the agent."""
        req = messages.Orders(self._cluster.epoch, self._server.address, orders)
        self._peer.call(messages.ORDERS, req, time.monotonic() + 2.0)

    @property
    def session(self):
        """The agent's session with the current life of the runner."""
        return self._agent._session

    def rows(self):
        """Return the rows of the table from which the agent reports."""
        return self._agent._session.table.rows()

    def await_report(self, life):
        """Wait for the first report of a life, and return it."""

        def found():
            return [r for r in self.reports if r.runner and r.runner.life == life]

        return fixtures.wait_until(found, 5.0, f"a report of life {life}")[0]

    def _stop_agent(self):
        self._agent.stop()
        if self._agent._session is not None:
            self._agent._session.end("the test is over")

    def stop(self):
        self._stop_agent()
        self._peer.close()
        self._server.stop(0)


@contextlib.contextmanager
def running_system():
    """Run a scheduler, an agent and a runner that renews its lease."""
    with (
        clusters.running_cluster() as cluster,
        runhttp.RunnerProcess(sessions.info().id, LIFE) as process,
    ):
        host = cluster.hosts["h1"] = Host(cluster, process)
        try:
            host.begin_life(LIFE)
            fixtures.wait_until(lambda: process.runner.lease_end_ms, 5.0, "a lease")
            yield cluster, host, process
        finally:
            host.stop()
