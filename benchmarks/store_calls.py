"""Measures store calls by entries, and how long a change takes to reach all.

    python -m benchmarks.store_calls

Runs real entries without work, which use the store's stand-in, and two real agents.
Calls, including waiting watches, are counted by kind. Then an operator changes the
configuration five times; each time the script waits until every entry reports that
it and the agents have the new revision.
"""

import argparse
import contextlib
import time

from benchmarks import measuring
from testing import system
from testing.batch import fleets

_ENTRIES = (1, 4, 12)
_SHARDS = 24
_SETTLE_S = 12.0
_MEASURED_S = 10.0
_CHANGES = 5
_AGENTS = 2
_CHANGE_TIMEOUT_S = 15.0


@contextlib.contextmanager
def _run_fleet(count: int):
    """Run a store, entries, and agents without workers; yield store and entries."""
    changes = {"shards": _SHARDS, "member_ttl_s": 10, "logs": {"level": "warning"}}
    with contextlib.ExitStack() as stack:
        kv = stack.enter_context(system.store())
        address = kv.addresses["store"]
        cfgs = [system.entry_settings(n, address, **changes) for n in range(count)]
        peers = [cfg["peers"] for cfg in cfgs]
        entries = fleets.start_all(stack, "entry", cfgs)
        cfgs = [fleets.agent_settings(n, peers) for n in range(_AGENTS)]
        cfgs = [cfg | {"report_interval_s": 1.0, "silence_s": 3.0} for cfg in cfgs]
        fleets.start_all(stack, "agent", cfgs)
        yield kv, entries


def _measure_rates(kv, entries) -> dict[str, float]:
    """Return store calls per second by kind, and CPU and memory of one entry."""
    before, reading = measuring.store_calls(kv), measuring.read(entries[0].pid)
    started_at = time.monotonic()
    time.sleep(_MEASURED_S)
    after, elapsed_s = measuring.store_calls(kv), time.monotonic() - started_at
    rate = measuring.rate_between(reading, measuring.read(entries[0].pid))
    rates = {k: (after[k] - before.get(k, 0)) / elapsed_s for k in after}
    rates["all"] = sum(rates.values())
    rates["entry cpu ms/s"] = rate.cpu_ms_per_s
    rates["entry MiB"] = rate.rss_mib
    return rates


def _apply_change(urls: list[str], number: int) -> float:
    """Return the seconds until a change is in force at every process."""
    revision = fleets.get(urls[0], "/config")["revision"]
    started_at = time.monotonic()
    answer = fleets.put(urls[0], revision, number)
    assert answer.status == 200, answer.body
    for url in urls:
        fleets.wait_in_force(url, answer.json()["revision"], _CHANGE_TIMEOUT_S)
    return time.monotonic() - started_at


def measure(counts: list[int]) -> None:
    """Print the store calls by number of entries, and the time that changes take."""
    measuring.print_conditions(f"idle entries, {_SHARDS} shards, {_AGENTS} agents")
    rates_by_entries, changes = {}, {}
    for count in counts:
        with _run_fleet(count) as (kv, entries):
            time.sleep(_SETTLE_S)
            rates_by_entries[count] = _measure_rates(kv, entries)
            urls = [entry.url("operators") for entry in entries]
            changes[count] = [_apply_change(urls, n + 1) for n in range(_CHANGES)]
    kinds = sorted({kind for rates in rates_by_entries.values() for kind in rates})
    rows = [
        (n, *(rates.get(k, 0.0) for k in kinds))
        for n, rates in rates_by_entries.items()
    ]
    measuring.print_table(["entries", *kinds], rows)
    rows = [(n, min(times), max(times)) for n, times in changes.items()]
    measuring.print_table(["entries", "fastest change s", "slowest s"], rows)
    if len(counts) > 1:
        points = [(float(n), rates["all"]) for n, rates in rates_by_entries.items()]
        measuring.print_fit("calls a second by entries", points)


def main() -> None:
    """Run the measurement for the numbers of entries given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="+", default=list(_ENTRIES))
    args = parser.parse_args()
    measure(args.entries)


if __name__ == "__main__":
    main()
