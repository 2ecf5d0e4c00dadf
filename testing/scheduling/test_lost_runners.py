"""Hosts whose agent restarts while their runner does not come back."""

from bilberrypass.scheduling import jobs
from testing import collecting, events, fixtures
from testing.scheduling import clusters


def _restart_agent(host):
    """Restart a host's agent; its runner has not reported to the new one."""
    host.agent, host.sequence, host.has_runner = host.agent + 1, 0, False
    host.rows = {}


def test_runs_of_a_runner_that_is_gone_are_not_held_by_its_restarted_agent():
    with clusters.running_cluster() as cluster, events.recorded() as found:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        host.report()
        _restart_agent(host)

        def lost():
            host.report()
            return found.named("run.lost")

        line = fixtures.wait_until(lost, 5.0, "the lost run")[0]
        assert (line["task"], line["why"]) == (order.task, "the lease lapsed"), line


def test_no_run_is_sent_to_an_agent_that_does_not_know_its_runner():
    with clusters.running_cluster() as cluster:
        host, other = cluster.add_host("h1"), cluster.add_host("h2", cpu=1_000)
        _restart_agent(host)
        host.report()
        cluster.submit(jobs.Step(2, cpu_milli=100))
        other.await_orders(2)
        assert not host.orders, host.orders


def test_restarted_agent_is_used_once_its_runner_reports():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        _restart_agent(host)
        host.report()
        host.has_runner = True
        cluster.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)


load_tests = collecting.hook(__name__)
