"""Generates the traces that ``benchmarks/placement.py`` replays.

python -m benchmarks.placement_trace
"""

import gzip
import json
import math
import pathlib
import random
import typing as t

DAY_S = 86_400
DIRECTORY = pathlib.Path(__file__).parent.parent / "testing" / "traces"

_SEED = 20261203
_HOSTS = 10
_HOSTS_PER_RACK = 3
_CPU_MILLI = 64_000
_MEMORY_BYTES = 250 << 30
_TASKS = 18_000
_URGENT_SHARE = 0.02
_WAVE_TASKS = 150
_WAVE_SPREAD_S = 600
_SIZE_FACTORS = (0.3, 0.5, 1.0, 1.0, 1.5)
_TIME_FACTORS = (0.5, 1.0, 1.0, 2.0)

EFFECTS = {
    "front": {"quiet": 0.1, "cpu": 0.8, "memory": 6.0, "disk": 2.0},
    "back": {"quiet": 0.1, "cpu": 2.5, "memory": 0.4, "disk": 0.3},
}
"""True latency inflation of each service on a host filled with one task class."""


class User(t.NamedTuple):
    """One of the brief's users.

    ``waves`` is the number of waves of noisy tasks per day.
    """

    name: str
    failure_domains: int
    waves: int


USERS = (User("ringkas", 4, 6), User("northvale", 3, 8))


def service_load(at_s: float) -> float:
    """Return the services' load at a time of day, from 0.2 at night to 1.0."""
    return 0.6 - 0.4 * math.cos(2 * math.pi * (at_s - 4 * 3_600) / DAY_S)


def _host(number: int, user: User) -> dict:
    return {
        "kind": "host",
        "host": f"h{number}",
        "rack": f"r{number // _HOSTS_PER_RACK}",
        "failure_domain": f"fd{number % user.failure_domains}",
        "cpu_milli": _CPU_MILLI,
        "memory_bytes": _MEMORY_BYTES,
        "services": ["front"] if number % 2 else ["back"],
    }


def _task(rng: random.Random, number: int, at_s: float, task_class: str) -> dict:
    cpu_milli = rng.choice((1_000, 2_000, 4_000, 8_000))
    run_s = min(rng.lognormvariate(6.0, 0.8), 7_200)
    return {
        "kind": "task",
        "at_s": round(at_s, 1),
        "job": f"job-{number}",
        "team": f"team{number % 4}",
        "class": task_class,
        "urgent": rng.random() < _URGENT_SHARE,
        "cpu_milli": cpu_milli,
        "memory_bytes": rng.choice((2, 4, 8, 16)) << 30,
        "used_cpu_milli": round(cpu_milli * rng.choice(_SIZE_FACTORS)),
        "run_s": round(run_s * rng.choice(_TIME_FACTORS), 1),
    }


def make_trace(user: User) -> list[dict]:
    """Return a user's trace: hosts first, then a day of tasks in order of arrival."""
    rng = random.Random(f"{_SEED}-{user.name}")
    times = [rng.uniform(0, DAY_S) for _ in range(_TASKS - user.waves * _WAVE_TASKS)]
    arrivals = [(at, rng.choice(("quiet", "cpu", "memory", "disk"))) for at in times]
    for _ in range(user.waves):
        start, noisy = rng.uniform(0, DAY_S * 0.9), rng.choice(("memory", "cpu"))
        arrivals += [
            (start + rng.uniform(0, _WAVE_SPREAD_S), noisy) for _ in range(_WAVE_TASKS)
        ]
    arrivals.sort()
    tasks = [_task(rng, number, *arrival) for number, arrival in enumerate(arrivals)]
    return [_host(number, user) for number in range(_HOSTS)] + tasks


def trace_path(user: User) -> pathlib.Path:
    """Return the path of a user's trace file."""
    return DIRECTORY / f"placement-{user.name}.jsonl.gz"


def main() -> None:
    """Write the trace file of each user."""
    DIRECTORY.mkdir(exist_ok=True)
    for user in USERS:
        lines = [json.dumps(line, separators=(",", ":")) for line in make_trace(user)]
        text = "\n".join(lines) + "\n"
        # Without a time stamp, equal traces give equal files.
        trace_path(user).write_bytes(gzip.compress(text.encode(), mtime=0))


if __name__ == "__main__":
    main()
