"""Log events and a metric of runs that a runner lists although they were stopped."""

import typing as t

import prometheus_client as prometheus

from bilberrypass.hosting import runner, runs
from bilberrypass.observing import decisions
from bilberrypass.scheduling import messages

# A runner needs up to 0.9 s to stop a run and to list its end.
_LISTED_AFTER_ANSWER_S: t.Final = 1.0
_LISTED_AFTER_ORDER_S: t.Final = 2.0
_LOG_INTERVAL_S: t.Final = 2.0  # for each run
_MAX_LINES_PER_CHECK: t.Final = 10

_still_listed_runs = prometheus.Counter(
    "bilberrypass_runs_still_listed", "Runs listed by a runner long after their stop"
)


@t.final
class StopMonitor:
    """Records the runs of one life of the runner that outlast their stop or end.

    Parameters
    ----------
    info : messages.RunnerInfo
        The runner.
    """

    def __init__(self, info: messages.RunnerInfo) -> None:
        self._info = info
        self._listed_since: dict[runs.RunKey, float] = {}  # of ended runs
        self._next_line_at: dict[runs.RunKey, float] = {}

    def check(
        self,
        table: runs.RunTable,
        snapshot: runner.RunnerSnapshot,
        requested_at: float,
    ) -> None:
        """Record the runs of a snapshot that should not be in it any more.

        Parameters
        ----------
        table : runs.RunTable
            The session's table, updated from the snapshot.
        snapshot : runner.RunnerSnapshot
            The answer of the runner.
        requested_at : float
            When the snapshot was requested, on ``clock.now``.
        """
        found = table.find_stopped((row.task, row.run) for row in snapshot.running)
        listed_since, next_line_at = self._listed_since, self._next_line_at
        self._listed_since, self._next_line_at = {}, {}
        lines_left = _MAX_LINES_PER_CHECK
        for run in found:
            if run.state is runs.State.ENDED:
                since = listed_since.get(run.key, requested_at)
                self._listed_since[run.key] = since
                is_overdue = since < requested_at
            else:
                is_overdue = _is_overdue(run, requested_at)
            if not is_overdue:
                continue
            due_at = next_line_at.get(run.key, 0.0)
            self._next_line_at[run.key] = due_at
            if not due_at:
                _still_listed_runs.inc()
            if due_at <= requested_at and lines_left:
                lines_left -= 1
                self._next_line_at[run.key] = requested_at + _LOG_INTERVAL_S
                self._record(run, requested_at)

    def _record(self, run: runs.Run, now: float) -> None:
        decisions.record(
            "run.still_listed",
            task=run.key[0],
            run=run.key[1],
            life=self._info.life,
            state=run.state.name,
            how=run.outcome,
            ordered_ago_s=_age_s(run.stop_wanted_at, now),
            answered_ago_s=_age_s(_stop_answered_at(run), now),
            listed_for_s=_age_s(run.listed_at, now),
        )


def _stop_answered_at(run: runs.Run) -> float | None:
    """Return when the runner answered the stop of a run; None if it did not."""
    answered_at, wanted_at = run.answered_at, run.stop_wanted_at
    if run.state is not runs.State.STOPPING or answered_at is None:
        return None
    # An earlier answer is that of the run's start.
    return answered_at if wanted_at is not None and answered_at >= wanted_at else None


def _is_overdue(run: runs.Run, now: float) -> bool:
    answered_at = _stop_answered_at(run)
    if answered_at is not None:
        return now - answered_at > _LISTED_AFTER_ANSWER_S
    return (
        run.stop_wanted_at is not None
        and now - run.stop_wanted_at > _LISTED_AFTER_ORDER_S
    )


def _age_s(at: float | None, now: float) -> float | None:
    return None if at is None else round(now - at, 2)
