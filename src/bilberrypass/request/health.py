"""What an entry learns of each host from its own requests."""

import threading
import time
import typing as t

import logbook

from bilberrypass.membership import fleet
from bilberrypass.request import routing

_log = logbook.Logger("health")

_EJECTING_FAILURES: t.Final = 5
_FIRST_PAUSE_S: t.Final = 1.0
_LONGEST_PAUSE_S: t.Final = 30.0
_PAUSE_FACTOR: t.Final = 2.0
_SLOW_START_S: t.Final = 5.0
_LEAST_SHARE: t.Final = 0.1
_MAX_EJECTED_SHARE: t.Final = 0.5
_SMOOTHING: t.Final = 0.1
_PROBE_LIFE_S: t.Final = 10.0
_FORGOTTEN_S: t.Final = 7_200.0


class _Record:
    """One service on one host: what is outstanding, how it fares."""

    def __init__(self) -> None:
        self.outstanding = 0
        self.service_s = 0.0
        self.failures = 0
        self.pause_s = 0.0
        self.ejected_until = 0.0
        self.probe_until = 0.0
        self.back_since = 0.0
        self.used_at = 0.0

    @property
    def is_ejected(self) -> bool:
        """Tell whether the host waits for a probe's success."""
        return self.pause_s > 0.0 and self.back_since == 0.0


@t.final
class Health:
    """Outstanding requests, service times and failures of the hosts.

    Parameters
    ----------
    failure_domain : str
        Where the entry stands.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._lock = threading.Lock()
        self._records: dict[tuple[str, str], _Record] = {}

    def candidates(
        self, service: str, hosts: list[fleet.Host]
    ) -> list[routing.Candidate]:
        """Describe the hosts that may be chosen; ejected ones are left out.

        At most half of a service's hosts are left out: where most fail, the
        request or the service is at fault. A host whose pause has ended is
        returned alone once, as a probe.
        """
        now = time.monotonic()
        with self._lock:
            found = [(host, self._record(service, host)) for host in hosts]
            ejected = [pair for pair in found if pair[1].is_ejected]
            if len(ejected) > _MAX_EJECTED_SHARE * len(found):
                return [self._describe(service, *pair, now) for pair in found]
            for host, record in ejected:
                if now >= record.ejected_until and now >= record.probe_until:
                    record.probe_until = now + _PROBE_LIFE_S
                    return [self._describe(service, host, record, now)]
            return [
                self._describe(service, host, record, now)
                for host, record in found
                if not record.is_ejected
            ]

    def _record(self, service: str, host: fleet.Host) -> _Record:
        key = (service, host.report.host)
        record = self._records.get(key)
        now = time.monotonic()
        if record is None:
            self._forget(now)
            record = self._records[key] = _Record()
        record.used_at = now
        return record

    def _forget(self, now: float) -> None:
        """Drop the records of hosts that have been gone for long."""
        old = [k for k, r in self._records.items() if now > r.used_at + _FORGOTTEN_S]
        for key in old:
            del self._records[key]

    def _describe(
        self, service: str, host: fleet.Host, record: _Record, now: float
    ) -> routing.Candidate:
        own = [e for e in host.report.endpoints if e.service == service]
        slots = max(1, sum(e.slots for e in own if not e.leaving))
        reported = sum(e.in_use + e.queued for e in own)
        return routing.Candidate(
            host=host,
            load=max(reported, record.outstanding) / slots,
            service_s=record.service_s,
            is_near=host.report.failure_domain == self._failure_domain,
            share=_share(record, now),
        )

    def begin(self, service: str, host: fleet.Host) -> None:
        """Note that a request goes to the host."""
        with self._lock:
            self._record(service, host).outstanding += 1

    def end(
        self, service: str, host: fleet.Host, service_s: float, is_failure: bool | None
    ) -> None:
        """Note the end of a request.

        Parameters
        ----------
        service : str
            The service.
        host : fleet.Host
            Where the request went.
        service_s : float
            Seconds until its end.
        is_failure : bool or None
            Whether the endpoint failed it; None if that says nothing of it.
        """
        with self._lock:
            record = self._record(service, host)
            record.outstanding -= 1
            if is_failure is None:
                record.probe_until = 0.0
            elif is_failure:
                self._note_failure(service, host, record)
            else:
                self._note_success(record, service_s)

    def _note_failure(self, service: str, host: fleet.Host, record: _Record) -> None:
        record.failures += 1
        was_probe = record.is_ejected
        if not was_probe and record.failures < _EJECTING_FAILURES:
            return
        grown_s = max(_FIRST_PAUSE_S, _PAUSE_FACTOR * record.pause_s)
        now = time.monotonic()
        if was_probe and now < record.ejected_until:
            return
        record.pause_s = min(_LONGEST_PAUSE_S, grown_s)
        record.ejected_until = now + record.pause_s
        record.probe_until = 0.0
        record.back_since = 0.0
        _log.info(
            "health: {} of {} set aside for {} s after {} failures",
            service,
            host.report.host,
            record.pause_s,
            record.failures,
        )

    def _note_success(self, record: _Record, service_s: float) -> None:
        gain = service_s - record.service_s
        record.service_s += gain * (_SMOOTHING if record.service_s else 1.0)
        record.failures = 0
        now = time.monotonic()
        if record.is_ejected:
            record.back_since = now
        elif record.pause_s and now > record.back_since + record.pause_s:
            record.pause_s = 0.0
            record.back_since = 0.0


def _share(record: _Record, now: float) -> float:
    """Return how much of its share a host gets that has just come back."""
    if not record.back_since:
        return 1.0
    grown = (now - record.back_since) / _SLOW_START_S
    return min(1.0, max(_LEAST_SHARE, grown))
