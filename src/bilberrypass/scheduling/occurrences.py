"""The occurrences of a job, of which only the open ones take memory."""

import collections
import collections.abc as abc
import typing as t

from bilberrypass.scheduling import jobs, step_progress, stored_progress

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import state

_NO_TASKS: t.Final[abc.Mapping[int, "state.Task"]] = {}


# The begun tasks of one occurrence by step and index; steps without any are left out.
_TasksBySteps = dict[int, dict[int, "state.Task"]]


@t.final
class Occurrences:
    """The occurrences of a job; one without repetitions has a single one.

    They begin in their order, each with its first task, and are dropped when all of
    their tasks are done: those before ``next`` that are not kept are done.

    Parameters
    ----------
    job : jobs.Job
        The submission.
    make_task : callable
        Returns a new task of it.
    """

    __slots__ = ("_job", "_make_task", "_open", "_shapes", "_tasks", "next")

    def __init__(self, job: jobs.Job, make_task: step_progress.MakeTask) -> None:
        self._job = job
        self._make_task = make_task
        self.next = 0
        self._open: dict[int, step_progress.Shape] = {}
        self._tasks: dict[int, _TasksBySteps] = {}
        self._shapes = step_progress.Shapes(job.steps)

    @property
    def total(self) -> int:
        """The number of all occurrences."""
        return max(1, self._job.repetitions)

    @property
    def open_occurrences(self) -> int:
        """The number of occurrences that have begun and are not done."""
        return len(self._open)

    @property
    def has_open_tasks(self) -> bool:
        """Whether a task is not done."""
        return bool(self._open) or self.next < self.total

    def begun_tasks(self) -> abc.Iterator["state.Task"]:
        """Yield the tasks that have begun and are not done."""
        for by_step in self._tasks.values():
            for tasks in by_step.values():
                yield from tasks.values()

    def _read_step(
        self, occurrence: int, number: int, shape: step_progress.Shape
    ) -> step_progress.StepProgress:
        by_step = self._tasks.get(occurrence)
        return step_progress.StepProgress(
            (self._job.id, occurrence, number),
            self._job.steps[number],
            shape.next_indices[number],
            _NO_TASKS if by_step is None else by_step.get(number, _NO_TASKS),
            self._make_task,
        )

    def find_step(
        self, occurrence: int, number: int
    ) -> step_progress.StepProgress | None:
        """Return a step of an occurrence that has begun and is not done, or None."""
        shape = self._open.get(occurrence)
        if shape is None or not 0 <= number < len(self._job.steps):
            return None
        return self._read_step(occurrence, number, shape)

    def find_task(self, key: jobs.TaskKey) -> "state.Task | None":
        """Return a task that has begun and is not done, or None."""
        by_step = self._tasks.get(key.occurrence, {})
        return by_step.get(key.step, _NO_TASKS).get(key.index)

    def first_open(self) -> int:
        """Return the first occurrence with a task that is not done, 0 without any."""
        if not self.has_open_tasks:
            return 0
        return min(self._open, default=self.next)

    def open_count(self, occurrence: int, number: int) -> int:
        """Return the number of tasks of a step that are not done."""
        step = self.find_step(occurrence, number)
        if step is not None:
            return step.open_count
        is_fresh = self.next <= occurrence < self.total
        return self._job.steps[number].count if is_fresh else 0

    def _fresh_counts(self) -> list[int]:
        """Return how many tasks of each step have not begun in open occurrences."""
        counts = [0] * len(self._job.steps)
        for shape, alike in collections.Counter(self._open.values()).items():
            for number, next_index in enumerate(shape.next_indices):
                counts[number] += alike * (self._job.steps[number].count - next_index)
        return counts

    def count_open_tasks(self) -> int:
        """Return the number of tasks that are not done, in all occurrences."""
        each = sum(step.count for step in self._job.steps)
        begun = sum(1 for _ in self.begun_tasks())
        return begun + sum(self._fresh_counts()) + (self.total - self.next) * each

    def waiting_counts(self, now: float) -> abc.Iterator[tuple[jobs.Step, int]]:
        """Yield steps with the number of their tasks that wait at a Unix time."""
        fresh = max(0, self._count_due(now) - self.next)
        waiting = collections.Counter(
            task.key.step for task in self.begun_tasks() if task.is_waiting
        )
        for number, in_open in enumerate(self._fresh_counts()):
            step = self._job.steps[number]
            yield step, in_open + waiting[number] + fresh * step.count

    def _count_due(self, now: float) -> int:
        """Return how many occurrences are due at a Unix time."""
        if not self._job.repetitions:
            return 1
        since_s = now - self._job.first_run_at
        if since_s < 0:
            return 0
        if not self._job.interval_s:
            return self.total
        return int(min(self.total, since_s // self._job.interval_s + 1))

    def due_at(self, occurrence: int) -> float:
        """Return the Unix time before which an occurrence may not start."""
        return self._job.first_run_at + occurrence * self._job.interval_s

    def eligible_steps(
        self, now: float, passed: abc.Container[int] = ()
    ) -> abc.Iterator[step_progress.StepProgress]:
        """Yield the steps whose tasks may run at the Unix time ``now``.

        An occurrence follows only if the caller has begun a task of the one before it.

        Parameters
        ----------
        now : float
            Unix time.
        passed : container of int, optional
            Steps that are left out where none of their tasks has begun; the caller may
            add to it meanwhile.
        """
        for occurrence, shape in list(self._open.items()):
            by_step = self._tasks.get(occurrence)
            numbers = shape.eligible
            if by_step is not None:
                numbers = self._shapes.eligible(shape.next_indices, by_step)
            for number in numbers:
                if number not in passed or (by_step and number in by_step):
                    yield self._read_step(occurrence, number, shape)
        while self.next < self.total:
            upcoming = self.next
            if self._job.repetitions and now < self.due_at(upcoming):
                return
            shape = self._shapes.fresh()
            for number in shape.eligible:
                if number not in passed:
                    yield self._read_step(upcoming, number, shape)
            if self.next == upcoming:
                return

    def begin_task(self, task: "state.Task") -> int:
        """Keep a task from its first run on, and those before it that have not begun.

        Returns
        -------
        int
            How many tasks are kept that were not, 0 if this one had begun before.
        """
        occurrence, number, index = task.key[1:]
        if occurrence == self.next:
            self._open[occurrence] = self._shapes.fresh()
            self.next += 1
        next_indices = self._open[occurrence].next_indices
        next_index = next_indices[number]
        if index < next_index:
            return 0
        tasks = self._tasks.setdefault(occurrence, {}).setdefault(number, {})
        for skipped in range(next_index, index):
            key = task.key._replace(index=skipped)
            tasks[skipped] = self._make_task(key, self._job.steps[number])
        tasks[index] = task
        changed = list(next_indices)
        changed[number] = index + 1
        self._open[occurrence] = self._shapes.find(tuple(changed))
        self._shapes.forget_unused(self._open.values())
        return index + 1 - next_index

    def finish_task(self, task: "state.Task") -> bool:
        """Drop a task that is done; return whether it was the last of its occurrence.

        Raises
        ------
        KeyError
            The task has not begun, or was done before.
        """
        occurrence, number, index = task.key[1:]
        by_step = self._tasks[occurrence]
        del by_step[number][index]
        if not by_step[number]:
            del by_step[number]
        if by_step:
            return False
        del self._tasks[occurrence]
        if self._open[occurrence].eligible:
            return False
        del self._open[occurrence]
        return True

    def clear(self) -> None:
        """Drop all tasks of a job that has ended."""
        self._open.clear()
        self._tasks.clear()
        self._shapes.clear()

    def to_stored(self) -> stored_progress.StoredOccurrences:
        """Return what is stored of the occurrences, without the tasks."""
        return stored_progress.StoredOccurrences(
            self.next,
            [
                stored_progress.StoredOccurrence(number, shape.next_indices)
                for number, shape in self._open.items()
            ],
        )

    def restore(
        self,
        stored: stored_progress.StoredOccurrences,
        rows: abc.Iterable[stored_progress.StoredTask],
    ) -> abc.Iterator[tuple["state.Task", stored_progress.StoredTask]]:
        """Restore what is stored, and yield the tasks with their rows.

        Raises
        ------
        ValueError
            The numbers contradict each other or the job.
        """
        if not 0 <= stored.next <= self.total:
            raise ValueError(f"{stored.next} of {self.total} occurrences have begun")
        self.next = stored.next
        steps = self._job.steps
        for number, next_indices in stored.open:
            if not 0 <= number < self.next:
                raise ValueError(f"occurrence {number} is open and has not begun")
            for step, next_index in zip(steps, next_indices, strict=True):
                if not 0 <= next_index <= step.count:
                    raise ValueError(
                        f"occurrence {number}: a step has no task {next_index}"
                    )
            self._open[number] = self._shapes.find(next_indices)
        for row in rows:
            shape = self._open.get(row.occurrence)
            if (
                shape is None
                or not 0 <= row.step < len(steps)
                or not 0 <= row.index < shape.next_indices[row.step]
            ):
                raise ValueError(f"task {row[:3]} has not begun")
            yield self._restore_task(row), row

    def _restore_task(self, row: stored_progress.StoredTask) -> "state.Task":
        key = jobs.TaskKey(self._job.id, row.occurrence, row.step, row.index)
        task = self._make_task(key, self._job.steps[row.step])
        by_step = self._tasks.setdefault(row.occurrence, {})
        by_step.setdefault(row.step, {})[row.index] = task
        return task

    def restore_earlier_form(
        self, rows: abc.Iterable[stored_progress.StoredTask]
    ) -> abc.Iterator[tuple["state.Task", stored_progress.StoredTask]]:
        """Restore rows of all tasks that ever ran; yield the tasks with their rows.

        The caller drops those that are done.
        """
        known = [row for row in rows if self._has_task(row)]
        self.next = max((row.occurrence for row in known), default=-1) + 1
        for number in range(self.next):
            self._open[number] = self._shapes.fresh()
        for row in known:
            key = jobs.TaskKey(self._job.id, row.occurrence, row.step, row.index)
            task = self.find_task(key)
            if task is None:
                task = self._make_task(key, self._job.steps[row.step])
                self.begin_task(task)
            yield task, row

    def reopen_services(self, room: int) -> abc.Iterator["state.Task"]:
        """Keep the tasks of services that have begun and are not kept; yield them.

        Earlier releases dropped them as done when a run of theirs ended so. At most
        ``room`` are kept: as many as can be stored.
        """
        steps = self._job.steps
        services = [number for number, step in enumerate(steps) if step.is_service]
        all_begun = tuple(step.count for step in steps)
        for occurrence in range(self.next) if services else ():
            shape = self._open.get(occurrence)
            next_indices = all_begun if shape is None else shape.next_indices
            for number in services:
                begun = self._tasks.get(occurrence, {}).get(number, _NO_TASKS)
                if len(begun) == next_indices[number]:
                    continue
                for index in range(next_indices[number]):
                    if index in begun:
                        continue
                    if not room:
                        return
                    room -= 1
                    self._open.setdefault(occurrence, self._shapes.find(next_indices))
                    key = jobs.TaskKey(self._job.id, occurrence, number, index)
                    task = self._make_task(key, steps[number])
                    by_step = self._tasks.setdefault(occurrence, {})
                    by_step.setdefault(number, {})[index] = task
                    yield task

    def _has_task(self, row: stored_progress.StoredTask) -> bool:
        steps = self._job.steps
        is_known = 0 <= row.occurrence < self.total and 0 <= row.step < len(steps)
        return is_known and 0 <= row.index < steps[row.step].count
