"""Lifecycle of the tasks on one host: start, lease renewal, stop and end."""

import threading
import time
import typing as t

import logbook

from bilberrypass import errors, resources
from bilberrypass.connection import messages, worker
from bilberrypass.execution import (
    barred,
    epochs,
    lease_expiries,
    ledger,
    states,
    task_events,
    throttle,
    worker_crashes,
)
from bilberrypass.version import work

_log = logbook.Logger("tasks")

_CALL_TIMEOUT_S: t.Final = 2.0
_POLL_INTERVAL_S: t.Final = 0.5
_MAX_INVENTORY_AGE_S: t.Final = 3.0


@t.final
class Tasks:
    """Controls the worker of one host; tasks start only within its free resources.

    Parameters
    ----------
    host : str
        Name of the host, used in messages.
    driver : worker.Worker
        The host's worker.
    incarnation : int, optional
        Increases with each agent of the host; the worker obeys only the highest.
    may_throttle : callable, optional
        Returns whether tasks are throttled while they slow services down.
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
        self._expiries = lease_expiries.LeaseExpiries()
        self._crashes = worker_crashes.CrashRecord()
        self._starting: set[work.TaskId] = set()
        self._uncertain: set[work.TaskId] = set()
        self._unstopped: dict[work.TaskId, bool] = {}
        self._barred = barred.BarredAttempts()
        self._usage: worker.Usage | None = None
        self._may_throttle = may_throttle
        self._throttle = throttle.Throttle()
        self._polled_at = 0.0
        self.is_fenced = False
        self.epochs = epochs.ShardEpochs()
        self.ledger = ledger.Ledger(host, resources.Demand())

    def attach(self) -> None:
        """Attach as the worker's newest agent and adopt its running tasks."""
        started_at = time.monotonic()
        with self._lock:
            known_before = frozenset(self._runs)
        found = self._driver.attach(started_at + _CALL_TIMEOUT_S, self._incarnation)
        with self._lock:
            self._adopt(found, known_before)
            self._polled_at = started_at
        _log.info(
            "tasks: attached to worker of {} with {} tasks", self._host, len(found.runs)
        )

    def _adopt(
        self, found: worker.Inventory, known_before: frozenset[work.TaskId]
    ) -> None:
        # A run may have started after the worker compiled its inventory.
        kept = {
            task: run
            for task, run in self._runs.items()
            if task not in known_before or not states.is_live(run)
        }
        listed = {run.spec.task: run for run in found.runs}
        lost = self._runs.keys() - kept.keys() - listed.keys()
        unanswered = self._uncertain - self._starting - listed.keys()
        ended = self._crashes.add_lost(lost | unanswered, self._runs, self._polled_at)
        for task in lost - ended.keys():
            self._remove_lost(task)
        for task in ended:
            self._uncertain.discard(task)
            self._barred.add(task)
        self._runs = listed | kept | ended
        live = [run for run in (kept | listed).values() if states.is_live(run)]
        held = {run.spec.task: run.spec.demand for run in live}
        self.ledger.rebuild(found.capacity, held, self._starting | self._uncertain)

    def start(
        self, req: messages.StartRequest, sent_at: float
    ) -> messages.StartResponse:
        """Start tasks with leases counted from the time a report was sent."""
        self.epochs.check(req.shard, req.epoch)
        expiry = sent_at + req.lease_s
        outcomes = [self._start_one(spec, expiry) for spec in req.specs]
        return messages.StartResponse(outcomes)

    def _start_one(self, spec: work.Spec, expiry: float) -> messages.StartOutcome:
        try:
            generation = self._driver.generation
            if not self._begin_start(spec.task, expiry):
                return messages.StartOutcome(spec.task)
            try:
                self.ledger.admit(spec.task, spec.demand)
                self._start_admitted(spec, expiry, generation)
            finally:
                self._finish_start(spec.task)
        except errors.Error as exc:
            kind = exc.kind if exc.ran is errors.Ran.NO else errors.Kind.ANSWER_LOST
            return messages.StartOutcome(spec.task, kind, exc.detail)
        task_events.record_start(self._host, spec)
        return messages.StartOutcome(spec.task)

    def _begin_start(self, task: work.TaskId, expiry: float) -> bool:
        """Return whether to start the task, False if its run has ended already."""
        if time.monotonic() >= expiry:
            raise errors.Refused(
                errors.Kind.STALE, f"the lease of {task} expired before its start"
            )
        with self._lock:
            if task in self._starting:
                raise errors.Refused(
                    errors.Kind.KEY_IN_USE,
                    f"the start of {task} is in progress; retry later",
                )
            if task in self._barred:
                raise errors.Refused(
                    errors.Kind.STALE, f"{task} has ended here; place a new attempt"
                )
            if self._find_end(task):
                return False
            self._starting.add(task)
            self._crashes.on_start(task)
            return True

    def _find_end(self, task: work.TaskId) -> worker.Run | None:
        """Return the run of a task if it has ended and its end is not stored yet."""
        run = self._runs.get(task)
        return None if states.is_live(run) else run

    def _start_admitted(self, spec: work.Spec, expiry: float, generation: int) -> None:
        deadline = time.monotonic() + _CALL_TIMEOUT_S
        try:
            run = self._driver.start(spec, expiry, deadline, generation)
        except errors.Error as exc:
            if exc.ran is not errors.Ran.NO:
                with self._lock:
                    self._uncertain.add(spec.task)
            raise
        with self._lock:
            self._uncertain.discard(spec.task)
            is_barred = spec.task in self._barred
            if not is_barred:
                self._runs[spec.task] = run
                self._expiries.extend(spec.task, expiry)
        if is_barred and states.is_live(run):
            self._stop_one(spec.task, checkpoint=False)

    def _finish_start(self, task: work.TaskId) -> None:
        with self._lock:
            self._starting.discard(task)
            run = self._runs.get(task)
            if not states.is_live(run) and task not in self._uncertain:
                self.ledger.release(task)

    def renew(
        self, shards: int, grants: list[messages.LeaseGrant], sent_at: float
    ) -> None:
        """Renew the leases of all tasks of the granted shards."""
        for grant in grants:
            try:
                self.epochs.check(grant.shard, grant.epoch)
            except errors.Refused as exc:
                _log.warning("tasks: lease renewal ignored: {}", exc.detail)
                continue
            with self._lock:
                renewed = [
                    task
                    for task in self._runs
                    if work.shard_of(task.team, shards) == grant.shard
                ]
                self._expiries.renew(renewed, sent_at, grant.lease_s)

    def _stop_expiring(self) -> None:
        """Checkpoint and stop tasks shortly before their leases expire."""
        with self._lock:
            expiring = self._expiries.find_expiring(
                task for task, run in self._runs.items() if states.is_live(run)
            )
        for task in expiring:
            _log.warning("tasks: stopping {}: its lease was not renewed", task)
        self._stop_all(expiring, checkpoint=True)

    def forget(self, recorded: list[work.TaskId]) -> None:
        """Remove ended tasks whose end is stored, here and on the worker."""
        with self._lock:
            ended = [task for task in recorded if self._find_end(task)]
        if not ended:
            return
        try:
            self._driver.forget(ended, time.monotonic() + _CALL_TIMEOUT_S)
        except errors.Error as exc:
            _log.warning(
                "tasks: could not remove ended tasks from the worker: {}", exc.detail
            )
            return
        with self._lock:
            for task in ended:
                self._drop(task)

    def stop(self, tasks: list[work.TaskId], checkpoint: bool) -> messages.StopResponse:
        """Stop tasks, after a checkpoint if requested.

        A task that could not be stopped is missing from the answer. Its lease is no
        longer renewed, and each poll tries to stop it again.
        """
        response = self._stop_all(tasks, checkpoint)
        failed = set(tasks) - {end.task for end in response.ends}
        with self._lock:
            self._unstopped.update(dict.fromkeys(failed, checkpoint))
        return response

    def _retry_stops(self) -> bool:
        """Repeat the stops that failed, and return whether a task was stopped."""
        with self._lock:
            unstopped = list(self._unstopped.items())
        responses = [self._stop_all([task], flag) for task, flag in unstopped]
        return any(response.ends for response in responses)

    def _stop_all(
        self, tasks: list[work.TaskId], checkpoint: bool
    ) -> messages.StopResponse:
        ends = []
        for task in tasks:
            try:
                ends.append(self._stop_one(task, checkpoint))
            except errors.Error as exc:
                _log.warning("tasks: could not stop {}: {}", task, exc.detail)
        return messages.StopResponse(ends)

    def _stop_one(self, task: work.TaskId, checkpoint: bool) -> messages.TaskState:
        if checkpoint:
            self._try_checkpoint(task)
        run = self._driver.stop(task, time.monotonic() + _CALL_TIMEOUT_S)
        with self._lock:
            known = self._find_end(task)
            if run is None or (known is not None and known.state != "stopped"):
                # A restarted worker has forgotten the runs that ended.
                run = known or states.never_ran(task)
            self._record_stop(task, run)
        return states.task_state(run)

    def _record_stop(self, task: work.TaskId, run: worker.Run) -> None:
        self._runs[task] = run
        self._uncertain.discard(task)
        self._unstopped.pop(task, None)
        self._barred.add(task)
        if task not in self._starting:
            self.ledger.release(task)

    def _try_checkpoint(self, task: work.TaskId) -> None:
        try:
            self._driver.checkpoint(task, time.monotonic() + _CALL_TIMEOUT_S)
        except errors.Error as exc:
            _log.info("tasks: could not checkpoint {}: {}", task, exc.detail)

    def states(self) -> list[messages.TaskState]:
        """Return the states of all known tasks, including ended ones."""
        with self._lock:
            find = self._crashes.find
            return [states.task_state(r, find(task)) for task, r in self._runs.items()]

    @property
    def usage(self) -> worker.Usage | None:
        """The latest usage report of the worker, or None before the first."""
        return self._usage

    @property
    def is_current(self) -> bool:
        """Whether the worker's inventory was read within the last 3 s."""
        return time.monotonic() < self._polled_at + _MAX_INVENTORY_AGE_S

    def poll(self) -> bool:
        """Poll the worker once, renew its leases, return whether a task has ended."""
        started_at = time.monotonic()
        deadline = started_at + _CALL_TIMEOUT_S
        with self._lock:
            known_before = worker_crashes.KnownTasks(
                frozenset(self._runs), frozenset(self._uncertain - self._starting)
            )
            leases = [
                (task, expiry)
                for task, expiry in self._expiries.items()
                if states.is_live(self._runs.get(task)) and task not in self._unstopped
            ]
        if leases:
            self._driver.renew(leases, deadline)
        found = self._driver.inventory(deadline)
        with self._lock:
            ended = self._apply_inventory(found, known_before)
            self._polled_at = started_at
        ended |= self._retry_stops()
        self._stop_missed_starts(found, known_before)
        self._stop_expiring()
        self._usage = self._driver.usage(deadline)
        share = self._throttle.update(self._usage) if self._may_throttle() else 1.0
        throttle.set_cpu_share(self._driver, list(self._runs.values()), share)
        return ended

    def _apply_inventory(
        self, found: worker.Inventory, known_before: worker_crashes.KnownTasks
    ) -> bool:
        ended = False
        self.ledger.set_capacity(found.capacity)
        listed = {run.spec.task: run for run in found.runs}
        for task, run in listed.items():
            if self._find_end(task):
                if states.is_live(run):
                    self.ledger.hold(task, run.spec.demand)
                    self._unstopped[task] = False
                continue
            if states.is_live(run):
                self.ledger.hold(task, run.spec.demand)
            else:
                self.ledger.release(task)
                ended = True
            self._runs[task] = run
            self._uncertain.discard(task)
        for task in known_before.runs - listed.keys():
            if states.is_live(self._runs.get(task)):
                self._remove_lost(task)
        return ended

    def _remove_lost(self, task: work.TaskId) -> None:
        """Remove a task that the worker has lost, and release its resources."""
        _log.warning("tasks: the worker of {} has lost {}", self._host, task)
        self._drop(task)
        if task not in self._starting:
            self.ledger.release(task)

    def _drop(self, task: work.TaskId) -> None:
        """Forget a task, and bar late starts of this attempt."""
        self._runs.pop(task, None)
        self._expiries.drop(task)
        self._crashes.drop(task)
        self._barred.add(task)

    def _stop_missed_starts(
        self, found: worker.Inventory, known_before: worker_crashes.KnownTasks
    ) -> None:
        """Stop tasks whose start the worker seems to have missed, so none runs late."""
        missed = known_before.uncertain - {run.spec.task for run in found.runs}
        self._stop_all([task for task in missed if task in self._uncertain], False)

    def run(self, leaving: threading.Event, on_end: t.Callable[[], None]) -> None:
        """Poll the worker until the process leaves or a newer agent takes over."""
        while not leaving.wait(_POLL_INTERVAL_S) and not self.is_fenced:
            try:
                if self.poll():
                    on_end()
            except errors.Error as exc:
                _log.warning(
                    "tasks: poll of the worker of {} failed: {}", self._host, exc.detail
                )
                if exc.kind is errors.Kind.STALE:
                    self._attach_again()

    def _attach_again(self) -> None:
        """Attach to a replaced worker; set ``is_fenced`` if a newer agent has it."""
        try:
            self.attach()
        except errors.Error as exc:
            self.is_fenced = exc.kind is errors.Kind.STALE
            _log.warning(
                "tasks: could not attach to the worker of {}: {}",
                self._host,
                exc.detail,
            )
