"""The order in which jobs are placed on hosts."""

import typing as t

from bilberrypass.scheduling import jobs, state

# RULES.md: a job that finishes within this many objectives still has some value.
_MAX_LATENESS_FACTOR: t.Final = 3.0


class Rank(t.NamedTuple):
    """Sort key of jobs, smallest first; ``objective_at`` is on ``clock.now``."""

    priority: int
    lateness: int
    objective_at: float


def critical_path_s(
    steps: tuple[jobs.Step, ...], is_open: t.Callable[[int], bool]
) -> float:
    """Return the critical path of the open steps, in seconds by their estimates."""
    end_times_s: list[float] = []
    for number, step in enumerate(steps):
        start_s = max((end_times_s[earlier] for earlier in step.after), default=0.0)
        end_times_s.append(start_s + (step.estimate_s if is_open(number) else 0.0))
    return max(end_times_s, default=0.0)


def rank(job: state.JobState, queue: jobs.Queue, now: float) -> Rank:
    """Return the rank of a job at a time on ``clock.now``.

    Handles bursts that exceed the capacity of the hosts. Jobs that can still meet
    their objective go first, by the earliest objective; then late jobs whose result
    is still useful, then the rest. In the order of acceptance, one burst would make
    all later jobs miss their objective.

    Parameters
    ----------
    job : state.JobState
        The job, with its open steps.
    queue : jobs.Queue
        The queue, with its priority and its latency objective.
    now : float
        Time on ``clock.now``.
    """
    steps = job.job.steps
    total_s = critical_path_s(steps, lambda number: True)
    remaining_s = critical_path_s(steps, lambda number: bool(job.open_steps[0, number]))
    allowed_s = queue.stretch * total_s + queue.latency_objective_s
    accepted_at = job.accepted_at
    finish_at = now + remaining_s
    lateness = 0
    if finish_at > accepted_at + allowed_s:
        lateness = (
            1 if finish_at <= accepted_at + _MAX_LATENESS_FACTOR * allowed_s else 2
        )
    return Rank(queue.priority, lateness, accepted_at + allowed_s)
