"""Replays a day through the placement code, and measures its speed.

python -m benchmarks.placement replay ringkas
python -m benchmarks.placement replay northvale
python -m benchmarks.placement speed

Expected of the replay: against first fit, at the same throughput, the services'
p99 inflation above 1.0 is cut by half or more, with at most one eviction in a
hundred tasks. There is no cluster here: reports are made up from what the
records say, and the world behind them is the trace and a table of true effects.
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
    """A task that runs; ``finish_at`` is in trace seconds."""

    spec: work.Spec
    host: str
    used_cpu_milli: int
    finish_at: float


class Outcome(t.NamedTuple):
    """What one policy made of a day."""

    policy: str
    finished: int
    p50: float
    p99: float
    evictions: int
    urgent_p99_s: float
    urgent_max_s: float
    cpu_share: float


class Hosts:
    """The fleet as placement asks for it, with reports made from the records."""

    def __init__(self, lines: list[dict]) -> None:
        self.lines = lines
        self.reports: list[messages.Report] = []

    def available(self) -> list[fleet.Host]:
        """Return all hosts."""
        return [fleet.Host(report, 0.0, t.cast(t.Any, None)) for report in self.reports]

    all = available

    def get(self, name: str) -> fleet.Host:
        """Return one host."""
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
    """One day under one policy."""

    def __init__(
        self,
        name: str,
        lines: list[dict],
        policy: placement.Policy,
        model: interference.Model | None,
    ) -> None:
        self._name = name
        self._hosts = Hosts([line for line in lines if line["kind"] == "host"])
        self._tasks = collections.deque(
            line for line in lines if line["kind"] == "task"
        )
        self._traced = {line["job"]: line for line in self._tasks}
        self._left_s = {line["job"]: line["run_s"] for line in self._tasks}
        self._placer = placer.Placer(
            t.cast(t.Any, self._hosts), placer.make_context(policy)
        )
        self._observer = interference.Observer(model) if model else None
        self._jobs: records.Jobs = {}
        self._runs: dict[work.TaskId, Run] = {}
        self._lagged: collections.deque[dict[str, worker.Usage]] = collections.deque()
        self._inflations: list[tuple[float, float]] = []
        self._waits: list[float] = []
        self._shares: list[float] = []
        self._finished = 0
        self._evictions = 0
        self._now = 0.0

    def run(self) -> Outcome:
        """Replay the day, step by step."""
        with unittest.mock.patch("time.time", lambda: _EPOCH_S + self._now):
            with unittest.mock.patch("time.monotonic", lambda: _EPOCH_S + self._now):
                while self._now < placement_trace.DAY_S:
                    self._step()
                    self._now += _STEP_S
        return self._outcome()

    def _step(self) -> None:
        self._take_arrivals()
        self._end_runs()
        by_host = self._by_host()
        usages = self._measure(by_host)
        self._hosts.reports = [
            _report(line, by_host[line["host"]], usages.get(line["host"]))
            for line in self._hosts.lines
        ]
        if self._observer:
            for report in self._hosts.reports:
                self._observer.handle_report(report)
        self._place()

    def _take_arrivals(self) -> None:
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
                self._left_s[task.job] = run.finish_at - self._now
            if state:
                del self._runs[task]
                said = messages.TaskState(task, state, run.spec.demand, "step:1")
                records.apply_report(self._jobs, said)
            if state == "finished":
                del self._jobs[task.team, task.job]

    def _by_host(self) -> dict[str, list[Run]]:
        found: dict[str, list[Run]] = {line["host"]: [] for line in self._hosts.lines}
        for run in self._runs.values():
            found[run.host].append(run)
        return found

    def _measure(self, by_host: dict[str, list[Run]]) -> dict[str, worker.Usage]:
        """Measure the present; return what was measured some steps ago."""
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
            self._shares.append(committed / line["cpu_milli"])
        self._lagged.append(measured)
        return self._lagged.popleft() if len(self._lagged) > _USAGE_LAG_STEPS else {}

    def _place(self) -> None:
        for host, specs in self._placer.place(self._jobs).items():
            for spec in specs:
                traced = self._traced[spec.task.job]
                finish_at = self._now + self._left_s[spec.task.job]
                self._runs[spec.task] = Run(
                    spec, host, traced["used_cpu_milli"], finish_at
                )
                said = messages.TaskState(spec.task, "running", spec.demand)
                records.apply_report(self._jobs, said)
                if traced["urgent"] and spec.task.attempt == 1:
                    # Nobody sees an arrival before the step that follows it.
                    seen_at = math.ceil(traced["at_s"] / _STEP_S) * _STEP_S
                    self._waits.append(self._now - seen_at)

    def _outcome(self) -> Outcome:
        return Outcome(
            self._name,
            self._finished,
            _weighted(self._inflations, 0.50),
            _weighted(self._inflations, 0.99),
            self._evictions,
            sorted(self._waits)[int(0.99 * len(self._waits))],
            max(self._waits),
            statistics.fmean(self._shares),
        )


def _weighted(samples: list[tuple[float, float]], quantile: float) -> float:
    """Return a quantile of inflations, weighted by the services' load."""
    ordered = sorted(samples)
    limit = quantile * sum(weight for _, weight in ordered)
    passed = 0.0
    for value, weight in ordered:
        passed += weight
        if passed >= limit:
            return value
    return ordered[-1][0]


