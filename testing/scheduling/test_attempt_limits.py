"""Tasks of which as many runs failed as their queue allows."""

from bilberrypass.scheduling import jobs
from testing import collecting, fixtures
from testing.scheduling import clusters

STEP = jobs.Step(1, cpu_milli=100)
Verb = clusters.Verb


def _start(host):
    """Wait for one order to start, execute it, and return the run."""
    host.await_orders(1)
    (order,) = (o for o in host.execute_orders() if o.verb == Verb.START)
    return order.task, order.run


def _fail(host, key):
    number = host.end_run(key, "failed")
    fixtures.wait_until(lambda: host.report().noted >= number, 5.0, "the end's note")


def _assert_no_start(host):
    for _ in fixtures.polls(0.6):
        host.report()
    assert not [order for order in host.orders if order.verb == Verb.START]


def test_task_has_no_further_attempt_once_its_route_is_back():
    """Its last attempt failed while the queue was not configured (review/9)."""
    with clusters.running_cluster(max_attempts=2) as cluster:
        host, table = cluster.add_host("h1"), cluster.table
        cluster.submit(STEP)
        _fail(host, _start(host))
        key = _start(host)
        cluster.table = clusters.queues.RouteTable(table.config._replace(routes=()))
        _fail(host, key)
        _assert_no_start(host)
        cluster.table = table
        cluster.await_status("failed", host)
        _assert_no_start(host)


def test_task_has_no_further_attempt_once_its_queue_allows_fewer():
    with clusters.running_cluster(max_attempts=3) as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP)
        _fail(host, _start(host))
        key = _start(host)
        host.is_draining = True  # keeps the task waiting
        host.end_run(key, "failed")
        host.report()
        cluster.table = clusters.table(max_attempts=2)
        host.is_draining = False
        cluster.await_status("failed", host)
        _assert_no_start(host)


def test_next_leader_fails_a_job_without_attempts_left():
    """The earlier leader had no configuration when the last attempt failed."""
    with clusters.running_cluster(max_attempts=1) as cluster:
        host, table = cluster.add_host("h1"), cluster.table
        cluster.submit(STEP)
        key = _start(host)
        cluster.table = None
        _fail(host, key)
        cluster.elect_scheduler()
        cluster.table = table
        cluster.await_status("failed", host)
        _assert_no_start(host)


def test_failures_of_a_task_that_was_done_later_do_not_fail_its_job():
    with clusters.running_cluster(max_attempts=3) as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP, STEP._replace(after=(0,)))
        _fail(host, _start(host))
        key = _start(host)
        cluster.table = clusters.table(max_attempts=1)
        host.end_run(key, "done")
        (order,) = host.await_orders(1)
        assert order.task.endswith(".1.0")


def test_failures_of_lasting_tasks_have_no_limit_whatever_is_configured():
    with clusters.running_cluster(max_attempts=3) as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP._replace(is_service=True))
        for _ in range(3):
            _fail(host, _start(host))
        cluster.table = clusters.table(max_attempts=1)
        key = _start(host)
        assert key[1] == 4
        _fail(host, key)
        host.await_orders(1)


load_tests = collecting.hook(__name__)
