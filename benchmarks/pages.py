"""Measures encoding and size of job pages, and starts through one owner.

    python -m benchmarks.pages coding
    python -m benchmarks.pages starts

Encoding and decoding are measured in this process. For the starts, a real entry
owns all shards in the store's stand-in; simulated hosts report every second and
accept starts of tasks that end after one second.
"""

import argparse
import concurrent.futures as futures
import contextlib
import json
import random
import time

from benchmarks import measuring
from bilberrypass.version import page
from testing import fixtures, system

_TASKS = (100, 1_000, 7_800)
_ENDED_JOBS_PER_DAY = 8_900
_TASKS_PER_JOB = 10
_ROUNDS = 5
_HOSTS = 50
_STARTS = (100, 400, 1_000)
_RUN_S = 1.0
_TEAMS = 33
_SUBMITTERS = 4
_STARTS_TIMEOUT_S = 60.0


def _record(index: int, rng: random.Random) -> page.TaskRecord:
    return page.TaskRecord(
        state=page.RUNNING,
        attempt=1,
        host=f"host-{rng.randrange(1_100)}",
        checkpoint=f"store://plans/{rng.getrandbits(64):x}/step-{index}",
    )


def _job(number: int, tasks: int, is_finished: bool, rng: random.Random):
    records = [_record(n, rng) for n in range(tasks)]
    if is_finished:
        records = [r._replace(state=page.FINISHED) for r in records]
    found = page.parse_job(
        f"plan-{number}",
        json.dumps(
            system.job_body(
                team=f"team-{number % _TEAMS}",
                payload=json.dumps({"household": f"{rng.getrandbits(64):x}"}),
                tasks=tasks,
            )
        ).encode(),
        time.time(),
        f"00-{rng.getrandbits(128):032x}-{rng.getrandbits(64):016x}-01",
    )
    return found._replace(tasks=records)


def _jobs(running: int, ended_jobs: int) -> list[page.JobRecord]:
    rng = random.Random(running)
    running_jobs = running // _TASKS_PER_JOB
    found = [_job(n, _TASKS_PER_JOB, False, rng) for n in range(running_jobs)]
    return found + [_job(running_jobs + n, 1, True, rng) for n in range(ended_jobs)]


def _measure_coding(jobs: list[page.JobRecord]) -> tuple[float, float, int]:
    """Return processor ms to encode, processor ms to decode, and the size in bytes."""
    job_page = page.Page(0, 1, "0123456789abcdef", jobs)
    began = time.thread_time()
    for _ in range(_ROUNDS):
        value = page.encode(job_page)
    encoded = time.thread_time()
    for _ in range(_ROUNDS):
        page.decode(value)
    decoded = time.thread_time()
    scale = 1000 / _ROUNDS
    return (encoded - began) * scale, (decoded - encoded) * scale, len(value)


def measure_coding() -> None:
    """Print encoding time, decoding time and size of a page by number of tasks."""
    measuring.print_conditions(f"one page, {_TASKS_PER_JOB} tasks a job")
    rows = []
    for tasks in _TASKS:
        rows.append((tasks, 0, *_measure_coding(_jobs(tasks, 0))))
    points = [(float(row[0]), float(row[2]), float(row[4])) for row in rows]
    rows.append(
        (
            _TASKS[-1],
            _ENDED_JOBS_PER_DAY,
            *_measure_coding(_jobs(_TASKS[-1], _ENDED_JOBS_PER_DAY)),
        )
    )
    heads = ["running tasks", "ended jobs", "encode ms", "decode ms", "bytes"]
    measuring.print_table(heads, rows)
    measuring.print_fit("encode ms by tasks", [(x, ms) for x, ms, _ in points])
    measuring.print_fit("bytes by tasks", [(x, size) for x, _, size in points])


def _submit(url: str, number: int, tasks: int) -> None:
    body = system.job_body(
        team=f"team-{number % _TEAMS}",
        demand={"cpu_milli": 100, "memory_bytes": 1 << 20},
        payload=json.dumps({"run_s": _RUN_S}),
        tasks=tasks,
    )
    fixtures.wait_until(
        lambda: (
            fixtures.http("PUT", f"{url}/jobs/plan-{number}", body=body).status
            in (200, 201)
        ),
        30,
        "the job to be accepted",
    )


def _count_begun_and_ended(url: str) -> tuple[int, int]:
    """Return how many tasks have begun and ended, according to their owners."""
    jobs = fixtures.http("GET", f"{url}/jobs").json()
    states = [task["state"] for job in jobs for task in job["tasks"]]
    begun = sum(state in (page.RUNNING, page.FINISHED) for state in states)
    return begun, states.count(page.FINISHED)


def _measure_starts(starts: int) -> tuple:
    with contextlib.ExitStack() as stack:
        kv = stack.enter_context(system.store())
        cfg = system.entry_settings(0, kv.addresses["store"], shards=8)
        cfg |= {"member_ttl_s": 10, "task_lease_s": 300.0}
        cfg |= {"logs": {"level": "warning"}}
        entry = stack.enter_context(system.daemon("entry", cfg))
        args = ["benchmarks.hosts", "--entries", entry.addresses["peers"]]
        args += ["--hosts", str(_HOSTS), "--tasks", "0"]
        stack.enter_context(fixtures.process(args, ready_timeout_s=30.0))
        url = f"http://{entry.addresses['callers']}"
        _submit(url, 0, 1)
        time.sleep(4.0)
        return _run_starts(kv, entry, url, starts)


def _run_starts(kv, entry, url: str, starts: int) -> tuple:
    calls, before = measuring.store_calls(kv), measuring.read(entry.pid)
    began = time.monotonic()
    with futures.ThreadPoolExecutor(_SUBMITTERS) as pool:
        numbers = range(1, starts // _TASKS_PER_JOB + 1)
        list(pool.map(lambda n: _submit(url, n, _TASKS_PER_JOB), numbers))
    begun_s = ended_s = 0.0
    while not ended_s and time.monotonic() < began + _STARTS_TIMEOUT_S:
        begun, ended = _count_begun_and_ended(url)
        elapsed_s = time.monotonic() - began
        if begun > starts and not begun_s:
            begun_s = elapsed_s
        if ended > starts:
            ended_s = elapsed_s
        time.sleep(0.2)
    after, last = measuring.read(entry.pid), measuring.store_calls(kv)
    writes = last.get("txn", 0) - calls.get("txn", 0)
    cpu_ms = 1000 * (after.cpu_s - before.cpu_s)
    rate = starts / begun_s if begun_s else 0.0
    return starts, begun_s, ended_s, rate, writes / starts, cpu_ms / starts


def measure_starts(counts: list[int]) -> None:
    """Print the cost of starts through one entry that owns all shards."""
    measuring.print_conditions(
        f"one entry, {_HOSTS} hosts, {_TASKS_PER_JOB} tasks a job, {_RUN_S} s a task"
    )
    rows = [_measure_starts(count) for count in counts]
    heads = ["starts", "all begun s", "all ended s", "starts/s"]
    heads += ["writes a start and end", "entry cpu ms a start and end"]
    measuring.print_table(heads, rows)
    if len(rows) > 1:
        measuring.print_fit("cpu ms by starts", [(r[0], r[5] * r[0]) for r in rows])


def main() -> None:
    """Run the measurement that is given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=("coding", "starts"))
    parser.add_argument("--starts", type=int, nargs="+", default=list(_STARTS))
    args = parser.parse_args()
    if args.part == "coding":
        measure_coding()
    else:
        measure_starts(args.starts)


if __name__ == "__main__":
    main()
