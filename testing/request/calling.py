"""Calls on services, and what the endpoints say that really ran."""

import collections.abc as abc
import concurrent.futures as futures
import time
import typing as t

import urllib3

from testing import fixtures, system

PATH = "/services/echo/pay"
# Whatever a caller is told, it was told within its deadline and this much more.
_GRACE_S = 4.0


class Told(t.NamedTuple):
    """What a caller was told; ``ran`` is "lost" if it got no whole answer."""

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
) -> Told:
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    fields["Bilberrypass-Deadline"] = str(time.time() + deadline_s)
    if key:
        fields["Idempotency-Key"] = key
        fields.setdefault("X-Request-Name", key)
    try:
        answer = fixtures.http(
            method, f"{front}{path}", body, fields, deadline_s + _GRACE_S
        )
    except urllib3.exceptions.HTTPError as exc:
        return Told(0, "lost", type(exc).__name__, None, b"")
    retry_after = answer.headers.get("Retry-After")
    if answer.headers.get("Content-Type") == "application/problem+json":
        said = answer.json()
        return Told(answer.status, said["ran"], said["code"], retry_after, answer.body)
    return Told(answer.status, "yes", "", retry_after, answer.body)


def call_often(count: int, call_one: abc.Callable[[int], Told]) -> list[Told]:
    """Make calls at the same time."""
    with futures.ThreadPoolExecutor(count) as pool:
        return list(pool.map(call_one, range(count)))


def runs(run: system.System, name: str) -> int:
    """Return how often the endpoints that live ran a named request."""
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


def wait_answered(front: str, timeout_s: float, what: str, **options) -> Told:
    """Call again and again until the answer is 200; return it."""

    def answered():
        told = call(front, **options)
        return told if told.status == 200 else None

    return fixtures.wait_until(answered, timeout_s, what)


def wait_ready(run: system.System) -> None:
    """Wait until each entry serves and all claims shards are owned."""
    for number in range(len(run.entries)):
        front = run.callers(number)
        wait_answered(front, 10, "an answer through each entry", method="GET")
        for shard_key in range(12):
            key = f"warm-{number}-{shard_key}"
            wait_answered(front, 10, "a claim in each shard", key=key)
