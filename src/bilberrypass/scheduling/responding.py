"""Responses to the agents' reports, built on the threads that serve them."""

import collections.abc as abc
import queue
import threading
import time
import typing as t

from bilberrypass import clock
from bilberrypass.scheduling import messages

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler

_APPLY_TIMEOUT_S: t.Final = 0.08  # the time of a few store calls


@t.final
class Responder:
    """Passes reports to a scheduler and builds the responses; thread-safe.

    Parameters
    ----------
    owner : scheduler.Scheduler
        Applies the reports.
    post : callable
        Has an event executed on the scheduler's thread.
    """

    def __init__(
        self,
        owner: "scheduler.Scheduler",
        post: abc.Callable[[abc.Callable[[], None]], None],
    ) -> None:
        self._scheduler = owner
        self._post = post
        self._write_stored = threading.Condition()

    def on_stored(self) -> None:
        """Wake the calls that wait for the write of ends."""
        with self._write_stored:
            self._write_stored.notify_all()

    def respond(self, report: messages.Report) -> messages.ReportResponse:
        """Apply a report; the response grants a lease if the agent knows its runner."""
        owner = self._scheduler
        now = clock.now()
        lease_s = owner.grants.lease_s(now) if report.runner is not None else 0.0
        host = owner.hosts.get(report.host)
        if host is None:
            owner.unheard_leases_end = max(owner.unheard_leases_end, now + lease_s)
        elif lease_s:
            host.granted_until = max(host.granted_until, now + lease_s)
        if not self._apply(report, now, lease_s):
            host = owner.hosts.get(report.host)
            return messages.ReportResponse(
                True,
                owner.epoch,
                is_cut_off=owner.is_cut_off,
                is_counted=False,
                challenge=host.challenge if host is not None else "",
            )
        if any(row.end for row in report.runs):
            self._await_stored(report)
        noted, settled, pressing, courses = 0, [], [], []
        host = owner.hosts.get(report.host)
        if (
            host is not None
            and report.runner
            and (found := host.read_settled(report.runner.life)) is not None
        ):
            noted, settled = found
            pressing, courses = owner.publisher.rows_if_due(host, now)
        return messages.ReportResponse(
            True,
            owner.epoch,
            lease_s,
            noted,
            settled,
            owner.is_cut_off,
            pressing,
            courses=courses,
        )

    def _apply(self, report: messages.Report, now: float, lease_s: float) -> bool:
        """Return whether a report counts, or can be expected to count if it waits."""
        counted: queue.SimpleQueue[bool] = queue.SimpleQueue()
        self._post(
            lambda: counted.put(self._scheduler.apply_report(report, now, lease_s))
        )
        try:
            return counted.get(timeout=_APPLY_TIMEOUT_S)
        except queue.Empty:
            host = self._scheduler.hosts.get(report.host)
            return host is None or host.agent == report.agent

    def _await_stored(self, report: messages.Report) -> None:
        """Wait for the write of a report's ends so that the response confirms them."""
        newest = max(row.end for row in report.runs)
        deadline = time.monotonic() + _APPLY_TIMEOUT_S
        with self._write_stored:
            while (left := deadline - time.monotonic()) > 0:
                host = self._scheduler.hosts.get(report.host)
                if host is None or host.noted >= newest:
                    return
                self._write_stored.wait(left)
