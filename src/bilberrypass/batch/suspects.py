"""Keeps tasks apart that may crash their workers."""

import time
import typing as t

from bilberrypass import crash_limits
from bilberrypass.batch import placement, records
from bilberrypass.version import page, work


@t.final
class Suspects:
    """The hosts on which a run has begun lately that may crash its worker.

    Handles jobs of which a task takes down each worker, beside innocent ones that were
    lost in the same crash.

    Parameters
    ----------
    jobs : records.Jobs
        The jobs of a shard.
    on_host : dict of str to list of work.TaskId
        Their tasks that are on hosts.
    """

    def __init__(
        self, jobs: records.Jobs, on_host: dict[str, list[work.TaskId]]
    ) -> None:
        self._suspected: set[str] = set()
        self._kept: set[str] = set()
        since = time.time() - crash_limits.MAX_BLAMED_AGE_S
        for host, found in on_host.items():
            for task in found:
                record = records.find(jobs, task)
                if record is not None and record.changed_at > since:
                    self.add(host, record)

    def add(self, host: str, record: page.TaskRecord) -> None:
        """Record that a task begins on a host."""
        isolation = crash_limits.choose_isolation(record.crashes)
        if isolation is not crash_limits.Isolation.NONE:
            self._suspected.add(host)
        if isolation is crash_limits.Isolation.ALONE:
            self._kept.add(host)

    def restrict(
        self,
        candidates: dict[str, placement.CandidateHost],
        record: page.TaskRecord,
    ) -> dict[str, placement.CandidateHost]:
        """Return the candidates for a task; those on which it may not begin say why."""
        isolation = crash_limits.choose_isolation(record.crashes)
        closed = self._kept
        if isolation is not crash_limits.Isolation.NONE:
            closed = closed | self._suspected
        if not closed:
            return candidates
        reason = "kept for a task that may crash its worker"
        return {
            host: candidate._replace(
                unavailable_reason=candidate.unavailable_reason or reason
            )
            if host in closed
            else candidate
            for host, candidate in candidates.items()
        }
