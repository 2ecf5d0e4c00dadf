"""Refuses submissions that can no longer be served, as the leader forecasts."""

import collections.abc as abc
import threading
import typing as t

import prometheus_client as prometheus

from bilberrypass import clock, errors
from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    admission,
    committing,
    jobs,
    keyvalue,
    queue_forecast,
)

_decided = prometheus.Counter(
    "bilberrypass_admissions", "Submissions by what the forecast said", ["why"]
)
_unreadable = prometheus.Counter(
    "bilberrypass_forecasts_unreadable", "Stored forecasts that could not be read"
)

MakeRefused = abc.Callable[[str, float, float], bool]


@t.final
class Gate:
    """Keeps the forecast of the leader, and refuses submissions of one entry by it.

    Parameters
    ----------
    make_refused : callable
        Given an id, a Retry-After in seconds and a deadline, rules out that a job with
        this id is stored by an attempt that was sent before; returns False if one is
        stored.
    queue_of : callable
        Returns the queue with a name, or None.
    leader_epoch : callable
        Returns the epoch of the leader, 0 without one.
    is_enabled : bool
        Whether anything is refused.
    """

    def __init__(
        self,
        make_refused: MakeRefused,
        queue_of: abc.Callable[[str], jobs.Queue | None],
        leader_epoch: abc.Callable[[], int],
        is_enabled: bool,
    ) -> None:
        self._make_refused = make_refused
        self._queue_of = queue_of
        self._leader_epoch = leader_epoch
        self._is_enabled = is_enabled
        self._admission = admission.Admission()
        self._lock = threading.Lock()

    def on_change(self, change: keyvalue.Change, known_since: float) -> None:
        """Take in a change of a key that was made after ``known_since``.

        A forecast that cannot be read counts as absent.
        """
        if change.key != committing.FORECAST_KEY or change.value is None:
            return
        try:
            record = queue_forecast.decode(change.value)
        except ValueError as exc:
            _unreadable.inc()
            decisions.record("forecast.unreadable", why=str(exc))
            return
        with self._lock:
            self._admission.update(record, known_since)

    def check(self, job: jobs.Job, deadline: float) -> None:
        """Refuse a job that is forecast to end long after it is of use.

        It is refused only once no earlier attempt of its submission can take effect.
        If the store does not confirm that, the job goes on as without a forecast.

        Raises
        ------
        errors.Refused
            OVERLOADED, with the time after which the caller may return.
        """
        queue = self._queue_of(job.queue) if self._is_enabled else None
        if queue is None:
            return
        with self._lock:
            now = clock.now()
            verdict = self._admission.decide(job, queue, self._leader_epoch(), now)
        _decided.labels(verdict.why).inc()
        if not verdict.is_refused:
            return
        try:
            if not self._make_refused(job.id, verdict.retry_after_s, deadline):
                return
        except errors.Error as exc:
            decisions.record("job.rejection_failed", job=job.id, why=str(exc))
            return
        decisions.record(
            "job.rejected",
            job=job.id,
            queue=job.queue,
            end_s=round(verdict.end_s, 2),
            useful_s=round(verdict.useful_s, 2),
            objective_s=round(verdict.useful_s / queue_forecast.MAX_LATENESS_FACTOR, 2),
            ahead_core_s=round(verdict.ahead_core_s),
            retry_after_s=round(verdict.retry_after_s, 2),
            forecast=verdict.forecast,
        )
        raise errors.Refused(
            errors.Kind.OVERLOADED,
            f"the job would end in {verdict.end_s:.0f} s, and is of use for "
            f"{verdict.useful_s:.0f} s; it is not stored, retry later",
            retry_after_s=verdict.retry_after_s,
        )
