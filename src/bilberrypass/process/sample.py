"""The sample service and worker of ``bilberrypassd local``."""

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
_SLOTS: t.Final = 8
_MAX_BODY_BYTES: t.Final = 4 << 20
_CAPACITY: t.Final = resources.Demand(8_000, 16 << 30, 0)


def _echo(environ: dict[str, t.Any], start: t.Any) -> list[bytes]:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length) if length else b""
    answer = body or f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}\n".encode()
    headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(answer)))]
    start("200 OK", headers)
    return [answer]


@t.final
class Echo:
    """An endpoint of the service ``echo`` that announces itself to an agent.

    Parameters
    ----------
    announce : callable
        Takes the endpoint's name and its announcement.
    """

    def __init__(
        self, announce: t.Callable[[str, endpoint.Announcement], None]
    ) -> None:
        self._announce = announce
        self._stopping = threading.Event()
        self._listener = serving.Listener("127.0.0.1:0", _echo, _SLOTS, _MAX_BODY_BYTES)

    def start(self) -> None:
        """Begin to serve and to announce."""
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
            "slots": _SLOTS,
            "leaving": leaving,
        }

    def stop(self) -> None:
        """Announce leaving, then stop listening."""
        self._stopping.set()
        self._announce("echo-1", self._announcement(leaving=True))
        self._listener.stop()


class _Task(t.NamedTuple):
    """A run and when it ends by itself or by its lease (monotonic seconds)."""

    run: worker.Run
    ends_at: float
    expiry: float


@t.final
class SampleWorker(worker.Worker):
    """A worker whose tasks wait for the time that their payload names."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._tasks: dict[work.TaskId, _Task] = {}
        self._tombstones: set[work.TaskId] = set()

    def attach(self, deadline: float, incarnation: int = 0) -> worker.Inventory:
        """Return all runs; there is one agent only."""
        return self.inventory(deadline)

    def inventory(self, deadline: float) -> worker.Inventory:
        """Return the runs, ended where their time has come."""
        with self._lock:
            self._settle()
            return worker.Inventory(
                _CAPACITY,
                [task.run for task in self._tasks.values()],
                time.monotonic(),
            )

    def _settle(self) -> None:
        now = time.monotonic()
        for id, task in self._tasks.items():
            if task.run.state != "running":
                continue
            if now >= task.ends_at:
                self._tasks[id] = task._replace(run=task.run._replace(state="finished"))
            elif now >= task.expiry:
                run = task.run._replace(state="stopped", detail="the lease lapsed")
                self._tasks[id] = task._replace(run=run)

    def start(self, spec: work.Spec, expiry: float, deadline: float) -> worker.Run:
        """Start a task once."""
        now = time.monotonic()
        with self._lock:
            if spec.task in self._tombstones:
                raise errors.Refused(errors.Kind.STALE, "the task was stopped before")
            if spec.task not in self._tasks:
                run = worker.Run(spec, "running", spec.checkpoint)
                ends_at = now + _run_s(spec.payload)
                self._tasks[spec.task] = _Task(run, ends_at, expiry)
            return self._tasks[spec.task].run

    def renew(self, leases: list[tuple[work.TaskId, float]], deadline: float) -> None:
        """Set when the leases expire."""
        with self._lock:
            for id, expiry in leases:
                if id in self._tasks:
                    self._tasks[id] = self._tasks[id]._replace(expiry=expiry)

    def checkpoint(self, task: work.TaskId, deadline: float) -> str:
        """Refuse: a wait has nothing to keep."""
        raise errors.Refused(
            errors.Kind.NOT_FOUND, "the sample worker keeps no checkpoints"
        )

    def throttle(self, task: work.TaskId, share: float, deadline: float) -> None:
        """Change nothing: a wait uses no processor."""

    def stop(self, task: work.TaskId, deadline: float) -> worker.Run | None:
        """Stop a task for good."""
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
        """Drop ended runs."""
        with self._lock:
            for task in tasks:
                self._tasks.pop(task, None)

    def usage(self, deadline: float) -> worker.Usage:
        """Report nothing: waits use nothing."""
        return worker.Usage(0.0, 0.0, [], [])

    def close(self) -> None:
        """Have nothing to close."""


def _run_s(payload: str) -> float:
    try:
        return float(json.loads(payload)["run_s"])
    except (ValueError, KeyError, TypeError):
        return _DEFAULT_RUN_S
