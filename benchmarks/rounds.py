"""Measures rounds, reports and ticks of the platform's scheduler by number of hosts.

    python -m benchmarks.rounds --hosts 30 160 300
    python -m benchmarks.rounds --hosts 300 --waiting 10000

Lasting services run on the hosts, and a burst of wide batch jobs, fillers and small
ones, waits for them; small and large jobs follow until ``--waiting`` tasks wait. Prints
processor time: the round that places the burst, a later round in which most of it still
waits, one report, and one tick. ``--no-reservations`` switches reservations off.
"""

import argparse
import collections.abc as abc
import random
import statistics
import time
import typing as t

from bilberrypass import clock
from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    jobs,
    messages,
    queues,
    scheduler,
    sending,
    state,
)
from testing.standins import keyvalues

_HOSTS_PER_RACK = 13
_HOSTS_PER_SERVICE = 11
_HOSTS_PER_JOB = 4
_REPEATS = 10
_LARGE_SHARE = 0.05
_SERVICE = jobs.Step(
    24,
    cpu_milli=13_000,
    memory_mb=26_000,
    max_per_host=2,
    is_service=True,
    latency_target_ms=50,
)
_FILLER = jobs.Step(
    39, cpu_milli=7_000, memory_mb=13_000, estimate_s=5.4, is_filler=True
)
_SMALL = jobs.Step(9, cpu_milli=3_800, memory_mb=7_600, estimate_s=2.0)
_LARGE = jobs.Step(4, cpu_milli=24_000, memory_mb=48_000, estimate_s=6.0)
URGENT = jobs.Queue("urgent", "p", 0, 3, 1.5, 0.25)
_BATCH = jobs.Queue("batch", "p", 2, 4, 2.0, 1.0)
_TABLE = queues.RouteTable(
    queues.Config(
        1,
        (queues.Route("h", "/u/", URGENT), queues.Route("h", "/b/", _BATCH)),
        queues.Limits(),
    )
)


class _NoSender(sending.OrderSender):
    def send(self, *args: t.Any) -> None:
        """Drop the orders."""

    def stop(self) -> None:
        """Do nothing; there is no connection."""


