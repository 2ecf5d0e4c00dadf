"""Sends starts and stops of tasks to the agents of hosts."""

import concurrent.futures as futures
import threading
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.batch import liveness
from bilberrypass.connection import channels, messages
from bilberrypass.membership import fleet
from bilberrypass.version import work

_log = logbook.Logger("outbox")

_CALL_TIMEOUT_S: t.Final = 2.0
_RESEND_INTERVAL_S: t.Final = 1.0
_SEND_THREADS: t.Final = 4


class SenderIdentity(t.NamedTuple):
    """The sending entry, as owner of a shard in an epoch; ``lease_s`` in seconds."""

    entry: str
    shard: int
    epoch: int
    lease_s: float


class _Call(t.NamedTuple):
    """A start or a stop of a task; each is resent at its own interval."""

    task: work.TaskId
    is_stop: bool


class OutcomeListener(t.Protocol):
    """Receives the outcomes of starts and stops; called on the sending thread."""

    def is_owner(self, epoch: int) -> bool:
        """Return whether the shard certainly still has the owner of this epoch."""

    def on_started(self, task: work.TaskId, position: liveness.Position) -> None:
        """Handle the confirmation that a task was started.

        ``position`` is that of the agent's reports after the start.
        """

    def on_refused(
        self, task: work.TaskId, detail: str, is_certain: bool, epoch: int
    ) -> None:
        """Handle the refusal of a start that was sent in an epoch.

        ``is_certain`` is True if the task certainly does not run. It is False if an
        earlier start of the same task may still arrive or have taken effect.
        """

    def on_ended(self, state: messages.TaskState) -> None:
        """Handle the final state of a stopped task."""


