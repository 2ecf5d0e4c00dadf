"""Stand-in for the platform's worker; ``GET /_judge`` returns what ran on it.

python -m testing.standins.worker --port N --cpu-milli 64000 --memory-gb 250
"""

import argparse
import threading
import time
import typing as t

import msgspec

from bilberrypass import resources
from bilberrypass.connection import http_worker, worker
from bilberrypass.version import work
from testing.standins import serving, tasks

_USAGE_INTERVAL_S = 1.0
_MAX_TIMER_WAIT_S = 60.0
_POLL_INTERVAL_S = 0.02
_GIB = 1024 * resources.MIB


class Switches(msgspec.Struct, forbid_unknown_fields=True):
    """The failure switches that ``PUT /_control`` sets."""

    delay_s: float = 0.0
    down: bool = False
    lose_answers: int = 0
    silent: bool = False
    fail_all: bool = False
    usage_lag_s: float = 0.0
    slowdown: dict[str, float] = {}


class _Rejected(Exception):
    """Raised by a command to send ``reply``, a problem document."""

    def __init__(self, status: int, code: str, detail: str) -> None:
        super().__init__(detail)
        self.reply = serving.problem_reply(status, code, detail)


class WorkerStandin:
    """State of the worker; a timer thread ends tasks when they are due."""

    def __init__(self, capacity: resources.Demand) -> None:
        self.control = Switches()
        self._capacity = capacity
        self._changed = threading.Condition()
        # A restarted worker must not reuse a generation.
        self._generation = time.time_ns() // 1_000_000
        self._incarnation = 0
        self._tasks: dict[work.TaskId, tasks.Task] = {}
        self._task_history: list[tasks.Task] = []
        self._tombstones: set[work.TaskId] = set()
        self._peak_demand = resources.Demand()
        self._slowdowns: list[tuple[float, dict[str, float]]] = [(0.0, {})]
        threading.Thread(target=self._run_timer, daemon=True).start()

    def handle(self, req: serving.Request) -> serving.Reply | None:
        try:
            if req.path == "/_control":
                return serving.Reply(body=msgspec.json.encode(self._set_control(req)))
            if req.path == "/_judge":
                return serving.Reply(body=msgspec.json.encode(self._history()))
            if self._apply_network_faults():
                return None
            answer, lost = self._execute(req)
        except _Rejected as exc:
            return exc.reply
        except (msgspec.DecodeError, ValueError) as exc:
            return serving.problem_reply(400, "BAD_BODY", str(exc))
        return None if lost else serving.Reply(body=msgspec.json.encode(answer))

    def _apply_network_faults(self) -> bool:
        """Delay or block the request, and return whether it gets lost."""
        time.sleep(self.control.delay_s)
        if not self.control.silent:
            return self.control.down
        while self.control.silent:
            time.sleep(_POLL_INTERVAL_S)
        return True

    def _set_control(self, req: serving.Request) -> Switches:
        with self._changed:
            if req.method == "PUT":
                merged = msgspec.to_builtins(self.control)
                merged |= msgspec.json.decode(req.body)
                self.control = msgspec.convert(merged, Switches)
                self._slowdowns.append((time.monotonic(), self.control.slowdown))
            return self.control

    def _execute(self, req: serving.Request) -> tuple[t.Any, bool]:
        with self._changed:
            self._update_tasks()
            self._check_generation(req)
            name = f"{req.method} {req.path}"
            if name not in _COMMANDS:
                raise _Rejected(404, "NOT_FOUND", f"unknown command {name}")
            kind, method = _COMMANDS[name]
            args = () if kind is None else (msgspec.json.decode(req.body, type=kind),)
            answer = method(self, *args)
            self._changed.notify_all()
            lost = self.control.lose_answers > 0
            if lost:
                self.control.lose_answers -= 1
            return answer, lost

    def _check_generation(self, req: serving.Request) -> None:
        generation = req.headers.get(http_worker.GENERATION_HEADER.lower())
        if req.path == "/attach" or (generation is None and req.method == "GET"):
            return
        if generation != str(self._generation):
            detail = f"generation {generation} is not {self._generation}; attach again"
            raise _Rejected(409, "STALE", detail)

    def _update_tasks(self) -> float:
        now = time.monotonic()
        for task in self._tasks.values():
            task.update(now)
        return now

    def _run_timer(self) -> None:
        with self._changed:
            while True:
                now = self._update_tasks()
                running = self._running()
                due = [min(task.finish_time(), task.lease_deadline) for task in running]
                self._changed.wait(min([*due, now + _MAX_TIMER_WAIT_S]) - now)

    def _running(self) -> list[tasks.Task]:
        return [task for task in self._tasks.values() if task.state == "running"]

    def _find_task(self, ident: work.TaskId) -> tasks.Task:
        if ident not in self._tasks:
            raise _Rejected(404, "NOT_FOUND", f"unknown task {ident}")
        return self._tasks[ident]

    def attach(self, body: http_worker.AttachRequest) -> http_worker.AttachResponse:
        if body.incarnation < self._incarnation:
            detail = f"incarnation {body.incarnation} is stale; a newer agent attached"
            raise _Rejected(409, "STALE", detail)
        self._incarnation = body.incarnation
        self._generation += 1
        return http_worker.AttachResponse(self._generation, self.inventory())

    def inventory(self) -> worker.Inventory:
        return worker.Inventory(
            self._capacity,
            [task.as_run() for task in self._tasks.values()],
            time.monotonic(),
        )

    def start(self, body: http_worker.StartRequest) -> worker.Run:
        ident = body.spec.task
        if ident in self._tasks:
            return self._tasks[ident].as_run()
        if ident in self._tombstones:
            detail = "this attempt was already stopped or forgotten"
            return worker.Run(body.spec, "stopped", body.spec.checkpoint, detail)
        now = time.monotonic()
        task = tasks.Task(body.spec, self._generation, now)
        task.lease_deadline = body.expiry
        self._tasks[ident] = task
        self._task_history.append(task)
        running = [other.spec.demand for other in self._running()]
        peaks = zip(self._peak_demand, resources.sum_demands(running), strict=True)
        self._peak_demand = resources.Demand(*(max(pair) for pair in peaks))
        if self.control.fail_all:
            task.end("failed", now, "the switch fail_all is set")
        return task.as_run()

    def renew(self, leases: list[tuple[work.TaskId, float]]) -> None:
        for ident, expiry in leases:
            if ident in self._tasks:
                self._tasks[ident].lease_deadline = expiry

    def checkpoint(self, ident: work.TaskId) -> str:
        task = self._find_task(ident)
        if task.state != "running" or not task.payload.checkpointable:
            detail = f"task {ident} is {task.state} or not checkpointable"
            raise _Rejected(422, "BAD_REQUEST", detail)
        task.checkpoint = f"step:{task.completed_steps()}"
        return task.checkpoint

    def throttle(self, body: http_worker.ThrottleRequest) -> None:
        # With a share of 0 the finish time of the run would be infinite.
        self._find_task(body.task).throttle = max(body.share, 1e-6)

    def stop(self, ident: work.TaskId) -> worker.Run | None:
        if ident not in self._tasks:
            self._tombstones.add(ident)
            return None
        task = self._tasks[ident]
        if task.state == "running":
            task.end("stopped", time.monotonic(), "stopped by a stop command")
        return task.as_run()

    def forget(self, idents: list[work.TaskId]) -> None:
        for ident in idents:
            if ident in self._tasks and self._tasks[ident].state != "running":
                del self._tasks[ident]
                self._tombstones.add(ident)

    def usage(self) -> worker.Usage:
        """Return usage and slowdowns of an interval that ended ``usage_lag_s`` ago."""
        now = time.monotonic()
        end = now - self.control.usage_lag_s
        begin = end - _USAGE_INTERVAL_S
        used = []
        for task in self._task_history:
            ended = now if task.ended_at is None else task.ended_at
            share = (min(end, ended) - max(begin, task.started_at)) / _USAGE_INTERVAL_S
            if share > 0:
                used.append(tasks.usage_of(task, share))
        slowdown = [value for since, value in self._slowdowns if since <= end][-1]
        pairs = list(slowdown.items())
        return worker.Usage(now - begin, now - end, used, pairs)

    def _history(self) -> dict[str, t.Any]:
        with self._changed:
            now = self._update_tasks()
            offset = time.time() - now
            return {
                "capacity": self._capacity._asdict(),
                "highest": self._peak_demand._asdict(),
                "exceeded": not self._peak_demand.fits_in(self._capacity),
                "runs": [
                    tasks.task_record(task, offset) for task in self._task_history
                ],
            }


