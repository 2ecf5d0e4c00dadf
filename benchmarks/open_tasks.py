"""Memory, stored progress and loading of jobs, by what is open and what ever ran.

    python -m benchmarks.open_tasks memory
    python -m benchmarks.open_tasks progress
    python -m benchmarks.open_tasks held
    python -m benchmarks.open_tasks load

Prints the points, and the line of least squares through them. ``load`` elects a
scheduler over a store in memory that holds the jobs. ``held`` shows what the budget of
open work counts (``scheduling/work_budget.py``).
"""

import argparse
import collections.abc as abc
import contextlib
import functools
import gc
import io
import time
import tracemalloc

from benchmarks import measuring
from bilberrypass import clock
from bilberrypass.scheduling import (
    committing,
    hosts,
    intake,
    jobs,
    state,
    stored_progress,
    work_budget,
)
from testing.scheduling import clusters, job_tasks
from testing.standins import keyvalues

_STEP = jobs.Step(10, 10, 1, estimate_s=0.6, has_checkpoints=True)
_DUE_AT = 1_000.0
_INTERVAL_S = 60.0


def _job(id: str, count: int, times: int, first_run_at: float = _DUE_AT) -> jobs.Job:
    step = _STEP._replace(count=count)
    return jobs.Job(
        id, clusters.QUEUE, "", (step,), 0.0, times, first_run_at, _INTERVAL_S
    )


def _begin_due(job_state: state.JobState, now: float) -> list[state.Task]:
    tasks = list(job_tasks.waiting(job_state, now))
    for number, task in enumerate(tasks):
        job_state.begin_task(task)
        task.run, task.host, task.life = 1, f"side-zone-a-{100 + number % 50}", 1 << 41
        task.phase, task.checkpoint = state.Phase.RUNNING, f"{number:016x}"
    return tasks


def _play(id: str, times: int, count: int, running: int) -> state.JobState:
    """Return a job of which ``times`` occurrences ran, and the next one runs."""
    job_state = state.JobState(_job(id, count, times + 1), 0.0)
    for number in range(times):
        for task in _begin_due(job_state, _DUE_AT + number * _INTERVAL_S):
            job_state.finish_task(task)
        job_state.encode()
    tasks = _begin_due(job_state, _DUE_AT + times * _INTERVAL_S)
    for task in tasks[running:]:
        job_state.finish_task(task)
    job_state.update_status(0.0)
    return job_state


def _memory_of(make: abc.Callable[[], object]) -> int:
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        return tracemalloc.get_traced_memory()[0] if kept else 0
    finally:
        tracemalloc.stop()


def _print_line(what: str, points: list[tuple[float, float]]) -> None:
    line = measuring.fit(points)
    shown = ", ".join(f"{x:,g}: {y:,.3f}" for x, y in points)
    print(f"{what}: {shown}")
    print(f"  {line.slope:.4g} x + {line.intercept:.4g}, error {line.error:.2g}")


def _measure_memory() -> None:
    by_times = [
        (times, _memory_of(lambda n=times: state.JobState(_job("a" * 16, 10, n), 0.0)))
        for times in (1, 2_880, 1_000_000)
    ]
    _print_line("bytes of a job by its times, none due", by_times)
    by_ran = [
        (times * 10, _memory_of(lambda n=times: _play("a" * 16, n, 10, 5)))
        for times in (1, 100, 2_880)
    ]
    _print_line("bytes of a job by tasks that ran, 5 run", by_ran)
    by_open = [
        (count, _memory_of(lambda n=count: _play("a" * 16, 0, n, n)))
        for count in (10, 1_000, 10_000)
    ]
    _print_line("bytes of a job by running tasks", by_open)


def _between_steps(steps: int, times: int, has_distinct: bool) -> state.JobState:
    """Return a job whose occurrences all wait for their second step.

    With ``has_distinct``, no two are as far in the first step, and a task is left.
    """
    step = _STEP._replace(count=times + 1 if has_distinct else 1)
    chain = (step, *(step._replace(after=(n,)) for n in range(steps - 1)))
    job = jobs.Job("a" * 16, "", "", chain, 0.0, times, _DUE_AT, 0.0)
    job_state = state.JobState(job, 0.0)
    for number in range(times):
        index = number if has_distinct else 0
        job_state.begin_task(
            state.Task(job_state, jobs.TaskKey(job.id, number, 0, index), step)
        )
        for task in list(job_state.occurrences.begun_tasks()):
            job_state.finish_task(task)
    return job_state


