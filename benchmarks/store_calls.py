"""Calls and waiting watches at the store by entries, and a change's way to all.

    python -m benchmarks.store_calls

Real entries without work at the store's stand-in, and two real agents. After the
calls are counted, an operator changes the configuration a few times; each time the
script waits until every entry tells that it and the agents have the new revision.
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
_LONGEST_S = 15.0


@contextlib.contextmanager
def _fleet(count: int):
    """Run a store, entries, and agents without workers."""
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


def _count(kv, entries) -> dict[str, float]:
    """Return calls a second by kind, and what one entry uses."""
    before, reading = measuring.store_calls(kv), measuring.read(entries[0].pid)
    began = time.monotonic()
    time.sleep(_MEASURED_S)
    after, passed_s = measuring.store_calls(kv), time.monotonic() - began
    rate = measuring.between(reading, measuring.read(entries[0].pid))
    rates = {k: (after[k] - before.get(k, 0)) / passed_s for k in after}
    rates["all"] = sum(rates.values())
    rates["entry cpu ms/s"] = rate.cpu_ms_per_s
    rates["entry MiB"] = rate.rss_mib
    return rates


def _change(urls: list[str], number: int) -> float:
    """Return how long a change took to be in force at every process."""
    revision = fleets.get(urls[0], "/config")["revision"]
    began = time.monotonic()
    answer = fleets.put(urls[0], revision, number)
    assert answer.status == 200, answer.body
    for url in urls:
        fleets.wait_in_force(url, answer.json()["revision"], _LONGEST_S)
    return time.monotonic() - began


def measure(counts: list[int]) -> None:
    """Print the calls by entries, and the time that changes take."""
    measuring.print_conditions(f"idle entries, {_SHARDS} shards, {_AGENTS} agents")
    found, changes = {}, {}
    for count in counts:
        with _fleet(count) as (kv, entries):
            time.sleep(_SETTLE_S)
            found[count] = _count(kv, entries)
            urls = [entry.url("operators") for entry in entries]
            changes[count] = [_change(urls, n + 1) for n in range(_CHANGES)]
    kinds = sorted({kind for rates in found.values() for kind in rates})
    rows = [(n, *(rates.get(k, 0.0) for k in kinds)) for n, rates in found.items()]
    measuring.print_table(["entries", *kinds], rows)
    rows = [(n, min(times), max(times)) for n, times in changes.items()]
    measuring.print_table(["entries", "fastest change s", "slowest s"], rows)
    if len(counts) > 1:
        points = [(float(n), rates["all"]) for n, rates in found.items()]
        measuring.print_fit("calls a second by entries", points)


def main() -> None:
    """Measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="+", default=list(_ENTRIES))
    args = parser.parse_args()
    measure(args.entries)


if __name__ == "__main__":
    main()