_COMMANDS = {
    "POST /attach": (http_worker.AttachRequest, WorkerStandin.attach),
    "GET /inventory": (None, WorkerStandin.inventory),
    "POST /start": (http_worker.StartRequest, WorkerStandin.start),
    "POST /renew": (list[tuple[work.TaskId, float]], WorkerStandin.renew),
    "POST /checkpoint": (work.TaskId, WorkerStandin.checkpoint),
    "POST /throttle": (http_worker.ThrottleRequest, WorkerStandin.throttle),
    "POST /stop": (work.TaskId, WorkerStandin.stop),
    "POST /forget": (list[work.TaskId], WorkerStandin.forget),
    "GET /usage": (None, WorkerStandin.usage),
}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--id", default="w1")
    parser.add_argument("--cpu-milli", type=int, default=64_000)
    parser.add_argument("--memory-gb", type=int, default=250)
    parser.add_argument("--accelerators", type=int, default=0)
    args = parser.parse_args()
    memory_bytes = args.memory_gb * _GIB
    capacity = resources.Demand(args.cpu_milli, memory_bytes, args.accelerators)
    server = serving.make_server(args.port, WorkerStandin(capacity).handle)
    terminated = serving.start_server("worker", args.id, server)
    terminated.wait()
    server.stop()


if __name__ == "__main__":
    main()
