"""The hosts that an entry knows, by their agents' reports and their silence."""

import threading
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.connection import channels, messages

_log = logbook.Logger("fleet")

_FORGOTTEN_S: t.Final = 3_600.0

# One report may fail and be sent again in this time.
_MISSED_INTERVALS: t.Final = 1.5


class Host(t.NamedTuple):
    """A host by its newest report; ``heard_at`` is monotonic."""

    report: messages.Report
    heard_at: float
    peer: channels.Peer


@t.final
class Fleet:
    """All hosts heard of.

    Parameters
    ----------
    silence_s : float
        Silence after which a host is left out of new work.
    """

    def __init__(self, silence_s: float) -> None:
        self._silence_s = silence_s
        self._lock = threading.Lock()
        self._hosts: dict[str, Host] = {}
        self._by_service: dict[str, set[str]] = {}

    def hear(self, report: messages.Report) -> None:
        """Take in a report.

        Raises
        ------
        errors.Refused
            STALE if a newer agent of the same host is heard, or a newer report was.
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
                self._forget(now)
        if known is None:
            _log.info("fleet: host {} heard at {}", report.host, report.address)

    def _check_order(self, known: Host, report: messages.Report, now: float) -> None:
        before = (known.report.incarnation, known.report.sequence)
        if (report.incarnation, report.sequence) >= before:
            return
        if now <= self._silence_deadline(known):
            raise errors.Refused(
                errors.Kind.STALE,
                f"a newer report of {report.host} was heard; leave this one",
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
        """Return a host, also a silent one."""
        return self._hosts.get(host)

    def all(self) -> list[Host]:
        """Return every host heard of, also silent ones."""
        with self._lock:
            return list(self._hosts.values())

    def is_silent(self, host: Host) -> bool:
        """Tell whether a host has been silent for too long."""
        return time.monotonic() > self._silence_deadline(host)

    def _silence_deadline(self, host: Host) -> float:
        """Return when a host counts as silent; some report more rarely by plan."""
        allowed_s = max(self._silence_s, _MISSED_INTERVALS * host.report.interval_s)
        return host.heard_at + allowed_s

    def live(self) -> list[Host]:
        """Return the hosts that take new work."""
        return [
            host
            for host in self.all()
            if not self.is_silent(host) and not host.report.leaving
        ]

    def serving(self, service: str) -> list[Host]:
        """Return live hosts with an endpoint of the service that stays."""
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

    def knows(self, service: str) -> bool:
        """Tell whether a host that is remembered had an endpoint of the service."""
        return service in self._by_service

    def _index(self, report: messages.Report) -> None:
        for state in report.endpoints:
            self._by_service.setdefault(state.service, set()).add(report.host)

    def _forget(self, now: float) -> None:
        """Drop the hosts that were silent for long; the fleet is replaced at times."""
        gone = [h for h in self._hosts.values() if now > h.heard_at + _FORGOTTEN_S]
        for host in gone:
            del self._hosts[host.report.host]
            host.peer.close()
            for names in self._by_service.values():
                names.discard(host.report.host)
        for service in [s for s, names in self._by_service.items() if not names]:
            del self._by_service[service]
