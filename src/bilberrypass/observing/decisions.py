"""Structured decision log: JSON lines on standard output through a bounded queue.

Recording never blocks: lines are dropped and counted while the queue is full.
"""

import queue
import sys
import threading
import time
import typing as t

import logbook
import msgspec
import prometheus_client as prometheus

_MAX_QUEUED_LINES: t.Final = 4_000  # under 2 MB at the usual 400 bytes per line
_MAX_LINES_PER_WRITE: t.Final = 200
_WRITE_INTERVAL_S: t.Final = 0.1

_dropped_lines = prometheus.Counter(
    "bilberrypass_log_lines_dropped", "Log lines dropped because the queue was full"
)
_pending_lines: queue.Queue[dict[str, t.Any]] = queue.Queue(_MAX_QUEUED_LINES)
_context: dict[str, str] = {}
_encode = msgspec.json.Encoder(enc_hook=str).encode


def record(event: str, **fields: t.Any) -> None:
    """Log a decision or a change in the process's view of the cluster.

    Parameters
    ----------
    event : str
        A short fixed name, such as ``job.accepted``.
    **fields
        The id of the request or job, the inputs with their age or version, the outcome.
    """
    line = {"at": round(time.time(), 3), "event": event, **_context, **fields}
    try:
        _pending_lines.put_nowait(line)
    except queue.Full:
        _dropped_lines.inc()


@t.final
class Dependency:
    """Logs when a dependency of the process fails and when it recovers.

    Parameters
    ----------
    name : str
        Prefix of the logged events, such as ``store``.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._lost_at: float | None = None
        self._failures = 0

    def failed(self, why: object) -> None:
        """Count a failed call; only the first of consecutive failures is logged."""
        self._failures += 1
        if self._lost_at is None:
            self._lost_at = time.monotonic()
            record(f"{self._name}.lost", why=str(why))

    def worked(self) -> None:
        """Log the recovery if the previous call failed."""
        if self._lost_at is not None:
            lost_s = round(time.monotonic() - self._lost_at, 3)
            self._lost_at = None
            record(f"{self._name}.regained", lost_s=lost_s, failures=self._failures)
            self._failures = 0


def _write_lines() -> None:
    out = sys.stdout.buffer
    while True:
        batch = [_pending_lines.get()]
        time.sleep(_WRITE_INTERVAL_S)
        while len(batch) < _MAX_LINES_PER_WRITE and not _pending_lines.empty():
            batch.append(_pending_lines.get())
        out.write(b"".join(_encode(line) + b"\n" for line in batch))
        out.flush()


class _DecisionLogHandler(logbook.Handler):
    """Adds the records of ordinary loggers to the decision log."""

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue one record as an event ``log.<channel>``."""
        fields = {"level": record.level_name.lower(), "message": record.message}
        if record.formatted_exception:
            fields["exception"] = record.formatted_exception
        globals()["record"](f"log.{record.channel}", **fields)


def install(node: str, role: str) -> None:
    """Start the writer thread; lines recorded before are written too."""
    _context.update(node=node, role=role)
    _DecisionLogHandler(level=logbook.INFO).push_application()
    threading.Thread(target=_write_lines, name="decisions", daemon=True).start()


def flush(timeout_s: float) -> None:
    """Wait until the queue is empty or the timeout expires, then one write interval.

    The interval gives the writer thread time to write the last batch.
    """
    deadline = time.monotonic() + timeout_s
    while not _pending_lines.empty() and time.monotonic() < deadline:
        time.sleep(_WRITE_INTERVAL_S)
    time.sleep(_WRITE_INTERVAL_S)
