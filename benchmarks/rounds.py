"""Measures one placement round of the platform's scheduler by number of hosts.

``python -m benchmarks.rounds`` prints a line for each number of hosts. Half of the
hosts run services, and a burst of fillers and small tasks is waiting.
"""

import time

from bilberrypass import clock
from bilberrypass.scheduling import (
    hosts,
    interference,
    jobs,
    messages,
    placement,
    state,
)

_HOSTS = (11, 70, 300, 1_100)
_TASKS = 200
_REPEATS = 3
_SERVICE = jobs.Step(
    1,
    cpu_milli=13_000,
    memory_mb=26_000,
    is_service=True,
    image="s",
    latency_target_ms=100,
)
_FILLER = jobs.Step(1, cpu_milli=7_000, memory_mb=13_000, is_filler=True, image="f")
_SMALL = jobs.Step(1, cpu_milli=1_000, memory_mb=2_000)


def _task(step: jobs.Step, number: int) -> state.Task:
    job = state.JobState(jobs.Job(f"{number:016x}", "q", "", (step,), 0.0), clock.now())
    (task,) = job.tasks.values()
    task.run = 1
    return task


def _fleet(count: int) -> list[hosts.Host]:
    fleet = []
    for number in range(count):
        host = hosts.Host(f"h{number}", 0.0)
        host.runner = messages.RunnerInfo(
            f"i{number}", 1, "p", 64_000, 256_000, 0, ("a", f"r{number // 3}")
        )
        host.reported_at = clock.now()
        for index in range(4 if number % 2 else 0):
            service = _task(_SERVICE, number * 10 + index)
            service.figure = 30 + 10 * index
            host.add(service)
        fleet.append(host)
    return fleet


def _round(fleet: list[hosts.Host]) -> tuple[float, int]:
    """Place a burst of tasks; return the processor seconds and the tasks placed."""
    estimates = interference.Estimates()
    waiting = [_task(_FILLER if n % 2 else _SMALL, 10**6 + n) for n in range(_TASKS)]
    now, placed = clock.now(), 0
    started_at = time.process_time()
    for task in waiting:
        host = placement.choose_host(task, "p", fleet, estimates, now)
        if host is not None:
            host.add(task)
            placed += 1
    return time.process_time() - started_at, placed


def main() -> None:
    """Print the processor time per placement for each number of hosts."""
    for count in _HOSTS:
        best_s, placed = min(_round(_fleet(count)) for _ in range(_REPEATS))
        print(
            f"{count} hosts: {placed} of {_TASKS} placed, "
            f"{best_s / _TASKS * 1e6:.0f} us a task, "
            f"{best_s / _TASKS / count * 1e6:.2f} us a task and host"
        )


if __name__ == "__main__":
    main()
