"""Writes that the store refuses for good, and jobs that hold up no others."""

from unittest import mock

from bilberrypass import clock
from bilberrypass.scheduling import jobs, keyvalue
from testing import collecting, events, fixtures
from testing.scheduling import clusters

STEP = jobs.Step(1, cpu_milli=100)
BAD, GOOD = "b" * 16, "a" * 16
Verb = clusters.Verb


def _await_good_end(cluster, host):
    def is_completed():
        host.report()
        for order in host.execute_orders():
            if order.verb == Verb.START:
                host.end_run((order.task, order.run), "done")
        return cluster.status(GOOD) == "completed"

    fixtures.wait_until(is_completed, 5.0, "the other job's end")


def test_refused_progress_of_a_job_holds_up_no_other():
    """One value that the store refused was written again and again, and no other.

    No job was started any more, by this leader or by the next one.
    """
    with clusters.running_cluster() as cluster, events.recorded() as found:
        host = cluster.add_host("h1")
        cluster.store.max_bytes[f"progress/{BAD}"] = 40
        cluster.submit(STEP._replace(count=3), id=BAD)
        cluster.submit(STEP, id=GOOD)
        _await_good_end(cluster, host)
        cluster.await_status("failed", host, id=BAD)
        assert not cluster.lost_leadership
        assert found.named("commit.rejected") and found.named("job.set_aside")
        (line,) = found.named("job.failing")
        assert line["job"] == BAD and "cannot be stored" in line["why"], line
        cluster.elect_scheduler()
        fixtures.wait_until(lambda: host.report().is_counted, 5.0, "a report")
        assert cluster.status(BAD) == "failed"
        cluster.submit(STEP, id="c" * 16)
        host.await_orders(1)


def test_ends_of_a_job_that_cannot_be_stored_are_noted():
    """An end that is never stored holds up the noting of all later ends of its host."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP._replace(count=2), id=BAD)
        host.await_orders(2)
        orders = host.execute_orders()
        cluster.store.max_bytes[f"progress/{BAD}"] = 40
        for order in orders:
            last = host.end_run((order.task, order.run), "failed")
        fixtures.wait_until(lambda: host.report().noted >= last, 5.0, "the ends")
        assert cluster.status(BAD) == "failed"


def test_job_whose_status_cannot_be_stored_either_holds_up_no_other():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP, id=BAD)
        host.await_orders(1)
        (order,) = host.execute_orders()
        cluster.store.max_bytes[f"progress/{BAD}"] = 1
        last = host.end_run((order.task, order.run), "failed")
        fixtures.wait_until(lambda: host.report().noted >= last, 5.0, "the end")
        cluster.submit(STEP, id=GOOD)
        _await_good_end(cluster, host)
        assert not cluster.lost_leadership


def test_failing_job_ends_though_the_leader_changes():
    """Without its tasks in the store, no end of a run made its status final."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP, id=BAD)
        host.await_orders(1)
        (order,) = host.execute_orders()
        host.report()
        cluster.store.max_bytes[f"progress/{BAD}"] = 40
        cluster.scheduler.write_progress(cluster.scheduler.jobs[BAD])
        fixtures.wait_until(lambda: cluster.status(BAD) == "failed", 5.0, "the failure")
        assert not cluster.stored(BAD).finished_at
        cluster.elect_scheduler()

        def has_ended():
            host.report()
            host.execute_orders()
            return cluster.stored(BAD).finished_at

        fixtures.wait_until(has_ended, 5.0, "the end")
        assert host.rows.get((order.task, order.run)) is None or (
            host.rows[order.task, order.run].outcome == "stopped"
        )


def test_store_that_refuses_every_commit_fails_no_job():
    """An answer that a retry does not help may still be the store's own fault."""
    with clusters.running_cluster() as cluster, events.recorded() as found:
        host = cluster.add_host("h1")
        cluster.submit(STEP, id=GOOD)
        fixtures.wait_until(lambda: GOOD in cluster.scheduler.jobs, 5.0, "the job")
        commit = cluster.store.commit
        with mock.patch.object(cluster.store, "commit", _reject):
            cluster.scheduler.write_progress(cluster.scheduler.jobs[GOOD])
            fixtures.wait_until(
                lambda: len(found.named("commit.rejected")) > 1, 5.0, "the refusals"
            )
        assert cluster.store.commit == commit
        _await_good_end(cluster, host)
        assert not found.named("job.failing")


def _reject(expected, puts, deadline, removed=()):
    raise keyvalue.Rejected("commit answered 403")


def test_refused_estimates_hold_up_no_job():
    """They are written in the same transaction as the progress of jobs."""
    with clusters.running_cluster() as cluster, events.recorded() as found:
        cluster.store.max_bytes["interference"] = 0
        host = cluster.add_host("h1")
        cluster.submit(STEP, id=GOOD)
        _await_good_end(cluster, host)
        assert found.named("commit.extra_rejected")
        assert not found.named("commit.rejected")


def test_cancelled_job_that_cannot_be_stored_is_not_shown_as_failed():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP, id=BAD)
        host.await_orders(1)
        host.execute_orders()
        cluster.store.max_bytes[f"progress/{BAD}"] = 40
        cluster.submissions.cancel(BAD, clock.now() + 2)

        def is_cancelled():
            host.report()
            host.execute_orders()
            assert cluster.status(BAD) != "failed"
            return cluster.status(BAD) == "cancelled"

        fixtures.wait_until(is_cancelled, 5.0, "the end")


def test_large_values_are_not_written_together():
    """A transaction of many large values takes longer than the store is given."""
    sizes = []
    with clusters.running_cluster() as cluster:
        cluster.store.max_value_bytes = 20_000
        cluster.elect_scheduler()
        commit = cluster.store.commit

        def record(expected, puts, deadline, removed=()):
            sizes.append([len(p.value) for p in puts if p.key.startswith("progress/")])
            return commit(expected, puts, deadline, removed)

        cluster.store.commit = record
        host = cluster.add_host("h1", cpu=1 << 40)
        ids = [f"{number:016x}" for number in range(4)]
        for id in ids:
            cluster.submit(STEP._replace(count=150), id=id)

        def are_running():
            for order in list(host.orders):
                key = order.task, order.run
                host.rows[key] = clusters.messages.RunRow(
                    *key, int(clusters.State.RUNNING), checkpoint="c" * 60
                )
            host.report()
            return len(host.rows) == 600

        fixtures.wait_until(are_running, 5.0, "all runs")
        for id in ids:
            cluster.submissions.cancel(id, clock.now() + 2)
        host.await_orders(600, Verb.STOP)
        fixtures.wait_until(
            lambda: sum(max(s, default=0) > 10_000 for s in sizes) >= 4, 5.0, "writes"
        )
    assert max(map(sum, sizes)) <= cluster.store.max_value_bytes


load_tests = collecting.hook(__name__)
