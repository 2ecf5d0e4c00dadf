"""The rank of jobs under loads that exceed the capacity of the hosts."""

from bilberrypass import clock
from bilberrypass.scheduling import durations, jobs, ordering, state
from testing import collecting
from testing.scheduling import clusters, job_tasks, overloads

QUEUE = jobs.Queue("q", "p", priority=2, stretch=2.0, latency_objective_s=1.0)
MEAN_WORK = 50.0  # core-seconds
ROOM = ordering.Room(100.0, 100.0)


def _job(id, age_s, *estimates_s, now):
    steps = tuple(
        jobs.Step(1, 7_000, estimate_s=e, after=(n - 1,) if n else ())
        for n, e in enumerate(estimates_s)
    )
    return state.JobState(jobs.Job(id, "q", "", steps, 0.0), now - age_s)


def _rank(job, now, queue=QUEUE):
    return ordering.rank(job, queue, now, 0.0, ROOM, _learned())


def _learned():
    learned = durations.Durations({})
    step = jobs.Step(1, 1_000, estimate_s=MEAN_WORK)
    learned.mean_work.add(jobs.Job("mean", "q", "", (step,), 0.0))
    return learned


def _sort_by_rank(job_states, now):
    return sorted(job_states, key=lambda job: _rank(job, now))


def test_job_that_can_meet_its_objective_precedes_late_job():
    now = clock.now()
    late, fresh = (
        _job("late", 20.0, 5.0, 5.0, now=now),
        _job("fresh", 1.0, 5.0, now=now),
    )
    assert [job.job.id for job in _sort_by_rank([late, fresh], now)] == [
        "fresh",
        "late",
    ]


def test_short_job_precedes_long_job_while_both_are_in_time():
    now = clock.now()
    long, short = _job("long", 1.0, 5.0, 5.0, now=now), _job("short", 0.0, 2.0, now=now)
    assert _sort_by_rank([long, short], now) == [short, long]


def test_job_with_little_work_left_precedes_job_not_begun():
    """Otherwise each job of an overload is begun, and most are finished too late."""
    now = clock.now()
    begun, fresh = (
        _job("begun", 6.0, 5.0, 5.0, now=now),
        _job("fresh", 1.0, 5.0, 5.0, now=now),
    )
    begun.finish_task(job_tasks.begin_all(begun)[0])
    assert _rank(begun, now) < _rank(fresh, now)


def test_job_whose_last_tasks_wait_precedes_jobs_not_begun():
    """Counted by its open tasks, it has as much left as the fresh ones."""
    now = clock.now()
    step = jobs.Step(4, 7_000, estimate_s=5.0)
    begun, fresh = (
        state.JobState(jobs.Job(id, "q", "", (step,), 0.0), now - 1.0)
        for id in ("begun", "a fresh one")
    )
    assert _rank(fresh, now) < _rank(begun, now)
    for task in job_tasks.begin_all(begun)[:3]:
        task.phase = state.Phase.RUNNING
        task.progress.observe(0, 100, now - 4.0)
        task.progress.observe(80, 100, now)
    begun.status = state.Status.RUNNING
    assert _rank(begun, now) < _rank(fresh, now)


def test_large_job_is_not_put_behind_every_smaller_one():
    """By the work left alone, a large job would wait until all others are done."""
    now = clock.now()
    small, large = _job("small", 1.0, 5.0, now=now), _job("large", 1.0, 9.0, now=now)
    assert _rank(small, now) < _rank(large, now)
    two = _job("two", 6.0, 9.0, 2.0, now=now)
    two.finish_task(job_tasks.begin_all(two)[0])
    assert _rank(two, now) < _rank(small, now)


def test_tasks_of_a_service_precede_batch_jobs_of_the_same_priority():
    now = clock.now()
    lasting = jobs.Step(1, 13_000, estimate_s=0.3, is_service=True, image="s")
    service = state.JobState(jobs.Job("s", "q", "", (lasting,), 0.0), now - 300.0)
    assert _rank(service, now) < _rank(_job("batch", 1.0, 5.0, now=now), now)


def test_repetition_is_ranked_by_its_own_due_time():
    """Counted from its acceptance, each later repetition would seem far too late."""
    now, unix_now = clock.now(), 5_000.0
    step = jobs.Step(1, 7_000, estimate_s=5.0)
    job = jobs.Job("r", "q", "", (step,), 0.0, 3, unix_now - 200.0, 100.0)
    repeated = state.JobState(job, now - 300.0)
    for task in job_tasks.begin_all(repeated)[:2]:
        repeated.finish_task(task)
    once = _job("once", 1.0, 5.0, now=now)
    found = ordering.rank(repeated, QUEUE, now, unix_now, ROOM, _learned())
    assert found.negative_value_density == _rank(once, now).negative_value_density


def test_job_far_past_its_objective_goes_last():
    now = clock.now()
    lost, late = (
        _job("lost", 70.0, 5.0, 5.0, now=now),
        _job("late", 25.0, 5.0, 5.0, now=now),
    )
    assert [job.job.id for job in _sort_by_rank([lost, late], now)] == ["late", "lost"]


