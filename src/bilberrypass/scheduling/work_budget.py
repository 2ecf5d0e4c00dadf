"""Bounds on the memory that accepted work may hold in an entry that leads."""

import sys
import typing as t

from bilberrypass.scheduling import jobs

# An entry may have 300 MB. It takes 62 MB without work, 132 MB with 1,100 hosts
# (docs/CAPACITY.md), and 40 MB more while it restores: the stored values, a page of the
# store, and one job's progress as it is decoded. What is left is shared here.
MAX_JOBS_BYTES: t.Final = 48 << 20
MAX_OPEN_BYTES: t.Final = 56 << 20
# Of the open work: left to tasks of occurrences that have begun, so that these end.
_ENDING_SHARE: t.Final = 0.25

# Measured with "benchmarks.open_tasks held", rounded up.
TASK_BYTES: t.Final = 1_600
_OCCURRENCE_BYTES: t.Final = 320
_BYTES_PER_STEP_OF_OCCURRENCE: t.Final = 9
_JOB_BYTES: t.Final = 3_000
_STEP_BYTES: t.Final = 600


def occurrence_bytes(steps: int) -> int:
    """Return the memory of an open occurrence with so many steps, without its tasks."""
    return _OCCURRENCE_BYTES + _BYTES_PER_STEP_OF_OCCURRENCE * steps


def job_bytes(job: jobs.Job) -> int:
    """Return the memory of a job of which nothing has begun.

    An occurrence and a task of it are included: each job may begin these.
    """
    held = _JOB_BYTES + sys.getsizeof(job.spec)
    for step in job.steps:
        texts = step.required_label, step.data_rack, step.image
        held += _STEP_BYTES + sys.getsizeof(step.after) + sum(map(sys.getsizeof, texts))
    return held + occurrence_bytes(len(job.steps)) + TASK_BYTES


@t.final
class WorkBudget:
    """What all jobs of one scheduler hold together, in bytes.

    Open work takes from one pool with dynamic thresholds: a job may open more while it
    holds no more than is left. So ``n`` large jobs leave as much as each of them has,
    and a small job need not wait for them. The last quarter of the pool is left to
    tasks of occurrences that have begun, so that these can end.

    For the scheduler's thread only; other threads may read the figures.

    Parameters
    ----------
    max_jobs_bytes : int, optional
        Limit of the jobs themselves, beyond which new ones are refused.
    max_open_bytes : int, optional
        Limit of their open occurrences and tasks.
    """

    __slots__ = ("jobs_bytes", "max_jobs_bytes", "max_open_bytes", "open_bytes")

    def __init__(
        self,
        max_jobs_bytes: int = MAX_JOBS_BYTES,
        max_open_bytes: int = MAX_OPEN_BYTES,
    ) -> None:
        self.max_jobs_bytes = max_jobs_bytes
        self.max_open_bytes = max_open_bytes
        self.jobs_bytes = 0
        self.open_bytes = 0

    def room_to_open(self, held: int) -> int:
        """Return how many bytes a job that holds ``held`` may open more."""
        return self._room(held, int(self.max_open_bytes * (1.0 - _ENDING_SHARE)))

    def room_to_go_on(self, held: int) -> int:
        """Return how many bytes a job may add for tasks of what has begun.

        ``held`` is what it holds for such tasks.
        """
        return self._room(held, self.max_open_bytes)

    def _room(self, held: int, limit: int) -> int:
        # With so much more, the job holds as much as is left.
        return max(0, (limit - self.open_bytes - held) // 2)

    def figures(self) -> dict[str, float]:
        """Return what is held, in megabytes, for the log."""
        return {
            "jobs_mb": round(self.jobs_bytes / 2**20, 1),
            "open_mb": round(self.open_bytes / 2**20, 1),
        }
