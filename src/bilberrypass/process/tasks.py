"""The tasks of one host: started, kept under their leases, and ended."""

import threading
import time
import typing as t

import logbook

from bilberrypass import errors, resources
from bilberrypass.connection import messages, worker
from bilberrypass.process import jobevents, ledger

_log = logbook.Logger("tasks")

_CALL_S: t.Final = 2.0
_POLL_INTERVAL_S: t.Final = 0.5
_LIVE: t.Final = frozenset({"running", "checkpointed"})


@t.final
class Tasks:
    """Drives the worker of one host; the ledger admits first.

    Parameters
    ----------
    host : str
        Name of the host, for messages.
    driver : worker.Worker
        The host's worker.
    """

    def __init__(self, host: str, driver: worker.Worker) -> None:
        self._host = host
        self._driver = driver
        self._lock = threading.Lock()
        self._runs: dict[worker.TaskId, worker.Run] = {}
        self._expiries: dict[worker.TaskId, float] = {}
        self._epochs: dict[int, int] = {}
        self._shards: dict[worker.TaskId, int] = {}
        self._usage: worker.Usage | None = None
        self.ledger = ledger.Ledger(host, resources.Demand())

    def attach(self) -> None:
        """Become the worker's newest agent and take over what runs there."""
        found = self._driver.attach(time.monotonic() + _CALL_S)
        with self._lock:
            self._take_over(found)
        _log.info("tasks: {} runs {} tasks", self._host, len(found.runs))

    def _take_over(self, found: worker.Inventory) -> None:
        self._runs = {run.spec.task: run for run in found.runs}
        held = {
            run.spec.task: run.spec.demand for run in found.runs if run.state in _LIVE
        }
        self.ledger.rebuild(found.capacity, held)

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
        outcomes = [self._start_one(req.shard, spec, expiry) for spec in req.specs]
        return messages.Started(outcomes)

    def _start_one(
        self, shard: int, spec: worker.Spec, expiry: float
    ) -> messages.StartOutcome:
        try:
            self.ledger.admit(spec.task, spec.demand)
        except errors.Refused as exc:
            return messages.StartOutcome(spec.task, exc.kind, exc.detail)
        try:
            left_s = expiry - time.monotonic()
            run = self._driver.start(spec, left_s, time.monotonic() + _CALL_S)
        except errors.Error as exc:
            if exc.ran is errors.Ran.NO:
                self.ledger.release(spec.task)
            return messages.StartOutcome(spec.task, exc.kind, exc.detail)
        with self._lock:
            self._runs[spec.task] = run
            self._shards[spec.task] = shard
            self._expiries[spec.task] = expiry
        if run.state not in _LIVE:
            self.ledger.release(spec.task)
        jobevents.started(self._host, spec)
        return messages.StartOutcome(spec.task)

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
            for task in self._runs:
                if worker.shard_of(task.team, shards) == grant.shard:
                    known = self._expiries.get(task, 0.0)
                    self._expiries[task] = max(known, expiry)

    def forget(self, recorded: list[worker.TaskId]) -> None:
        """Drop tasks whose ends the store holds."""
        with self._lock:
            ended = [task for task in recorded if task in self._runs]
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

    def stop(self, tasks: list[worker.TaskId], checkpoint: bool) -> messages.Stopped:
        """Stop tasks, after a checkpoint if one is asked for."""
        return messages.Stopped([self._stop_one(task, checkpoint) for task in tasks])

    def _stop_one(self, task: worker.TaskId, checkpoint: bool) -> messages.TaskState:
        if checkpoint:
            self._try_checkpoint(task)
        run = self._driver.stop(task, time.monotonic() + _CALL_S)
        self.ledger.release(task)
        if run is None:
            return messages.TaskState(task, "stopped", resources.Demand())
        with self._lock:
            self._runs[task] = run
        return _state(run)

    def _try_checkpoint(self, task: worker.TaskId) -> None:
        try:
            self._driver.checkpoint(task, time.monotonic() + _CALL_S)
        except errors.Error as exc:
            _log.warning("tasks: no checkpoint of {}: {}", task, exc.detail)

    def states(self) -> list[messages.TaskState]:
        """Return the state of each task not yet forgotten."""
        with self._lock:
            return [_state(run) for run in self._runs.values()]

    @property
    def usage(self) -> worker.Usage | None:
        """The newest usage report of the worker."""
        return self._usage

    def poll(self) -> bool:
        """Look at the worker once and renew its leases; tell whether a task ended."""
        deadline = time.monotonic() + _CALL_S
        now = time.monotonic()
        with self._lock:
            left = [
                (task, expiry - now)
                for task, expiry in self._expiries.items()
                if task in self._runs and self._runs[task].state in _LIVE
            ]
        if left:
            self._driver.renew(left, deadline)
        found = self._driver.inventory(deadline)
        self._usage = self._driver.usage(deadline)
        return self._note(found)

    def _note(self, found: worker.Inventory) -> bool:
        ended = False
        with self._lock:
            for run in found.runs:
                task = run.spec.task
                before = self._runs.get(task)
                if run.state not in _LIVE:
                    self.ledger.release(task)
                    ended = ended or before is None or before.state in _LIVE
                self._runs[task] = run
        return ended

    def run(self, leaving: threading.Event, on_end: t.Callable[[], None]) -> None:
        """Look at the worker until the process leaves."""
        while not leaving.wait(_POLL_INTERVAL_S):
            try:
                if self.poll():
                    on_end()
            except errors.Error as exc:
                _log.warning("tasks: worker of {}: {}", self._host, exc.detail)


def _state(run: worker.Run) -> messages.TaskState:
    return messages.TaskState(
        run.spec.task, run.state, run.spec.demand, run.checkpoint, run.detail
    )
