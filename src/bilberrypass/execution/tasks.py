"""The tasks of one host: started, kept under their leases, and ended."""

import collections
import threading
import time
import typing as t

import logbook

from bilberrypass import errors, resources
from bilberrypass.connection import messages, worker
from bilberrypass.execution import jobevents, ledger, throttle
from bilberrypass.version import work

_log = logbook.Logger("tasks")

_CALL_S: t.Final = 2.0
_POLL_INTERVAL_S: t.Final = 0.5
_CURRENT_S: t.Final = 3.0
_LEAST_MARGIN_S: t.Final = 1.0
_MARGIN_SHARE: t.Final = 0.1
_KEPT_STOPS: t.Final = 4_096

LIVE: t.Final = frozenset({"running", "checkpointed"})


class _Seen(t.NamedTuple):
    """What was known before the worker was asked for its inventory."""

    runs: frozenset[work.TaskId]
    uncertain: frozenset[work.TaskId]


@t.final
class Tasks:
    """Drives the worker of one host; the ledger admits first.

    Parameters
    ----------
    host : str
        Name of the host, for messages.
    driver : worker.Worker
        The host's worker.
    incarnation : int, optional
        Rises with each agent of the host; the worker obeys the highest.
    may_throttle : callable, optional
        Tells whether batch work that disturbs services is throttled.
    """

    def __init__(
        self,
        host: str,
        driver: worker.Worker,
        incarnation: int = 0,
        may_throttle: t.Callable[[], bool] = lambda: True,
    ) -> None:
        self._host = host
        self._driver = driver
        self._incarnation = incarnation
        self._lock = threading.Lock()
        self._runs: dict[work.TaskId, worker.Run] = {}
        self._expiries: dict[work.TaskId, float] = {}
        self._lease_s: float = 0.0
        self._epochs: dict[int, int] = {}
        self._starting: set[work.TaskId] = set()
        self._uncertain: set[work.TaskId] = set()
        self._stopped: collections.OrderedDict[work.TaskId, None] = (
            collections.OrderedDict()
        )
        self._usage: worker.Usage | None = None
        self._may_throttle = may_throttle
        self._throttle = throttle.Throttle()
        self._seen_at = 0.0
        self.is_fenced = False
        self.ledger = ledger.Ledger(host, resources.Demand())

    def attach(self) -> None:
        """Become the worker's newest agent and take over what runs there."""
        began = time.monotonic()
        found = self._driver.attach(began + _CALL_S, self._incarnation)
        with self._lock:
            self._take_over(found)
            self._seen_at = began
        _log.info("tasks: {} runs {} tasks", self._host, len(found.runs))

    def _take_over(self, found: worker.Inventory) -> None:
        ends = {task: run for task, run in self._runs.items() if run.state not in LIVE}
        self._runs = ends | {run.spec.task: run for run in found.runs}
        held = {
            run.spec.task: run.spec.demand for run in found.runs if run.state in LIVE
        }
        unsettled = self._starting | self._uncertain
        self.ledger.rebuild(found.capacity, held, unsettled)

    def check_epoch(self, shard: int, epoch: int) -> None:
        """Refuse an owner that has been followed by another."""
        with self._lock:
            newest = max(epoch, self._epochs.get(shard, 0))
            self._epochs[shard] = newest
        if epoch < newest:
            raise errors.Refused(
                errors.Kind.STALE,
                f"shard {shard} has a newer owner (epoch {newest}, not {epoch}); stop",
            )

    def start(self, req: messages.Start, sent_at: float) -> messages.Started:
        """Start tasks whose leases count from a report's sending time."""
        self.check_epoch(req.shard, req.epoch)
        expiry = sent_at + req.lease_s
        outcomes = [self._try_start(spec, expiry) for spec in req.specs]
        return messages.Started(outcomes)

    def _try_start(self, spec: work.Spec, expiry: float) -> messages.StartOutcome:
        try:
            self._begin_start(spec.task, expiry)
            try:
                self.ledger.admit(spec.task, spec.demand)
                self._start_admitted(spec, expiry)
            finally:
                self._finish_start(spec.task)
        except errors.Error as exc:
            kind = exc.kind if exc.ran is errors.Ran.NO else errors.Kind.ANSWER_LOST
            return messages.StartOutcome(spec.task, kind, exc.detail)
        jobevents.started(self._host, spec)
        return messages.StartOutcome(spec.task)

    def _begin_start(self, task: work.TaskId, expiry: float) -> None:
        if time.monotonic() >= expiry:
            raise errors.Refused(
                errors.Kind.STALE, f"the lease of {task} lapsed before its start"
            )
        with self._lock:
            if task in self._starting:
                raise errors.Refused(
                    errors.Kind.KEY_IN_USE,
                    f"the start of {task} is in progress; ask again",
                )
            if task in self._stopped:
                raise errors.Refused(
                    errors.Kind.STALE, f"{task} was stopped here; place a new attempt"
                )
            self._starting.add(task)

    def _start_admitted(self, spec: work.Spec, expiry: float) -> None:
        try:
            run = self._driver.start(spec, expiry, time.monotonic() + _CALL_S)
        except errors.Error as exc:
            if exc.ran is not errors.Ran.NO:
                with self._lock:
                    self._uncertain.add(spec.task)
            raise
        with self._lock:
            self._uncertain.discard(spec.task)
            if spec.task not in self._stopped:
                self._runs[spec.task] = run
                known = self._expiries.get(spec.task, 0.0)
                self._expiries[spec.task] = max(known, expiry)

    def _finish_start(self, task: work.TaskId) -> None:
        with self._lock:
            self._starting.discard(task)
            run = self._runs.get(task)
            is_live = run is not None and run.state in LIVE
            if not is_live and task not in self._uncertain:
                self.ledger.release(task)

    def renew(self, shards: int, grants: list[messages.Grant], sent_at: float) -> None:
        """Take renewals for all tasks of the granted shards."""
        for grant in grants:
            try:
                self.check_epoch(grant.shard, grant.epoch)
            except errors.Refused as exc:
                _log.warning("tasks: renewal left aside: {}", exc.detail)
                continue
            self._renew_shard(shards, grant, sent_at)

    def _renew_shard(self, shards: int, grant: messages.Grant, sent_at: float) -> None:
        expiry = sent_at + grant.lease_s
        with self._lock:
            self._lease_s = grant.lease_s
            for task in self._runs:
                if work.shard_of(task.team, shards) == grant.shard:
                    known = self._expiries.get(task, 0.0)
                    self._expiries[task] = max(known, expiry)

    def _end_lapsing(self) -> None:
        """Checkpoint and stop tasks while their leases still last."""
        margin_s = max(_LEAST_MARGIN_S, _MARGIN_SHARE * self._lease_s)
        limit = time.monotonic() + margin_s
        with self._lock:
            lapsing = [
                task
                for task, run in self._runs.items()
                if run.state in LIVE and self._expiries.get(task, limit) < limit
            ]
        for task in lapsing:
            _log.warning("tasks: {} ends: its lease was not renewed", task)
        self.stop(lapsing, checkpoint=True)

    def forget(self, recorded: list[work.TaskId]) -> None:
        """Drop tasks whose ends the store holds."""
        with self._lock:
            ended = [
                task
                for task in recorded
                if task in self._runs and self._runs[task].state not in LIVE
            ]
        if not ended:
            return
        try:
            self._driver.forget(ended, time.monotonic() + _CALL_S)
        except errors.Error as exc:
            _log.warning("tasks: ends not dropped yet: {}", exc.detail)
            return
        with self._lock:
            for task in ended:
                self._runs.pop(task, None)
                self._expiries.pop(task, None)

    def stop(self, tasks: list[work.TaskId], checkpoint: bool) -> messages.Stopped:
        """Stop tasks, after a checkpoint if one is asked for.

        A task that cannot be stopped now is left out of the answer.
        """
        ends = []
        for task in tasks:
            try:
                ends.append(self._stop_one(task, checkpoint))
            except errors.Error as exc:
                _log.warning("tasks: {} not stopped yet: {}", task, exc.detail)
        return messages.Stopped(ends)

    def _stop_one(self, task: work.TaskId, checkpoint: bool) -> messages.TaskState:
        if checkpoint:
            self._try_checkpoint(task)
        run = self._driver.stop(task, time.monotonic() + _CALL_S)
        if run is None:
            run = worker.Run(
                work.Spec(task, resources.Demand(), ""), "stopped", "", "never ran"
            )
        with self._lock:
            self._note_stopped(task, run)
        return _state(run)

    def _note_stopped(self, task: work.TaskId, run: worker.Run) -> None:
        self._runs[task] = run
        self._uncertain.discard(task)
        # The worker may lose its own memory of the stop with a restart.
        self._stopped[task] = None
        while len(self._stopped) > _KEPT_STOPS:
            self._stopped.popitem(last=False)
        if task not in self._starting:
            self.ledger.release(task)

    def _try_checkpoint(self, task: work.TaskId) -> None:
        try:
            self._driver.checkpoint(task, time.monotonic() + _CALL_S)
        except errors.Error as exc:
            _log.info("tasks: no checkpoint of {}: {}", task, exc.detail)

    def throttle(self, throttles: list[tuple[work.TaskId, float]]) -> None:
        """Give tasks a share of their processors, where they have another now."""
        for task, share in throttles:
            run = self._runs.get(task)
            if run is None or run.state not in LIVE or run.throttle == share:
                continue
            try:
                self._driver.throttle(task, share, time.monotonic() + _CALL_S)
            except errors.Error as exc:
                _log.warning("tasks: {} not throttled: {}", task, exc.detail)

    def states(self) -> list[messages.TaskState]:
        """Return the state of each task not yet forgotten."""
        with self._lock:
            return [_state(run) for run in self._runs.values()]

    @property
    def usage(self) -> worker.Usage | None:
        """The newest usage report of the worker."""
        return self._usage

    @property
    def is_current(self) -> bool:
        """Tell whether the worker was seen a short time ago."""
        return time.monotonic() < self._seen_at + _CURRENT_S

    def poll(self) -> bool:
        """Look at the worker once and renew its leases; tell whether a task ended."""
        began = time.monotonic()
        deadline = began + _CALL_S
        with self._lock:
            seen = _Seen(
                frozenset(self._runs), frozenset(self._uncertain - self._starting)
            )
            leases = [
                (task, expiry)
                for task, expiry in self._expiries.items()
                if task in self._runs and self._runs[task].state in LIVE
            ]
        if leases:
            self._driver.renew(leases, deadline)
        found = self._driver.inventory(deadline)
        with self._lock:
            ended = self._note(found, seen)
            self._seen_at = began
        self._settle_uncertain(found, seen)
        self._end_lapsing()
        self._usage = self._driver.usage(deadline)
        self._react(self._usage)
        return ended

    def _react(self, usage: worker.Usage) -> None:
        """Throttle the tasks where they disturb services."""
        share = self._throttle.hear(usage) if self._may_throttle() else 1.0
        self.throttle([(task, share) for task in list(self._runs)])

    def _note(self, found: worker.Inventory, seen: _Seen) -> bool:
        ended = False
        listed = {run.spec.task: run for run in found.runs}
        for task, run in listed.items():
            before = self._runs.get(task)
            if before is not None and before.state not in LIVE:
                continue
            if run.state in LIVE:
                self.ledger.hold(task, run.spec.demand)
            else:
                self.ledger.release(task)
                ended = True
            self._runs[task] = run
            self._uncertain.discard(task)
        for task in seen.runs - listed.keys():
            known = self._runs.get(task)
            if known is not None and known.state in LIVE:
                self._drop(task)
        return ended

    def _drop(self, task: work.TaskId) -> None:
        """Take back the room of a task that the worker has lost."""
        _log.warning("tasks: the worker of {} no longer has {}", self._host, task)
        del self._runs[task]
        self._expiries.pop(task, None)
        self.ledger.release(task)

    def _settle_uncertain(self, found: worker.Inventory, seen: _Seen) -> None:
        """Make sure that starts which the worker seems to have missed never come."""
        missed = seen.uncertain - {run.spec.task for run in found.runs}
        self.stop([task for task in missed if task in self._uncertain], False)

    def run(self, leaving: threading.Event, on_end: t.Callable[[], None]) -> None:
        """Look at the worker until the process leaves or is followed by another."""
        while not leaving.wait(_POLL_INTERVAL_S) and not self.is_fenced:
            try:
                if self.poll():
                    on_end()
            except errors.Error as exc:
                _log.warning("tasks: worker of {}: {}", self._host, exc.detail)
                if exc.kind is errors.Kind.STALE:
                    self._attach_again()

    def _attach_again(self) -> None:
        """Attach to a worker that was replaced, unless a newer agent has it."""
        try:
            self.attach()
        except errors.Error as exc:
            self.is_fenced = exc.kind is errors.Kind.STALE
            _log.warning("tasks: {} not attached: {}", self._host, exc.detail)


def _state(run: worker.Run) -> messages.TaskState:
    return messages.TaskState(
        run.spec.task,
        run.state,
        run.spec.demand,
        run.checkpoint,
        run.detail,
        task_class=run.spec.task_class,
    )
