"""The sample service and the sample worker of ``bilberrypassd local``."""

import json
import threading
import time
import typing as t

import logbook

from bilberrypass import errors, resources
from bilberrypass.connection import endpoint, serving, worker
from bilberrypass.version import work

_log = logbook.Logger("sample")

_ANNOUNCE_INTERVAL_S: t.Final = 1.0
_DEFAULT_RUN_S: t.Final = 0.5
_ECHO_SLOTS: t.Final = 8
_MAX_BODY_BYTES: t.Final = 4 << 20
_CAPACITY: t.Final = resources.Demand(8_000, 16 << 30, 0)


def _echo_app(environ: dict[str, t.Any], start: t.Any) -> list[bytes]:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length) if length else b""
    response_body = (
        body or f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}\n".encode()
    )
    headers = [
        ("Content-Type", "text/plain"),
        ("Content-Length", str(len(response_body))),
    ]
    start("200 OK", headers)
    return [response_body]


@t.final
class EchoEndpoint:
    """An endpoint of the service ``echo`` that announces itself to an agent.

    Parameters
    ----------
    announce : callable
        Called with the endpoint's id and its announcement, every second.
    """

    def __init__(
        self, announce: t.Callable[[str, endpoint.Announcement], None]
    ) -> None:
        self._announce = announce
        self._stopping = threading.Event()
        self._listener = serving.Listener(
            "127.0.0.1:0", _echo_app, _ECHO_SLOTS, _MAX_BODY_BYTES
        )

    def start(self) -> None:
        """Start to serve requests and to send announcements."""
        self._listener.start()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._announce("echo-1", self._announcement(leaving=False))
            self._stopping.wait(_ANNOUNCE_INTERVAL_S)

    def _announcement(self, leaving: bool) -> endpoint.Announcement:
        return {
            "service": "echo",
            "address": self._listener.address,
            "slots": _ECHO_SLOTS,
            "leaving": leaving,
        }

    def stop(self) -> None:
        """Announce that the endpoint leaves, then stop listening."""
        self._stopping.set()
        self._announce("echo-1", self._announcement(leaving=True))
        self._listener.stop()


class _Task(t.NamedTuple):
    """A run, when it finishes and when its lease expires (monotonic seconds)."""

    run: worker.Run
    ends_at: float
    expiry: float


@t.final
class SampleWorker(worker.Worker):
    """A worker whose tasks sleep for the ``run_s`` seconds of their payload."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._tasks: dict[work.TaskId, _Task] = {}
        self._tombstones: set[work.TaskId] = set()

    def attach(self, deadline: float, incarnation: int = 0) -> worker.Inventory:
        """Return all runs; incarnations are ignored, as there is only one agent."""
        return self.inventory(deadline)

    def inventory(self, deadline: float) -> worker.Inventory:
        """Return the runs, after ending those that are due or whose lease expired."""
        with self._lock:
            self._end_due_runs()
            return worker.Inventory(
                _CAPACITY,
                [task.run for task in self._tasks.values()],
                time.monotonic(),
            )

    def _end_due_runs(self) -> None:
        now = time.monotonic()
        for id, task in self._tasks.items():
            if task.run.state != "running":
                continue
            if now >= task.ends_at:
                self._tasks[id] = task._replace(run=task.run._replace(state="finished"))
            elif now >= task.expiry:
                run = task.run._replace(state="stopped", detail="the lease expired")
                self._tasks[id] = task._replace(run=run)

    def start(
        self,
        spec: work.Spec,
        expiry: float,
        deadline: float,
        generation: int | None = None,
    ) -> worker.Run:
        """Start a task, or return its run; raise STALE if the task was stopped."""
        now = time.monotonic()
        with self._lock:
            if spec.task in self._tombstones:
                raise errors.Refused(errors.Kind.STALE, "the task was already stopped")
            if spec.task not in self._tasks:
                run = worker.Run(spec, "running", spec.checkpoint)
                ends_at = now + _parse_run_s(spec.payload)
                self._tasks[spec.task] = _Task(run, ends_at, expiry)
            return self._tasks[spec.task].run

    def renew(self, leases: list[tuple[work.TaskId, float]], deadline: float) -> None:
        """Set the expiry of the leases of known tasks (monotonic seconds)."""
        with self._lock:
            for id, expiry in leases:
                if id in self._tasks:
                    self._tasks[id] = self._tasks[id]._replace(expiry=expiry)

    def checkpoint(self, task: work.TaskId, deadline: float) -> str:
        """Raise NOT_FOUND: a sleeping task has no state to save."""
        raise errors.Refused(
            errors.Kind.NOT_FOUND, "the sample worker does not support checkpoints"
        )

    def throttle(self, task: work.TaskId, share: float, deadline: float) -> None:
        """Do nothing: a sleeping task uses no processor time."""

    def stop(self, task: work.TaskId, deadline: float) -> worker.Run | None:
        """Stop a task and refuse later starts; return None if it was never started."""
        with self._lock:
            self._tombstones.add(task)
            known = self._tasks.get(task)
            if known is None:
                return None
            if known.run.state == "running":
                run = known.run._replace(state="stopped")
                self._tasks[task] = known._replace(run=run)
            return self._tasks[task].run

    def forget(self, tasks: list[work.TaskId], deadline: float) -> None:
        """Remove the runs of ended tasks; unknown tasks are ignored."""
        with self._lock:
            for task in tasks:
                self._tasks.pop(task, None)

    def usage(self, deadline: float) -> worker.Usage:
        """Return zero usage: sleeping tasks use no resources."""
        return worker.Usage(0.0, 0.0, [], [])

    def close(self) -> None:
        """Do nothing: the worker holds no connection."""


def _parse_run_s(payload: str) -> float:
    try:
        return float(json.loads(payload)["run_s"])
    except (ValueError, KeyError, TypeError):
        return _DEFAULT_RUN_S
