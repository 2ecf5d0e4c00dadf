"""What steps with reservations were promised, and the log of what became of it."""

import math
import typing as t

from bilberrypass.observing import decisions
from bilberrypass.scheduling import jobs, state

_MAX_SLIPS: t.Final = 3
_GIVEN_UP_FOR_S: t.Final = 5.0
_FORGET_AFTER_S: t.Final = 10.0
_MAX_LINES_PER_S: t.Final = 4


@t.final
class Promise:
    """When a step that waits is to start, and how often that has slipped.

    ``until`` is the latest time at which its room is expected, on ``clock.now``;
    ``is_reserved`` is set once room was reserved for it.
    """

    __slots__ = (
        "_seen_at",
        "_slips",
        "_waiting",
        "given_up_until",
        "is_reserved",
        "until",
    )

    def __init__(self) -> None:
        self.until = math.inf
        self.given_up_until = 0.0
        self.is_reserved = False
        self._slips = 0
        self._waiting = 0
        self._seen_at = 0.0

    def observe(self, waiting: int, now: float) -> None:
        """Record how many tasks wait; after a start the promise begins anew."""
        self._seen_at = now
        if waiting != self._waiting:
            self._waiting, self._slips = waiting, 0
            self.until, self.is_reserved = math.inf, False

    def reserve(self, at: float, until: float) -> None:
        """Record that room is expected at a time, and at the latest at another."""
        self.is_reserved = True
        self.until = until if at > self.until else min(self.until, until)

    def count_slip(self, now: float) -> bool:
        """Count that the room comes later than promised; return if it is given up."""
        self._slips += 1
        if self._slips <= _MAX_SLIPS:
            return False
        self.given_up_until = now + _GIVEN_UP_FOR_S
        self._slips, self.until, self.is_reserved = 0, math.inf, False
        return True

    def is_outdated(self, now: float) -> bool:
        """Return whether the step has not asked for room for long."""
        return now > max(self._seen_at + _FORGET_AFTER_S, self.given_up_until)


@t.final
class ReservationLog:
    """Logs changes of reservations, a bounded number each second."""

    def __init__(self) -> None:
        self._lines = float(_MAX_LINES_PER_S)
        self._at = 0.0

    def begin_round(self, now: float) -> None:
        """Allow further lines for the time since the last round."""
        allowed = self._lines + (now - self._at) * _MAX_LINES_PER_S
        self._lines, self._at = min(_MAX_LINES_PER_S, allowed), now

    def record(self, event: str, task: state.Task, **fields: t.Any) -> None:
        """Log a change that concerns a task, unless there were too many."""
        if self._lines < 1.0:
            return
        self._lines -= 1.0
        key = task.key
        decisions.record(
            event,
            job=key.job,
            step=f"{key.occurrence}.{key.step}",
            cores=task.step.cpu_milli / jobs.MILLI_PER_CORE,
            memory_mb=task.step.memory_mb,
            **fields,
        )
