"""Measures the cost of reports: one entry by hosts, one agent by entries and tasks.

    python -m benchmarks.reports entry
    python -m benchmarks.reports agent

The entry is a real process that uses the store's stand-in. The hosts are simulated;
each uses the agent's report client on a separate connection. The entry owns 2 shards
and other entries own 22, as in a system of 12 entries and 24 shards. The agent is a
real process with a stand-in worker, whose tasks run during the whole measurement.
"""

import argparse
import contextlib
import json
import time

from benchmarks import measuring
from bilberrypass.connection import etcd, store
from bilberrypass.version import work
from testing import fixtures, system

_HOSTS = (50, 200, 600, 1_100)
_HOSTS_PER_PROCESS = 275
_ENTRIES = (1, 4, 8, 12)
_TASKS = (0, 14, 50)
_SHARDS = 24
_OWN_SHARDS = 2
_SETTLE_S = 8.0
# The interval that agents keep with 12 entries.
_INTERVAL_S = 6.0
_MEASURED_S = 12.0
_STORE_TIMEOUT_S = 5.0


def _foreign_teams() -> list[str]:
    names = [f"team-{n}" for n in range(200)]
    own = range(_OWN_SHARDS)
    return [n for n in names if work.shard_of(n, _SHARDS) not in own][:33]


def _assign_foreign_shards(address: str) -> None:
    """Record another entry as owner of all but the first ``_OWN_SHARDS`` shards."""
    kv = etcd.EtcdStore([address])
    for shard in range(_OWN_SHARDS, _SHARDS):
        owner = ["jobs", shard, "elsewhere", "127.0.0.1:1", 1]
        key = f"/bilberrypass/fleet/owners/jobs/{shard:04d}"
        value = json.dumps(owner).encode()
        kv.swap(key, value, store.ABSENT, time.monotonic() + _STORE_TIMEOUT_S)
    kv.close()


@contextlib.contextmanager
def _run_entry(kv: str, number: int = 0, **changes):
    cfg = system.entry_settings(number, kv, shards=_SHARDS, member_ttl_s=10)
    cfg |= {"task_lease_s": 300.0, "logs": {"level": "warning"}} | changes
    with system.daemon("entry", cfg) as entry:
        yield entry


def _host_contexts(entries: list[str], count: int, interval_s: float):
    contexts = []
    for first in range(0, count, _HOSTS_PER_PROCESS):
        size = min(_HOSTS_PER_PROCESS, count - first)
        args = ["benchmarks.hosts", "--entries", *entries, "--first", str(first)]
        args += ["--hosts", str(size), "--interval", str(interval_s)]
        args += ["--teams", *_foreign_teams()]
        contexts.append(fixtures.process(args, ready_timeout_s=60.0))
    return contexts


def _measure_entry(count: int, interval_s: float) -> measuring.Rate:
    with system.store() as kv:
        address = kv.addresses["store"]
        _assign_foreign_shards(address)
        with _run_entry(address) as entry:
            peers = entry.addresses["peers"]
            with measuring.enter_all(*_host_contexts([peers], count, interval_s)):
                time.sleep(_SETTLE_S)
                return measuring.measure(entry.pid, _MEASURED_S)


def measure_entry(counts: list[int], interval_s: float) -> None:
    """Print the resource use of one entry by number of hosts."""
    measuring.print_conditions(
        f"one entry, a report each {interval_s} s from each host"
    )
    rates = {count: _measure_entry(count, interval_s) for count in counts}
    heads = ["hosts", "cpu ms/s", "MiB", "bytes/s", "bytes/s a host", "threads"]
    measuring.print_table(
        heads,
        [
            (n, r.cpu_ms_per_s, r.rss_mib, r.tcp_bytes_per_s)
            + (r.tcp_bytes_per_s / n, r.threads)
            for n, r in rates.items()
        ],
    )
    if len(counts) > 1:
        _print_fits({float(n): r for n, r in rates.items()}, "hosts")


def _print_fits(rates: dict[float, measuring.Rate], of: str) -> None:
    for name in ("cpu_ms_per_s", "rss_mib", "tcp_bytes_per_s"):
        points = [(x, getattr(rate, name)) for x, rate in rates.items()]
        measuring.print_fit(f"{name} by {of}", points)


def _put_tasks(entry, count: int) -> None:
    if not count:
        return
    demand = {"cpu_milli": 100, "memory_bytes": 1 << 20}
    payload = json.dumps({"run_s": 3600})
    body = system.job_body(demand=demand, payload=payload, tasks=count)
    url = f"http://{entry.addresses['callers']}/jobs/standing"
    fixtures.wait_until(
        lambda: fixtures.http("PUT", url, body=body).status in (200, 201), 15, "job"
    )

    def is_running():
        tasks = fixtures.http("GET", url).json()["tasks"]
        return all(task["state"] == "running" for task in tasks)

    fixtures.wait_until(is_running, 20, "the tasks to run")


def _measure_agent(entries: int, tasks: int, endpoints: int) -> measuring.Rate:
    with contextlib.ExitStack() as stack:
        enter = stack.enter_context
        kv = enter(system.store()).addresses["store"]
        entry_processes = [enter(_run_entry(kv, n)) for n in range(entries)]
        peers = [proc.addresses["peers"] for proc in entry_processes]
        host = enter(system.worker(64_000, 250))
        cfg = system.agent_settings(0, peers, host.addresses["http"])
        cfg |= {"report_interval_s": 1.0, "logs": {"level": "warning"}}
        agent = enter(system.daemon("agent", cfg))
        for n in range(endpoints):
            enter(system.endpoint(agent.addresses["announcements"], id=f"ep{n}"))
        _put_tasks(entry_processes[0], tasks)
        time.sleep(_SETTLE_S)
        return measuring.measure(agent.pid, _MEASURED_S, peers)


def measure_agent(pairs: list[tuple[int, int]], endpoints: int) -> None:
    """Print the resource use of one agent by numbers of entries and tasks."""
    measuring.print_conditions(
        f"one agent by entries and tasks, {endpoints} endpoints, a report a second"
    )
    rates = {pair: _measure_agent(*pair, endpoints) for pair in pairs}
    heads = ["entries", "tasks", "cpu ms/s", "MiB", "bytes/s", "threads"]
    rows = [
        (*pair, r.cpu_ms_per_s, r.rss_mib, r.tcp_bytes_per_s, r.threads)
        for pair, r in rates.items()
    ]
    measuring.print_table(heads, rows)
    by_entries = {float(e): r for (e, n), r in rates.items() if n == 14}
    by_tasks = {float(n): r for (e, n), r in rates.items() if e == 4}
    for rates_of, of in ((by_entries, "entries"), (by_tasks, "tasks")):
        if len(rates_of) > 1:
            _print_fits(rates_of, of)


def main() -> None:
    """Run the measurement of the role that is given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("role", choices=("entry", "agent"))
    parser.add_argument("--hosts", type=int, nargs="+", default=list(_HOSTS))
    parser.add_argument("--entries", type=int, nargs="+", default=list(_ENTRIES))
    parser.add_argument("--interval", type=float, default=_INTERVAL_S)
    parser.add_argument("--endpoints", type=int, default=7)
    args = parser.parse_args()
    if args.role == "entry":
        measure_entry(args.hosts, args.interval)
        return
    pairs = [(entries, 14) for entries in args.entries]
    pairs += [(4, tasks) for tasks in _TASKS if tasks != 14]
    measure_agent(pairs, args.endpoints)


if __name__ == "__main__":
    main()
