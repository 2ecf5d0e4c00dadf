"""Requests to services, and the counts of runs that the endpoints report."""

import collections.abc as abc
import concurrent.futures as futures
import time
import typing as t

import urllib3

from testing import fixtures, system

PATH = "/services/echo/pay"
# A caller must get its answer within its deadline plus this margin.
_ANSWER_MARGIN_S = 4.0


class CallResult(t.NamedTuple):
    """What a caller received; ``ran`` is "lost" if it got no complete answer."""

    status: int
    ran: str
    code: str
    retry_after: str | None
    body: bytes


def call(
    front: str,
    key: str = "",
    method: str = "POST",
    path: str = PATH,
    deadline_s: float = 5.0,
    body: bytes = b"100 EUR",
    **headers: str,
) -> CallResult:
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    fields["Bilberrypass-Deadline"] = str(time.time() + deadline_s)
    if key:
        fields["Idempotency-Key"] = key
        fields.setdefault("X-Request-Name", key)
    try:
        answer = fixtures.http(
            method, f"{front}{path}", body, fields, deadline_s + _ANSWER_MARGIN_S
        )
    except urllib3.exceptions.HTTPError as exc:
        return CallResult(0, "lost", type(exc).__name__, None, b"")
    retry_after = answer.headers.get("Retry-After")
    if answer.headers.get("Content-Type") == "application/problem+json":
        problem = answer.json()
        return CallResult(
            answer.status, problem["ran"], problem["code"], retry_after, answer.body
        )
    return CallResult(answer.status, "yes", "", retry_after, answer.body)


def call_concurrently(
    count: int, call_one: abc.Callable[[int], CallResult]
) -> list[CallResult]:
    """Make ``count`` calls concurrently, and return their results in order."""
    with futures.ThreadPoolExecutor(count) as pool:
        return list(pool.map(call_one, range(count)))


def count_runs(run: system.System, name: str) -> int:
    """Return how often the running endpoints ran the request with a name."""
    return sum(
        fixtures.http("GET", f"{ep.url()}/_runs").json()["by_name"].get(name, 0)
        for ep in run.endpoints
        if ep.poll() is None
    )


def control(endpoint, **switches) -> None:
    answer = fixtures.http("PUT", f"{endpoint.url()}/_control", switches)
    assert answer.status == 200, answer


def control_store(run: system.System, **switches) -> None:
    url = f"http://{run.store.addresses['store']}/_control"
    answer = fixtures.http("PUT", url, switches)
    assert answer.status == 200, answer


def wait_answered(front: str, timeout_s: float, what: str, **options) -> CallResult:
    """Repeat a call until its status is 200, and return that result."""

    def answered():
        result = call(front, **options)
        return result if result.status == 200 else None

    return fixtures.wait_until(answered, timeout_s, what)


def wait_ready(run: system.System) -> None:
    """Wait until each entry serves requests and all claims shards are owned."""
    for number in range(len(run.entries)):
        front = run.callers(number)
        wait_answered(front, 10, "an answer through each entry", method="GET")
        for shard_key in range(12):
            key = f"warm-{number}-{shard_key}"
            wait_answered(front, 10, "a claim in each shard", key=key)
