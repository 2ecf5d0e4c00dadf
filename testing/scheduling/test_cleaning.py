"""Removal of finished jobs from the store after their retention period."""

from bilberrypass import clock
from bilberrypass.scheduling import cleaning, jobs, keyvalue
from testing import collecting, fixtures
from testing.scheduling import clusters

STEP = jobs.Step(1, cpu_milli=100)


def _run_to_completion(cluster, host, id):
    cluster.submit(STEP, id=id)
    host.await_orders(1)
    (order,) = host.execute_orders()
    host.end_run((order.task, order.run), "done")
    cluster.await_status("completed", host, id=id)


def test_finished_job_is_removed_only_after_its_retention_period():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        _run_to_completion(cluster, host, "a" * 16)
        cluster.scheduler._cleaner.clean()
        assert cluster.status() == "completed"
        cluster.scheduler.jobs["a" * 16].final_since = clock.now() - 121.0
        cluster.scheduler._cleaner.clean()
        fixtures.wait_until(lambda: cluster.status() == "", 5.0, "the removal")
        remaining = [k for k in cleaning.job_keys("a" * 16) if k in cluster.store.items]
        assert not remaining, remaining


def test_unfinished_job_is_not_removed():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP)
        host.await_orders(1)
        host.execute_orders()
        cluster.await_status("running", host)
        cluster.scheduler._cleaner.clean()
        assert cluster.status() == "running"
        assert all(
            key in cluster.store.items
            for key in cleaning.job_keys("a" * 16)
            if "cancel" not in key
        )


def test_scheduler_that_lost_the_election_removes_nothing():
    """A scheduler that does not know that it lost leadership must not remove jobs."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        _run_to_completion(cluster, host, "a" * 16)
        cluster.scheduler.jobs["a" * 16].final_since = clock.now() - 121.0
        cluster.store.put("leader", b"another")
        cluster.scheduler._cleaner.clean()
        assert "intake/job/" + "a" * 16 in cluster.store.items


def test_many_removals_are_split_to_fit_transactions():
    """The store rejects a transaction that has more entries than its limit."""
    with clusters.running_cluster() as cluster:
        removed = []
        ids = [f"{n:016x}" for n in range(25)]
        for id in ids:
            cluster.store.put(f"intake/job/{id}", b"x")
        cleaner = cleaning.Cleaner(
            cluster.store, cluster.epoch, lambda: ids, removed.extend
        )
        cleaner.clean()
        assert removed == ids
        found = cluster.store.list("intake/job/", clock.now())
        assert isinstance(found, keyvalue.Listing) and not found.items


def test_cancellation_without_a_job_is_removed_after_the_retention_period():
    with clusters.running_cluster() as cluster:
        key = "intake/cancel/" + "b" * 16
        cluster.store.put(key, b"")
        early = cluster.scheduler.early_cancellations
        fixtures.wait_until(lambda: early, 2.0, "the cancellation")
        cluster.scheduler._cleaner.clean()
        assert key in cluster.store.items
        early["b" * 16] -= 121.0
        cluster.scheduler._cleaner.clean()
        assert key not in cluster.store.items
        fixtures.wait_until(lambda: not early, 2.0, "the removal")


load_tests = collecting.hook(__name__)
