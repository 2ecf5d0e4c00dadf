"""What keyed non-idempotent requests cost: store calls and latency.

    python -m benchmarks.requests_claims

Separate processes on loopback: a store, two entries, two hosts. The same number of
requests with and without keys; the idle system's calls are taken off.
"""

import concurrent.futures as futures
import json
import secrets
import sys
import time
import typing as t

from testing import fixtures, system
from testing.request import calling

_REQUESTS = 500
_IDLE_S = 5.0
_STORE_DELAY_S = 0.003
_CONCURRENCY = (1, 8, 24)


def _calls(run: system.System) -> int:
    url = f"http://{run.store.addresses['store']}/_calls"
    return sum(int(count) for count in fixtures.http("GET", url).json().values())


def _call_once(run: system.System, number: int, is_keyed: bool) -> float:
    key = secrets.token_hex(8) if is_keyed else ""
    began = time.monotonic()
    told = calling.call(run.callers(number % 2), key)
    assert told.status == 200, told
    return time.monotonic() - began


def _measure(
    run: system.System, concurrency: int, is_keyed: bool, idle: float
) -> dict[str, t.Any]:
    before, began = _calls(run), time.monotonic()
    with futures.ThreadPoolExecutor(concurrency) as pool:
        took = sorted(
            pool.map(lambda n: _call_once(run, n, is_keyed), range(_REQUESTS))
        )
    length_s = time.monotonic() - began
    time.sleep(1.0)
    made = _calls(run) - before
    own = made - idle * (length_s + 1.0)
    return {
        "concurrency": concurrency,
        "keyed": is_keyed,
        "rate": round(_REQUESTS / length_s, 1),
        "store_calls_per_1000": round(own * 1_000 / _REQUESTS),
        "p50_ms": round(1_000 * took[len(took) // 2], 1),
        "p99_ms": round(1_000 * took[int(0.99 * len(took))], 1),
    }


def main() -> int:
    """Print one JSON line for each concurrency, without and with keys."""
    with system.system(entries=2, hosts=2) as run:
        calling.wait_ready(run)
        calling.control_store(run, delay_s=_STORE_DELAY_S)
        before = _calls(run)
        time.sleep(_IDLE_S)
        made = _calls(run) - before
        idle = made / _IDLE_S
        print(json.dumps({"idle_calls_per_s": round(idle, 1)}))
        for concurrency in _CONCURRENCY:
            for is_keyed in (False, True):
                print(json.dumps(_measure(run, concurrency, is_keyed, idle)))
                sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
