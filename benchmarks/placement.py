"""Replays a day's trace through the placement code, and measures its speed.

python -m benchmarks.placement replay ringkas
python -m benchmarks.placement replay northvale
python -m benchmarks.placement speed

Expected of the replay: compared with first fit, at the same throughput, the part
of the services' p99 inflation above 1.0 is at most half, with at most one eviction
per hundred tasks. There is no cluster: reports are generated from the job records,
and the simulated hosts behave according to the trace and a table of true effects.
"""

import collections
import gzip
import json
import math
import random
import statistics
import sys
import time
import typing as t
import unittest.mock

from benchmarks import placement_trace
from bilberrypass import resources
from bilberrypass.batch import interference, placement, placer, records
from bilberrypass.connection import messages, worker
from bilberrypass.membership import fleet
from bilberrypass.version import page, work

_STEP_S = 10.0
_USAGE_LAG_STEPS = 6
_SEED = 11
_EPOCH_S = 1_000_000.0


class Run(t.NamedTuple):
    """A running task; ``finish_at`` is in seconds since the start of the trace."""

    spec: work.Spec
    host: str
    used_cpu_milli: int
    finish_at: float


class Outcome(t.NamedTuple):
    """Result of one policy over a day.

    ``p50`` and ``p99`` are inflations of service latency, weighted by load;
    ``cpu_share`` is the mean share of host CPU that is committed.
    """

    policy: str
    finished: int
    p50: float
    p99: float
    evictions: int
    urgent_p99_s: float
    urgent_max_s: float
    cpu_share: float


class SimulatedFleet:
    """Stands in for the fleet in placement, with reports made from the job records."""

    def __init__(self, lines: list[dict]) -> None:
        self.lines = lines
        self.reports: list[messages.Report] = []

    def available(self) -> list[fleet.Host]:
        """Return all hosts."""
        return [fleet.Host(report, 0.0, t.cast(t.Any, None)) for report in self.reports]

    all = available

    def get(self, name: str) -> fleet.Host:
        """Return the host with the given name.

        Raises
        ------
        StopIteration
            If there is none.
        """
        return next(host for host in self.available() if host.report.host == name)


def _report(line: dict, runs: list[Run], usage: worker.Usage | None) -> messages.Report:
    endpoints = [
        messages.EndpointState(name, name, 8, 0, 0, False) for name in line["services"]
    ]
    states = [
        messages.TaskState(
            run.spec.task, "running", run.spec.demand, task_class=run.spec.task_class
        )
        for run in runs
    ]
    return messages.Report(
        host=line["host"],
        incarnation=1,
        sequence=1,
        address="",
        region="",
        failure_domain=line["failure_domain"],
        rack=line["rack"],
        leaving=False,
        revision=0,
        capacity=resources.Demand(line["cpu_milli"], line["memory_bytes"]),
        committed=resources.sum_demands(run.spec.demand for run in runs),
        endpoints=endpoints,
        tasks=states,
        usage=usage,
    )