@t.final
class Outbox:
    """Sends one call at a time to each host, and resends calls without an answer.

    Parameters
    ----------
    hosts : fleet.Fleet
        The hosts and the connections to their agents.
    tracker : liveness.LivenessTracker
        Updated before each start, since a start renews the leases on its host.
    listener : OutcomeListener
        Receives the outcome of each start and stop.
    pool : futures.Executor, optional
        Runs the calls; by default a small thread pool.
    """

    def __init__(
        self,
        hosts: fleet.Fleet,
        tracker: liveness.LivenessTracker,
        listener: OutcomeListener,
        pool: futures.Executor | None = None,
    ) -> None:
        self._hosts = hosts
        self._liveness = tracker
        self._listener = listener
        self._lock = threading.Lock()
        self._hosts_in_call: set[str] = set()
        self._sent_at: dict[_Call, float] = {}
        self._first_sends: dict[work.TaskId, int] = {}
        self._pool = pool or futures.ThreadPoolExecutor(
            _SEND_THREADS, thread_name_prefix="send"
        )

    def retain(self, tasks: t.Collection[work.TaskId]) -> None:
        """Drop the send times of all tasks but these."""
        kept = set(tasks)
        with self._lock:
            self._sent_at = {k: v for k, v in self._sent_at.items() if k.task in kept}
            self._first_sends = {
                k: v for k, v in self._first_sends.items() if k in kept
            }

    def mark_first_send(self, tasks: t.Collection[work.TaskId], epoch: int) -> None:
        """Mark these tasks as never sent before, by this or any other owner.

        A refusal of such a start is certain if it is sent in the same epoch; otherwise
        another owner may have sent it in between.
        """
        with self._lock:
            self._first_sends.update(dict.fromkeys(tasks, epoch))

    def start(
        self, sender: SenderIdentity, host_id: str, specs: list[work.Spec]
    ) -> None:
        """Send starts to a host, except those sent within the resend interval."""
        due = self._select_due([_Call(spec.task, is_stop=False) for spec in specs])
        tasks = {call.task for call in due}
        chosen = [spec for spec in specs if spec.task in tasks]
        self._submit(host_id, due, lambda: self._start(sender, host_id, chosen))

    def stop(self, host_id: str, tasks: list[work.TaskId], checkpoint: bool) -> None:
        """Send stops to a host, except those sent within the resend interval."""
        due = self._select_due([_Call(task, is_stop=True) for task in tasks])
        chosen = [call.task for call in due]
        self._submit(host_id, due, lambda: self._stop(host_id, chosen, checkpoint))

    def _select_due(self, calls: list[_Call]) -> list[_Call]:
        limit = time.monotonic() - _RESEND_INTERVAL_S
        return [call for call in calls if self._sent_at.get(call, limit) <= limit]

    def _submit(
        self, host_id: str, due: list[_Call], send: t.Callable[[], None]
    ) -> None:
        with self._lock:
            if not due or host_id in self._hosts_in_call:
                return
            self._hosts_in_call.add(host_id)
            self._sent_at.update((call, time.monotonic()) for call in due)
        self._pool.submit(self._run, host_id, send)

    def _run(self, host_id: str, send: t.Callable[[], None]) -> None:
        try:
            send()
        except errors.Error as exc:
            _log.warning(
                "outbox: outcome of the call to host {} unknown: {}",
                host_id,
                exc.detail,
            )
        except Exception:
            _log.exception("outbox: call to host {} failed", host_id)
        finally:
            with self._lock:
                self._hosts_in_call.discard(host_id)

    def _start(
        self, sender: SenderIdentity, host_id: str, specs: list[work.Spec]
    ) -> None:
        host = self._hosts.get(host_id)
        if host is None:
            return
        report = host.report
        # The leases count from this report, so they begin while the shard is owned.
        if not self._listener.is_owner(sender.epoch):
            _log.info("outbox: starts on {} dropped: owner replaced", host_id)
            return
        req = messages.StartRequest(
            entry=sender.entry,
            shard=sender.shard,
            epoch=sender.epoch,
            incarnation=report.incarnation,
            sequence=report.sequence,
            lease_s=sender.lease_s,
            specs=specs,
        )
        self._liveness.record_lease_renewal(host_id, host.reported_at)
        first_sends = self._take_first_sends(specs, sender.epoch)
        response = self._call_start(host, req)
        if not response.outcomes:
            self.mark_first_send(first_sends, sender.epoch)
        position = liveness.Position(report.incarnation, response.sequence)
        for outcome in response.outcomes:
            is_first = outcome.task in first_sends
            self._handle_outcome(outcome, is_first, position, sender.epoch)

    def _take_first_sends(self, specs: list[work.Spec], epoch: int) -> set[work.TaskId]:
        """Return the tasks marked in an epoch, and drop their marks."""
        with self._lock:
            return {
                spec.task
                for spec in specs
                if self._first_sends.pop(spec.task, None) == epoch
            }

    def _call_start(
        self, host: fleet.Host, req: messages.StartRequest
    ) -> messages.StartResponse:
        try:
            deadline = time.monotonic() + _CALL_TIMEOUT_S
            return host.peer.call(channels.START, req, deadline)
        except errors.Error as exc:
            if exc.ran is errors.Ran.NO and exc.kind is errors.Kind.STALE:
                # The agent has sent a newer report, which the next attempt quotes.
                return messages.StartResponse([])
            kind = exc.kind if exc.ran is errors.Ran.NO else errors.Kind.ANSWER_LOST
            outcomes = [
                messages.StartOutcome(spec.task, kind, exc.detail) for spec in req.specs
            ]
            return messages.StartResponse(outcomes)

    def _handle_outcome(
        self,
        outcome: messages.StartOutcome,
        is_first: bool,
        position: liveness.Position,
        epoch: int,
    ) -> None:
        task = outcome.task
        if not outcome.kind:
            self._listener.on_started(task, position)
        elif errors.RESPONSES[errors.Kind(outcome.kind)].ran is errors.Ran.NO:
            self._listener.on_refused(task, outcome.detail, is_first, epoch)
        else:
            _log.warning(
                "outbox: outcome of the start of task {} unknown: {}",
                task,
                outcome.detail,
            )

    def _stop(self, host_id: str, tasks: list[work.TaskId], checkpoint: bool) -> None:
        host = self._hosts.get(host_id)
        if host is None:
            return
        req = messages.StopRequest(tasks, checkpoint)
        answer = host.peer.call(channels.STOP, req, time.monotonic() + _CALL_TIMEOUT_S)
        for state in answer.ends:
            self._listener.on_ended(state)

    def close(self) -> None:
        """Cancel the queued calls and send no more."""
        self._pool.shutdown(wait=False, cancel_futures=True)
