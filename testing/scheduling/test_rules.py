"""Step order, attempt limits, cancellation and the status that callers get."""

import time

from bilberrypass import clock, errors
from bilberrypass.scheduling import jobs, state
from testing import collecting, fixtures
from testing.scheduling import clusters, job_tasks

STEP = jobs.Step(1, cpu_milli=100)
Verb = clusters.Verb
_CANCEL_S = 3.0  # cancel_ms
_WATCH_S = 1.1


def _finish(host, outcome="done"):
    """End all runs on a host with an outcome and report it."""
    host.execute_orders()
    for key, row in list(host.rows.items()):
        if row.state == clusters.State.RUNNING:
            host.end_run(key, outcome)
    host.report()


def test_step_waits_until_all_tasks_of_earlier_steps_are_done():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP._replace(count=2), STEP._replace(after=(0,)))
        first, second = host.await_orders(2)
        host.execute_orders()
        host.end_run((first.task, first.run), "done")
        for _ in fixtures.polls(0.4):
            host.report()
        assert not host.orders
        host.end_run((second.task, second.run), "done")
        (order,) = host.await_orders(1)
        assert order.task.endswith(".0.1.0")


def test_next_step_is_not_ordered_before_ends_are_stored():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP, STEP._replace(after=(0,)))
        host.await_orders(1)
        (order,) = host.execute_orders()
        host.report()
        cluster.store.hold_commits = 1_000_000
        host.end_run((order.task, order.run), "done")
        for _ in fixtures.polls(0.4):
            host.report()
        assert not host.orders


def test_task_is_not_started_beyond_max_attempts():
    with clusters.running_cluster(max_attempts=2) as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP)
        for run in (1, 2):
            (order,) = host.await_orders(1)
            assert order.run == run
            _finish(host, "failed")
        cluster.await_status("failed", host)
        assert not [o for o in host.orders if o.verb == Verb.START]


def test_attempts_are_counted_across_schedulers():
    with clusters.running_cluster(max_attempts=2) as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP)
        host.await_orders(1)
        _finish(host, "failed")
        host.await_orders(1)
        cluster.elect_scheduler()
        host.report()
        _finish(host, "failed")
        cluster.await_status("failed", host)


def test_stopped_run_does_not_count_as_an_attempt():
    with clusters.running_cluster(max_attempts=1) as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP)
        host.await_orders(1)
        _finish(host, "stopped")
        (order,) = host.await_orders(1)
        assert order.run == 2


def test_service_is_restarted_however_its_run_ends():
    with clusters.running_cluster(max_attempts=1) as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP._replace(is_service=True))
        for run, outcome in enumerate(("failed", "failed", "lapsed"), 1):
            (order,) = host.await_orders(1)
            assert order.run == run
            _finish(host, outcome)
        host.await_orders(1)


def test_scheduler_behind_on_cancellations_does_not_start_a_cancelled_job():
    """A watch without answers leaves the scheduler's writes and orders at work."""

    def watch(*_):
        raise errors.Error(errors.Kind.STORE_UNCERTAIN, "no answer")

    with clusters.running_cluster() as cluster:
        job = cluster.submit(STEP)
        has_seen = lambda: job.id in cluster.scheduler.jobs
        fixtures.wait_until(has_seen, 5.0, "the job to be seen")
        cluster.store.watch = watch
        time.sleep(_WATCH_S)  # the watch in progress still answers
        cluster.submissions.cancel(job.id, clock.now() + 1)
        time.sleep(_CANCEL_S)
        host = cluster.add_host("h1")
        for _ in fixtures.polls(0.4):
            host.report()
        assert not [o for o in host.orders if o.verb == Verb.START]


def test_scheduler_that_was_behind_on_cancellations_starts_jobs_again():
    """Guards against starts that are held back for good after an outage of watches."""

    def watch(*_):
        raise errors.Error(errors.Kind.STORE_UNCERTAIN, "no answer")

    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.store.watch = watch
        is_behind = lambda: cluster.scheduler.is_behind(clock.now())
        fixtures.wait_until(is_behind, 8.0, "the scheduler to be behind")
        cluster.submit(STEP)
        del cluster.store.watch
        host.await_orders(1)


