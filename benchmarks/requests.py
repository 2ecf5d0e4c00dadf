"""Measures tail latency, refusals and goodput of requests by routing policy.

    python -m benchmarks.requests [--policies least_wait random round_robin]
        [--scenarios 50 80 100 150 slow failing storm] [--record]

Separate processes on loopback: a store, two entries, ten agents, and ten endpoints
of eight slots each. All policies replay ``testing/traces/requests.jsonl``.
"""

import argparse
import collections
import concurrent.futures as futures
import contextlib
import json
import pathlib
import random
import statistics
import sys
import threading
import time
import typing as t

import urllib3

from testing import fixtures, system

_TRACE = pathlib.Path(__file__).parent.parent / "testing" / "traces" / "requests.jsonl"
_SEED = 4
_HOSTS = 10
_SLOTS = 8
_MEAN_SERVICE_S = 0.4
_SIGMA = 0.6
_CAPACITY = _HOSTS * _SLOTS / _MEAN_SERVICE_S
_TRACE_S = 12.0
_RUN_S = 10.0
_WARM_UP_S = 2.0
_DEADLINE_S = 3.0
_THREADS = 1_000
_STORM_S = 6.0
_STORM_RETRIES = 4
_RECOVERY_S = 15.0
_POLICIES = ("least_wait", "random", "round_robin")
_LOADS = {"50": 0.5, "80": 0.8, "100": 1.0, "150": 1.5, "slow": 0.6, "failing": 0.6}


class Arrival(t.NamedTuple):
    """A request of the trace: its time from the start and its service time, in s."""

    at_s: float
    service_s: float


class Answer(t.NamedTuple):
    """Answer to one request: when it was sent, its status, and its latency in s.

    The status is 0 if no answer arrived.
    """

    at_s: float
    status: int
    took_s: float


def record() -> None:
    """Write the trace: Poisson arrivals at full capacity, lognormal service times."""
    rng = random.Random(_SEED)
    mean_log = -(_SIGMA**2) / 2
    at_s, lines = 0.0, []
    while at_s < _TRACE_S:
        at_s += rng.expovariate(_CAPACITY)
        service_s = _MEAN_SERVICE_S * rng.lognormvariate(mean_log, _SIGMA)
        lines.append(json.dumps([round(at_s, 4), round(service_s, 4)]))
    _TRACE.parent.mkdir(exist_ok=True)
    _TRACE.write_text("\n".join(lines) + "\n")


def read_trace(load: float, length_s: float) -> list[Arrival]:
    """Return the trace scaled to a share of the capacity, repeated as needed."""
    base = [Arrival(*json.loads(line)) for line in _TRACE.read_text().splitlines()]
    found: list[Arrival] = []
    trace_length_s = base[-1].at_s
    for repetition in range(int(length_s * load / trace_length_s) + 1):
        for arrival in base:
            at_s = (arrival.at_s + repetition * trace_length_s) / load
            if at_s < length_s:
                found.append(Arrival(at_s, arrival.service_s))
    return found


class Callers:
    """Replays arrivals against the entries in rotation."""

    def __init__(self, entries: list[str]) -> None:
        self._entries = entries
        self._http = urllib3.PoolManager(
            num_pools=8, maxsize=_THREADS, retries=False, block=False
        )
        self._lock = threading.Lock()
        self.answers: list[Answer] = []

    def replay(self, arrivals: list[Arrival], began: float, retries: int = 0) -> None:
        """Send each request at its time; return when all have been answered."""
        with futures.ThreadPoolExecutor(_THREADS) as pool:
            for number, arrival in enumerate(arrivals):
                time.sleep(max(0.0, began + arrival.at_s - time.monotonic()))
                pool.submit(self._call, number, arrival, began, retries)

    def _call(self, number: int, arrival: Arrival, began: float, retries: int) -> None:
        for attempt in range(retries + 1):
            entry = self._entries[(number + attempt) % len(self._entries)]
            answer = self._call_once(entry, arrival, began)
            with self._lock:
                self.answers.append(answer)
            if answer.status == 200:
                return

    def _call_once(self, entry: str, arrival: Arrival, began: float) -> Answer:
        sent = time.monotonic()
        fields = {
            "Bilberrypass-Deadline": str(time.time() + _DEADLINE_S),
            "X-Delay-S": str(arrival.service_s),
        }
        try:
            resp = self._http.request(
                "GET", f"{entry}/services/echo/check", headers=fields, timeout=10.0
            )
            status = resp.status
        except urllib3.exceptions.HTTPError:
            status = 0
        return Answer(sent - began, status, time.monotonic() - sent)


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarise(answers: list[Answer]) -> dict[str, t.Any]:
    """Return the results of one run.

    Goodput counts the answers with status 200 that arrive after the first 2 s and
    before the last request is sent.
    """
    good = [answer.took_s for answer in answers if answer.status == 200]
    refused = [answer.took_s for answer in answers if answer.status == 503]
    statuses = collections.Counter(answer.status for answer in answers)
    last_s = max(answer.at_s for answer in answers)
    done_s = [answer.at_s + answer.took_s for answer in answers if answer.status == 200]
    steady = [at_s for at_s in done_s if _WARM_UP_S <= at_s < last_s]
    figures: dict[str, t.Any] = {
        "sent": len(answers),
        "goodput": round(len(steady) / (last_s - _WARM_UP_S), 1),
        "refused": round(len(refused) / len(answers), 4),
        "failed": round(statuses[500] / len(answers), 4),
        "lost": round((statuses[0] + statuses[502]) / len(answers), 4),
        "statuses": dict(sorted(statuses.items())),
    }
    for name, share in (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)):
        figures[name] = round(_percentile(good, share), 3) if good else None
    if refused:
        figures["refusal_p50"] = round(statistics.median(refused), 3)
    return figures


