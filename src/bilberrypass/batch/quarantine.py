"""Workers on which everything fails, and their rest."""

import threading
import time
import typing as t

import logbook

_log = logbook.Logger("quarantine")

_FAILURES: t.Final = 4
_LEAST_JOBS: t.Final = 2
_FIRST_PAUSE_S: t.Final = 10.0
_LONGEST_PAUSE_S: t.Final = 600.0


class _Record(t.NamedTuple):
    """Failures in a row on a host; ``rests_until`` is monotonic, 0 if never."""

    failures: int = 0
    jobs: frozenset[tuple[str, str]] = frozenset()
    pause_s: float = _FIRST_PAUSE_S
    rests_until: float = 0.0
    probe_until: float = 0.0


@t.final
class Quarantine:
    """Sets a host aside when tasks of several jobs fail there in a row.

    The pause grows with each probe that fails; one task at a time probes a host
    whose pause is over.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: dict[str, _Record] = {}

    def failed(self, host: str, job: tuple[str, str]) -> None:
        """Note that a task failed on a host."""
        now = time.monotonic()
        with self._lock:
            known = self._records.get(host, _Record())
            failures, jobs = known.failures + 1, known.jobs | {job}
            record = known._replace(failures=failures, jobs=jobs)
            is_probe = known.rests_until > 0
            if is_probe or (failures >= _FAILURES and len(jobs) >= _LEAST_JOBS):
                record = record._replace(
                    pause_s=min(2 * known.pause_s, _LONGEST_PAUSE_S),
                    rests_until=now + known.pause_s,
                    probe_until=0.0,
                )
                _log.warning(
                    "quarantine: {} set aside for {} s: everything fails there",
                    host,
                    known.pause_s,
                )
            self._records[host] = record

    def finished(self, host: str) -> None:
        """Note that a task finished on a host."""
        with self._lock:
            self._records.pop(host, None)

    def why_resting(self, host: str) -> str:
        """Tell why a host takes no tasks now; empty if it does."""
        now = time.monotonic()
        record = self._records.get(host)
        if record is None or not record.rests_until:
            return ""
        if now < record.rests_until:
            return "set aside: everything failed there"
        if now < record.probe_until:
            return "set aside: a probe is under way"
        return ""

    def placed(self, host: str) -> None:
        """Note that a task is placed; on a host that was set aside, as a probe."""
        with self._lock:
            record = self._records.get(host)
            if record is not None and record.rests_until:
                until = time.monotonic() + record.pause_s
                self._records[host] = record._replace(probe_until=until)
