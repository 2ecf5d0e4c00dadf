"""Simulates many hosts in one process; they send real reports and run no tasks.

    python -m benchmarks.hosts --entries 127.0.0.1:7000 --first 0 --hosts 100

Prints a ready line. Each host has a reporter for each entry, as an agent has. One
gRPC server receives the starts for all hosts and distinguishes them by incarnation.
Started tasks are only counted.
"""

import argparse
import itertools
import json
import signal
import sys
import threading
import time

import msgspec

from bilberrypass import errors, resources
from bilberrypass.connection import channels, messages, reporting, worker
from bilberrypass.version import work
from testing.standins import tasks as standin_tasks

_SERVER_THREADS = 8
_CAPACITY = resources.Demand(64_000, 250 << 30, 2)
_TASK_DEMAND = resources.Demand(500, 1 << 30)
_STACK_BYTES = 256 << 10
_REPORTERS_START_S = 1.0


class SimulatedHost(reporting.ReportSource):
    """A host with endpoints, permanent tasks, and the tasks that entries start."""

    def __init__(self, number: int, address: str, args: argparse.Namespace) -> None:
        self.name = f"h{number}"
        self.incarnation = time.time_ns() + number
        self._number = number
        self._interval_s = args.interval
        self._address = address
        self._lock = threading.Lock()
        self._endpoints = [self._make_endpoint(n) for n in range(args.endpoints)]
        self._permanent_tasks = [
            self._make_task(n, args.teams) for n in range(args.tasks)
        ]
        self._runs: dict[work.TaskId, messages.TaskState] = {}
        self._end_times: dict[work.TaskId, float] = {}
        self.started = 0
        self.revision = 0
        sequences = itertools.count(1)
        self.reporters = [
            reporting.Reporter(entry, self, args.interval, sequences)
            for entry in args.entries
        ]

    def _make_endpoint(self, number: int) -> messages.EndpointState:
        service = f"service-{(self._number + number) % 50}"
        return messages.EndpointState(
            f"{self.name}-ep{number}", service, 8, 3, 0, False
        )

    def _make_task(self, number: int, teams: list[str]) -> messages.TaskState:
        team = teams[(self._number + number) % len(teams)]
        task = work.TaskId(team, f"plan-{self._number}", number, 1)
        return messages.TaskState(task, "running", _TASK_DEMAND, "step:3")

    def report(self, sequence: int) -> messages.Report:
        """Return a report of the host's current state."""
        with self._lock:
            self._finish_due_runs()
            states = [*self._permanent_tasks, *self._runs.values()]
        running_demands = [s.demand for s in states if s.state == "running"]
        usage = worker.Usage(
            2.0, 1.0, [(s.task, 450, 900 << 20) for s in states], [("service-1", 1.1)]
        )
        return messages.Report(
            host=self.name,
            incarnation=self.incarnation,
            sequence=sequence,
            address=self._address,
            region=f"region-{self._number % 3}",
            failure_domain=f"fd{self._number % 8}",
            rack=f"r{self._number // 3}",
            leaving=False,
            revision=self.revision,
            capacity=_CAPACITY,
            committed=resources.sum_demands(running_demands),
            endpoints=self._endpoints,
            tasks=states,
            usage=usage,
            interval_s=self._interval_s,
        )

    def _finish_due_runs(self) -> None:
        now = time.monotonic()
        for task, state in self._runs.items():
            if state.state == "running" and now >= self._end_times[task]:
                self._runs[task] = state._replace(state="finished")

    def handle_response(self, answer: messages.ReportResponse, sent_at: float) -> None:
        """Drop the ended tasks that the entry has recorded."""
        self.revision = max(self.revision, answer.revision)
        with self._lock:
            for task in answer.recorded:
                self._runs.pop(task, None)

    def start(self, req: messages.StartRequest) -> messages.StartResponse:
        """Start all requested tasks; none is rejected."""
        with self._lock:
            for spec in req.specs:
                self._start_one(spec)
        return messages.StartResponse(
            [messages.StartOutcome(s.task) for s in req.specs]
        )

    def _start_one(self, spec: work.Spec) -> None:
        if spec.task in self._runs:
            return
        payload = msgspec.json.decode(spec.payload, type=standin_tasks.Payload)
        self._end_times[spec.task] = time.monotonic() + payload.run_s
        self._runs[spec.task] = messages.TaskState(spec.task, "running", spec.demand)
        self.started += 1


class SimulatedHosts:
    """The simulated hosts of this process and the server that they share."""

    def __init__(self, args: argparse.Namespace) -> None:
        methods = {channels.START: self._start}
        self._server = channels.Server("127.0.0.1:0", methods, _SERVER_THREADS)
        numbers = range(args.first, args.first + args.hosts)
        self.hosts = [SimulatedHost(n, self._server.address, args) for n in numbers]
        self._by_incarnation = {host.incarnation: host for host in self.hosts}

    def run(self) -> None:
        """Start the server, then the reporters, spread over one second."""
        self._server.start()
        reporters = [r for host in self.hosts for r in host.reporters]
        for reporter in reporters:
            reporter.start()
            time.sleep(_REPORTERS_START_S / len(reporters))

    def _start(self, req: messages.StartRequest) -> messages.StartResponse:
        host = self._by_incarnation.get(req.incarnation)
        if host is None:
            raise errors.Refused(
                errors.Kind.STALE, "no host with this incarnation in this process"
            )
        return host.start(req)


def main() -> int:
    """Simulate hosts until SIGTERM arrives."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", nargs="+", required=True)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--hosts", type=int, default=10)
    parser.add_argument("--tasks", type=int, default=14)
    parser.add_argument("--endpoints", type=int, default=7)
    parser.add_argument("--interval", type=float, default=1.0)
    parser.add_argument("--teams", nargs="+", default=["plans"])
    args = parser.parse_args()
    threading.stack_size(_STACK_BYTES)
    hosts = SimulatedHosts(args)
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    hosts.run()
    ready = {"ready": True, "role": "hosts", "id": f"{args.first}", "addresses": {}}
    print(json.dumps(ready), flush=True)
    stopping.wait()
    print(json.dumps({"started": sum(h.started for h in hosts.hosts)}), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
