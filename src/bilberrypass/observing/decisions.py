"""Structured decision log: JSON lines on standard output, bounded, never blocking."""

import queue
import sys
import threading
import time
import typing as t

import logbook
import msgspec
import prometheus_client as prometheus

_QUEUE_LINES: t.Final = 4_000  # under 2 MB at the usual 400 bytes a line
_FLUSH_LINES: t.Final = 200
_FLUSH_INTERVAL_S: t.Final = 0.1

_dropped = prometheus.Counter(
    "bilberrypass_log_lines_dropped", "Log lines dropped because the queue was full"
)
_lines: queue.Queue[dict[str, t.Any]] = queue.Queue(_QUEUE_LINES)
_context: dict[str, str] = {}
_encode = msgspec.json.Encoder(enc_hook=str).encode


def record(event: str, **fields: t.Any) -> None:
    """Log one decision or one change of what the process believes.

    Parameters
    ----------
    event : str
        A short fixed name, such as ``job.accepted``.
    **fields
        The request or job id, the inputs with their age or version, the outcome.
    """
    line = {"at": round(time.time(), 3), "event": event, **_context, **fields}
    try:
        _lines.put_nowait(line)
    except queue.Full:
        _dropped.inc()


@t.final
class Dependency:
    """Logs when something that a process relies on is lost and regained.

    Parameters
    ----------
    name : str
        What it is, such as ``store``.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._lost_at: float | None = None
        self._failures = 0

    def failed(self, why: object) -> None:
        """Record a failed call; only the first of a row is logged."""
        self._failures += 1
        if self._lost_at is None:
            self._lost_at = time.monotonic()
            record(f"{self._name}.lost", why=str(why))

    def worked(self) -> None:
        """Record a call that was answered."""
        if self._lost_at is not None:
            lost_s = round(time.monotonic() - self._lost_at, 3)
            self._lost_at = None
            record(f"{self._name}.regained", lost_s=lost_s, failures=self._failures)
            self._failures = 0


def _write() -> None:
    out = sys.stdout.buffer
    while True:
        batch = [_lines.get()]
        time.sleep(_FLUSH_INTERVAL_S)
        while len(batch) < _FLUSH_LINES and not _lines.empty():
            batch.append(_lines.get())
        out.write(b"".join(_encode(line) + b"\n" for line in batch))
        out.flush()


class _Handler(logbook.Handler):
    """Puts ordinary log records into the decision log."""

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue one record."""
        fields = {"level": record.level_name.lower(), "message": record.message}
        if record.formatted_exception:
            fields["exception"] = record.formatted_exception
        globals()["record"](f"log.{record.channel}", **fields)


def install(node: str, role: str) -> None:
    """Begin to write; lines queued before are kept."""
    _context.update(node=node, role=role)
    _Handler(level=logbook.INFO).push_application()
    threading.Thread(target=_write, name="decisions", daemon=True).start()


def flush(timeout_s: float) -> None:
    """Wait until what is queued is written, but not longer than the time given."""
    deadline = time.monotonic() + timeout_s
    while not _lines.empty() and time.monotonic() < deadline:
        time.sleep(_FLUSH_INTERVAL_S)
    time.sleep(_FLUSH_INTERVAL_S)
