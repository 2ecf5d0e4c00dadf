"""The occurrences of a job, of which only the open ones take memory."""

import collections.abc as abc
import typing as t

from bilberrypass.scheduling import jobs, stored_progress

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import state

MakeTask = abc.Callable[[jobs.TaskKey, jobs.Step], "state.Task"]


@t.final
class StepProgress:
    """The tasks of one step in one occurrence of a job.

    Tasks begin in the order of their index, and are dropped when they are done, so that
    memory is needed for open tasks only. ``tasks`` maps the indices of those that have
    begun and are not done; all others before ``next_index`` are done.

    Parameters
    ----------
    key : jobs.StepKey
        The job, the occurrence and the number of the step.
    step : jobs.Step
        What the tasks need.
    make_task : callable
        Returns a new task.
    """

    __slots__ = ("_make_task", "key", "next_index", "step", "tasks")

    def __init__(self, key: jobs.StepKey, step: jobs.Step, make_task: MakeTask) -> None:
        self.key, self.step, self._make_task = key, step, make_task
        self.next_index = 0
        self.tasks: dict[int, state.Task] = {}

    @property
    def open_count(self) -> int:
        """The number of tasks that are not done."""
        return self.fresh_count + len(self.tasks)

    @property
    def fresh_count(self) -> int:
        """The number of tasks that have not begun."""
        return self.step.count - self.next_index

    def make_task(self, index: int) -> "state.Task":
        """Return a new object for a task, which has not begun."""
        return self._make_task(jobs.TaskKey(*self.key, index), self.step)

    def add(self, task: "state.Task") -> None:
        """Keep a task, and those before it that have not begun."""
        index = task.key.index
        for skipped in range(self.next_index, index):
            self.tasks[skipped] = self.make_task(skipped)
        self.next_index = max(self.next_index, index + 1)
        self.tasks[index] = task


