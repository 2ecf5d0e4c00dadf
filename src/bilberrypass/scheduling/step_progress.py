"""How far the steps of an occurrence are, and the tasks of one of its steps."""

import collections.abc as abc
import typing as t

from bilberrypass.scheduling import jobs

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import state

MakeTask = abc.Callable[[jobs.TaskKey, jobs.Step], "state.Task"]

_MIN_SHAPES_KEPT: t.Final = 64


@t.final
class StepProgress:
    """The tasks of one step in one occurrence of a job, as of when it was read.

    Tasks begin in the order of their index, and are dropped when they are done, so that
    memory is needed for open tasks only. ``tasks`` maps the indices of those that have
    begun and are not done; all others before ``next_index`` are done.

    Parameters
    ----------
    key : jobs.StepKey
        The job, the occurrence and the number of the step.
    step : jobs.Step
        What the tasks need.
    next_index : int
        The first index that has not begun.
    tasks : mapping of int to state.Task
        The tasks that have begun and are not done.
    make_task : callable
        Returns a new task.
    """

    __slots__ = ("_make_task", "key", "next_index", "step", "tasks")

    def __init__(
        self,
        key: jobs.StepKey,
        step: jobs.Step,
        next_index: int,
        tasks: "abc.Mapping[int, state.Task]",
        make_task: MakeTask,
    ) -> None:
        self.key, self.step, self._make_task = key, step, make_task
        self.next_index, self.tasks = next_index, tasks

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


@t.final
class Shape:
    """How far the steps of open occurrences are; shared by all that are as far.

    ``next_indices`` has the first index of each step that has not begun, and
    ``eligible`` the steps that may run in an occurrence without a begun task. It is
    empty if all tasks of such an occurrence are done.
    """

    __slots__ = ("eligible", "next_indices")

    def __init__(
        self, next_indices: tuple[int, ...], eligible: tuple[int, ...]
    ) -> None:
        self.next_indices, self.eligible = next_indices, eligible


@t.final
class Shapes:
    """The shapes of a job's open occurrences, of which many have the same.

    Parameters
    ----------
    steps : tuple of jobs.Step
        The steps of the job.
    """

    __slots__ = ("_known", "_steps")

    def __init__(self, steps: tuple[jobs.Step, ...]) -> None:
        self._steps = steps
        self._known: dict[tuple[int, ...], Shape] = {}

    def fresh(self) -> Shape:
        """Return the shape of an occurrence that has not begun."""
        return self.find((0,) * len(self._steps))

    def find(self, next_indices: tuple[int, ...]) -> Shape:
        """Return the shape with these first indices that have not begun."""
        found = self._known.get(next_indices)
        if found is None:
            found = Shape(next_indices, self.eligible(next_indices, ()))
            self._known[next_indices] = found
        return found

    def eligible(
        self, next_indices: tuple[int, ...], begun: abc.Container[int]
    ) -> tuple[int, ...]:
        """Return the steps with open tasks that no earlier step blocks.

        ``begun`` are the steps with tasks that have begun and are not done.
        """
        is_open = [
            next_index < step.count or number in begun
            for number, (step, next_index) in enumerate(
                zip(self._steps, next_indices, strict=True)
            )
        ]
        return tuple(
            number
            for number, step in enumerate(self._steps)
            if is_open[number] and not any(is_open[earlier] for earlier in step.after)
        )

    def forget_unused(self, used: abc.Collection[Shape]) -> None:
        """Forget the shapes that no occurrence has any more, once they are many."""
        if len(self._known) > 2 * len(used) + _MIN_SHAPES_KEPT:
            self._known = {shape.next_indices: shape for shape in used}

    def clear(self) -> None:
        """Forget all shapes."""
        self._known.clear()
