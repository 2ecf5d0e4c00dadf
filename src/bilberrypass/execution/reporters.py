"""The set of entries that a host reports to, and the interval of the reports."""

import collections.abc as abc
import itertools
import random
import threading
import time
import typing as t

import logbook

from bilberrypass.connection import reporting

_log = logbook.Logger("reporters")

_ENTRY_EXPIRY_S: t.Final = 30.0


@t.final
class Reporters:
    """The reporters of a host, one for each known entry.

    Parameters
    ----------
    source : reporting.ReportSource
        The agent, which creates the reports.
    initial : list of str
        Peer addresses of the initial entries, which are never removed.
    interval_s : float
        Shortest interval of reports to one entry, in seconds; it grows with the
        number of entries.
    """

    def __init__(
        self, source: reporting.ReportSource, initial: list[str], interval_s: float
    ) -> None:
        self._source = source
        self._initial = initial
        self._min_interval_s = interval_s
        self._phase = random.random()
        self._sequences = itertools.count(1)
        self._lock = threading.Lock()
        self._reporters: dict[str, reporting.Reporter] = {}
        self._mention_expiries: dict[str, float] = {}

    def start(self) -> None:
        """Start reporting to the initial entries."""
        for address in self._initial:
            self.add(address)

    def stop(self) -> None:
        """Stop all reporters."""
        for reporter in self.all():
            reporter.stop()

    @property
    def addresses(self) -> list[str]:
        """The peer addresses of all known entries."""
        return list(self._reporters)

    @property
    def interval_s(self) -> float:
        """The longest interval of reports to one entry in seconds, 0.0 without any."""
        return max((reporter.interval_s for reporter in self.all()), default=0.0)

    def all(self) -> list[reporting.Reporter]:
        """Return the reporters to all entries."""
        return list(self._reporters.values())

    def add(self, address: str) -> None:
        """Start reporting to an entry; does nothing if it is already known."""
        with self._lock:
            if address in self._reporters:
                return
            reporter = reporting.Reporter(
                address, self._source, self._min_interval_s, self._sequences
            )
            self._reporters[address] = reporter
            self._spread_reports()
        reporter.start()

    def _spread_reports(self) -> None:
        reporting.spread_reports(self.all(), self._min_interval_s, self._phase)

    def update_entries(self, addresses: list[str]) -> None:
        """Report to these entries, and stop reporting to expired ones.

        An entry expires after 30 s in which it neither was in such a list nor answered
        a report.
        """
        now = time.monotonic()
        for address in addresses:
            self._mention_expiries[address] = now + _ENTRY_EXPIRY_S
            self.add(address)
        for address, deadline in list(self._mention_expiries.items()):
            if now > deadline and address not in self._initial:
                self._remove_if_silent(address, now)

    def _remove_if_silent(self, address: str, now: float) -> None:
        """Stop reporting to an entry, unless it has answered recently."""
        with self._lock:
            reporter = self._reporters.get(address)
            if reporter is None or now < reporter.last_response_at + _ENTRY_EXPIRY_S:
                return
            del self._reporters[address]
            del self._mention_expiries[address]
            self._spread_reports()
        reporter.request_stop()
        _log.info("reporters: entry at {} removed: it no longer answers", address)

    def report_now(self) -> None:
        """Send a report to all entries now."""
        for reporter in self.all():
            reporter.report_now()

    def report_now_to_owners(self, shards: abc.Set[int]) -> None:
        """Send a report to the owners of these shards now."""
        for reporter in self.all():
            if reporter.shards & shards:
                reporter.report_now()

    def report_now_to_entry(self, entry: str) -> None:
        """Send a report to one entry now."""
        for reporter in self.all():
            if reporter.entry == entry:
                reporter.report_now()

    def draw_sequence(self) -> int:
        """Return a number that is lower than those of all reports created later."""
        return next(self._sequences)

    def find_sent_at(self, entry: str, sequence: int) -> float | None:
        """Return the monotonic time at which a recent report was sent, or None."""
        for reporter in self.all():
            sent_at = reporter.get_sent_at(sequence)
            if reporter.entry == entry and sent_at is not None:
                return sent_at
        return None
