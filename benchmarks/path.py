"""Measures the latency that the path through entry and agent adds to a request.

Run as ``python -m benchmarks.path [--seconds N] [--clients N]``. Requests
through the path and directly to the endpoint alternate within one run, with the
same number of clients and the same endpoint.
"""

import argparse
import http.client
import statistics
import threading
import time
import typing as t

from testing import fixtures, system

_ROUNDS: t.Final = 3
_BODY: t.Final = b"x" * 500


class Result(t.NamedTuple):
    """Latencies in ms, and the rate in requests per second."""

    latencies_ms: list[float]
    rate: float

    def percentile(self, percent: int) -> float:
        """Return a percentile of the latencies."""
        return statistics.quantiles(self.latencies_ms, n=100)[percent - 1]


def _run_client(address: str, target: str, deadline: float, found: list[float]) -> None:
    conn = http.client.HTTPConnection(address, timeout=10)
    while (started_at := time.monotonic()) < deadline:
        conn.request("POST", target, _BODY)
        resp = conn.getresponse()
        resp.read()
        if resp.status != 200:
            raise SystemExit(f"{address}{target}: HTTP status {resp.status}")
        found.append((time.monotonic() - started_at) * 1000)
    conn.close()


def run_load(address: str, target: str, clients: int, seconds: float) -> Result:
    """Run clients that each send one request after another for some seconds."""
    started_at = time.monotonic()
    found: list[list[float]] = [[] for _ in range(clients)]
    threads = [
        threading.Thread(
            target=_run_client, args=(address, target, started_at + seconds, mine)
        )
        for mine in found
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    latencies = [ms for mine in found for ms in mine]
    return Result(latencies, len(latencies) / (time.monotonic() - started_at))


def main() -> None:
    """Measure direct calls and the path in turn; print the latency that it adds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--clients", type=int, default=4)
    args = parser.parse_args()
    with system.system(
        entry_changes={"logs": {"level": "warning"}},
        agent_changes={"logs": {"level": "warning"}},
    ) as run:
        path = run.entries[0].addresses["callers"], "/services/echo/x"
        direct = run.endpoints[0].addresses["http"], "/x"
        url = f"http://{path[0]}{path[1]}"
        fixtures.wait_until(
            lambda: fixtures.http("POST", url, _BODY).status == 200, 10, "the path"
        )
        results: dict[str, list[Result]] = {"direct": [], "path": []}
        for _ in range(_ROUNDS):
            for name, target in (("direct", direct), ("path", path)):
                results[name].append(run_load(*target, args.clients, args.seconds))
    merged = {name: _merge(rounds) for name, rounds in results.items()}
    for name, result in merged.items():
        print(
            f"{name}: {result.rate:.0f} requests/s, p50 {result.percentile(50):.2f} ms,"
            f" p99 {result.percentile(99):.2f} ms ({len(result.latencies_ms)} requests,"
            f" {args.clients} clients)"
        )
    added = [
        merged["path"].percentile(n) - merged["direct"].percentile(n) for n in (50, 99)
    ]
    print(f"added by the path: p50 {added[0]:.2f} ms, p99 {added[1]:.2f} ms")


def _merge(rounds: list[Result]) -> Result:
    latencies = [ms for result in rounds for ms in result.latencies_ms]
    return Result(latencies, statistics.fmean(result.rate for result in rounds))


if __name__ == "__main__":
    main()