def _control(endpoint: t.Any, **switches: t.Any) -> None:
    fixtures.http("PUT", f"{endpoint.url()}/_control", switches)


def run_load(run: system.System, scenario: str) -> dict[str, t.Any]:
    """Replay the trace in one scenario and return the results."""
    if scenario == "slow":
        _control(run.endpoints[0], run_s_scale=10.0)
    if scenario == "failing":
        _control(run.endpoints[0], fail=True, run_s_scale=0.0)
    callers = Callers([run.callers(0), run.callers(1)])
    arrivals = read_trace(_LOADS[scenario], _RUN_S)
    callers.replay(arrivals, time.monotonic())
    _control(run.endpoints[0], run_s_scale=1.0, fail=False)
    return summarise(callers.answers)


def run_storm(run: system.System) -> dict[str, t.Any]:
    """Add callers that retry without delay to a steady load, and remove them again.

    Returns the goodput of the steady load before, during and after the retry storm.
    """
    steady = Callers([run.callers(0), run.callers(1)])
    storm = Callers([run.callers(0), run.callers(1)])
    length_s = 2 * _STORM_S + _RECOVERY_S
    began = time.monotonic()
    wave = [
        arrival._replace(at_s=arrival.at_s + _STORM_S)
        for arrival in read_trace(1.5, _STORM_S)
    ]
    threads = [
        threading.Thread(target=steady.replay, args=(read_trace(0.6, length_s), began)),
        threading.Thread(target=storm.replay, args=(wave, began, _STORM_RETRIES)),
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()

    def goodput(first_s: float, last_s: float) -> float:
        good = [
            answer
            for answer in steady.answers
            if answer.status == 200 and first_s <= answer.at_s < last_s
        ]
        return round(len(good) / (last_s - first_s), 1)

    return {
        "before": goodput(1.0, _STORM_S),
        "during": goodput(_STORM_S, 2 * _STORM_S),
        "after_by_second": [
            goodput(2 * _STORM_S + n, 2 * _STORM_S + n + 1) for n in range(6)
        ],
        "last_5_s": goodput(length_s - 5.0, length_s),
        "storm": summarise(storm.answers),
    }


@contextlib.contextmanager
def _system(policy: str):
    with system.system(
        entries=2,
        hosts=_HOSTS,
        entry_changes={
            "routing": policy,
            "max_requests": 256,
            "logs": {"level": "warning"},
        },
        agent_changes={"logs": {"level": "warning"}},
    ) as run:
        for number in range(2):
            fixtures.wait_until(
                lambda number=number: _count_serving_endpoints(run, number) == _HOSTS,
                30,
                "all hosts",
            )
        yield run


def _count_serving_endpoints(run: system.System, number: int) -> int:
    """Return how many endpoints answer through an entry under full load."""
    url = f"{run.callers(number)}/services/echo/a"
    fields = {"X-Delay-S": "0.3"}
    with futures.ThreadPoolExecutor(_HOSTS * _SLOTS) as pool:
        answers = pool.map(
            lambda _: fixtures.http("GET", url, headers=fields),
            range(_HOSTS * _SLOTS),
        )
        found = [
            answer.json()["endpoint"] for answer in answers if answer.status == 200
        ]
    return len(set(found))


def main() -> int:
    """Run the scenarios with each policy and print one JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policies", nargs="+", default=_POLICIES)
    parser.add_argument("--scenarios", nargs="+", default=[*_LOADS, "storm"])
    parser.add_argument("--record", action="store_true")
    args = parser.parse_args()
    if args.record:
        record()
    for policy in args.policies:
        with _system(policy) as run:
            for scenario in args.scenarios:
                is_storm = scenario == "storm"
                found = run_storm(run) if is_storm else run_load(run, scenario)
                print(json.dumps({"policy": policy, "scenario": scenario} | found))
                sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
