"""Measures the cost of keyed non-idempotent requests: store calls and latency.

    python -m benchmarks.requests_claims

Separate processes on loopback: a store, two entries, two hosts. The same number of
requests is sent with and without keys; the calls of the idle system are subtracted.
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


def _count_store_calls(run: system.System) -> int:
    url = f"http://{run.store.addresses['store']}/_calls"
    return sum(int(count) for count in fixtures.http("GET", url).json().values())


def _call_once(run: system.System, number: int, is_keyed: bool) -> float:
    key = secrets.token_hex(8) if is_keyed else ""
    started_at = time.monotonic()
    answer = calling.call(run.callers(number % 2), key)
    assert answer.status == 200, answer
    return time.monotonic() - started_at


def _measure(
    run: system.System, concurrency: int, is_keyed: bool, idle_calls_per_s: float
) -> dict[str, t.Any]:
    before, started_at = _count_store_calls(run), time.monotonic()
    with futures.ThreadPoolExecutor(concurrency) as pool:
        latencies_s = sorted(
            pool.map(lambda n: _call_once(run, n, is_keyed), range(_REQUESTS))
        )
    elapsed_s = time.monotonic() - started_at
    time.sleep(1.0)
    calls = _count_store_calls(run) - before
    request_calls = calls - idle_calls_per_s * (elapsed_s + 1.0)
    return {
        "concurrency": concurrency,
        "keyed": is_keyed,
        "rate": round(_REQUESTS / elapsed_s, 1),
        "store_calls_per_1000": round(request_calls * 1_000 / _REQUESTS),
        "p50_ms": round(1_000 * latencies_s[len(latencies_s) // 2], 1),
        "p99_ms": round(1_000 * latencies_s[int(0.99 * len(latencies_s))], 1),
    }


def main() -> int:
    """Print one JSON line for each concurrency, without and with keys."""
    with system.system(entries=2, hosts=2) as run:
        calling.wait_ready(run)
        calling.control_store(run, delay_s=_STORE_DELAY_S)
        before = _count_store_calls(run)
        time.sleep(_IDLE_S)
        calls = _count_store_calls(run) - before
        idle_calls_per_s = calls / _IDLE_S
        print(json.dumps({"idle_calls_per_s": round(idle_calls_per_s, 1)}))
        for concurrency in _CONCURRENCY:
            for is_keyed in (False, True):
                print(
                    json.dumps(_measure(run, concurrency, is_keyed, idle_calls_per_s))
                )
                sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
