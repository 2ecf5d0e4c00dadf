"""Room that is reserved for a task, and work that may use it until then."""

import math
import typing as t

from bilberrypass.scheduling import (
    hosts,
    jobs,
    placement,
    room_guard,
    room_plan,
    state,
)

_GAP_PENALTY: t.Final = 70_000  # over the cores of most hosts, under remote data


class Precedence(t.NamedTuple):
    """What decides whether a job has to leave the room reserved for another."""

    priority: int
    is_batch: bool
    accepted_at: float


class Reservation(t.NamedTuple):
    """Room on a host for one task of a step; times are on ``clock.now``.

    The room is expected to be free ``at`` a time, and is kept ``until`` another.
    """

    key: jobs.StepKey
    task: state.Task
    precedence: Precedence
    host: str
    made_at: float
    at: float
    until: float


def precedence(job: state.JobState, queue: jobs.Queue) -> Precedence:
    """Return the precedence of a job of a queue."""
    is_batch = not any(step.is_service for step in job.job.steps)
    return Precedence(queue.priority, is_batch, job.accepted_at)


@t.final
class Guard(room_guard.RoomGuard):
    """Keeps room that others reserved from the tasks of one step.

    ``has_refused`` is set once a host was refused that has room; ``hosts`` are those
    with reservations that bind the step.
    """

    def __init__(
        self,
        plan: room_plan.RoomPlan,
        task: state.Task,
        bound: dict[str, Reservation],
        gaps: dict[str, Reservation],
    ) -> None:
        self._plan, self._step = plan, task.step
        self._key = jobs.step_key(task.key)
        self._bound, self._gaps = bound, gaps
        self.duration_s = plan.expected_end(task) - plan.now
        self._latest_end = room_plan.latest_end(plan.now + self.duration_s, plan.now)
        self.hosts = frozenset(bound)
        self.has_refused = False

    def allows(self, host: hosts.Host) -> bool:
        """Return whether a task may use the host's room."""
        kept = self._bound.get(host.name)
        if kept is None or self._leaves_room(kept, host):
            return True
        self.has_refused = True
        return False

    def penalty(self, host: hosts.Host) -> int:
        """Return what is taken off the score of a host that is next in line."""
        gap = self._gaps.get(host.name)
        if gap is None or gap.key == self._key or self._leaves_room(gap, host):
            return 0
        return _GAP_PENALTY

    def _leaves_room(self, kept: Reservation, host: hosts.Host) -> bool:
        """Return whether the task ends before the room is needed, or does not take it.

        The end is expected late by the error margin, since it is not observed yet.
        """
        at = self._plan.earliest_fit(kept.task.step, host).at
        if at == math.inf:
            at = max(kept.at, self._plan.now)
        if self._latest_end <= at:
            return True
        usage = self._plan.usage_at(host, at)
        usage.update(self._step, 1)
        return placement.fits(kept.task.step, usage)
