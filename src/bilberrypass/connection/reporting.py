"""An agent's connection to one entry: reports out, grants and configuration in."""

import collections
import threading
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.connection import channels, messages
from bilberrypass.process import metrics

_log = logbook.Logger("reporting")

_CALL_S: t.Final = 2.0
_LEAST_GAP_S: t.Final = 0.02
_KEPT_REPORTS: t.Final = 16


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
    """

    def __init__(self, address: str, source: Source, interval_s: float) -> None:
        self.address = address
        self.entry = ""
        self.answered_at = time.monotonic()
        self._source = source
        self._interval_s = interval_s
        self._peer = channels.Peer(address)
        self._hurry = threading.Event()
        self._stopping = False
        self._sent_at: collections.OrderedDict[int, float] = collections.OrderedDict()
        self._thread = threading.Thread(
            target=self._run, name=f"report-{address}", daemon=True
        )

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
        sequence = 0
        while not self._stopping:
            sequence += 1
            self._hurry.clear()
            began = time.monotonic()
            self._report_once(sequence, began)
            time.sleep(_LEAST_GAP_S)
            self._hurry.wait(max(0.0, began + self._interval_s - time.monotonic()))
        self._peer.close()

    def _report_once(self, sequence: int, began: float) -> None:
        self._sent_at[sequence] = began
        while len(self._sent_at) > _KEPT_REPORTS:
            self._sent_at.popitem(last=False)
        try:
            report = self._source.report(sequence)
            answer = self._peer.call(channels.REPORT, report, began + _CALL_S)
            self.entry = answer.entry
            self.answered_at = time.monotonic()
            self._source.hear(answer, began)
            metrics.count(metrics.Name.REPORTS)
        except errors.Error as exc:
            metrics.count(metrics.Name.REPORT_FAILURES)
            _log.debug("reporting: {} did not answer: {}", self.address, exc.detail)
        except Exception:
            _log.exception("reporting: report to {} failed", self.address)
