"""The rank of jobs in a burst that exceeds the capacity of the hosts."""

from bilberrypass import clock
from bilberrypass.scheduling import jobs, ordering, state
from testing import collecting

QUEUE = jobs.Queue("q", "p", priority=2, stretch=2.0, latency_objective_s=1.0)


def _job(id, age_s, *estimates_s, now):
    steps = tuple(
        jobs.Step(1, estimate_s=e, after=(n - 1,) if n else ())
        for n, e in enumerate(estimates_s)
    )
    return state.JobState(jobs.Job(id, "q", "", steps, 0.0), now - age_s)


def _sort_by_rank(job_states, now):
    return sorted(job_states, key=lambda job: ordering.rank(job, QUEUE, now))


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


def test_earliest_objective_goes_first_among_jobs_in_time():
    now = clock.now()
    long, short = _job("long", 1.0, 5.0, 5.0, now=now), _job("short", 0.0, 2.0, now=now)
    assert [job.job.id for job in _sort_by_rank([long, short], now)] == [
        "short",
        "long",
    ]


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
    urgent = ordering.rank(job, QUEUE._replace(priority=0), now)
    assert urgent < ordering.rank(_job("k", 0.0, 5.0, now=now), QUEUE, now)


def test_critical_path_covers_open_steps_only():
    steps = (
        jobs.Step(1, estimate_s=3.0),
        jobs.Step(1, estimate_s=1.0),
        jobs.Step(1, estimate_s=2.0, after=(0, 1)),
    )
    assert ordering.critical_path_s(steps, lambda number: True) == 5.0
    assert ordering.critical_path_s(steps, lambda number: number == 2) == 2.0


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
        lambda candidates, at: min(
            candidates, key=lambda n: ordering.rank(candidates[n], QUEUE, at)
        )
    )
    assert by_rank >= 1.5 * by_acceptance, (by_rank, by_acceptance)


load_tests = collecting.hook(__name__)