def test_cancelled_job_starts_nothing_and_has_status_cancelled():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        job = cluster.submit(STEP._replace(cpu_milli=1_000_000))
        host.report()
        cluster.submissions.cancel(job.id, clock.now() + 1)
        cluster.await_status("cancelled", host)
        cluster.submissions.submit(job, clock.now() + 1)
        for _ in fixtures.polls(0.3):
            host.report()
        assert not host.orders


def test_status_is_completed_only_once_that_is_stored():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        job = cluster.submit(STEP)
        host.await_orders(1)
        (order,) = host.execute_orders()
        host.report()
        cluster.store.hold_commits = 1_000_000
        host.end_run((order.task, order.run), "done")
        for _ in fixtures.polls(0.4):
            host.report()
            assert cluster.status() != "completed"
        cluster.store.hold_commits = 0
        cluster.await_status("completed", host)
        assert cluster.stored().status == "completed"
        assert cluster.submissions.read_status(job.id, clock.now() + 1) == "completed"


def _await_waiting(cluster, host, count):
    fixtures.wait_until(
        lambda: (
            host.report() and cluster.scheduler.count_waiting(clusters.QUEUE) == count
        ),
        5.0,
        f"{count} waiting jobs",
    )


def test_jobs_that_have_not_started_are_counted():
    """A job counted as started once it was ordered, though no runner had begun it."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1", cpu=1_000)
        for id in ("a" * 16, "b" * 16, "c" * 16):
            cluster.submit(STEP._replace(cpu_milli=1_000), id=id)
        host.await_orders(1)
        _await_waiting(cluster, host, 3)
        host.execute_orders()
        _await_waiting(cluster, host, 2)


def test_job_whose_order_was_never_carried_out_waits():
    """Its status stayed `running` for good, though its host was silent throughout."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP, id="a" * 16)
        host.await_orders(1)
        other = cluster.add_host("h2", cpu=0)

        def is_requeued():
            other.report()
            return not cluster.scheduler.hosts["h1"].tasks

        fixtures.wait_until(is_requeued, 5.0, "the end of the lease")
        _await_waiting(cluster, other, 1)
        assert cluster.status() == "queued"


def test_status_of_a_begun_job_outlives_the_leader():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.run_task(host)
        cluster.await_status("running", host)
        cluster.elect_scheduler()
        assert cluster.status() == "running"
        assert cluster.scheduler.count_waiting(clusters.QUEUE) == 0


def test_job_of_a_removed_queue_waits():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(STEP, queue="gone/q/")
        for _ in fixtures.polls(0.4):
            host.report()
        assert not host.orders and cluster.status() == "queued"


def test_cancelled_job_whose_last_attempt_fails_is_not_shown_as_failed():
    """Its run fails before the stop arrives; the job was stored as failed for good."""
    with clusters.running_cluster(max_attempts=1) as cluster:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        host.report()
        cluster.submissions.cancel("a" * 16, clock.now() + 2)
        fixtures.wait_until(
            lambda: cluster.scheduler.jobs["a" * 16].cancelled, 5.0, "the cancel"
        )
        host.end_run((order.task, order.run), "failed")
        cluster.await_status("cancelled", host)


def test_progress_is_restored_from_its_stored_form():
    job = jobs.Job("a" * 16, "q", "", (STEP._replace(count=3),), 1.0)
    before = state.JobState(job, 1.0)
    tasks = job_tasks.begin_all(before)
    tasks[0].run = 1
    before.finish_task(tasks[0])
    tasks[1].phase, tasks[1].run, tasks[1].host = state.Phase.RUNNING, 4, "h"
    tasks[1].failures, tasks[1].checkpoint, tasks[1].life = 2, "c", 77
    before.update_status(2.0)
    after = state.JobState(job, 1.0)
    after.restore(before.encode(), 9, 3.0)
    second, third = after.occurrences.begun_tasks()
    assert [second.key.index, third.key.index] == [1, 2]
    assert after.occurrences.open_count(0, 0) == 2
    assert third.phase is state.Phase.WAITING
    assert second.phase is state.Phase.ORDERED and second.run == 4
    assert (second.host, second.life) == ("h", 77)
    assert (second.failures, second.checkpoint) == (2, "c")
    assert after.occurrences.to_stored() == before.occurrences.to_stored()


load_tests = collecting.hook(__name__)