def replay(name: str) -> None:
    """Replay a user's day under each policy."""
    for user in placement_trace.USERS:
        if user.name != name:
            continue
        text = gzip.decompress(placement_trace.path(user).read_bytes()).decode()
        lines = [json.loads(line) for line in text.splitlines()]
        learned = interference.Model()
        policies = [
            ("first fit", placement.FirstFit(), None),
            ("random", placement.Random(_SEED), None),
            ("own, not learning", placement.Weighted(interference.Model()), None),
            ("own", placement.Weighted(learned), learned),
        ]
        for name, policy, model in policies:
            print(user.name, Replay(name, lines, policy, model).run(), flush=True)


def speed() -> None:
    """Measure placements a second as the fleet grows."""
    for hosts, running in ((10, 138), (100, 1_382), (1_100, 15_200)):
        print(_measure_speed(hosts, running), flush=True)


class Speed(t.NamedTuple):
    """How fast one owner of everything decides."""

    hosts: int
    running: int
    placed: int
    placements_per_s: float


def _measure_speed(count: int, running: int) -> Speed:
    draw = random.Random(_SEED)
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
    _add_jobs(jobs, "old", running, draw)
    hosts = Hosts(lines)
    runs: dict[str, list[Run]] = {line["host"]: [] for line in lines}
    for key, job in list(jobs.items()):
        for index in range(len(job.tasks)):
            host = draw.choice(lines)["host"]
            spec = records.place(jobs, key, index, host)
            runs[host].append(Run(spec, host, 0, 0.0))
    hosts.reports = [_report(line, runs[line["host"]], None) for line in lines]
    _add_jobs(jobs, "new", 1_000, draw)
    policy = placement.Weighted(interference.Model())
    decide = placer.Placer(t.cast(t.Any, hosts), placer.make_context(policy))
    began = time.perf_counter()
    placed = sum(len(specs) for specs in decide.place(jobs).values())
    return Speed(count, running, placed, round(placed / (time.perf_counter() - began)))


def _add_jobs(jobs: records.Jobs, name: str, tasks: int, draw: random.Random) -> None:
    for number in range(0, tasks, 10):
        body = {
            "team": f"team{number % 7}",
            "tasks": min(10, tasks - number),
            "demand": {
                "cpu_milli": draw.choice((200, 300, 400)),
                "memory_bytes": 1 << 30,
            },
        }
        job = page.parse_job(f"{name}-{number}", json.dumps(body).encode(), 1.0, "")
        records.put(jobs, job)


if __name__ == "__main__":
    {"replay": replay, "speed": speed}[sys.argv[1]](*sys.argv[2:])
