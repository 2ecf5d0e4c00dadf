"""The entries that a host reports to: who they are, and how often each hears."""

import collections.abc as abc
import itertools
import random
import threading
import time
import typing as t

import logbook

from bilberrypass.connection import reporting

_log = logbook.Logger("reporters")

_FORGET_ENTRY_S: t.Final = 30.0


@t.final
class Reporters:
    """One reporter for each entry.

    Parameters
    ----------
    source : reporting.Source
        The agent.
    first : list of str
        Peer addresses of entries to begin with; they are never given up.
    interval_s : float
        Time between two reports to one entry while entries are few.
    """

    def __init__(
        self, source: reporting.Source, first: list[str], interval_s: float
    ) -> None:
        self._source = source
        self._first = first
        self._least_s = interval_s
        self._phase = random.random()
        self._sequences = itertools.count(1)
        self._lock = threading.Lock()
        self._reporters: dict[str, reporting.Reporter] = {}
        self._vouched_deadlines: dict[str, float] = {}

    def start(self) -> None:
        """Begin to report to the first entries."""
        for address in self._first:
            self.add(address)

    def stop(self) -> None:
        """End reporting to all."""
        for reporter in self.all():
            reporter.stop()

    @property
    def addresses(self) -> list[str]:
        """The entries' peer addresses."""
        return list(self._reporters)

    @property
    def interval_s(self) -> float:
        """The longest time between two reports to one entry."""
        return max((reporter.interval_s for reporter in self.all()), default=0.0)

    def all(self) -> list[reporting.Reporter]:
        """Return the reporters to all entries."""
        return list(self._reporters.values())

    def add(self, address: str) -> None:
        """Report to one more entry; once more for the same changes nothing."""
        with self._lock:
            if address in self._reporters:
                return
            reporter = reporting.Reporter(
                address, self._source, self._least_s, self._sequences
            )
            self._reporters[address] = reporter
            self._spread()
        reporter.start()

    def _spread(self) -> None:
        reporting.spread(self.all(), self._least_s, self._phase)

    def hear(self, addresses: list[str]) -> None:
        """Report to all entries named, and no more to those long gone."""
        now = time.monotonic()
        for address in addresses:
            self._vouched_deadlines[address] = now + _FORGET_ENTRY_S
            self.add(address)
        for address, deadline in list(self._vouched_deadlines.items()):
            if now > deadline and address not in self._first:
                self._forget(address, now)

    def _forget(self, address: str, now: float) -> None:
        """Stop reporting to an entry that no other names and that is silent."""
        with self._lock:
            reporter = self._reporters.get(address)
            if reporter is None or now < reporter.answered_at + _FORGET_ENTRY_S:
                return
            del self._reporters[address]
            del self._vouched_deadlines[address]
            self._spread()
        reporter.end()
        _log.info("reporters: entry at {} is gone", address)

    def hurry(self) -> None:
        """Have all entries hear now."""
        for reporter in self.all():
            reporter.hurry()

    def hurry_owners(self, shards: abc.Set[int]) -> None:
        """Have the owners of some shards hear now."""
        for reporter in self.all():
            if reporter.shards & shards:
                reporter.hurry()

    def hurry_entry(self, entry: str) -> None:
        """Have one entry hear now."""
        for reporter in self.all():
            if reporter.entry == entry:
                reporter.hurry()

    def find_sent_at(self, entry: str, sequence: int) -> float | None:
        """Return when a recent report was sent to an entry (monotonic seconds)."""
        for reporter in self.all():
            sent_at = reporter.sent_at(sequence)
            if reporter.entry == entry and sent_at is not None:
                return sent_at
        return None
