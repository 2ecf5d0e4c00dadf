"""The order in which jobs get hosts."""

import typing as t

from bilberrypass.scheduling import jobs, state

_LATE_FACTOR: t.Final = 3.0  # RULES.md: up to so many objectives still earn something


class Rank(t.NamedTuple):
    """Sorts jobs; the smallest goes first."""

    priority: int
    lateness: int
    objective_at: float


def chain_s(steps: tuple[jobs.Step, ...], is_open: t.Callable[[int], bool]) -> float:
    """Return the longest chain of the open steps, in seconds by their estimates."""
    ends: list[float] = []
    for number, step in enumerate(steps):
        begins = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begins + (step.estimate_s if is_open(number) else 0.0))
    return max(ends, default=0.0)


def rank(job: state.JobState, queue: jobs.Queue, now: float) -> Rank:
    """Return the rank of a job at a Unix time.

    Answers bursts beyond what the hosts can do: jobs that can still meet their
    objective go first, the earliest objective before others; of the rest, those
    that are merely late before those that nobody waits for any more. In the order
    of acceptance, one burst makes all that follow it late.

    Parameters
    ----------
    job : state.JobState
        With what is left to do.
    queue : jobs.Queue
        Its priority and its objective.
    now : float
        Unix time.
    """
    steps = job.job.steps
    whole_s = chain_s(steps, lambda number: True)
    left_s = chain_s(steps, lambda number: bool(job.open_steps[0, number]))
    allowed_s = queue.stretch * whole_s + queue.latency_objective_s
    begun_at = job.job.accepted_at
    finish_at = now + left_s
    lateness = 0
    if finish_at > begun_at + allowed_s:
        lateness = 1 if finish_at <= begun_at + _LATE_FACTOR * allowed_s else 2
    return Rank(queue.priority, lateness, begun_at + allowed_s)
