"""Step order, attempt limits, cancellation and the status that callers get."""

from bilberrypass import clock
from bilberrypass.scheduling import jobs, state
from testing import collecting, fixtures
from testing.scheduling import offices

STEP = jobs.Step(1, cpu_milli=100)
Verb = offices.Verb


def _finish(host, how="done"):
    """End all runs on a host with an outcome and report it."""
    host.obey()
    for key, row in list(host.rows.items()):
        if row.state == offices.State.RUNNING:
            host.end(key, how)
    host.report()


def test_step_waits_until_all_tasks_of_earlier_steps_are_done():
    with offices.office() as office:
        host = office.host("h1")
        office.submit(STEP._replace(count=2), STEP._replace(after=(0,)))
        first, second = host.await_orders(2)
        host.obey()
        host.end((first.task, first.run), "done")
        for _ in fixtures.polls(0.4):
            host.report()
        assert not host.orders
        host.end((second.task, second.run), "done")
        (order,) = host.await_orders(1)
        assert order.task.endswith(".0.1.0")


def test_next_step_is_not_ordered_before_ends_are_stored():
    with offices.office() as office:
        host = office.host("h1")
        office.submit(STEP, STEP._replace(after=(0,)))
        host.await_orders(1)
        (order,) = host.obey()
        host.report()
        office.store.hold_commits = 1_000_000
        host.end((order.task, order.run), "done")
        for _ in fixtures.polls(0.4):
            host.report()
        assert not host.orders


def test_task_is_not_started_beyond_max_attempts():
    with offices.office(max_attempts=2) as office:
        host = office.host("h1")
        office.submit(STEP)
        for run in (1, 2):
            (order,) = host.await_orders(1)
            assert order.run == run
            _finish(host, "failed")
        office.await_status("failed", host)
        assert not [o for o in host.orders if o.verb == Verb.START]


def test_attempts_are_counted_across_schedulers():
    with offices.office(max_attempts=2) as office:
        host = office.host("h1")
        office.submit(STEP)
        host.await_orders(1)
        _finish(host, "failed")
        host.await_orders(1)
        office.elect()
        host.report()
        _finish(host, "failed")
        office.await_status("failed", host)


def test_stopped_run_does_not_count_as_an_attempt():
    with offices.office(max_attempts=1) as office:
        host = office.host("h1")
        office.submit(STEP)
        host.await_orders(1)
        _finish(host, "stopped")
        (order,) = host.await_orders(1)
        assert order.run == 2


def test_service_is_restarted_however_its_run_ends():
    with offices.office(max_attempts=1) as office:
        host = office.host("h1")
        office.submit(STEP._replace(is_service=True))
        for run, how in enumerate(("failed", "failed", "lapsed"), 1):
            (order,) = host.await_orders(1)
            assert order.run == run
            _finish(host, how)
        host.await_orders(1)


def test_cancelled_job_starts_nothing_and_has_status_cancelled():
    with offices.office() as office:
        host = office.host("h1")
        job = office.submit(STEP._replace(cpu_milli=1_000_000))
        host.report()
        office.submissions.cancel(job.id, clock.now() + 1)
        office.await_status("cancelled", host)
        office.submissions.submit(job, clock.now() + 1)
        for _ in fixtures.polls(0.3):
            host.report()
        assert not host.orders


def test_status_is_completed_only_once_that_is_stored():
    with offices.office() as office:
        host = office.host("h1")
        job = office.submit(STEP)
        host.await_orders(1)
        (order,) = host.obey()
        host.report()
        office.store.hold_commits = 1_000_000
        host.end((order.task, order.run), "done")
        for _ in fixtures.polls(0.4):
            host.report()
            assert office.status() != "completed"
        office.store.hold_commits = 0
        office.await_status("completed", host)
        assert office.stored().status == "completed"
        assert office.submissions.read_status(job.id, clock.now() + 1) == "completed"


def test_jobs_that_have_not_started_are_counted():
    with offices.office() as office:
        host = office.host("h1", cpu=1_000)
        for id in ("a" * 16, "b" * 16, "c" * 16):
            office.submit(STEP._replace(cpu_milli=1_000), id=id)
        fixtures.wait_until(
            lambda: host.report() and office.scheduler.waiting(offices.QUEUE) == 2,
            5.0,
            "two waiting jobs",
        )


def test_job_of_a_removed_queue_waits():
    with offices.office() as office:
        host = office.host("h1")
        office.submit(STEP, queue="gone/q/")
        for _ in fixtures.polls(0.4):
            host.report()
        assert not host.orders and office.status() == "queued"


def test_progress_is_restored_from_its_stored_form():
    job = jobs.Job("a" * 16, "q", "", (STEP._replace(count=3),), 1.0)
    before = state.JobState(job)
    tasks = list(before.tasks.values())
    before.finish_task(tasks[0])
    tasks[0].run = 1
    tasks[1].phase, tasks[1].run, tasks[1].host = state.Phase.RUNNING, 4, "h"
    tasks[1].failures, tasks[1].checkpoint, tasks[1].life = 2, "c", 77
    before.update_status(2.0)
    after = state.JobState(job)
    after.restore(before.encode(), 9)
    first, second, third = after.tasks.values()
    assert first.phase is state.Phase.DONE and third.phase is state.Phase.WAITING
    assert second.phase is state.Phase.ORDERED and second.run == 4
    assert (second.host, second.life) == ("h", 77)
    assert (second.failures, second.checkpoint) == (2, "c")
    assert after.open_steps == before.open_steps


load_tests = collecting.hook(__name__)
