"""Informs agents of the entries after all entries known to them were replaced."""

import concurrent.futures as futures
import threading
import time
import typing as t

import logbook
import msgspec

from bilberrypass import errors
from bilberrypass.connection import channels, messages, store
from bilberrypass.membership import directory, fleet

_log = logbook.Logger("introductions")

_STARTUP_INTERVAL_S: t.Final = 1.0
_INTERVAL_S: t.Final = 10.0
_STARTUP_PERIOD_S: t.Final = 60.0
_CALL_TIMEOUT_S: t.Final = 2.0
_RECORD_REFRESH_S: t.Final = 300.0
_RECORD_RETENTION_S: t.Final = 1_800.0
_MAX_THREADS: t.Final = 8
_MAX_CALLED_PER_PASS: t.Final = 200


class AgentRecord(t.NamedTuple):
    """An agent's address, and roughly when it last reported (``at``, Unix time)."""

    host: str
    address: str
    at: float


@t.final
class EntryAdvertiser:
    """Keeps the agents' addresses in the store, and calls agents that are silent.

    One entry writes the list, which changes rarely. Each entry reads it and sends the
    addresses of all entries to the agents that do not report to it.

    Parameters
    ----------
    entry_directory : directory.Directory
        The store and the members.
    hosts : fleet.Fleet
        The hosts known from their reports.
    prefix : str
        Prefix of each key in the store.
    """

    def __init__(
        self, entry_directory: directory.Directory, hosts: fleet.Fleet, prefix: str
    ) -> None:
        self._directory = entry_directory
        self._hosts = hosts
        self._key = f"{prefix}agents"
        self._startup_deadline = time.monotonic() + _STARTUP_PERIOD_S
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="introductions", daemon=True
        )

    def start(self) -> None:
        """Start the thread that updates the list and calls silent agents."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current pass over the list."""
        self._stopping.set()

    def _run(self) -> None:
        with futures.ThreadPoolExecutor(_MAX_THREADS) as pool:
            while not self._stopping.wait(self._interval_s()):
                try:
                    self._run_pass(pool)
                except errors.Error as exc:
                    _log.debug(
                        "introductions: pass failed, next one retries: {}", exc.detail
                    )
                except Exception:
                    _log.exception(
                        "introductions: pass failed with an unexpected exception"
                    )

    def _interval_s(self) -> float:
        is_starting = time.monotonic() < self._startup_deadline
        return _STARTUP_INTERVAL_S if is_starting else _INTERVAL_S

    def _run_pass(self, pool: futures.Executor) -> None:
        item = self._directory.kv.get(self._key, time.monotonic() + _CALL_TIMEOUT_S)
        stored = msgspec.json.decode(item.value, type=list[AgentRecord]) if item else []
        live = self._live()
        if (
            self._directory.preferred_owner("agents", 0)
            == self._directory.own_member.id
        ):
            self._update(stored, live, item.revision if item else store.ABSENT)
        silent = [agent.address for agent in stored if agent.address not in live]
        list(pool.map(self._call_agent, silent[:_MAX_CALLED_PER_PASS]))

    def _live(self) -> dict[str, str]:
        """Return the ids of the hosts that report to this entry, by address."""
        return {
            host.report.address: host.report.host
            for host in self._hosts.all()
            if not self._hosts.is_silent(host)
        }

    def _update(
        self, stored: list[AgentRecord], live: dict[str, str], expected: int
    ) -> None:
        now = time.time()
        recent = {
            agent.address: agent
            for agent in stored
            if agent.address in live or now < agent.at + _RECORD_RETENTION_S
        }
        for address, host in live.items():
            agent = recent.get(address)
            if agent is None or now > agent.at + _RECORD_REFRESH_S:
                recent[address] = AgentRecord(host, address, now)
        updated = sorted(recent.values())
        if updated == stored:
            return
        value = msgspec.json.encode(updated)
        self._directory.kv.swap(
            self._key, value, expected, time.monotonic() + _CALL_TIMEOUT_S
        )

    def _call_agent(self, address: str) -> None:
        entries = [member.peers for member in self._directory.members()]
        introduction = messages.IntroduceRequest(
            [self._directory.own_member.peers, *entries]
        )
        peer = channels.Peer(address)
        try:
            peer.call(
                channels.INTRODUCE, introduction, time.monotonic() + _CALL_TIMEOUT_S
            )
        except errors.Error as exc:
            _log.debug(
                "introductions: agent at {} not reached: {}", address, exc.detail
            )
        finally:
            peer.close()
