"""An agent's connection to one entry: reports out, grants and configuration in."""

import collections
import collections.abc as abc
import math
import threading
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.connection import channels, messages
from bilberrypass.observing import metrics

_log = logbook.Logger("reporting")

_CALL_S: t.Final = 2.0
_LEAST_GAP_S: t.Final = 0.02
_KEPT_REPORTS: t.Final = 16
_FULL_RATE_ENTRIES: t.Final = 2
# Entries quote the clock of a report, which must not grow too old on the way.
_LONGEST_INTERVAL_S: t.Final = 6.0


class Source(t.Protocol):
    """What a reporter asks of its agent."""

    def report(self, sequence: int) -> messages.Report:
        """Describe the host as it is now."""

    def hear(self, answer: messages.Reported, sent_at: float) -> None:
        """Take in an entry's answer."""


@t.final
class Reporter:
    """Reports to one entry until stopped.

    Parameters
    ----------
    address : str
        The entry's peer address.
    source : Source
        The agent.
    interval_s : float
        Time between two reports; a hurried one comes at once.
    sequences : iterator of int
        Shared by all reporters of the agent: a number names one report only, also
        where an entry of the same id comes back at another address.

    Attributes
    ----------
    interval_s : float
        The present time between two reports; longer where entries are many.
    shards : frozenset of int
        Shards that the entry owned at its newest answer.
    """

    def __init__(
        self,
        address: str,
        source: Source,
        interval_s: float,
        sequences: abc.Iterator[int],
    ) -> None:
        self.address = address
        self.entry = ""
        self.answered_at = time.monotonic()
        self._source = source
        self._sequences = sequences
        self.interval_s = interval_s
        self.shards: frozenset[int] = frozenset()
        self._retry_s = interval_s
        self._phase = 0.0
        self._peer = channels.Peer(address)
        self._hurry = threading.Event()
        self._stopping = False
        self._sent_at: collections.OrderedDict[int, float] = collections.OrderedDict()
        self._thread = threading.Thread(
            target=self._run, name=f"report-{address}", daemon=True
        )

    def pace(self, interval_s: float, phase: float) -> None:
        """Report from now on at this interval, at a share of it (0 to 1)."""
        self.interval_s = interval_s
        self._phase = phase

    def start(self) -> None:
        """Begin to report."""
        self._thread.start()

    def hurry(self) -> None:
        """Have the next report go out now."""
        self._hurry.set()

    def stop(self) -> None:
        """End reporting after the report in progress."""
        self.end()
        self._thread.join(_CALL_S)

    def end(self) -> None:
        """End reporting without waiting for it."""
        self._stopping = True
        self._hurry.set()

    def sent_at(self, sequence: int) -> float | None:
        """Return when a recent report was sent (monotonic seconds)."""
        return self._sent_at.get(sequence)

    def _run(self) -> None:
        while not self._stopping:
            self._hurry.clear()
            began = time.monotonic()
            is_answered = self._report_once(next(self._sequences), began)
            time.sleep(_LEAST_GAP_S)
            due = self.next_due(began, is_answered)
            self._hurry.wait(max(0.0, due - time.monotonic()))
        self._peer.close()

    def next_due(self, began: float, is_answered: bool) -> float:
        """Return when the report after one sent at a time is due (monotonic).

        It does not depend on when hurried reports went out, so that these do not
        draw the reports to all entries together.
        """
        turn = math.floor(began / self.interval_s - self._phase) + 1
        due = (turn + self._phase) * self.interval_s
        return due if is_answered else min(due, began + self._retry_s)

    def _report_once(self, sequence: int, began: float) -> bool:
        """Report, and tell whether the entry answered."""
        self._sent_at[sequence] = began
        while len(self._sent_at) > _KEPT_REPORTS:
            self._sent_at.popitem(last=False)
        try:
            report = self._source.report(sequence)
            answer = self._peer.call(channels.REPORT, report, began + _CALL_S)
            self.entry = answer.entry
            self.answered_at = time.monotonic()
            self.shards = frozenset(grant.shard for grant in answer.grants)
            self._source.hear(answer, began)
            metrics.count(metrics.Name.REPORTS)
            return True
        except errors.Error as exc:
            metrics.count(metrics.Name.REPORT_FAILURES)
            _log.debug("reporting: {} did not answer: {}", self.address, exc.detail)
        except Exception:
            _log.exception("reporting: report to {} failed", self.address)
        return False


def spread(reporters: list[Reporter], least_s: float, phase: float) -> None:
    """Bound the reports of a host, and spread them evenly over the interval.

    Parameters
    ----------
    reporters : list of Reporter
        The host's reporters to all entries.
    least_s : float
        The interval towards few entries.
    phase : float
        The host's own share of the interval, unlike those of other hosts.
    """
    wanted_s = least_s * len(reporters) / _FULL_RATE_ENTRIES
    interval_s = max(least_s, min(wanted_s, _LONGEST_INTERVAL_S))
    for place, reporter in enumerate(reporters):
        reporter.pace(interval_s, phase + place / len(reporters))
