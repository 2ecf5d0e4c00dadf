"""How long the largest jobs of each queue waited for their first start."""

import collections
import math
import typing as t

from bilberrypass.scheduling import durations, state

_MAX_JOBS: t.Final = 200  # of a queue; about what a minute of a busy queue brings
_LARGEST_SHARE: t.Final = 0.1


class Waits(t.NamedTuple):
    """Mean waits of a queue's latest started jobs, in seconds."""

    all_s: float
    largest_tenth_s: float


@t.final
class FirstStartWaits:
    """The waits of the latest jobs of each queue, by their work."""

    def __init__(self) -> None:
        self._jobs: dict[str, collections.deque[tuple[float, float]]] = {}

    def observe(self, job: state.JobState, now: float) -> None:
        """Record that a job has started for the first time, on ``clock.now``."""
        steps = job.job.steps
        work = durations.work_core_s(steps, [step.count for step in steps])
        known = self._jobs.get(job.job.queue)
        if known is None:
            known = self._jobs[job.job.queue] = collections.deque(maxlen=_MAX_JOBS)
        known.append((work, now - job.accepted_at))

    def by_queue(self) -> dict[str, Waits]:
        """Return the mean waits of each queue, of all jobs and of the largest tenth."""
        found = {}
        for queue, known in self._jobs.items():
            by_work = sorted(known, reverse=True)
            largest = by_work[: math.ceil(len(by_work) * _LARGEST_SHARE)]
            found[queue] = Waits(_mean_wait_s(by_work), _mean_wait_s(largest))
        return found


def _mean_wait_s(jobs: list[tuple[float, float]]) -> float:
    return sum(wait_s for _, wait_s in jobs) / len(jobs)
