"""Expected durations, corrected by ends, progress, queue and host."""

import math
import random

from bilberrypass.scheduling import duration_priors, durations, hosts, jobs, state
from testing import collecting
from testing.scheduling import clusters, job_tasks

NOW = 1_000.0


def _job(count=8, estimate_s=2.0, id="a", **fields):
    step = jobs.Step(count, 1_000, estimate_s=estimate_s, **fields)
    job = state.JobState(jobs.Job(id, "q", "", (step,), 0.0), NOW)
    job.status = state.Status.RUNNING
    return job


def _start(task, host="h", at=NOW):
    task.phase, task.host, task.started_at = state.Phase.RUNNING, host, at


def _end(learned, task, took_s):
    task.job.finish_task(task)
    learned.observe_end(task, took_s)


def test_estimate_is_taken_until_something_is_seen():
    job = _job()
    learned = durations.Durations({})
    assert learned.task_s(job, 0, 0) == 2.0
    assert learned.work_left(job) == 16.0


def test_ends_within_a_step_correct_an_estimate_that_is_far_wrong():
    job = _job(estimate_s=1.0)
    learned = durations.Durations({})
    first, second, *_ = job_tasks.begin_all(job)
    _end(learned, first, 5.0)
    assert 3.0 < learned.task_s(job, 0, 0) < 5.0
    _end(learned, second, 5.0)
    assert 3.7 < learned.task_s(job, 0, 0) < 5.0


def test_long_tail_does_not_correct_the_other_tasks():
    """One task in twenty takes seven times as long as the others of its step."""
    job = _job()
    learned = durations.Durations({})
    for task, took_s in zip(job_tasks.begin_all(job), (14.0, 2.1, 1.9), strict=False):
        _end(learned, task, took_s)
    assert 1.9 < learned.task_s(job, 0, 0) < 2.3


def test_progress_tells_the_duration_before_any_task_has_ended():
    job = _job(estimate_s=1.0)
    learned = durations.Durations({})
    for task in job_tasks.begin_all(job):
        _start(task)
        task.progress.observe(0, 100, NOW)
        task.progress.observe(20, 100, NOW + 1.0)
    assert 4.0 < learned.task_s(job, 0, 0) < 5.0
    assert math.isclose(learned.remaining_s(task, NOW + 1.0), 4.0)
    assert 28.0 < learned.work_left(job) <= 32.0


def test_paced_filler_is_not_taken_for_a_long_task():
    """By the time on the wall, a filler at a quarter of its pace looks four times
    as long, and its job would go behind the others for having been slowed.
    """
    job = _job(is_filler=True)
    learned = durations.Durations({})
    task = job_tasks.begin_all(job)[0]
    _start(task)
    task.pace = 25
    for second in range(5):
        task.progress.observe(second * 10, 25, NOW + 1.25 * second)
    now = NOW + 5.0
    assert math.isclose(task.progress.full_s(), 1.25 * 10 / 4)
    assert math.isclose(learned.remaining_s(task, now), 1.25 * 6 / 4)
    assert math.isclose(learned.expected_end(task, now), now + 1.25 * 6)


def test_resumed_run_counts_by_what_it_did_itself():
    job = _job(has_checkpoints=True)
    task = job_tasks.begin_all(job)[0]
    _start(task)
    task.progress.observe(60, 100, NOW)
    task.progress.observe(80, 100, NOW + 1.0)
    assert math.isclose(durations.took_s(task, NOW + 2.0), 5.0)
    assert math.isclose(durations.Durations({}).remaining_s(task, NOW + 1.0), 1.0)


def test_far_slower_host_is_told_apart_from_long_tasks():
    fleet = {name: hosts.Host(name, 0.0) for name in "abc"}
    for host in fleet.values():
        host.speed.samples = 40
    fleet["a"].speed.level = -1.5
    learned = durations.Durations(fleet)
    slow, other = _job(), _job(id="b")
    learned.outlook(slow, NOW)
    first, second, *_ = job_tasks.begin_all(slow)
    _start(first, "a")
    _start(second, "b")
    assert learned.remaining_s(first, NOW) > 4 * learned.remaining_s(second, NOW)
    _end(learned, first, 2.0 * math.exp(1.5))
    assert math.isclose(learned.task_s(slow, 0, 0), 2.0, rel_tol=0.01)
    assert learned.task_s(other, 0, 0) == 2.0


def test_usual_error_of_a_queue_halves_that_of_its_estimates():
    """Estimates of one queue that are too short by half, and wrong by 90%."""
    rng = random.Random(1)
    prior = duration_priors.DurationPrior()
    before, after = [], []
    for number in range(150):
        true_s = 3.0 * math.exp(rng.gauss(0, 0.3))
        estimate_s = 0.5 * true_s * math.exp(rng.gauss(0, 0.9))
        if number >= 50:
            before.append(abs(math.log(estimate_s / true_s)))
            after.append(abs(prior.expect(estimate_s).log_s - math.log(true_s)))
        prior.observe(estimate_s, [math.log(true_s)])
    assert sum(after) <= 0.5 * sum(before), (sum(after), sum(before))


def test_service_never_ends_and_step_without_estimate_is_learned():
    learned = durations.Durations({})
    lasting = job_tasks.begin_all(_job(is_service=True))[0]
    assert learned.expected_end(lasting, NOW) == math.inf
    _end(learned, lasting, 300.0)
    unknown = _job(estimate_s=0.0)
    assert learned.task_s(unknown, 0, 0) == 0.0
    _end(learned, job_tasks.begin_all(unknown)[0], 3.0)
    assert math.isclose(learned.task_s(unknown, 0, 0), 3.0)


def test_job_counts_as_begun_from_its_first_order_on():
    """Until its host reports, its rank was that of a job of which nothing runs."""
    ordered, untouched = _job(count=4), _job(count=4, id="b")
    for job in (ordered, untouched):
        job.status = state.Status.QUEUED
    learned = durations.Durations({})
    prior = learned._priors["q"] = duration_priors.DurationPrior()
    for _ in range(30):
        prior.observe(2.0, [math.log(2.0), math.log(2.0), math.log(8.0)])
    for task in job_tasks.begin_all(ordered):
        task.phase, task.host = state.Phase.ORDERED, "h"
    before, after = learned.outlook(untouched, NOW), learned.outlook(ordered, NOW)
    assert after.path_left_s < before.path_left_s


def test_new_leader_begins_with_the_estimates_and_learns_again():
    """What was learned is not stored: the next leader must do without, at once."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1", cpu=2_000)
        job = cluster.submit(jobs.Step(4, 1_000, estimate_s=1e-3))
        host.await_orders(2)
        for order in host.execute_orders():
            host.end_run((order.task, order.run), "done")
        host.await_orders(2)
        learned = cluster.scheduler.durations
        assert learned.task_s(cluster.scheduler.jobs[job.id], 0, 0) > 2e-3
        cluster.elect_scheduler()
        restored = cluster.scheduler.jobs[job.id]
        learned = cluster.scheduler.durations
        assert math.isclose(learned.task_s(restored, 0, 0), 1e-3)
        assert 1.0 <= learned.work_left(restored)
        host.execute_orders()
        for key in list(host.rows):
            host.end_run(key, "done")
        cluster.await_status("completed", host, id=job.id)


load_tests = collecting.hook(__name__)
