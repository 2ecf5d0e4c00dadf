"""The tasks of a step that wait for a host."""

import collections.abc as abc
import typing as t

from bilberrypass.scheduling import state, step_progress


@t.final
class WaitingTasks:
    """Tasks of a step that may start now, those that had a run before the fresh ones.

    An object for a fresh task is made when the task is asked for, and kept here only:
    a step may have far more tasks than there is room for.

    Parameters
    ----------
    step : step_progress.StepProgress
        The step.
    begun : sequence of state.Task
        Its tasks that had a run and may start again.
    fresh : int
        How many of its tasks that have not begun may start.
    """

    def __init__(
        self,
        step: step_progress.StepProgress,
        begun: abc.Sequence[state.Task],
        fresh: int,
    ) -> None:
        self._step = step
        self._made = list(begun)
        self._next_index = step.next_index
        self._length = len(self._made) + fresh
        self._first = 0

    def __len__(self) -> int:
        return self._length - self._first

    def __getitem__(self, number: int) -> state.Task:
        if not 0 <= number < len(self):
            raise IndexError(number)
        while len(self._made) <= self._first + number:
            self._made.append(self._step.make_task(self._next_index))
            self._next_index += 1
        return self._made[self._first + number]

    def __iter__(self) -> abc.Iterator[state.Task]:
        return (self[number] for number in range(len(self)))

    def pop_first(self, count: int) -> list[state.Task]:
        """Remove the first tasks and return them."""
        removed = [self[number] for number in range(count)]
        self._first += count
        return removed


def find(step: step_progress.StepProgress, room: int, now: float) -> WaitingTasks:
    """Return the tasks of a step that may start at a time, on ``clock.now``.

    Suspected of crashing their runner are left out. At most ``room`` are fresh.
    """
    begun = [
        task
        for task in step.tasks.values()
        if task.is_waiting and now >= task.not_before and not task.crashes
    ]
    return WaitingTasks(step, begun, min(room, step.fresh_count))
