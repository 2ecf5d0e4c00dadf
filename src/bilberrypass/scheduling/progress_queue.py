"""Changed progress of jobs, written to the store in groups."""

import collections
import collections.abc as abc
import typing as t

from bilberrypass import clock
from bilberrypass.scheduling import committing, keyvalue, state

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler

Effect = abc.Callable[[], None]


@t.final
class ProgressQueue:
    """Collects jobs whose progress changed; one group is written at a time.

    A job whose progress cannot be encoded, or that the store refuses for good, is set
    aside and fails: only its status is written from then on, so that its ends settle
    and hold up no other job of their hosts.

    Used on the scheduler's thread only.

    Parameters
    ----------
    owner : scheduler.Scheduler
        Holds the jobs, and adds its own values to the groups.
    store : keyvalue.Store
        Receives the writes.
    post : callable
        Has an event executed on the scheduler's thread.
    on_leadership_lost : callable
        Called with the reason when another process leads.
    """

    def __init__(
        self,
        owner: "scheduler.Scheduler",
        store: keyvalue.Store,
        post: abc.Callable[[Effect], None],
        on_leadership_lost: abc.Callable[[str], None],
    ) -> None:
        self._scheduler = owner
        self._max_group_bytes = store.max_value_bytes
        self._committer = committing.Committer(
            store,
            owner.epoch,
            lambda group, revision: post(lambda: self._apply_stored(group, revision)),
            lambda write, exc: post(lambda: self._apply_rejected(write, exc)),
            on_leadership_lost,
        )
        self._dirty: dict[str, list[Effect]] = collections.defaultdict(list)
        self._in_flight: dict[str, list[Effect]] = {}

    def start(self) -> None:
        """Start the thread that writes to the store."""
        self._committer.start()

    def stop(self) -> None:
        """Signal the thread to end; what is not stored is dropped."""
        self._committer.stop()

    def __contains__(self, id: str) -> bool:
        """Return whether a job's progress is to be written, or being written."""
        return id in self._dirty or id in self._in_flight

    def add(self, id: str, effect: Effect | None) -> None:
        """Mark a job's progress for writing; ``effect`` is called once it is stored."""
        effects = self._dirty[id]
        if effect is not None:
            effects.append(effect)

    def write(self) -> None:
        """Submit the next group, unless one is in flight."""
        # The next group needs the revisions of the group in flight.
        if self._in_flight or not self._dirty:
            return
        group: list[committing.ProgressWrite] = []
        group_bytes = 0
        for id in list(self._dirty)[: committing.MAX_JOBS_PER_COMMIT]:
            job = self._scheduler.jobs[id]
            try:
                value = job.encode()
            except Exception as exc:
                self._give_up(job, "progress to store", exc, self._dirty.pop(id))
                continue
            group_bytes += len(value)
            if group and group_bytes > self._max_group_bytes:
                break
            self._in_flight[id] = self._dirty.pop(id)
            status = job.status_to_store.value
            group.append(committing.ProgressWrite(id, value, job.revision, status))
        if group:
            extra = self._scheduler.publisher.put_if_due(clock.now())
            self._committer.submit(group, extra)

    def _give_up(
        self, job: state.JobState, during: str, exc: Exception, effects: list[Effect]
    ) -> None:
        """Fail a job whose progress cannot be stored."""
        self._scheduler.quarantine.add(job.job.id, during, exc)
        if job.is_unstorable:
            # Not even its status can be stored; its hosts must not wait for that.
            for effect in effects:
                effect()
            return
        job.is_unstorable = True
        self._dirty[job.job.id][:0] = effects
        self._scheduler.fail_job(job, f"its progress cannot be stored: {exc}")

    def _apply_stored(
        self, group: abc.Iterable[committing.ProgressWrite], revision: int
    ) -> None:
        """Record that a group is stored, and call its effects."""
        for write in group:
            job = self._scheduler.jobs[write.job]
            job.revision = revision
            job.stored_status = state.Status(write.status)
            job.drop_tasks_if_final()
            for effect in self._in_flight.pop(write.job):
                effect()
        self._scheduler.responder.on_stored()

    def _apply_rejected(
        self, write: committing.ProgressWrite, exc: keyvalue.Rejected
    ) -> None:
        """Record that the store refuses the progress of a job for good."""
        effects = self._in_flight.pop(write.job)
        job = self._scheduler.jobs[write.job]
        self._give_up(job, "progress in the store", exc, effects)