class Replay:
    """Replays one day under one policy."""

    def __init__(
        self,
        name: str,
        lines: list[dict],
        policy: placement.Policy,
        model: interference.Model | None,
    ) -> None:
        self._name = name
        self._hosts = SimulatedFleet([line for line in lines if line["kind"] == "host"])
        self._tasks = collections.deque(
            line for line in lines if line["kind"] == "task"
        )
        self._trace_lines = {line["job"]: line for line in self._tasks}
        self._remaining_s = {line["job"]: line["run_s"] for line in self._tasks}
        self._placer = placer.Placer(
            t.cast(t.Any, self._hosts), placer.make_context(policy)
        )
        self._observer = interference.Observer(model) if model else None
        self._jobs: records.Jobs = {}
        self._runs: dict[work.TaskId, Run] = {}
        self._delayed_usages: collections.deque[dict[str, worker.Usage]] = (
            collections.deque()
        )
        self._inflations: list[tuple[float, float]] = []
        self._urgent_waits_s: list[float] = []
        self._committed_shares: list[float] = []
        self._finished = 0
        self._evictions = 0
        self._now = 0.0

    def run(self) -> Outcome:
        """Replay the day in steps of 10 s and return the outcome."""
        with unittest.mock.patch("time.time", lambda: _EPOCH_S + self._now):
            with unittest.mock.patch("time.monotonic", lambda: _EPOCH_S + self._now):
                while self._now < placement_trace.DAY_S:
                    self._step()
                    self._now += _STEP_S
        return self._outcome()

    def _step(self) -> None:
        self._submit_arrivals()
        self._end_runs()
        by_host = self._runs_by_host()
        usages = self._measure(by_host)
        self._hosts.reports = [
            _report(line, by_host[line["host"]], usages.get(line["host"]))
            for line in self._hosts.lines
        ]
        if self._observer:
            for report in self._hosts.reports:
                self._observer.handle_report(report)
        self._place()

    def _submit_arrivals(self) -> None:
        while self._tasks and self._tasks[0]["at_s"] <= self._now:
            line = self._tasks.popleft()
            body = {
                "team": line["team"],
                "urgent": line["urgent"],
                "task_class": line["class"],
                "demand": {
                    "cpu_milli": line["cpu_milli"],
                    "memory_bytes": line["memory_bytes"],
                },
            }
            job = page.parse_job(
                line["job"], json.dumps(body).encode(), time.time(), ""
            )
            records.put(self._jobs, job)

    def _end_runs(self) -> None:
        for task, run in list(self._runs.items()):
            record = records.find(self._jobs, task)
            assert record is not None
            state = ""
            if run.finish_at <= self._now:
                state = "finished"
                self._finished += 1
            elif record.state == page.EVICTING:
                state = "stopped"
                self._evictions += 1
                self._remaining_s[task.job] = run.finish_at - self._now
            if state:
                del self._runs[task]
                reported = messages.TaskState(task, state, run.spec.demand, "step:1")
                records.apply_report(self._jobs, reported)
            if state == "finished":
                del self._jobs[task.team, task.job]

    def _runs_by_host(self) -> dict[str, list[Run]]:
        found: dict[str, list[Run]] = {line["host"]: [] for line in self._hosts.lines}
        for run in self._runs.values():
            found[run.host].append(run)
        return found

    def _measure(self, by_host: dict[str, list[Run]]) -> dict[str, worker.Usage]:
        """Measure the current usage; return that of ``_USAGE_LAG_STEPS`` steps ago."""
        measured = {}
        load = placement_trace.service_load(self._now)
        for line in self._hosts.lines:
            runs = by_host[line["host"]]
            slowdown = []
            for service in line["services"]:
                effects = placement_trace.EFFECTS[service]
                added = sum(
                    effects[run.spec.task_class] * run.used_cpu_milli for run in runs
                )
                inflation = 1 + load * added / line["cpu_milli"]
                slowdown.append((service, inflation))
                self._inflations.append((inflation, load))
            used = [(run.spec.task, run.used_cpu_milli, 0) for run in runs]
            measured[line["host"]] = worker.Usage(
                _STEP_S * (_USAGE_LAG_STEPS + 1),
                _STEP_S * _USAGE_LAG_STEPS + self._now / 1e9,
                used,
                slowdown,
            )
            committed = sum(run.spec.demand.cpu_milli for run in runs)
            self._committed_shares.append(committed / line["cpu_milli"])
        self._delayed_usages.append(measured)
        return (
            self._delayed_usages.popleft()
            if len(self._delayed_usages) > _USAGE_LAG_STEPS
            else {}
        )

    def _place(self) -> None:
        for host, specs in self._placer.place(self._jobs).items():
            for spec in specs:
                line = self._trace_lines[spec.task.job]
                finish_at = self._now + self._remaining_s[spec.task.job]
                self._runs[spec.task] = Run(
                    spec, host, line["used_cpu_milli"], finish_at
                )
                reported = messages.TaskState(spec.task, "running", spec.demand)
                records.apply_report(self._jobs, reported)
                if line["urgent"] and spec.task.attempt == 1:
                    # An arrival is not seen before the step that follows it.
                    seen_at = math.ceil(line["at_s"] / _STEP_S) * _STEP_S
                    self._urgent_waits_s.append(self._now - seen_at)

    def _outcome(self) -> Outcome:
        return Outcome(
            self._name,
            self._finished,
            _weighted_quantile(self._inflations, 0.50),
            _weighted_quantile(self._inflations, 0.99),
            self._evictions,
            sorted(self._urgent_waits_s)[int(0.99 * len(self._urgent_waits_s))],
            max(self._urgent_waits_s),
            statistics.fmean(self._committed_shares),
        )


