"""The lives of a soak's runner: each is a process of its own, as its agent sees it."""

import contextlib
import random
import threading
import time
import typing as t

import urllib3

from bilberrypass.connection import serving
from soak import checker, observing
from testing.standins import link, runhttp

MAX_LEASE_MS: t.Final = 6_000  # hold_max_ms, as in the programs' settings
_THREADS: t.Final = 24  # a caller of a lost order occupies one
_MAX_BODY_BYTES: t.Final = 4 << 20
_REPORT_INTERVAL_S: t.Final = 0.3
_REPORT_TIMEOUT_S: t.Final = 1.0
# A caller of a lost order gets no answer while it waits (PROTOCOL.md, run-start).
_LOST_ANSWER_S: t.Final = 2.2  # longer than the agent waits
_EXIT_TIMEOUT_S: t.Final = 1.0
_CLOCK_RATE: t.Final = 0.98  # as slow as runners' clocks may be
_OK: t.Final = 200
_NEW_ID_SHARE: t.Final = 0.1
_LATE_REPORT_SHARE: t.Final = 0.15
_MAX_REPORT_DELAY_S: t.Final = 0.06
_MAX_LATE_REPORT_DELAY_S: t.Final = 0.5


class Start(t.NamedTuple):
    """How a life begins: under which id, and when it first reports."""

    id: str
    report_delay_s: float


def draw_start(rng: random.Random, id: str, has_new_id: bool = False) -> Start:
    """Draw how the life that follows the one under this id begins."""
    name, _, number = id.rpartition("-")
    if rng.random() < _NEW_ID_SHARE or has_new_id:
        id = f"{name}-{int(number) + 1}"
    if rng.random() < _LATE_REPORT_SHARE:
        return Start(id, rng.uniform(_MAX_REPORT_DELAY_S, _MAX_LATE_REPORT_DELAY_S))
    return Start(id, rng.uniform(0.0, _MAX_REPORT_DELAY_S))


@t.final
class Life:
    """One life of a runner, from its start to its crash.

    Parameters
    ----------
    start : Start
        The runner's id, and the time from its start to its first report.
    invariants : checker.InvariantChecker
        Receives the runner's observations.
    host : str
        Name of the runner's host.
    ip : str
        IP address of the runner's host.
    """

    def __init__(
        self, start: Start, invariants: checker.InvariantChecker, host: str, ip: str
    ) -> None:
        self.id = start.id
        self.born = time.time_ns() // 1_000_000
        self.planned_ends: dict[tuple[str, int], tuple[float, str]] = {}
        self.runner = observing.ObservedRunner(
            invariants,
            host,
            life=self.born,
            clock_rate=_CLOCK_RATE,
            max_lease_ms=MAX_LEASE_MS,
        )
        self.cpu_milli = checker.HOST_CPU_MILLI
        self._report_delay_s = start.report_delay_s
        self.drain_acknowledged = threading.Event()
        self._drains_until: float | None = None
        self._report_due = threading.Event()
        self._reports_lock = threading.Lock()
        self._has_no_reports = False
        self._ended = threading.Event()
        self._listener = serving.Listener(
            f"{ip}:0",
            runhttp.RunnerApplication(self.id, self.runner, _LOST_ANSWER_S),
            _THREADS,
            _MAX_BODY_BYTES,
        )
        self._listener.start()
        self.address = self._listener.address

    @property
    def has_ended(self) -> bool:
        """Return whether this life has ended."""
        return self._ended.is_set()

    def start_reports(self, to: str, runner_link: link.Link) -> None:
        """Report to the agent at ``to`` until the end of this life.

        The agent reaches the runner through ``runner_link``.
        """
        threading.Thread(
            target=self._send_reports, args=(to, runner_link), daemon=True
        ).start()

    def _send_reports(self, to: str, runner_link: link.Link) -> None:
        sequence = 0
        delay_s = self._report_delay_s
        while True:
            self._report_due.wait(delay_s)
            self._report_due.clear()
            with self._reports_lock:
                if self._has_no_reports:
                    return
                sequence += 1
                self._send_report(to, runner_link, sequence)
            delay_s = _REPORT_INTERVAL_S

    def _send_report(self, to: str, runner_link: link.Link, sequence: int) -> None:
        left_ms = self._remaining_ms()
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            status = runhttp.send_report(
                to,
                self.id,
                runner_link.address,
                self.born,
                sequence,
                "ready" if left_ms is None else "draining",
                left_ms,
                self.cpu_milli,
                timeout=_REPORT_TIMEOUT_S,
                retries=False,
            )
            if left_ms is not None and status == _OK:
                self.drain_acknowledged.set()

    def _remaining_ms(self) -> int | None:
        if self._drains_until is None:
            return None
        return max(0, int(1_000 * (self._drains_until - time.monotonic())))

    def drain(self, remaining_s: float) -> None:
        """Report at once, and from now on, that this life drains and how long."""
        self._drains_until = time.monotonic() + remaining_s
        self._report_due.set()

    def announce_exit(self, to: str) -> bool:
        """Announce the end of this life after its last report.

        Return whether the agent answered.
        """
        with self._reports_lock:
            self._has_no_reports = True
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            status = runhttp.announce_exit(
                to, self.id, timeout=_EXIT_TIMEOUT_S, retries=False
            )
            return status == _OK
        return False

    def wait(self, timeout_s: float) -> bool:
        """Wait; return whether this life has ended before the time was over."""
        return self._ended.wait(timeout_s)

    def crash(self, by_task: bool = False) -> None:
        """End this life at once; all of its runs are lost."""
        self._ended.set()
        self._has_no_reports = True
        self._report_due.set()
        self.runner.crash(by_task)
        threading.Thread(target=self._listener.stop, daemon=True).start()
