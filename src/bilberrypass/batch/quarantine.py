"""Quarantine of hosts on which the tasks of several jobs fail."""

import threading
import time
import typing as t

import logbook

_log = logbook.Logger("quarantine")

_MIN_FAILURES: t.Final = 4
_MIN_FAILED_JOBS: t.Final = 2
_INITIAL_PAUSE_S: t.Final = 10.0
_MAX_PAUSE_S: t.Final = 600.0


class _Record(t.NamedTuple):
    """Consecutive failures on a host.

    ``pause_s`` is the length of the next pause. ``paused_until`` and ``probe_until``
    are monotonic times, 0 while there is no pause and no probe.
    """

    failures: int = 0
    jobs: frozenset[tuple[str, str]] = frozenset()
    pause_s: float = _INITIAL_PAUSE_S
    paused_until: float = 0.0
    probe_until: float = 0.0


@t.final
class Quarantine:
    """Pauses placement on a host after consecutive failures of several jobs.

    As with a circuit breaker, one task at a time probes a host whose pause is over.
    Each failed probe doubles the pause up to a maximum, and a task that finishes
    ends the quarantine.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: dict[str, _Record] = {}

    def record_failure(self, host: str, job: tuple[str, str]) -> None:
        """Record a failed task; pause the host if enough tasks or its probe failed."""
        now = time.monotonic()
        with self._lock:
            known = self._records.get(host, _Record())
            failures, jobs = known.failures + 1, known.jobs | {job}
            record = known._replace(failures=failures, jobs=jobs)
            is_probe = known.paused_until > 0
            if is_probe or (
                failures >= _MIN_FAILURES and len(jobs) >= _MIN_FAILED_JOBS
            ):
                record = record._replace(
                    pause_s=min(2 * known.pause_s, _MAX_PAUSE_S),
                    paused_until=now + known.pause_s,
                    probe_until=0.0,
                )
                _log.warning(
                    "quarantine: {} set aside for {} s: everything fails there",
                    host,
                    known.pause_s,
                )
            self._records[host] = record

    def record_success(self, host: str) -> None:
        """Record a finished task, which clears the failures of the host."""
        with self._lock:
            self._records.pop(host, None)

    def unavailable_reason(self, host: str) -> str:
        """Return why a host takes no tasks now; empty if it takes them."""
        now = time.monotonic()
        record = self._records.get(host)
        if record is None or not record.paused_until:
            return ""
        if now < record.paused_until:
            return "set aside: everything failed there"
        if now < record.probe_until:
            return "set aside: a probe is in progress"
        return ""

    def record_placement(self, host: str) -> None:
        """Record a placed task; on a host in quarantine it counts as the probe."""
        with self._lock:
            record = self._records.get(host)
            if record is not None and record.paused_until:
                until = time.monotonic() + record.pause_s
                self._records[host] = record._replace(probe_until=until)
