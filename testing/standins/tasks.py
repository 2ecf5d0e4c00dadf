"""A task of the worker's stand-in; its payload controls how it runs."""

import typing as t

import msgspec

from bilberrypass.connection import worker
from bilberrypass.version import work


class Payload(msgspec.Struct):
    run_s: float = 0.5
    steps: t.Annotated[int, msgspec.Meta(ge=1)] = 10
    fail: bool = False
    cpu_milli: int | None = None
    memory_bytes: int | None = None
    checkpointable: bool = True


class Task:
    """A run and its progress; times are in seconds of the monotonic clock."""

    def __init__(self, spec: work.Spec, generation: int, now: float) -> None:
        self.spec = spec
        self.payload = msgspec.json.decode(spec.payload or "{}", type=Payload)
        self.generation = generation
        self.started_at = now
        self.ended_at: float | None = None
        self.state = "running"
        self.detail = ""
        self._is_complete = False
        self.checkpoint = spec.checkpoint
        self.throttle = 1.0
        self.lease_deadline = now
        self._step_s = self.payload.run_s / self.payload.steps
        self._progress_s = _parse_step(spec.checkpoint) * self._step_s
        self._advanced_at = now

    def completed_steps(self) -> int:
        if self._is_complete:
            return self.payload.steps
        # Without rounding, float errors could drop a completed step.
        return int(round(self._progress_s / self._step_s, 6)) if self._step_s else 0

    def finish_time(self) -> float:
        remaining_s = max(0.0, self.payload.run_s - self._progress_s)
        return self._advanced_at + (remaining_s / self.throttle if remaining_s else 0.0)

    def update(self, now: float) -> None:
        """Update the run to ``now``; it ends at its due time even if called later."""
        if self.state != "running":
            return
        finish_time = self.finish_time()
        if min(finish_time, self.lease_deadline) > now:
            self._advance(now)
        elif finish_time <= self.lease_deadline:
            self._advance(finish_time)
            self._is_complete = True
            self.end("failed" if self.payload.fail else "finished", finish_time)
        else:
            self._advance(self.lease_deadline)
            # A renewal may have set a deadline that was already in the past.
            expired_at = max(self.lease_deadline, self._advanced_at)
            self.end("stopped", expired_at, "its lease expired")

    def end(self, state: str, moment: float, detail: str = "") -> None:
        self.state, self.ended_at, self.detail = state, moment, detail

    def as_run(self) -> worker.Run:
        return worker.Run(
            self.spec, self.state, self.checkpoint, self.detail, self.throttle
        )

    def _advance(self, moment: float) -> None:
        self._progress_s += max(0.0, moment - self._advanced_at) * self.throttle
        self._advanced_at = moment


def _parse_step(checkpoint: str) -> int:
    return int(checkpoint.removeprefix("step:")) if checkpoint else 0


def usage_of(task: Task, share: float) -> tuple[work.TaskId, int, int]:
    demand, payload = task.spec.demand, task.payload
    cpu = demand.cpu_milli if payload.cpu_milli is None else payload.cpu_milli
    memory = payload.memory_bytes
    memory = demand.memory_bytes if memory is None else memory
    return task.spec.task, round(cpu * task.throttle * share), memory


def task_record(task: Task, offset: float) -> dict[str, t.Any]:
    return {
        "task": task.spec.task._asdict(),
        "attempt": task.spec.task.attempt,
        "generation": task.generation,
        "begin": task.started_at + offset,
        "end": None if task.ended_at is None else task.ended_at + offset,
        "state": task.state,
        "detail": task.detail,
        "resumed_from": task.spec.checkpoint,
        "checkpoint": task.checkpoint,
        "steps": task.completed_steps(),
    }
