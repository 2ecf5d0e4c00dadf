"""Health of the hosts, as an entry observes it in its own requests."""

import threading
import time
import typing as t

import logbook

from bilberrypass.membership import fleet
from bilberrypass.request import routing

_log = logbook.Logger("health")

_EJECTION_FAILURES: t.Final = 5
_MIN_EJECTION_S: t.Final = 1.0
_MAX_EJECTION_S: t.Final = 30.0
_EJECTION_BACKOFF_FACTOR: t.Final = 2.0
_SLOW_START_DURATION_S: t.Final = 5.0
_MIN_SLOW_START_FACTOR: t.Final = 0.1
_MAX_EJECTED_SHARE: t.Final = 0.5
_SERVICE_TIME_SMOOTHING: t.Final = 0.1
_PROBE_TIMEOUT_S: t.Final = 10.0
_RECORD_RETENTION_S: t.Final = 7_200.0


class _Record:
    """Outstanding requests, service time and failures of one service on one host.

    ``ejection_s`` is the length of the last ejection, back to zero once the host has
    been healthy for that long. ``recovered_at`` is the time of the successful probe,
    zero while the host is ejected. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self.outstanding = 0
        self.service_s = 0.0
        self.failures = 0
        self.ejection_s = 0.0
        self.ejected_until = 0.0
        self.probe_deadline = 0.0
        self.recovered_at = 0.0
        self.last_used_at = 0.0

    @property
    def is_ejected(self) -> bool:
        """Whether the host gets no requests until a probe has succeeded."""
        return self.ejection_s > 0.0 and self.recovered_at == 0.0


@t.final
class HostHealth:
    """Outstanding requests, service times and ejections of the hosts.

    Parameters
    ----------
    failure_domain : str
        The failure domain of this entry.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._lock = threading.Lock()
        self._records: dict[tuple[str, str], _Record] = {}

    def candidates(
        self, service: str, hosts: list[fleet.Host]
    ) -> list[routing.Candidate]:
        """Return the hosts that a request may go to, without the ejected ones.

        If more than half of a service's hosts are ejected, all are returned: when most
        fail, the cause is the request or the service, not the hosts. A host whose
        ejection time has ended is returned alone once, so that one request probes it.
        """
        now = time.monotonic()
        with self._lock:
            records = [(host, self._record(service, host)) for host in hosts]
            ejected = [pair for pair in records if pair[1].is_ejected]
            if len(ejected) > _MAX_EJECTED_SHARE * len(records):
                return [self._make_candidate(service, *pair, now) for pair in records]
            for host, record in ejected:
                if now >= record.ejected_until and now >= record.probe_deadline:
                    record.probe_deadline = now + _PROBE_TIMEOUT_S
                    return [self._make_candidate(service, host, record, now)]
            return [
                self._make_candidate(service, host, record, now)
                for host, record in records
                if not record.is_ejected
            ]

    def _record(self, service: str, host: fleet.Host) -> _Record:
        key = (service, host.report.host)
        record = self._records.get(key)
        now = time.monotonic()
        if record is None:
            self._drop_unused(now)
            record = self._records[key] = _Record()
        record.last_used_at = now
        return record

    def _drop_unused(self, now: float) -> None:
        """Drop the records that have not been used within the retention period."""
        unused = [
            k
            for k, r in self._records.items()
            if now > r.last_used_at + _RECORD_RETENTION_S
        ]
        for key in unused:
            del self._records[key]

    def _make_candidate(
        self, service: str, host: fleet.Host, record: _Record, now: float
    ) -> routing.Candidate:
        endpoints = [e for e in host.report.endpoints if e.service == service]
        slots = max(1, sum(e.slots for e in endpoints if not e.leaving))
        reported = sum(e.in_use + e.queued for e in endpoints)
        return routing.Candidate(
            host=host,
            load=max(reported, record.outstanding) / slots,
            service_s=record.service_s,
            is_same_failure_domain=host.report.failure_domain == self._failure_domain,
            slow_start_factor=_slow_start_factor(record, now),
        )

    def record_start(self, service: str, host: fleet.Host) -> None:
        """Count a request sent to the host as outstanding."""
        with self._lock:
            self._record(service, host).outstanding += 1

    def record_end(
        self, service: str, host: fleet.Host, service_s: float, is_failure: bool | None
    ) -> None:
        """Record the end of a request and its outcome.

        Parameters
        ----------
        service : str
            Name of the service.
        host : fleet.Host
            The host that the request was sent to.
        service_s : float
            Duration of the request, in seconds.
        is_failure : bool or None
            Whether the endpoint failed; None if the outcome does not show it.
        """
        with self._lock:
            record = self._record(service, host)
            record.outstanding -= 1
            if is_failure is None:
                record.probe_deadline = 0.0
            elif is_failure:
                self._record_failure(service, host, record)
            else:
                self._record_success(record, service_s)

    def _record_failure(self, service: str, host: fleet.Host, record: _Record) -> None:
        record.failures += 1
        was_probe = record.is_ejected
        if not was_probe and record.failures < _EJECTION_FAILURES:
            return
        next_ejection_s = max(
            _MIN_EJECTION_S, _EJECTION_BACKOFF_FACTOR * record.ejection_s
        )
        now = time.monotonic()
        if was_probe and now < record.ejected_until:
            return
        record.ejection_s = min(_MAX_EJECTION_S, next_ejection_s)
        record.ejected_until = now + record.ejection_s
        record.probe_deadline = 0.0
        record.recovered_at = 0.0
        _log.info(
            "health: {} of {} set aside for {} s after {} failures",
            service,
            host.report.host,
            record.ejection_s,
            record.failures,
        )

    def _record_success(self, record: _Record, service_s: float) -> None:
        error_s = service_s - record.service_s
        record.service_s += error_s * (
            _SERVICE_TIME_SMOOTHING if record.service_s else 1.0
        )
        record.failures = 0
        now = time.monotonic()
        if record.is_ejected:
            record.recovered_at = now
        elif record.ejection_s and now > record.recovered_at + record.ejection_s:
            record.ejection_s = 0.0
            record.recovered_at = 0.0


def _slow_start_factor(record: _Record, now: float) -> float:
    """Return the fraction of its normal load that a host gets after an ejection."""
    if not record.recovered_at:
        return 1.0
    factor = (now - record.recovered_at) / _SLOW_START_DURATION_S
    return min(1.0, max(_MIN_SLOW_START_FACTOR, factor))