def _weighted_quantile(samples: list[tuple[float, float]], quantile: float) -> float:
    """Return a quantile of (inflation, load) samples, weighted by load."""
    ordered = sorted(samples)
    limit = quantile * sum(weight for _, weight in ordered)
    weight_sum = 0.0
    for value, weight in ordered:
        weight_sum += weight
        if weight_sum >= limit:
            return value
    return ordered[-1][0]


def replay(name: str) -> None:
    """Replay the day of the user with this name under each policy."""
    for user in placement_trace.USERS:
        if user.name != name:
            continue
        text = gzip.decompress(placement_trace.trace_path(user).read_bytes()).decode()
        lines = [json.loads(line) for line in text.splitlines()]
        learning_model = interference.Model()
        policies = [
            ("first fit", placement.FirstFit(), None),
            ("random", placement.Random(_SEED), None),
            ("own, not learning", placement.Weighted(interference.Model()), None),
            ("own", placement.Weighted(learning_model), learning_model),
        ]
        for name, policy, model in policies:
            print(user.name, Replay(name, lines, policy, model).run(), flush=True)


def speed() -> None:
    """Print placements per second for fleets of increasing size."""
    for hosts, running in ((10, 138), (100, 1_382), (1_100, 15_200)):
        print(_measure_speed(hosts, running), flush=True)


class Speed(t.NamedTuple):
    """Placement speed of one entry that owns all shards."""

    hosts: int
    running: int
    placed: int
    placements_per_s: float


def _measure_speed(count: int, running: int) -> Speed:
    rng = random.Random(_SEED)
    lines = [
        {
            "host": f"h{number}",
            "rack": f"r{number // 3}",
            "failure_domain": f"fd{number % 4}",
            "cpu_milli": 64_000,
            "memory_bytes": 250 << 30,
            "services": ["front"] if number % 2 else ["back"],
        }
        for number in range(count)
    ]
    jobs: records.Jobs = {}
    _add_jobs(jobs, "old", running, rng)
    hosts = SimulatedFleet(lines)
    runs: dict[str, list[Run]] = {line["host"]: [] for line in lines}
    for key, job in list(jobs.items()):
        for index in range(len(job.tasks)):
            host = rng.choice(lines)["host"]
            spec = records.place(jobs, key, index, host)
            runs[host].append(Run(spec, host, 0, 0.0))
    hosts.reports = [_report(line, runs[line["host"]], None) for line in lines]
    _add_jobs(jobs, "new", 1_000, rng)
    policy = placement.Weighted(interference.Model())
    task_placer = placer.Placer(t.cast(t.Any, hosts), placer.make_context(policy))
    started_at = time.perf_counter()
    placed = sum(len(specs) for specs in task_placer.place(jobs).values())
    return Speed(
        count, running, placed, round(placed / (time.perf_counter() - started_at))
    )


def _add_jobs(jobs: records.Jobs, name: str, tasks: int, rng: random.Random) -> None:
    for number in range(0, tasks, 10):
        body = {
            "team": f"team{number % 7}",
            "tasks": min(10, tasks - number),
            "demand": {
                "cpu_milli": rng.choice((200, 300, 400)),
                "memory_bytes": 1 << 30,
            },
        }
        job = page.parse_job(f"{name}-{number}", json.dumps(body).encode(), 1.0, "")
        records.put(jobs, job)


if __name__ == "__main__":
    {"replay": replay, "speed": speed}[sys.argv[1]](*sys.argv[2:])
