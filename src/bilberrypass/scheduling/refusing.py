"""Refuses submissions that can no longer be served, as the leader forecasts."""

import collections.abc as abc
import threading
import typing as t

import prometheus_client as prometheus

from bilberrypass import clock, decoding, errors
from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    admission,
    committing,
    intake_limit,
    jobs,
    keyvalue,
    queue_forecast,
    retry_advice,
)

_decided = prometheus.Counter(
    "bilberrypass_admissions", "Submissions by what the forecast said", ["why"]
)
_unreadable = prometheus.Counter(
    "bilberrypass_forecasts_unreadable", "Stored forecasts that could not be read"
)
# Callers return over so many seconds, in the order of their refusals.
_MAX_RETURN_S: t.Final = 5.0

MakeRefused = abc.Callable[[str, float, float], bool]


@t.final
class Gate:
    """Refuses submissions of one entry by the leader's forecast and its limit.

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
        Whether anything is refused by the forecast.
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
        self._limit = intake_limit.Limit()
        self._returns = retry_advice.ReturnSchedule()
        self._lock = threading.Lock()

    def on_change(self, change: keyvalue.Change, known_since: float) -> None:
        """Take in a change of a key that was made after ``known_since``.

        A record that cannot be read counts as absent.
        """
        if change.key == intake_limit.LIMIT_KEY and change.value is not None:
            try:
                limit = intake_limit.decode(change.value)
            except decoding.UnreadableError as exc:
                decisions.record("intake.limit_unreadable", why=str(exc))
                return
            self._limit.update(limit, known_since)
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
        """Refuse a job for which there is no memory, or that would end far too late.

        It is refused only once no earlier attempt of its submission can take effect.
        If the store does not confirm that, the job goes on as without a forecast.

        Raises
        ------
        errors.Refused
            OVERLOADED, with the time after which the caller may return.
        """
        now = clock.now()
        if self._limit.is_full(self._leader_epoch(), now):
            self._refuse_for_memory(job, now, deadline)
        queue = self._queue_of(job.queue) if self._is_enabled else None
        if queue is None:
            return
        with self._lock:
            now = clock.now()
            verdict = self._admission.decide(job, queue, self._leader_epoch(), now)
        _decided.labels(verdict.why).inc()
        if not verdict.is_refused:
            return
        if not self._rule_out(job, verdict.retry_after_s, deadline):
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

    def _rule_out(self, job: jobs.Job, retry_after_s: float, deadline: float) -> bool:
        """Return whether no earlier attempt of a submission can take effect."""
        try:
            return self._make_refused(job.id, retry_after_s, deadline)
        except errors.Error as exc:
            decisions.record("job.rejection_failed", job=job.id, why=str(exc))
            return False

    def _refuse_for_memory(self, job: jobs.Job, now: float, deadline: float) -> None:
        retry_after_s = float(self._returns.assign(now, 0.0, _MAX_RETURN_S))
        if not self._rule_out(job, retry_after_s, deadline):
            return
        _decided.labels("no memory").inc()
        decisions.record(
            "job.rejected_for_memory", job=job.id, retry_after_s=retry_after_s
        )
        raise errors.Refused(
            errors.Kind.OVERLOADED,
            "the accepted jobs take all the memory that the scheduler has for jobs; "
            "the job is not stored, retry later",
            retry_after_s=retry_after_s,
        )
