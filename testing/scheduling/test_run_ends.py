"""Ends of runs: stored first, then noted at the host, and counted once."""

from bilberrypass.scheduling import jobs
from testing import collecting, fixtures
from testing.scheduling import clusters


def test_end_is_not_settled_before_it_is_stored():
    """An end was noted although the store never had it (nvctg-sched trouble-1).

    A second report arrived while the write of the end was in progress.
    """
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        cluster.store.hold_commits = 1_000_000
        number = host.end_run((order.task, order.run), "done")
        for _ in range(3):
            response = host.report()
            assert response.noted < number, response
            assert not response.settled, response


def test_finished_task_is_not_restarted_by_the_next_scheduler():
    """The end was reported to a scheduler that lost leadership before storing it.

    The agent must report the end to the next scheduler too.
    """
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        cluster.store.hold_commits = 1_000_000
        host.end_run((order.task, order.run), "done")
        for _ in range(3):
            host.report()
        cluster.store.hold_commits = 0
        cluster.elect_scheduler()
        cluster.await_status("completed", host)
        assert not [o for o in host.orders if o.verb == clusters.Verb.START]


def test_end_is_noted_once_it_is_stored():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        number = host.end_run((order.task, order.run), "done")
        fixtures.wait_until(
            lambda: host.report().noted >= number, 5.0, "the end to be noted"
        )
        assert cluster.stored().status == "completed"


def test_ends_stored_out_of_order_are_all_noted():
    """One end blocked the noting of all ends of a host (ringkas-bilberry quiet-1).

    The later of two ends was stored first, and was then reported again.
    """
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        for id in ("a" * 16, "b" * 16):
            cluster.submit(jobs.Step(2, cpu_milli=100), id=id)
        host.await_orders(4)
        orders = {
            order.task[0] + order.task[-1]: order for order in host.execute_orders()
        }
        first, second = orders["a0"], orders["b0"]
        host.report()
        cluster.store.hold_commits = 1
        host.end_run((first.task, first.run), "done")
        host.report()
        number = host.end_run((second.task, second.run), "done")
        fixtures.wait_until(
            lambda: host.report().noted >= number, 5.0, "both ends to be noted"
        )


def test_end_reported_after_its_run_was_gone_is_noted():
    """The agent reported the run as GONE, then the runner reported its end."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        host.report()
        key = order.task, order.run
        host.rows[key] = host.rows[key]._replace(state=int(clusters.State.GONE))
        host.report()
        number = host.end_run(key, "stopped")
        fixtures.wait_until(
            lambda: host.report().noted >= number, 5.0, "the end to be noted"
        )


def _end_run_reported_as_gone(cluster, outcome):
    """Report a run as gone, then its end as done; return its host."""
    host = cluster.add_host("h1")
    order = cluster.run_task(host)
    host.is_draining = True  # no other run is placed meanwhile
    key = order.task, order.run
    host.rows[key] = host.rows[key]._replace(
        state=int(clusters.State.GONE), outcome=outcome
    )
    host.report()
    number = host.end_run(key, "done")
    fixtures.wait_until(lambda: host.report().noted >= number, 5.0, "the end's note")
    host.is_draining = False
    return host


def test_work_done_by_a_run_that_was_reported_as_missing_is_not_repeated():
    with clusters.running_cluster() as cluster:
        host = _end_run_reported_as_gone(cluster, "missing")
        cluster.await_status("completed", host)
        assert not [o for o in host.orders if o.verb == clusters.Verb.START]


def test_end_of_a_run_whose_lease_lapsed_does_not_count():
    with clusters.running_cluster() as cluster:
        host = _end_run_reported_as_gone(cluster, "lapsed")
        (order,) = host.await_orders(1)
        assert order.run == 2


load_tests = collecting.hook(__name__)
