"""Logs cancelled and failed jobs whose runs do not end."""

import collections.abc as abc
import typing as t

import prometheus_client as prometheus

from bilberrypass.observing import decisions
from bilberrypass.scheduling import hosts, state

_SLOW_AFTER_S: t.Final = 2.0  # a stop usually takes well under a second
_LOG_INTERVAL_S: t.Final = 2.0
_MAX_LOGGED_RUNS: t.Final = 10

_slow_jobs = prometheus.Gauge(
    "bilberrypass_jobs_stopping_slowly",
    "Cancelled and failed jobs that still have runs after 2 s",
)


@t.final
class SlowStopLogger:
    """Logs the runs that should have ended, so that their hosts' logs can be read."""

    def __init__(self) -> None:
        self._next_at = 0.0

    def tick(
        self,
        jobs: abc.Iterable[state.JobState],
        fleet: abc.Mapping[str, hosts.Host],
        now: float,
    ) -> None:
        """Log one line if the interval has passed; ``now`` is on ``clock.now``."""
        if now < self._next_at:
            return
        slow = [job for job in jobs if 0.0 < job.stopping_since < now - _SLOW_AFTER_S]
        _slow_jobs.set(len(slow))
        if not slow:
            return
        self._next_at = now + _LOG_INTERVAL_S
        oldest = min(slow, key=lambda job: job.stopping_since)
        active = [task for task in oldest.tasks.values() if task.is_active]
        decisions.record(
            "jobs.stopping_slowly",
            jobs=len(slow),
            oldest=oldest.job.id,
            for_s=round(now - oldest.stopping_since, 1),
            runs={
                f"{task.key}/{task.run}": _describe(task, fleet[task.host], now)
                for task in active[:_MAX_LOGGED_RUNS]
            },
        )


def _describe(task: state.Task, host: hosts.Host, now: float) -> dict[str, t.Any]:
    """Return where a run is, and the ages of the host's report and of its order."""
    sent = host.sent.get((str(task.key), task.run))
    return {
        "host": host.name,
        "phase": task.phase.name,
        "stored": task.is_stored,
        "silent_s": round(now - host.reported_at, 1),
        "sent_s": None if sent is None else round(now - sent.at, 1),
    }
