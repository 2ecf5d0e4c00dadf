"""Periodic reports of an agent to one entry, and the entry's responses."""

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

_CALL_TIMEOUT_S: t.Final = 2.0
_MIN_PAUSE_S: t.Final = 0.02
_MAX_KEPT_SENT_TIMES: t.Final = 16
_FULL_RATE_ENTRIES: t.Final = 2
# Requests quote the clock of the newest report; an agent refuses one that is too old.
_MAX_INTERVAL_S: t.Final = 6.0


class ReportSource(t.Protocol):
    """The agent, as seen by its reporters."""

    def report(self, sequence: int) -> messages.Report:
        """Return a report on the host's present state."""

    def handle_response(self, answer: messages.ReportResponse, sent_at: float) -> None:
        """Handle an entry's response to the report sent at ``sent_at`` (monotonic)."""


@t.final
class Reporter:
    """Sends reports to one entry until stopped.

    Parameters
    ----------
    address : str
        The entry's peer address.
    source : ReportSource
        The agent.
    interval_s : float
        Seconds between two reports, except for reports that are requested at once.
    sequences : iterator of int
        Shared by all reporters of the agent, so that a number identifies one report
        even if an entry with the same id returns at another address.

    Attributes
    ----------
    interval_s : float
        Current seconds between two reports; longer if there are many entries.
    shards : frozenset of int
        Shards that the entry owned according to its newest response.
    """

    def __init__(
        self,
        address: str,
        source: ReportSource,
        interval_s: float,
        sequences: abc.Iterator[int],
    ) -> None:
        self.address = address
        self.entry = ""
        self.last_response_at = time.monotonic()
        self._source = source
        self._sequences = sequences
        self.interval_s = interval_s
        self.shards: frozenset[int] = frozenset()
        self._retry_s = interval_s
        self._phase = 0.0
        self._peer = channels.Peer(address)
        self._wake = threading.Event()
        self._stopping = False
        self._sent_at: collections.OrderedDict[int, float] = collections.OrderedDict()
        self._thread = threading.Thread(
            target=self._run, name=f"report-{address}", daemon=True
        )

    def set_schedule(self, interval_s: float, phase: float) -> None:
        """Set the interval in seconds, and the phase within it (0 to 1)."""
        self.interval_s = interval_s
        self._phase = phase

    def start(self) -> None:
        """Start the thread that sends reports."""
        self._thread.start()

    def report_now(self) -> None:
        """Send the next report without waiting for the interval to end."""
        self._wake.set()

    def stop(self) -> None:
        """Stop reporting, and wait for the report in progress."""
        self.request_stop()
        self._thread.join(_CALL_TIMEOUT_S)

    def request_stop(self) -> None:
        """Stop reporting without waiting for the report in progress."""
        self._stopping = True
        self._wake.set()

    def get_sent_at(self, sequence: int) -> float | None:
        """Return when a recent report was sent (monotonic seconds), None if unknown."""
        return self._sent_at.get(sequence)

    def _run(self) -> None:
        while True:
            # A stop that is requested after this check wakes the wait below.
            self._wake.clear()
            if self._stopping:
                break
            began = time.monotonic()
            is_answered = self._send_report(next(self._sequences), began)
            time.sleep(_MIN_PAUSE_S)
            due = self.next_due(began, is_answered)
            self._wake.wait(max(0.0, due - time.monotonic()))
        self._peer.close()

    def next_due(self, began: float, is_answered: bool) -> float:
        """Return when the report after one sent at ``began`` is due (monotonic).

        It does not depend on reports that were requested at once, so that these do
        not synchronise the reports to all entries.
        """
        period = math.floor(began / self.interval_s - self._phase) + 1
        due = (period + self._phase) * self.interval_s
        return due if is_answered else min(due, began + self._retry_s)

    def _send_report(self, sequence: int, began: float) -> bool:
        """Send a report and return whether the entry responded."""
        self._sent_at[sequence] = began
        while len(self._sent_at) > _MAX_KEPT_SENT_TIMES:
            self._sent_at.popitem(last=False)
        try:
            report = self._source.report(sequence)
            response = self._peer.call(channels.REPORT, report, began + _CALL_TIMEOUT_S)
            self.entry = response.entry
            self.last_response_at = time.monotonic()
            self.shards = frozenset(grant.shard for grant in response.grants)
            self._source.handle_response(response, began)
            metrics.count(metrics.Name.REPORTS)
            return True
        except errors.Error as exc:
            metrics.count(metrics.Name.REPORT_FAILURES)
            _log.debug(
                "reporting: no response from entry {}: {}", self.address, exc.detail
            )
        except Exception:
            _log.exception(
                "reporting: report to {} raised an unexpected exception", self.address
            )
        return False


def spread_reports(
    reporters: list[Reporter], min_interval_s: float, phase: float
) -> None:
    """Limit the report rate of a host, and spread its reports over the interval.

    Parameters
    ----------
    reporters : list of Reporter
        The host's reporters, one for each entry.
    min_interval_s : float
        The interval in seconds if there are few entries.
    phase : float
        The host's phase within the interval (0 to 1), different for each host.
    """
    wanted_s = min_interval_s * len(reporters) / _FULL_RATE_ENTRIES
    interval_s = max(min_interval_s, min(wanted_s, _MAX_INTERVAL_S))
    for index, reporter in enumerate(reporters):
        reporter.set_schedule(interval_s, phase + index / len(reporters))
