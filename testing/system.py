"""Settings and fixtures that run the whole system as processes on loopback."""

import contextlib
import json
import typing as t

from bilberrypass.configuration import tokens
from testing import fixtures

DAEMON = "bilberrypass.daemon"
OPERATOR = tokens.create_token("operator", tokens.WRITE)
READER = tokens.create_token("reader", tokens.READ)


class System(t.NamedTuple):
    """The running processes, by role."""

    store: t.Any
    entries: list[t.Any]
    agents: list[t.Any]
    workers: list[t.Any]
    endpoints: list[t.Any]

    def callers(self, number: int = 0) -> str:
        return f"http://{self.entries[number].addresses['callers']}"

    def operators(self, number: int = 0) -> str:
        return f"http://{self.entries[number].addresses['operators']}"


def operator_request(method: str, url: str, body=None, token=OPERATOR.token, **headers):
    """Send one request to the operators' interface.

    Keyword arguments become headers, with ``_`` for ``-``.
    """
    extra = {name.replace("_", "-"): value for name, value in headers.items()}
    return fixtures.http(
        method, url, body, {"Authorization": f"Bearer {token}"} | extra
    )


def unused_address() -> str:
    return f"127.0.0.1:{fixtures.free_port()}"


def entry_settings(number: int, store: str, **changes) -> dict:
    cfg = {
        "id": f"e{number}",
        "failure_domain": f"fd{number % 4}",
        "callers": unused_address(),
        "operators": unused_address(),
        "peers": unused_address(),
        "store": {"kind": "etcd", "addresses": [store]},
        "operator_tokens": [OPERATOR.kept, READER.kept],
        "shards": 2,
        "member_ttl_s": 2,
        "task_lease_s": 3.0,
        "leave_wait_s": 0.5,
        "logs": {"level": "debug"},
    }
    return cfg | changes


def agent_settings(number: int, entries: list[str], worker: str, **changes) -> dict:
    cfg = {
        "id": f"h{number}",
        "failure_domain": f"fd{number % 4}",
        "rack": f"r{number // 3}",
        "peers": unused_address(),
        "announcements": unused_address(),
        "entries": entries,
        "worker": {"kind": "http", "address": worker},
        "report_interval_s": 0.3,
        "silence_s": 1.5,
        "leave_wait_s": 0.5,
        "logs": {"level": "debug"},
    }
    return cfg | changes


@contextlib.contextmanager
def daemon(role: str, cfg: dict):
    with fixtures.settings_file(cfg) as path:
        with fixtures.process([DAEMON, role, "--settings", str(path)]) as proc:
            yield proc


def store():
    args = ["testing.standins.platform", "--port", str(fixtures.free_port())]
    return fixtures.process(args)


def worker(cpu_milli: int = 8_000, memory_gb: int = 16, accelerators: int = 0):
    args = ["testing.standins.worker", "--port", str(fixtures.free_port())]
    args += ["--cpu-milli", str(cpu_milli), "--memory-gb", str(memory_gb)]
    args += ["--accelerators", str(accelerators)]
    return fixtures.process(args)


def endpoint(agent: str, service: str = "echo", id: str = "ep1", slots: int = 8):
    args = ["testing.standins.endpoint", "--port", str(fixtures.free_port())]
    args += ["--service", service, "--id", id, "--slots", str(slots)]
    args += ["--announce", f"http://{agent}"]
    return fixtures.process(args)


@contextlib.contextmanager
def system(entries: int = 1, hosts: int = 1, entry_changes=None, agent_changes=None):
    """Run a store, entries, and hosts that each have an agent, worker and endpoint."""
    with contextlib.ExitStack() as stack:
        kv_store = stack.enter_context(store())
        changes = entry_changes or {}
        entry_procs = []
        for number in range(entries):
            cfg = entry_settings(number, kv_store.addresses["store"], **changes)
            entry_procs.append(stack.enter_context(daemon("entry", cfg)))
        peers = [entry.addresses["peers"] for entry in entry_procs]
        workers = [stack.enter_context(worker()) for _ in range(hosts)]
        changes = agent_changes or {}
        agents = []
        for number, proc in enumerate(workers):
            cfg = agent_settings(number, peers, proc.addresses["http"], **changes)
            agents.append(stack.enter_context(daemon("agent", cfg)))
        endpoints = [
            stack.enter_context(endpoint(a.addresses["announcements"], id=f"ep{n}"))
            for n, a in enumerate(agents)
        ]
        yield System(kv_store, entry_procs, agents, workers, endpoints)


def put_job(url: str, timeout_s: float = 15.0, **changes) -> None:
    """Submit a job, and retry until it is accepted."""
    body = job_body(**changes)
    is_accepted = lambda: fixtures.http("PUT", url, body).status in (200, 201)
    fixtures.wait_until(is_accepted, timeout_s, f"{url} to be accepted")


def job_body(**changes) -> dict:
    body = {
        "team": "plans",
        "demand": {"cpu_milli": 500, "memory_bytes": 1 << 20},
        "payload": json.dumps({"run_s": 0.2}),
    }
    return body | changes
