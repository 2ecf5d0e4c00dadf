"""Starts and stops on their way to hosts."""

import concurrent.futures as futures
import threading
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.batch import sightings
from bilberrypass.connection import channels, messages
from bilberrypass.membership import fleet
from bilberrypass.version import work

_log = logbook.Logger("outbox")

_CALL_S: t.Final = 2.0
_RESEND_S: t.Final = 1.0
_THREADS: t.Final = 4


class Sender(t.NamedTuple):
    """Who sends: an entry as the owner of a shard in an epoch."""

    entry: str
    shard: int
    epoch: int
    lease_s: float


class Outcomes(t.Protocol):
    """Who takes in what became of starts and stops."""

    def started(self, task: work.TaskId) -> None:
        """Note that a task runs."""

    def refused(self, task: work.TaskId, detail: str, is_certain: bool) -> None:
        """Note that a start was refused.

        The task certainly does not run unless an earlier start of it got lost.
        """

    def ended(self, state: messages.TaskState) -> None:
        """Note the end of a stopped task."""


@t.final
class Outbox:
    """Sends to each host one call at a time; what got no answer is sent again.

    Parameters
    ----------
    hosts : fleet.Fleet
        Knows the agents.
    seen : sightings.Sightings
        Told before each start, as the host's leases last on with it.
    outcomes : Outcomes
        Told what became of it.
    pool : futures.Executor, optional
        Runs the calls; a few threads if left out.
    """

    def __init__(
        self,
        hosts: fleet.Fleet,
        seen: sightings.Sightings,
        outcomes: Outcomes,
        pool: futures.Executor | None = None,
    ) -> None:
        self._hosts = hosts
        self._seen = seen
        self._outcomes = outcomes
        self._lock = threading.Lock()
        self._busy: set[str] = set()
        self._sent_at: dict[work.TaskId, float] = {}
        self._sure: set[work.TaskId] = set()
        self._pool = pool or futures.ThreadPoolExecutor(
            _THREADS, thread_name_prefix="send"
        )

    def keep(self, tasks: t.Collection[work.TaskId]) -> None:
        """Forget when other tasks' starts and stops were sent."""
        kept = set(tasks)
        with self._lock:
            self._sent_at = {k: v for k, v in self._sent_at.items() if k in kept}
            self._sure &= kept

    def expect(self, tasks: t.Collection[work.TaskId]) -> None:
        """Note that nobody has sent the starts of these tasks before."""
        with self._lock:
            self._sure.update(tasks)

    def start(self, sender: Sender, name: str, specs: list[work.Spec]) -> None:
        """Send starts to a host, but those sent a moment ago."""
        due = self._due([spec.task for spec in specs])
        chosen = [spec for spec in specs if spec.task in due]
        self._submit(name, list(due), lambda: self._start(sender, name, chosen))

    def stop(self, name: str, tasks: list[work.TaskId], checkpoint: bool) -> None:
        """Send stops to a host, but those sent a moment ago."""
        due = self._due(tasks)
        self._submit(name, list(due), lambda: self._stop(name, list(due), checkpoint))

    def _due(self, tasks: list[work.TaskId]) -> set[work.TaskId]:
        limit = time.monotonic() - _RESEND_S
        return {task for task in tasks if self._sent_at.get(task, limit) <= limit}

    def _submit(
        self, name: str, due: list[work.TaskId], send: t.Callable[[], None]
    ) -> None:
        with self._lock:
            if not due or name in self._busy:
                return
            self._busy.add(name)
            self._sent_at.update((task, time.monotonic()) for task in due)
        self._pool.submit(self._run, name, send)

    def _run(self, name: str, send: t.Callable[[], None]) -> None:
        try:
            send()
        except errors.Error as exc:
            _log.warning("outbox: call to {} uncertain: {}", name, exc.detail)
        except Exception:
            _log.exception("outbox: call to {} failed", name)
        finally:
            with self._lock:
                self._busy.discard(name)

    def _start(self, sender: Sender, name: str, specs: list[work.Spec]) -> None:
        host = self._hosts.get(name)
        if host is None:
            return
        report = host.report
        req = messages.Start(
            entry=sender.entry,
            shard=sender.shard,
            epoch=sender.epoch,
            incarnation=report.incarnation,
            sequence=report.sequence,
            lease_s=sender.lease_s,
            specs=specs,
        )
        self._seen.answered(name, host.heard_at)
        for outcome in self._call_start(host, req):
            self._note(outcome)

    def _call_start(
        self, host: fleet.Host, req: messages.Start
    ) -> list[messages.StartOutcome]:
        try:
            deadline = time.monotonic() + _CALL_S
            return host.peer.call(channels.START, req, deadline).outcomes
        except errors.Error as exc:
            if exc.ran is errors.Ran.NO and exc.kind is errors.Kind.STALE:
                # The next one quotes a newer report.
                return []
            kind = exc.kind if exc.ran is errors.Ran.NO else errors.Kind.ANSWER_LOST
            return [
                messages.StartOutcome(spec.task, kind, exc.detail) for spec in req.specs
            ]

    def _note(self, outcome: messages.StartOutcome) -> None:
        task = outcome.task
        if not outcome.kind:
            self._outcomes.started(task)
        elif errors.ANSWERS[errors.Kind(outcome.kind)].ran is errors.Ran.NO:
            self._outcomes.refused(task, outcome.detail, task in self._sure)
        else:
            _log.warning("outbox: start of {} uncertain: {}", task, outcome.detail)
            with self._lock:
                self._sure.discard(task)

    def _stop(self, name: str, tasks: list[work.TaskId], checkpoint: bool) -> None:
        host = self._hosts.get(name)
        if host is None:
            return
        req = messages.Stop(tasks, checkpoint)
        answer = host.peer.call(channels.STOP, req, time.monotonic() + _CALL_S)
        for state in answer.ends:
            self._outcomes.ended(state)

    def close(self) -> None:
        """Send nothing more."""
        self._pool.shutdown(wait=False, cancel_futures=True)