class Fleet:
    """A scheduler without its threads, and hosts that report what it placed."""

    def __init__(self, count: int, has_reservations: bool) -> None:
        self.scheduler = scheduler.Scheduler(
            keyvalues.Store(),
            1,
            scheduler.Settings(5.0, 120.0, has_reservations),
            lambda: _TABLE,
            clock.now,
            lambda why: None,
            lambda on_failed: _NoSender(),
        )
        self.scheduler.is_loaded = True
        self._sequence = 0
        self._count = count
        self._rng = random.Random(count)
        self.report_all()

    def report_all(self) -> None:
        """Let each host report its runs."""
        self._sequence += 1
        self.scheduler._set_intake_read(clock.now())
        for number in range(self._count):
            self.scheduler.apply_report(self._report(number), clock.now(), 5.0)

    def _report(self, number: int) -> messages.Report:
        name = f"h{number}"
        labels = ("a", f"r{number // _HOSTS_PER_RACK}")
        info = messages.RunnerInfo(f"i{number}", 1, "p", 64_000, 256_000, 0, labels)
        host = self.scheduler.hosts.get(name)
        rows = [] if host is None else [_row(task) for task in host.tasks.values()]
        return messages.Report(
            name, f"{name}:1", "z", 1, self._sequence, 1, info, 0.0, 0.0, rows
        )

    def submit(self, queue: jobs.Queue, *steps: jobs.Step) -> None:
        """Add a job whose steps follow each other."""
        id = f"{len(self.scheduler.jobs):016x}"
        path = "h/u/" if queue is URGENT else "h/b/"
        steps = tuple(
            s._replace(after=(n - 1,) if n else ()) for n, s in enumerate(steps)
        )
        self.scheduler._add(jobs.Job(id, path, "", steps, time.time()))

    def submit_services(self) -> None:
        """Submit lasting services, which fill a part of each host."""
        for number in range(self._count // _HOSTS_PER_SERVICE):
            self.submit(URGENT, _SERVICE._replace(image=f"s{number % 16}"))

    def submit_burst(self) -> None:
        """Submit wide batch jobs, fillers and small jobs."""
        for _ in range(max(1, self._count // _HOSTS_PER_JOB)):
            if self._rng.random() < 0.7:
                filler = _FILLER._replace(image=f"f{self._rng.randrange(30)}")
                self.submit(_BATCH, filler, filler)
            else:
                self.submit(URGENT, _SMALL, _SMALL)

    def submit_crowd(self) -> None:
        """Submit small and large tasks of which no two jobs need the same."""
        for _ in range(max(1, self._count // _HOSTS_PER_JOB)):
            is_large = self._rng.random() < _LARGE_SHARE
            size, time = self._rng.uniform(0.5, 1.5), self._rng.uniform(0.5, 1.5)
            step = _LARGE if is_large else _SMALL
            step = step._replace(
                cpu_milli=int(step.cpu_milli * size),
                memory_mb=int(step.memory_mb * size),
                estimate_s=step.estimate_s * time,
            )
            self.submit(URGENT, step)

    def place(self) -> None:
        """Run one round, and store what it placed at once."""
        self.scheduler._placer._place_waiting(clock.now())
        self.scheduler._progress._dirty.clear()
        for host in self.scheduler.hosts.values():
            for task in host.tasks.values():
                task.is_stored = True

    def tick(self) -> None:
        """Do what the scheduler does ten times a second."""
        self.scheduler._reconciler.tick(clock.now())
        self.scheduler._migrator.tick(clock.now())

    def count_waiting(self) -> int:
        """Return how many tasks wait."""
        return sum(
            waiting
            for job in self.scheduler.open_jobs.values()
            for _, waiting in job.occurrences.waiting_counts(time.time())
        )


def _row(task: state.Task) -> messages.RunRow:
    figure = 5_000 if task.step.is_filler else 20
    running = int(messages.RunState.RUNNING)
    return messages.RunRow(str(task.key), task.run, running, progress=10, figure=figure)


def _measure_ms(work: abc.Callable[[], None], repeats: int = 1) -> float:
    started_at = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - started_at) / repeats * 1e3


def measure_later_round_ms(fleet: Fleet) -> float:
    """Return the processor time of a round after hosts have reported."""
    fleet.report_all()  # hosts that are silent for long are not usable
    return _measure_ms(fleet.place)


def main() -> None:
    """Print one line for each number of hosts."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--hosts", type=int, nargs="+", default=[30, 160, 300, 1_100])
    parser.add_argument("--waiting", type=int, default=0)
    parser.add_argument("--no-reservations", action="store_true")
    args = parser.parse_args()
    decisions.record = lambda event, **fields: (
        None
    )  # keeps the lines out of the figures
    for count in args.hosts:
        fleet = Fleet(count, not args.no_reservations)
        fleet.scheduler._placer._reports_due_at = 0.0
        fleet.submit_services()
        fleet.place()
        fleet.submit_burst()
        first_ms = _measure_ms(fleet.place)
        while fleet.count_waiting() < args.waiting:
            fleet.report_all()
            fleet.submit_crowd()
            fleet.place()
        report_ms = _measure_ms(fleet.report_all) / count
        later_ms = statistics.median(
            measure_later_round_ms(fleet) for _ in range(_REPEATS)
        )
        tick_ms = _measure_ms(fleet.tick, _REPEATS)
        print(
            f"{count} hosts, {fleet.count_waiting()} tasks wait: "
            f"burst {first_ms:.0f} ms, "
            f"later round {later_ms:.1f} ms, report {report_ms * 1e3:.0f} us, "
            f"tick {tick_ms:.1f} ms, "
            f"{len(fleet.scheduler._placer._reservations.held)} hosts reserved"
        )


if __name__ == "__main__":
    main()
