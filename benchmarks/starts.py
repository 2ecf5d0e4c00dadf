"""Time until small jobs begin beside large ones of tiny tasks, and starts a second.

    python -m benchmarks.starts
    python -m benchmarks.starts --against ../earlier-checkout

A scheduler over a store in memory, and hosts that carry out so many starts a second in
the order in which they get them. With ``--against``, each figure is measured with the
sources of the other checkout too, one after the other. Last comes the processor time of
a round in which 1,000 jobs with 100,000 tasks wait for 30 full hosts.
"""

import argparse
import contextlib
import io
import os
import pathlib
import statistics
import subprocess
import sys
import time
import typing as t

from benchmarks import rounds
from bilberrypass import clock
from bilberrypass.observing import decisions
from bilberrypass.scheduling import jobs, messages
from testing.scheduling import clusters

_HOSTS = 4
_STARTS_PER_S = 350
_REPORT_INTERVAL_S = 0.1
_TINY = jobs.Step(1, cpu_milli=10, estimate_s=0.01)
_LARGE_TASKS = 40_000
_WARM_UP_S = 4.0
_MEASURE_S = 10.0
_SMALL_JOBS = 40
_WIDE = jobs.Step(100, cpu_milli=4_000, estimate_s=1.0)
_WAITING_JOBS = 1_000
_ROUNDS = 10


class _Hosts:
    """Fake hosts, each with a queue of starts."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self._hosts = [cluster.add_host(f"h{number}") for number in range(_HOSTS)]
        self._known: set[tuple[str, int]] = set()
        self._due = 0.0
        self.at = clock.now()  # until when starts were carried out
        self.begun = 0
        self.begun_at: dict[str, float] = {}

    def turn(self) -> None:
        """Carry out what is due since the last turn, and report."""
        now = clock.now()
        self._due = (now - self.at) * _STARTS_PER_S + self._due % 1.0
        self.at = now
        for host in self._hosts:
            for key, row in list(host.rows.items()):
                if row.state == clusters.State.RUNNING:
                    host.end_run(key, "done")
            self._start(host, int(self._due))
            host.report()
        time.sleep(max(0.0, now + _REPORT_INTERVAL_S - clock.now()))

    def _start(self, host: clusters.FakeHost, most: int) -> None:
        count = 0
        while host.orders and count < most:
            order = host.orders.pop(0)
            key = order.task, order.run
            if order.verb != clusters.Verb.START or key in self._known:
                continue
            count += 1
            self._known.add(key)
            host.rows[key] = messages.RunRow(*key, int(clusters.State.RUNNING))
            self.begun_at.setdefault(order.task.partition(".")[0], clock.now())
        self.begun += count


def _run_for(hosts: _Hosts, duration_s: float) -> None:
    until = clock.now() + duration_s
    while clock.now() < until:
        hosts.turn()


def _measure(large: int, small: int) -> tuple[float, list[float]]:
    """Return the starts a second, and the seconds until each small job began."""
    with clusters.running_cluster() as cluster:
        hosts = _Hosts(cluster)
        for number in range(large):
            step = _TINY._replace(count=_LARGE_TASKS // large)
            cluster.submit(step, id=f"{0xA000 + number:016x}")
        _run_for(hosts, _WARM_UP_S)
        began, before = hosts.at, hosts.begun
        accepted: dict[str, float] = {}
        for number in range(small):
            id = f"{number:016x}"
            cluster.submit(_TINY, id=id)
            accepted[id] = clock.now()
            _run_for(hosts, _MEASURE_S / small)
        if not small:
            _run_for(hosts, _MEASURE_S)
        end = clock.now()
        rate = (hosts.begun - before) / (hosts.at - began)
        waits = [hosts.begun_at.get(id, end) - at for id, at in accepted.items()]
        return rate, waits


def _print_measured(large: int, small: int) -> None:
    log = io.StringIO()
    with contextlib.redirect_stdout(log):
        rate, waits = _measure(large, small)
    if not waits:
        print(f"{rate:.0f} starts a second, {large} large jobs alone")
        return
    p50, p99 = statistics.median(waits), sorted(waits)[int(0.99 * len(waits))]
    longest = " or more" * (p99 >= _MEASURE_S * 0.9)
    print(
        f"first start of a small job beside {large} large ones: p50 {p50:.2f} s, "
        f"p99 {p99:.2f} s{longest}"
    )


def _print_round() -> None:
    decisions.record = lambda event, **fields: None
    fleet = rounds.Fleet(30, True)
    fleet.scheduler._placer._reports_due_at = 0.0
    for _ in range(_WAITING_JOBS):
        fleet.submit(rounds.URGENT, _WIDE)
    fleet.place()
    took_ms = [rounds.measure_later_round_ms(fleet) for _ in range(_ROUNDS)]
    print(
        f"{statistics.median(took_ms):.1f} ms a round, {_WAITING_JOBS} jobs and "
        f"{fleet.count_waiting()} tasks wait"
    )


def _call(here: pathlib.Path, root: pathlib.Path, *args: str) -> str:
    env = os.environ | {"PYTHONPATH": f"{root / 'src'}{os.pathsep}{here}"}
    args = (sys.executable, __file__, *args)
    found = subprocess.run(args, env=env, capture_output=True, text=True, check=True)
    return found.stdout.strip().splitlines()[-1]


def main() -> None:
    """Print one line a figure and checkout."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--against", type=pathlib.Path)
    parser.add_argument("--large", type=int, default=0)
    parser.add_argument("--small", type=int, default=0)
    parser.add_argument("--rounds", action="store_true")
    args = parser.parse_args()
    if args.rounds:
        _print_round()
        return
    if args.large:
        _print_measured(args.large, args.small)
        return
    here = pathlib.Path(__file__).resolve().parents[1]
    roots: list[t.Any] = [("here", here)]
    if args.against is not None:
        roots.insert(0, ("against", args.against.resolve()))
    figures = [(1, 0), *((large, _SMALL_JOBS) for large in (1, 10, 100))]
    calls = [("--large", str(large), "--small", str(small)) for large, small in figures]
    for call in (*calls, ("--rounds",)):
        for name, root in roots:
            print(f"{name}: {_call(here, root, *call)}", flush=True)


if __name__ == "__main__":
    main()