def _run_on_host(count: int) -> tuple[state.JobState, hosts.Host]:
    job_state = state.JobState(_job("a" * 16, count, 1), 0.0)
    host = hosts.Host("side-zone-a-101", 0.0)
    for number, task in enumerate(_begin_due(job_state, _DUE_AT)):
        task.host, task.started_at = host.name, clock.now()
        host.add(task)
        host.sent[str(task.key), 1] = hosts.SentOrder(1 << 41, clock.now())
        task.progress.observe(number % 100, 100, clock.now())
    return job_state, host


def _measure_held() -> None:
    for has_distinct in (False, True):
        points = [
            (
                steps,
                _memory_of(functools.partial(_between_steps, steps, 500, has_distinct)),
            )
            for steps in (2, 8, 64)
        ]
        shown = [(steps, held / 500) for steps, held in points]
        kind = "distinct" if has_distinct else "alike"
        _print_line(f"bytes of an open occurrence by steps, {kind}", shown)
    counted = [(n, work_budget.occurrence_bytes(n)) for n in (2, 8, 64)]
    _print_line("counted for an occurrence", counted)
    by_tasks = [
        (count, _memory_of(lambda n=count: _run_on_host(n))) for count in (10, 5_000)
    ]
    _print_line(f"bytes by tasks on a host, {work_budget.TASK_BYTES} counted", by_tasks)


def _measure_progress() -> None:
    by_ran = [
        (times * 100, len(_play("a" * 16, times, 100, 50).encode()))
        for times in (1, 100, 1_000)
    ]
    _print_line("stored bytes by tasks that ran, 50 run", by_ran)
    by_open = [
        (count, len(_play("a" * 16, 0, count, count).encode()))
        for count in (100, 1_000, 15_200)
    ]
    _print_line("stored bytes by running tasks", by_open)


def _load_s(values: abc.Iterable[tuple[jobs.Job, bytes]]) -> float:
    """Return the seconds from the election to the end of the loading."""
    cluster = clusters.Cluster(keyvalues.Store(), clusters.table())
    for job, value in values:
        cluster.store.put(intake.JOB_PREFIX + job.id, stored_progress.encode_job(job))
        cluster.store.put(committing.PROGRESS_PREFIX + job.id, value)
    started_at = clock.now()
    with contextlib.redirect_stdout(io.StringIO()):
        cluster.elect_scheduler()
    took_s = clock.now() - started_at
    cluster.scheduler.stop()
    return took_s


def _measure_load() -> None:
    far = time.time() + 1e6
    value = _play("a" * 16, 10, 30, 30).encode()
    by_jobs = [
        (
            count,
            _load_s([(_job(f"{n:016x}", 30, 11, far), value) for n in range(count)]),
        )
        for count in (100, 500, 2_000)
    ]
    _print_line("seconds to load by jobs with 30 running tasks", by_jobs)
    by_ran = [
        (
            times * 30,
            _load_s(
                [
                    (
                        _job("a" * 16, 30, times + 1, far),
                        _play("a" * 16, times, 30, 30).encode(),
                    )
                ]
            ),
        )
        for times in (1, 100, 1_000)
    ]
    _print_line("seconds to load one job by tasks that ran", by_ran)
    by_times = [
        (
            times,
            _load_s(
                (job, state.JobState(job, 0.0).encode())
                for job in (_job(f"{n:016x}", 10, times, far) for n in range(24))
            ),
        )
        for times in (1, 2_880, 1_000_000)
    ]
    _print_line("seconds to load 24 jobs by their times, none due", by_times)


def main() -> None:
    """Print one block for what is asked."""
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=["memory", "progress", "held", "load"])
    what = parser.parse_args().what
    measures = {
        "memory": _measure_memory,
        "progress": _measure_progress,
        "held": _measure_held,
        "load": _measure_load,
    }
    measures[what]()


if __name__ == "__main__":
    main()
