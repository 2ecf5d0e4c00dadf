"""The system with a proxied link on each hop, and endpoints in the test process.

The endpoints' counts of runs survive the kill of any process of the system.
"""

import contextlib
import threading
import typing as t

from testing import fixtures, system
from testing.standins import endpoint, link, serving

_ANNOUNCE_INTERVAL_S = 0.5
_SLOTS = 8


class Host:
    """A host: its agent process, its endpoint in the test process, and their links."""

    def __init__(self, number: int, entries: list[str], stack) -> None:
        self.number = number
        self.endpoint = endpoint.Endpoint("echo", f"ep{number}", _SLOTS)
        address = stack.enter_context(serving.listening(self.endpoint.handle))
        self.endpoint_link = stack.enter_context(link.Link(address))
        peers = system.unused_address()
        self.agent_link = stack.enter_context(link.Link(peers))
        cfg = system.agent_settings(number, entries, "")
        del cfg["worker"]
        cfg |= {"peers": peers, "advertised": self.agent_link.address}
        self.agent = Restartable("agent", cfg, stack)
        self._announcements = cfg["announcements"]
        self.is_leaving = False
        self._stop_announcing = threading.Event()
        thread = threading.Thread(target=self._announce, daemon=True)
        thread.start()
        stack.callback(thread.join)
        stack.callback(self._stop_announcing.set)

    def _announce(self) -> None:
        while not self._stop_announcing.wait(_ANNOUNCE_INTERVAL_S):
            self.announce()

    def stop_announcing(self) -> None:
        """Stop announcing the endpoint, without a notice of leaving."""
        self._stop_announcing.set()

    def announce(self) -> None:
        announcement = {
            "service": "echo",
            "address": self.endpoint_link.address,
            "slots": _SLOTS,
            "leaving": self.is_leaving,
        }
        url = f"http://{self._announcements}/endpoints/ep{self.number}"
        # The agent may be killed or frozen at the moment.
        with contextlib.suppress(Exception):
            fixtures.http("PUT", url, announcement, timeout_s=1.0)


class Restartable:
    """A daemon process that can be killed and restarted."""

    def __init__(self, role: str, cfg: dict, stack) -> None:
        self._role = role
        self._cfg = cfg
        self._stack = stack.enter_context(contextlib.ExitStack())
        self.start()

    def start(self) -> None:
        self.proc = self._stack.enter_context(system.daemon(self._role, self._cfg))

    def restart(self) -> None:
        self._stack.close()
        self.start()


class LinkedSystem(t.NamedTuple):
    """The running processes, hosts and links of a system."""

    store: t.Any
    store_link: link.Link
    entries: list[Restartable]
    caller_links: list[link.Link]
    hosts: list[Host]

    def front(self, number: int) -> str:
        return f"http://{self.caller_links[number].address}"

    def runs(self) -> tuple[dict[str, int], dict[str, int]]:
        """Return the counts of runs at the endpoints, by key and by request name."""
        by_key: dict[str, int] = {}
        by_name: dict[str, int] = {}
        for host in self.hosts:
            found = host.endpoint._runs()
            for total, part in (
                (by_key, found["by_key"]),
                (by_name, found["by_name"]),
            ):
                for name, count in part.items():
                    total[name] = total.get(name, 0) + count
        return by_key, by_name


@contextlib.contextmanager
def linked_system(entries: int = 2, hosts: int = 2, **entry_changes):
    with contextlib.ExitStack() as stack:
        kv = stack.enter_context(system.store())
        store_link = stack.enter_context(link.Link(kv.addresses["store"]))
        changes = {"shards": 1} | entry_changes
        entry_processes, caller_links = [], []
        for number in range(entries):
            cfg = system.entry_settings(number, store_link.address, **changes)
            entry_processes.append(Restartable("entry", cfg, stack))
            caller_links.append(stack.enter_context(link.Link(cfg["callers"])))
        peers = [entry.proc.addresses["peers"] for entry in entry_processes]
        linked_hosts = [Host(number, peers, stack) for number in range(hosts)]
        yield LinkedSystem(kv, store_link, entry_processes, caller_links, linked_hosts)
