"""The hosts that an entry knows from the reports of their agents."""

import threading
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.connection import channels, messages

_log = logbook.Logger("fleet")

_HOST_RETENTION_S: t.Final = 3_600.0

# Allows one report to fail and be retried.
_ALLOWED_INTERVALS: t.Final = 1.5


class Host(t.NamedTuple):
    """A host with its newest report and when it arrived (monotonic seconds)."""

    report: messages.Report
    reported_at: float
    peer: channels.Peer


@t.final
class Fleet:
    """All hosts that have reported to this entry.

    Parameters
    ----------
    silence_s : float
        Seconds without a report after which a host gets no new work.
    """

    def __init__(self, silence_s: float) -> None:
        self._silence_s = silence_s
        self._lock = threading.Lock()
        self._hosts: dict[str, Host] = {}
        self._by_service: dict[str, set[str]] = {}

    def handle_report(self, report: messages.Report) -> None:
        """Record a report.

        Raises
        ------
        errors.Refused
            STALE if a newer report of the host, or one of a newer agent on it, has
            arrived and the host is not silent.
        """
        now = time.monotonic()
        with self._lock:
            known = self._hosts.get(report.host)
            if known is not None:
                self._check_order(known, report, now)
            peer = self._peer_for(known, report)
            self._hosts[report.host] = Host(report, now, peer)
            self._index(report)
            if known is None:
                self._drop_expired(now)
        if known is None:
            _log.info(
                "fleet: first report from host {} at {}", report.host, report.address
            )

    def _check_order(self, known: Host, report: messages.Report, now: float) -> None:
        newest = (known.report.incarnation, known.report.sequence)
        if (report.incarnation, report.sequence) >= newest:
            return
        if now <= self._silence_deadline(known):
            raise errors.Refused(
                errors.Kind.STALE,
                f"a newer report of host {report.host} has arrived; drop this one",
            )

    def _peer_for(self, known: Host | None, report: messages.Report) -> channels.Peer:
        if known is None:
            return channels.Peer(report.address)
        same_agent = known.report.incarnation == report.incarnation
        if same_agent and known.peer.address == report.address:
            return known.peer
        known.peer.close()
        return channels.Peer(report.address)

    def get(self, host: str) -> Host | None:
        """Return a host, including a silent one, or None if it is not known."""
        return self._hosts.get(host)

    def all(self) -> list[Host]:
        """Return all known hosts, including silent ones."""
        with self._lock:
            return list(self._hosts.values())

    def is_silent(self, host: Host) -> bool:
        """Return whether a host has not reported within the time allowed."""
        return time.monotonic() > self._silence_deadline(host)

    def _silence_deadline(self, host: Host) -> float:
        """Return when a host counts as silent; some have a longer report interval."""
        allowed_s = max(self._silence_s, _ALLOWED_INTERVALS * host.report.interval_s)
        return host.reported_at + allowed_s

    def available(self) -> list[Host]:
        """Return the hosts that accept new work: neither silent nor leaving."""
        return [
            host
            for host in self.all()
            if not self.is_silent(host) and not host.report.leaving
        ]

    def serving(self, service: str) -> list[Host]:
        """Return available hosts with a service endpoint that is not leaving."""
        with self._lock:
            names = self._by_service.get(service, set())
            hosts = [self._hosts[name] for name in names]
        return [
            host
            for host in hosts
            if not self.is_silent(host)
            and not host.report.leaving
            and any(
                e.service == service and not e.leaving for e in host.report.endpoints
            )
        ]

    def is_known_service(self, service: str) -> bool:
        """Return whether a known host has or had an endpoint of the service."""
        return service in self._by_service

    def _index(self, report: messages.Report) -> None:
        for state in report.endpoints:
            self._by_service.setdefault(state.service, set()).add(report.host)

    def _drop_expired(self, now: float) -> None:
        """Drop hosts that were silent for long, as hosts are replaced over time."""
        expired = [
            h for h in self._hosts.values() if now > h.reported_at + _HOST_RETENTION_S
        ]
        for host in expired:
            del self._hosts[host.report.host]
            host.peer.close()
            for names in self._by_service.values():
                names.discard(host.report.host)
        for service in [s for s, names in self._by_service.items() if not names]:
            del self._by_service[service]
