"""The order of jobs under a burst that the hosts cannot finish in time."""

import time

from bilberrypass.scheduling import jobs, ordering, state
from testing import collecting

QUEUE = jobs.Queue("q", "p", priority=2, stretch=2.0, latency_objective_s=1.0)


def _job(id, age_s, *estimates_s, now):
    steps = tuple(
        jobs.Step(1, estimate_s=e, after=(n - 1,) if n else ())
        for n, e in enumerate(estimates_s)
    )
    return state.JobState(jobs.Job(id, "q", "", steps, now - age_s))


def _ranked(found, now):
    return sorted(found, key=lambda job: ordering.rank(job, QUEUE, now))


def test_jobs_that_can_still_be_in_time_go_before_those_that_cannot():
    now = time.time()
    late, fresh = (
        _job("late", 20.0, 5.0, 5.0, now=now),
        _job("fresh", 1.0, 5.0, now=now),
    )
    assert [job.job.id for job in _ranked([late, fresh], now)] == ["fresh", "late"]


def test_among_those_in_time_the_earliest_objective_goes_first():
    now = time.time()
    long, short = _job("long", 1.0, 5.0, 5.0, now=now), _job("short", 0.0, 2.0, now=now)
    assert [job.job.id for job in _ranked([long, short], now)] == ["short", "long"]


def test_a_job_far_beyond_its_objective_goes_last():
    now = time.time()
    lost, late = (
        _job("lost", 70.0, 5.0, 5.0, now=now),
        _job("late", 25.0, 5.0, 5.0, now=now),
    )
    assert [job.job.id for job in _ranked([lost, late], now)] == ["late", "lost"]


def test_priority_goes_before_all():
    now = time.time()
    job = _job("j", 70.0, 5.0, now=now)
    urgent = ordering.rank(job, QUEUE._replace(priority=0), now)
    assert urgent < ordering.rank(_job("k", 0.0, 5.0, now=now), QUEUE, now)


def test_the_chain_follows_the_steps_that_are_left():
    steps = (
        jobs.Step(1, estimate_s=3.0),
        jobs.Step(1, estimate_s=1.0),
        jobs.Step(1, estimate_s=2.0, after=(0, 1)),
    )
    assert ordering.chain_s(steps, lambda number: True) == 5.0
    assert ordering.chain_s(steps, lambda number: number == 2) == 2.0


def test_one_burst_makes_fewer_late_than_the_order_of_acceptance():
    """Play forty jobs of 4 s on two places, in both orders."""

    def in_time(order):
        now, waiting, count = 1_000.0, list(range(40)), 0
        jobs_at = {n: 1_000.0 + n for n in waiting}
        free = [now, now]
        while waiting:
            at = min(free)
            come = [n for n in waiting if jobs_at[n] <= at]
            if not come:
                free[free.index(at)] = jobs_at[waiting[0]]
                continue
            states = {
                n: state.JobState(
                    jobs.Job(
                        str(n), "q", "", (jobs.Step(1, estimate_s=4.0),), jobs_at[n]
                    )
                )
                for n in come
            }
            chosen = order(states, at)
            waiting.remove(chosen)
            free[free.index(at)] = at + 4.0
            count += at + 4.0 <= jobs_at[chosen] + 9.0
        return count

    by_acceptance = in_time(lambda states, at: min(states))
    by_rank = in_time(
        lambda states, at: min(
            states, key=lambda n: ordering.rank(states[n], QUEUE, at)
        )
    )
    assert by_rank >= 1.5 * by_acceptance, (by_rank, by_acceptance)


load_tests = collecting.hook(__name__)
