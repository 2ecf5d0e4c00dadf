"""Changed progress of jobs, written to the store in groups."""

import collections
import collections.abc as abc
import typing as t

from bilberrypass import clock
from bilberrypass.scheduling import (
    committing,
    estimate_publishing,
    job_quarantine,
    state,
    stored_progress,
)

Effect = abc.Callable[[], None]


@t.final
class ProgressQueue:
    """Collects jobs whose progress changed; one group is written at a time.

    Used on the scheduler's thread only.

    Parameters
    ----------
    committer : committing.Committer
        Writes the groups.
    publisher : estimate_publishing.EstimatePublisher
        Adds its own writes to the groups.
    quarantine : job_quarantine.JobQuarantine
        Gets the jobs whose progress cannot be encoded.
    """

    def __init__(
        self,
        committer: committing.Committer,
        publisher: estimate_publishing.EstimatePublisher,
        quarantine: job_quarantine.JobQuarantine,
    ) -> None:
        self._committer = committer
        self._publisher = publisher
        self._quarantine = quarantine
        self._dirty: dict[str, list[Effect]] = collections.defaultdict(list)
        self._in_flight: dict[str, list[Effect]] = {}

    def __contains__(self, id: str) -> bool:
        """Return whether a job's progress is to be written, or being written."""
        return id in self._dirty or id in self._in_flight

    def add(self, id: str, effect: Effect | None) -> None:
        """Mark a job's progress for writing; ``effect`` is called once it is stored."""
        effects = self._dirty[id]
        if effect is not None:
            effects.append(effect)

    def write(self, jobs: abc.Mapping[str, state.JobState]) -> None:
        """Submit the next group, unless one is in flight."""
        # The next group needs the revisions of the group in flight.
        if self._in_flight or not self._dirty:
            return
        group = []
        for id in list(self._dirty)[: committing.MAX_JOBS_PER_COMMIT]:
            effects = self._dirty.pop(id)
            try:
                value = jobs[id].encode()
            except Exception as exc:
                self._quarantine.add(id, "progress to store", exc)
                continue
            self._in_flight[id] = effects
            group.append(committing.ProgressWrite(id, value, jobs[id].revision))
        if group:
            self._committer.submit(group, self._publisher.put_if_due(clock.now()))

    def apply_stored(
        self,
        group: abc.Iterable[committing.ProgressWrite],
        revision: int,
        jobs: abc.Mapping[str, state.JobState],
    ) -> None:
        """Record that a group is stored, and call its effects."""
        for write in group:
            job = jobs[write.job]
            job.revision = revision
            job.stored_status = state.Status(stored_progress.decode(write.value).status)
            job.drop_tasks_if_final()
            for effect in self._in_flight.pop(write.job):
                effect()