def test_priority_outranks_lateness():
    now = clock.now()
    job = _job("j", 70.0, 5.0, now=now)
    urgent = _rank(job, now, QUEUE._replace(priority=0))
    assert urgent < _rank(_job("k", 0.0, 5.0, now=now), now)


def test_critical_path_covers_open_steps_only():
    steps = (
        jobs.Step(1, estimate_s=3.0),
        jobs.Step(1, estimate_s=1.0),
        jobs.Step(1, estimate_s=2.0, after=(0, 1)),
    )
    assert durations.path_s(steps, [3.0, 1.0, 2.0]) == 5.0
    assert durations.path_s(steps, [0.0, 0.0, 2.0]) == 2.0


def test_rank_makes_fewer_jobs_late_in_a_burst_than_acceptance_order():
    """Guards against a rank that meets too few objectives in a burst.

    Simulates forty jobs of 4 s on two slots, by rank and in order of acceptance.
    """

    def count_in_time(order):
        now, waiting, count = 1_000.0, list(range(40)), 0
        accepted_at = {n: 1_000.0 + n for n in waiting}
        free_at = [now, now]
        while waiting:
            at = min(free_at)
            arrived = [n for n in waiting if accepted_at[n] <= at]
            if not arrived:
                free_at[free_at.index(at)] = accepted_at[waiting[0]]
                continue
            candidates = {
                n: state.JobState(
                    jobs.Job(str(n), "q", "", (jobs.Step(1, estimate_s=4.0),), 0.0),
                    accepted_at[n],
                )
                for n in arrived
            }
            chosen = order(candidates, at)
            waiting.remove(chosen)
            free_at[free_at.index(at)] = at + 4.0
            count += at + 4.0 <= accepted_at[chosen] + 9.0
        return count

    by_acceptance = count_in_time(lambda candidates, at: min(candidates))
    by_rank = count_in_time(
        lambda candidates, at: min(candidates, key=lambda n: _rank(candidates[n], at))
    )
    assert by_rank >= 1.5 * by_acceptance, (by_rank, by_acceptance)


def _mean_outcome(load, order):
    outcomes = [overloads.play(overloads.draw(seed, load), order) for seed in range(8)]
    return overloads.Outcome(*(sum(x) / len(x) for x in zip(*outcomes, strict=True)))


def test_more_callers_are_served_in_time_in_an_overload_than_by_objective():
    """Work arrives for 34 s at twice the rate that the hosts can do."""
    by_objective = _mean_outcome(2.0, overloads.by_objective)
    by_rank = _mean_outcome(2.0, overloads.by_rank)
    assert by_rank.value >= 1.1 * by_objective.value, (by_rank, by_objective)
    assert by_rank.in_time >= 1.1 * by_objective.in_time, (by_rank, by_objective)
    assert by_rank.served >= by_objective.served, (by_rank, by_objective)


def test_no_caller_is_worse_off_where_the_hosts_keep_up():
    """Work arrives at seven tenths of the rate that the hosts can do."""
    by_objective = _mean_outcome(0.7, overloads.by_objective)
    by_rank = _mean_outcome(0.7, overloads.by_rank)
    for ours, theirs in zip(by_rank, by_objective, strict=True):
        assert ours >= theirs - 0.02, (by_rank, by_objective)


def _compare_by_estimates(load, error):
    """Return the mean outcomes by the estimates alone and by the product's order."""
    found = []
    for order in (overloads.by_estimates, overloads.by_rank):
        outcomes = [
            overloads.play(
                overloads.draw(seed, load, error, has_spread=True),
                order,
                overloads.SPREAD_END_S,
            )
            for seed in range(8)
        ]
        found.append([sum(x) / len(x) for x in zip(*outcomes, strict=True)])
    return [overloads.Outcome(*means) for means in found]


def test_more_callers_are_served_in_an_overload_than_by_estimates_alone():
    """Estimates are wrong by 20% or 90%, and one task in twenty is far longer."""
    for load, error in ((1.3, 0.2), (1.3, 0.9), (2.0, 0.2), (2.0, 0.9)):
        before, after = _compare_by_estimates(load, error)
        assert after.served > before.served, (load, error, before, after)
        assert after.value >= before.value - 0.01, (load, error, before, after)


def test_no_caller_loses_by_corrected_durations_where_the_hosts_keep_up():
    before, after = _compare_by_estimates(0.7, 0.9)
    for ours, theirs in zip(after, before, strict=True):
        assert ours >= theirs, (before, after)


def test_service_task_gets_the_room_that_a_batch_task_leaves():
    lasting = jobs.Step(1, 10_000, is_service=True, image="s")
    batch = jobs.Step(1, 10_000, estimate_s=1.0)
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1", cpu=10_000)
        cluster.submit(batch, id="a" * 16)
        (first,) = host.await_orders(1)
        host.execute_orders()
        cluster.submit(batch, id="b" * 16)
        cluster.submit(lasting, id="c" * 16)
        host.end_run((first.task, first.run), "done")
        host.report()
        (second,) = host.await_orders(1)
        assert second.task.startswith("c" * 16), second


load_tests = collecting.hook(__name__)
