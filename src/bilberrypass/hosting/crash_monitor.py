"""Tells crashes of the runner from cuts, and keeps the runs that it had begun."""

import threading
import typing as t

import prometheus_client as prometheus

from bilberrypass import clock, errors
from bilberrypass.hosting import runner, runs
from bilberrypass.observing import decisions
from bilberrypass.scheduling import messages

_MAX_LOGGED_RUNS: t.Final = 30
# The runner's clock may run fast by 2%; half a percent is added as a
# safety margin.
_MAX_CLOCK_MS_PER_S: t.Final = 1_025.0

_crashes = prometheus.Counter(
    "bilberrypass_runner_crashes", "Lives of the runner that ended without notice"
)


@t.final
class CrashMonitor:
    """Watches the calls to one life of the runner; thread-safe.

    A process that ends closes its connections, and its address refuses new ones. A
    runner that is cut off or whose host lost power is silent instead.

    Parameters
    ----------
    table : runs.RunTable
        The runs of this life.
    """

    def __init__(self, table: runs.RunTable) -> None:
        self._table = table
        self._lock = threading.Lock()
        self._clock_ms = 0
        self._lost_at: float | None = None
        self._begun: list[runs.Run] = []
        self._is_refused = False

    @property
    def is_down(self) -> bool:
        """Whether the runner's address has refused a connection since its answer."""
        return self._is_refused

    def on_answer(self, clock_ms: int) -> None:
        """Record that the runner was up when its clock showed this time."""
        with self._lock:
            self._clock_ms = max(self._clock_ms, clock_ms)
            self._lost_at, self._begun, self._is_refused = None, [], False

    def on_failure(self, exc: errors.Error) -> None:
        """Record a failed call; the first one of a crash fixes its time."""
        if not isinstance(exc, runner.NotListening | runner.ConnectionClosed):
            return
        with self._lock:
            self._is_refused |= isinstance(exc, runner.NotListening)
            if self._lost_at is None:
                self._lost_at = clock.now()
                self._begun = self._table.started_runs()

    def describe_crash(
        self, life: int, expected_end: float | None
    ) -> messages.RunnerCrash | None:
        """Return what was lost since the last answer; None if no connection broke.

        Also None if that was after ``expected_end``, on ``clock.now``, from when on
        the runner may leave.
        """
        with self._lock:
            if self._lost_at is None:
                return None
            if expected_end is not None and self._lost_at >= expected_end:
                return None
            return messages.RunnerCrash(
                life,
                [
                    messages.StartedRun(
                        *run.key,
                        self._min_age_s(run),
                        max(0.0, self._lost_at - at),
                    )
                    for run in self._begun
                    if (at := run.started_at) is not None
                ],
            )

    def _min_age_s(self, run: runs.Run) -> float:
        """Return for how long a run existed, at least, by the runner's own clock."""
        if run.begun_clock_ms is None:
            return 0.0
        return max(0.0, (self._clock_ms - run.begun_clock_ms) / _MAX_CLOCK_MS_PER_S)


def record_crash(crash: messages.RunnerCrash) -> None:
    """Record a crash, which the next life of the runner has confirmed."""
    _crashes.inc()
    youngest = sorted(crash.runs, key=lambda run: run.age_s)[:_MAX_LOGGED_RUNS]
    decisions.record(
        "runner.crashed",
        life=crash.life,
        begun=len(crash.runs),
        age_s={f"{run.task}/{run.run}": round(run.age_s, 3) for run in youngest},
    )
