"""Fleets of entries and agents for tests, and the revisions in force in them."""

import concurrent.futures as futures
import contextlib
import threading
import time
import typing as t

from testing import fixtures, system
from testing.standins import link

IN_FORCE_TIMEOUT_S = 4.0
START_TIMEOUT_S = 15.0
_SAMPLE_INTERVAL_S = 0.05


class Fleet(t.NamedTuple):
    store: t.Any
    links: list[link.Link]
    entries: list[t.Any]
    agents: list[t.Any]

    def url(self, number: int = 0) -> str:
        return self.entries[number].url("operators")


def entry_settings(number: int, store: str, **changes) -> dict:
    return system.entry_settings(number, store, shards=1, member_ttl_s=3, **changes)


def agent_settings(number: int, peers: list[str]) -> dict:
    cfg = system.agent_settings(number, peers, "")
    del cfg["worker"]
    return cfg


def start_all(stack: contextlib.ExitStack, role: str, settings: list[dict]) -> list:
    """Start daemons concurrently; ``stack`` stops them."""
    contexts = [system.daemon(role, cfg) for cfg in settings]
    with futures.ThreadPoolExecutor(len(contexts)) as pool:
        started = list(pool.map(lambda context: context.__enter__(), contexts))
    for context in contexts:
        stack.push(context)
    return started


@contextlib.contextmanager
def fleet(entries: int = 2, hosts: int = 2):
    """Run a store, entries with one link each to the store, and agents, no workers."""
    with contextlib.ExitStack() as stack:
        kv = stack.enter_context(system.store())
        address = kv.addresses["store"]
        links = [stack.enter_context(link.Link(address)) for _ in range(entries)]
        settings = [entry_settings(n, links[n].address) for n in range(entries)]
        peers = [cfg["peers"] for cfg in settings]
        started = start_all(stack, "entry", settings)
        settings = [agent_settings(n, peers) for n in range(hosts)]
        agents = start_all(stack, "agent", settings)
        run = Fleet(kv, links, started, agents)
        for number in range(entries):
            wait_hosts(run.url(number), hosts)
            wait_members(run.url(number), entries)
        yield run


def control_store(store, **switches) -> None:
    answer = fixtures.http("PUT", f"{store.url('store')}/_control", switches)
    assert answer.status == 200, answer.body


def get(url: str, path: str):
    answer = system.operator_request("GET", f"{url}{path}")
    assert answer.status == 200, answer.body
    return answer.json()


def wait_hosts(url: str, count: int) -> None:
    fixtures.wait_until(
        lambda: len([h for h in get(url, "/hosts") if not h["silent"]]) == count,
        START_TIMEOUT_S,
        "the hosts' reports",
    )


def wait_members(url: str, count: int) -> None:
    fixtures.wait_until(
        lambda: len([e for e in get(url, "/status")["entries"] if e["ready"]]) == count,
        START_TIMEOUT_S,
        "the entries",
    )


def put(url: str, revision: int, number: int, **headers):
    """Put a configuration with one weight, if ``revision`` is the current one."""
    body = {"defaults": {"weights": {"evictions": number}}, "exceptions": []}
    etag = {"If_Match": f'"{revision}"'}
    return system.operator_request("PUT", f"{url}/config", body, **etag, **headers)


def revisions(url: str) -> dict[str, int]:
    """Return the revisions in force at an entry and at the agents that it knows."""
    found = {h["id"]: h["revision"] for h in get(url, "/hosts")}
    return found | {"entry": get(url, "/config")["revision"]}


def wait_in_force(url: str, revision: int, limit_s: float = IN_FORCE_TIMEOUT_S) -> None:
    fixtures.wait_until(
        lambda: min(revisions(url).values()) >= revision,
        limit_s,
        f"revision {revision} in force at {url}: {revisions(url)}",
    )


class RevisionSampler:
    """Samples the revision at each process in the background; records decreases."""

    def __init__(self, urls: list[str]) -> None:
        self._first_seen: dict[str, dict[int, float]] = {}
        self._last: dict[str, int] = {}
        self.decreases: list[str] = []
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        for url in urls:
            self.watch(url)

    def __enter__(self) -> "RevisionSampler":
        return self

    def __exit__(self, *_) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def watch(self, url: str) -> None:
        """Start to sample an entry and the agents that it knows."""
        thread = threading.Thread(target=self._run, args=(url,))
        thread.start()
        self._threads.append(thread)

    def _run(self, url: str) -> None:
        while not self._stopping.wait(_SAMPLE_INTERVAL_S):
            with contextlib.suppress(OSError, AssertionError, *fixtures.HTTP_ERRORS):
                for process, revision in revisions(url).items():
                    self._record(process, url, revision)

    def _record(self, process: str, url: str, revision: int) -> None:
        sampled = f"{process} by {url}"
        last = self._last.get(sampled, 0)
        if revision < last:
            self.decreases.append(f"{sampled}: {last} to {revision}")
        self._last[sampled] = revision
        process = sampled if process == "entry" else process
        seen = self._first_seen.setdefault(process, {})
        seen.setdefault(revision, time.monotonic())

    def has_seen(self, revision: int, prefix: str = "") -> bool:
        """Return whether each process has reached the revision or a later one."""
        return all(
            max(seen) >= revision
            for process, seen in list(self._first_seen.items())
            if process.startswith(prefix)
        )

    def longest_delay_s(self, accepted: dict[int, float], prefix: str = "") -> float:
        """Return the longest time from acceptance until in force, over all processes.

        ``accepted`` maps revisions to monotonic times.
        """
        longest = 0.0
        for process, seen in self._first_seen.items():
            if not process.startswith(prefix):
                continue
            for revision, accepted_at in accepted.items():
                later = [at for known, at in seen.items() if known >= revision]
                assert later, f"{process} never had revision {revision}: {seen}"
                longest = max(longest, min(later) - accepted_at)
        return longest
