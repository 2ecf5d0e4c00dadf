"""The checks of runs of cancelled jobs (RULES.md, UNASKED)."""

import collections.abc as abc
import typing as t

from soak import disturbances

# The bounds of the platform's pages.
CANCEL_S: t.Final = 3.0  # cancel_ms
CONTACT_S: t.Final = 3.0  # contact_ms
STOP_TIMEOUT_S: t.Final = 0.4  # stop_timeout_ms


class ActiveRun(t.NamedTuple):
    """A run that is at work; ``is_late`` if its runner carried out the order late.

    Times are in seconds of ``time.monotonic``.
    """

    task: str
    run: int
    host: str
    started_at: float
    is_late: bool


@t.final
class CancelCheck:
    """Finds runs that start or continue too long after a cancellation.

    Parameters
    ----------
    faults : disturbances.Disturbances
        The faults, which excuse only what happens near them.
    """

    def __init__(self, faults: disturbances.Disturbances) -> None:
        self._faults = faults
        self._active: dict[tuple[str, int, str], ActiveRun] = {}

    def on_run_started(self, run: ActiveRun, cancelled_at: float) -> str:
        """Record a start; return why it is a violation, or an empty string.

        A late start is none, but its run has to be stopped. ``cancelled_at`` is when
        the cancellation was acknowledged, 0.0 if it was not.
        """
        self._active[run.task, run.run, run.host] = run
        if not cancelled_at or run.is_late:
            return ""
        in_touch_since = self._faults.calm_since(disturbances.CORE, run.host)
        if run.started_at <= cancelled_at + CANCEL_S:
            return ""
        if run.started_at <= in_touch_since + CONTACT_S:
            return ""
        return f"started {run.started_at - cancelled_at:.2f} s after the cancellation"

    def on_run_ended(self, task: str, run: int, host: str) -> None:
        """Record the end of a run."""
        self._active.pop((task, run, host), None)

    def find_overdue(
        self, now: float, cancelled_at: abc.Callable[[str], float]
    ) -> list[tuple[ActiveRun, str]]:
        """Return each run that should have been stopped, once, and since when it runs.

        ``cancelled_at`` returns when the cancellation of a task's job was
        acknowledged, 0.0 if it was not.
        """
        calm_since = self._faults.calm_since()
        overdue = []
        for key, run in list(self._active.items()):
            cancelled = cancelled_at(run.task)
            if not cancelled:
                continue
            due_at = max(cancelled, calm_since) + CANCEL_S
            if run.is_late:
                due_at = max(due_at, run.started_at + CONTACT_S)
            if now <= due_at + STOP_TIMEOUT_S:
                continue
            del self._active[key]
            overdue.append(
                (
                    run,
                    f"at work {now - run.started_at:.2f} s after its "
                    f"{'late ' * run.is_late}start, {now - cancelled:.2f} s after the "
                    f"cancellation, {now - calm_since:.2f} s after any fault",
                )
            )
        return overdue
