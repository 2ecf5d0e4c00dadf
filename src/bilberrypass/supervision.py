"""Threads that survive unexpected errors."""

import collections.abc as abc
import threading
import typing as t

import logbook
import prometheus_client as prometheus

_log = logbook.Logger("supervision")

_MIN_BACKOFF_S: t.Final = 0.2
_MAX_BACKOFF_S: t.Final = 5.0

_failures = prometheus.Counter(
    "bilberrypass_thread_failures", "Unexpected errors that ended a thread", ["thread"]
)


@t.final
class SupervisedThread:
    """A daemon thread whose work begins again after an unexpected error.

    Without it, a process whose watch or renewal has ended goes on without it, unseen:
    nobody else takes its duties over.

    Parameters
    ----------
    name : str
        Name of the thread, in logs and in the metric.
    work : callable
        Runs until it is asked to stop; it must bear being begun again.
    stopping : threading.Event
        Set when the work is not to begin again.
    on_failed : callable, optional
        Called after each unexpected error, before the backoff, to leave duties that
        the process can't vouch for.
    """

    def __init__(
        self,
        name: str,
        work: abc.Callable[[], None],
        stopping: threading.Event,
        on_failed: abc.Callable[[], None] | None = None,
    ) -> None:
        self._name = name
        self._work = work
        self._stopping = stopping
        self._on_failed = on_failed
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def join(self, timeout_s: float | None = None) -> None:
        """Wait until the work has ended."""
        self._thread.join(timeout_s)

    def _run(self) -> None:
        backoff_s = _MIN_BACKOFF_S
        while not self._stopping.is_set():
            try:
                self._work()
                return
            except Exception:
                _failures.labels(self._name).inc()
                _log.exception(
                    "supervision: thread {} failed; begins again in {} s",
                    self._name,
                    backoff_s,
                )
                self._leave_duties()
            self._stopping.wait(backoff_s)
            backoff_s = min(_MAX_BACKOFF_S, 2.0 * backoff_s)

    def _leave_duties(self) -> None:
        if self._on_failed is None:
            return
        try:
            self._on_failed()
        except Exception:
            _log.exception("supervision: thread {} left its duties badly", self._name)
