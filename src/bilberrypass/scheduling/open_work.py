"""What the open work of one job holds, and how much more of it may begin."""

import typing as t

from bilberrypass.scheduling import jobs, stored_progress, work_budget

# Shares of a stored value up to which occurrences may begin, and then tasks of these.
# The rest is left for checkpoints, which grow while tasks run.
_MAX_SHARE_OPENED: t.Final = 0.5
_MAX_SHARE_BEGUN: t.Final = 0.875


@t.final
class OpenWork:
    """The open occurrences and the begun tasks of a job, in memory and as stored.

    Parameters
    ----------
    job : jobs.Job
        The job.
    max_bytes : int
        Limit of its stored progress.
    budget : work_budget.WorkBudget
        What all jobs of the scheduler hold together.
    """

    __slots__ = (
        "_bare_bytes",
        "_budget",
        "_held",
        "_held_by_tasks",
        "_job_bytes",
        "_max_bytes",
        "_memory_bytes",
        "_occurrences",
        "_stored_bytes",
        "_tasks",
        "_unencoded_tasks",
    )

    def __init__(
        self, job: jobs.Job, max_bytes: int, budget: work_budget.WorkBudget
    ) -> None:
        self._max_bytes = max_bytes
        self._budget = budget
        self._job_bytes = work_budget.job_bytes(job)
        # Of an open occurrence, without its tasks.
        self._memory_bytes = work_budget.occurrence_bytes(len(job.steps))
        self._stored_bytes = stored_progress.max_occurrence_bytes(job)
        self._occurrences = self._tasks = 0
        self._held = self._held_by_tasks = 0
        self._bare_bytes = self._unencoded_tasks = 0
        budget.jobs_bytes += self._job_bytes

    def add(self, occurrences: int, tasks: int, checkpoints: int = 0) -> None:
        """Count open occurrences, begun tasks and bytes of checkpoints.

        Parameters
        ----------
        occurrences, tasks, checkpoints : int
            How many there are more; negative if there are less.
        """
        self._occurrences += occurrences
        self._tasks += tasks
        self._unencoded_tasks += max(0, tasks)
        for_tasks = tasks * work_budget.TASK_BYTES + checkpoints
        added = occurrences * self._memory_bytes + for_tasks
        self._held_by_tasks += for_tasks
        self._held += added
        self._budget.open_bytes += added

    def record_encoded(self, bare_bytes: int) -> None:
        """Record the length of the progress as stored, without checkpoints."""
        self._bare_bytes, self._unencoded_tasks = bare_bytes, 0

    def _left(self, share: float) -> int:
        """Return how many bytes of a share of the stored value are left."""
        row = stored_progress.MAX_ROW_BYTES
        stored = self._occurrences * self._stored_bytes + self._tasks * row
        # Tasks with many crashes take more than a usual row.
        encoded = self._bare_bytes + self._unencoded_tasks * row
        return int(self._max_bytes * share) - max(stored, encoded)

    def room_to_open(self) -> int:
        """Return how many tasks may begin in an occurrence that has not begun.

        A job without an open occurrence may begin one with one task.
        """
        memory = self._budget.room_to_open(self._held) - self._memory_bytes
        stored = self._left(_MAX_SHARE_OPENED) - self._stored_bytes
        return _tasks_in(memory, stored, least=int(not self._occurrences))

    def room_to_go_on(self) -> int:
        """Return how many tasks may begin in occurrences that have begun.

        What ends an occurrence may use more memory and bytes than what begins one, and
        a job without a begun task may begin one: else nothing might ever make room.
        """
        memory = self._budget.room_to_go_on(self._held_by_tasks)
        stored = self._left(_MAX_SHARE_BEGUN)
        return _tasks_in(memory, stored, least=int(not self._tasks))

    def drop(self) -> None:
        """Count nothing as open any more."""
        self._budget.open_bytes -= self._held
        self._occurrences = self._tasks = self._held = self._held_by_tasks = 0

    def release(self) -> None:
        """Count the job itself no more either."""
        self.drop()
        self._budget.jobs_bytes -= self._job_bytes
        self._job_bytes = 0


def _tasks_in(memory: int, stored: int, least: int) -> int:
    """Return how many tasks fit into so many bytes of memory and of a stored value."""
    by_memory = memory // work_budget.TASK_BYTES
    return max(least, min(by_memory, stored // stored_progress.MAX_ROW_BYTES))
