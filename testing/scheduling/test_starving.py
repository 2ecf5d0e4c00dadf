"""Jobs that no host accepts, and hosts that have not reported."""

import time

from bilberrypass.scheduling import jobs, messages
from testing import collecting, fixtures
from testing.scheduling import clusters

SERVICE = jobs.Step(
    1, cpu_milli=13_000, is_service=True, image="s", latency_target_ms=100
)
FILLERS = jobs.Step(4, cpu_milli=7_000, is_filler=True, image="f")
PLAIN = jobs.Step(8, cpu_milli=1_000)
_OVER_TARGET_MS = 130


def _run_slow_service(cluster, host):
    """Run a service with a latency over its target, which rules out fillers."""
    cluster.submit(SERVICE, id="5" * 16)
    host.await_orders(1)
    host.execute_orders()
    (key,) = host.rows
    host.rows[key] = messages.RunRow(
        *key, int(clusters.State.RUNNING), figure=_OVER_TARGET_MS
    )
    host.report()
    return key


def test_starved_job_beside_a_slow_service_gets_one_run():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        _run_slow_service(cluster, host)
        cluster.submit(FILLERS, id="f" * 16)
        orders = host.await_orders(1)
        assert [order.task for order in orders] == ["f" * 16 + ".0.0.0"]
        host.execute_orders()
        for _ in fixtures.polls(2.0):
            host.report()
            assert not host.orders, "a second task beside the slow service"


def test_starved_job_waits_while_most_processors_are_reserved():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1", cpu=20_000)
        _run_slow_service(cluster, host)
        cluster.submit(FILLERS, id="f" * 16)
        for _ in fixtures.polls(2.5):
            host.report()
            assert not host.orders, "a task beside the slow service"


def _fill_two_hosts(cluster):
    """Order a job of eight tasks, four on each of two hosts."""
    first, second = cluster.add_host("h1"), cluster.add_host("h2")
    cluster.submit(PLAIN)
    first.await_orders(4)
    second.await_orders(4)
    return first, second


def test_new_scheduler_places_nothing_before_the_first_reports():
    with clusters.running_cluster() as cluster:
        first, second = _fill_two_hosts(cluster)
        cluster.elect_scheduler()
        for host in (first, second):
            host.orders.clear()
            host.life += 1
        first.agent = second.agent = 2
        first.report()
        time.sleep(0.4)  # longer than the retry delay after a lost run
        assert not first.orders
        second.report()
        assert len(first.await_orders(4)) == len(second.await_orders(4)) == 4


def test_host_that_never_reports_delays_placement_only_briefly():
    with clusters.running_cluster() as cluster:
        first, second = _fill_two_hosts(cluster)
        cluster.elect_scheduler()
        first.orders.clear()
        first.agent, first.life = 2, first.life + 1
        assert len(first.await_orders(4)) == 4


load_tests = collecting.hook(__name__)