Steps = tuple[StepProgress, ...]


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

    __slots__ = ("_job", "_make_task", "_open", "_upcoming", "next")

    def __init__(self, job: jobs.Job, make_task: MakeTask) -> None:
        self._job = job
        self._make_task = make_task
        self.next = 0
        self._open: dict[int, Steps] = {}
        self._upcoming: Steps = ()  # of the next occurrence, once it is due

    @property
    def total(self) -> int:
        """The number of all occurrences."""
        return max(1, self._job.repetitions)

    @property
    def has_open_tasks(self) -> bool:
        """Whether a task is not done."""
        return bool(self._open) or self.next < self.total

    def _open_steps(self) -> abc.Iterator[StepProgress]:
        for steps in self._open.values():
            yield from steps

    def begun_tasks(self) -> abc.Iterator["state.Task"]:
        """Yield the tasks that have begun and are not done."""
        for step in self._open_steps():
            yield from step.tasks.values()

    def find_step(self, occurrence: int, number: int) -> StepProgress | None:
        """Return a step of an occurrence that has begun and is not done, or None."""
        steps = self._open.get(occurrence, ())
        return steps[number] if 0 <= number < len(steps) else None

    def find_task(self, key: jobs.TaskKey) -> "state.Task | None":
        """Return a task that has begun and is not done, or None."""
        step = self.find_step(key.occurrence, key.step)
        return None if step is None else step.tasks.get(key.index)

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

    def count_open_tasks(self) -> int:
        """Return the number of tasks that are not done, in all occurrences."""
        each = sum(step.count for step in self._job.steps)
        begun = sum(step.open_count for step in self._open_steps())
        return begun + (self.total - self.next) * each

    def waiting_counts(self, now: float) -> abc.Iterator[tuple[jobs.Step, int]]:
        """Yield steps with the number of their tasks that wait at a Unix time."""
        for found in self._open_steps():
            waiting = sum(task.is_waiting for task in found.tasks.values())
            yield found.step, found.fresh_count + waiting
        fresh = max(0, self._count_due(now) - self.next)
        for step in self._job.steps if fresh else ():
            yield step, fresh * step.count

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

    def eligible_steps(self, now: float) -> abc.Iterator[StepProgress]:
        """Yield the steps whose tasks may run at the Unix time ``now``.

        An occurrence follows only if the caller has begun a task of the one before it.
        """
        for steps in list(self._open.values()):
            yield from _unblocked(steps)
        while self.next < self.total:
            upcoming = self.next
            if self._job.repetitions and now < self.due_at(upcoming):
                return
            self._upcoming = self._upcoming or self._make_steps(upcoming)
            yield from _unblocked(self._upcoming)
            if self.next == upcoming:
                return

    def _make_steps(self, occurrence: int) -> Steps:
        return tuple(
            StepProgress((self._job.id, occurrence, number), step, self._make_task)
            for number, step in enumerate(self._job.steps)
        )

    def begin_task(self, task: "state.Task") -> bool:
        """Keep a task from its first run on; return False if it had begun before."""
        occurrence = task.key.occurrence
        if occurrence == self.next:
            self._open[occurrence] = self._upcoming or self._make_steps(occurrence)
            self._upcoming = ()
            self.next += 1
        step = self._open[occurrence][task.key.step]
        if task.key.index < step.next_index:
            return False
        step.add(task)
        return True

    def finish_task(self, task: "state.Task") -> None:
        """Drop a task that is done."""
        occurrence = task.key.occurrence
        steps = self._open[occurrence]
        del steps[task.key.step].tasks[task.key.index]
        if not any(step.open_count for step in steps):
            del self._open[occurrence]

    def clear(self) -> None:
        """Drop all tasks of a job that has ended."""
        self._open.clear()
        self._upcoming = ()

    def to_stored(self) -> stored_progress.StoredOccurrences:
        """Return what is stored of the occurrences, without the tasks."""
        return stored_progress.StoredOccurrences(
            self.next,
            [
                stored_progress.StoredOccurrence(n, [step.next_index for step in steps])
                for n, steps in self._open.items()
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
        for number, next_indices in stored.open:
            if not 0 <= number < self.next:
                raise ValueError(f"occurrence {number} is open and has not begun")
            steps = self._open[number] = self._make_steps(number)
            for step, next_index in zip(steps, next_indices, strict=True):
                if not 0 <= next_index <= step.step.count:
                    raise ValueError(f"step {step.key} has no task {next_index}")
                step.next_index = next_index
        for row in rows:
            step = self.find_step(row.occurrence, row.step)
            if step is None or not 0 <= row.index < step.next_index:
                raise ValueError(f"task {row[:3]} has not begun")
            task = step.tasks[row.index] = step.make_task(row.index)
            yield task, row

    def restore_earlier_form(
        self, rows: abc.Iterable[stored_progress.StoredTask]
    ) -> abc.Iterator[tuple["state.Task", stored_progress.StoredTask]]:
        """Restore rows of all tasks that ever ran; yield the tasks with their rows.

        The caller drops those that are done.
        """
        known = [row for row in rows if self._has_task(row)]
        self.next = max((row.occurrence for row in known), default=-1) + 1
        for number in range(self.next):
            self._open[number] = self._make_steps(number)
        for row in known:
            step = self._open[row.occurrence][row.step]
            task = step.tasks.get(row.index) or step.make_task(row.index)
            step.add(task)
            yield task, row

    def reopen_services(self, room: int) -> abc.Iterator["state.Task"]:
        """Keep the tasks of services that have begun and are not kept; yield them.

        Earlier releases dropped them as done when a run of theirs ended so. At most
        ``room`` are kept: as many as can be stored.
        """
        services = [n for n, step in enumerate(self._job.steps) if step.is_service]
        for number in range(self.next) if services else ():
            steps = self._open.get(number)
            if steps is None:
                steps = self._make_steps(number)
                for found in steps:
                    found.next_index = found.step.count
            for found in map(steps.__getitem__, services):
                for index in range(found.next_index):
                    if index in found.tasks:
                        continue
                    if not room:
                        return
                    room -= 1
                    self._open.setdefault(number, steps)
                    task = found.tasks[index] = found.make_task(index)
                    yield task

    def _has_task(self, row: stored_progress.StoredTask) -> bool:
        steps = self._job.steps
        is_known = 0 <= row.occurrence < self.total and 0 <= row.step < len(steps)
        return is_known and 0 <= row.index < steps[row.step].count


def _unblocked(steps: Steps) -> abc.Iterator[StepProgress]:
    """Yield the steps with open tasks that no earlier step blocks."""
    for found in steps:
        is_blocked = any(steps[earlier].open_count for earlier in found.step.after)
        if found.open_count and not is_blocked:
            yield found
