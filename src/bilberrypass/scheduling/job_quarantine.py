"""Jobs on which the scheduler failed unexpectedly, and which it leaves alone since."""

import typing as t

import logbook
import prometheus_client as prometheus

from bilberrypass.observing import decisions

_log = logbook.Logger("job_quarantine")

_set_aside = prometheus.Gauge(
    "bilberrypass_jobs_set_aside",
    "Jobs on which the scheduler failed, and which it leaves alone",
)


@t.final
class JobQuarantine:
    """The jobs that one scheduler has set aside.

    One job on which it fails would otherwise take down the scheduler, and each process
    that is elected after it, since the next one loads the same job.
    """

    def __init__(self) -> None:
        self._ids: set[str] = set()
        self._is_stopped = False
        _set_aside.set_function(self._count)

    def _count(self) -> int:
        return 0 if self._is_stopped else len(self._ids)

    def __contains__(self, id: str) -> bool:
        return id in self._ids

    def add(self, id: str, during: str, exc: Exception) -> None:
        """Set a job aside after an unexpected error; ``during`` names the step."""
        _log.error(
            "job_quarantine: job {} set aside, its {} failed", id, during, exc_info=exc
        )
        decisions.record("job.set_aside", job=id, during=during, why=repr(exc))
        self._ids.add(id)

    def stop(self) -> None:
        """Count no jobs any more, since their scheduler has stopped."""
        self._is_stopped = True
