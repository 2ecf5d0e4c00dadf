"""How agents hear of entries when all that they knew were replaced at once."""

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

_EAGER_INTERVAL_S: t.Final = 1.0
_INTERVAL_S: t.Final = 10.0
_EAGER_S: t.Final = 60.0
_CALL_S: t.Final = 2.0
_REFRESH_S: t.Final = 300.0
_KEEP_S: t.Final = 1_800.0
_THREADS: t.Final = 8
_MAX_INTRODUCED: t.Final = 200


class Seen(t.NamedTuple):
    """An agent's address, and about when it was last heard (Unix time)."""

    host: str
    address: str
    at: float


@t.final
class Introductions:
    """Keeps the agents' addresses in the store, and calls those that are silent.

    One entry writes the list, seldom; each reads it and introduces itself.

    Parameters
    ----------
    names : directory.Directory
        The store, and the other entries.
    hosts : fleet.Fleet
        The hosts known by reports.
    prefix : str
        First part of each key.
    """

    def __init__(
        self, names: directory.Directory, hosts: fleet.Fleet, prefix: str
    ) -> None:
        self._names = names
        self._hosts = hosts
        self._key = f"{prefix}agents"
        self._eager_deadline = time.monotonic() + _EAGER_S
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="introductions", daemon=True
        )

    def start(self) -> None:
        """Begin to keep the list."""
        self._thread.start()

    def stop(self) -> None:
        """Introduce nobody any more."""
        self._stopping.set()

    def _run(self) -> None:
        with futures.ThreadPoolExecutor(_THREADS) as pool:
            while not self._stopping.wait(self._interval_s()):
                try:
                    self._step(pool)
                except errors.Error as exc:
                    _log.debug("introductions: put off: {}", exc.detail)
                except Exception:
                    _log.exception("introductions: failed")

    def _interval_s(self) -> float:
        is_eager = time.monotonic() < self._eager_deadline
        return _EAGER_INTERVAL_S if is_eager else _INTERVAL_S

    def _step(self, pool: futures.Executor) -> None:
        item = self._names.kv.get(self._key, time.monotonic() + _CALL_S)
        kept = msgspec.json.decode(item.value, type=list[Seen]) if item else []
        live = self._live()
        if self._names.preferred("agents", 0) == self._names.me.id:
            self._update(kept, live, item.revision if item else store.ABSENT)
        silent = [seen.address for seen in kept if seen.address not in live]
        list(pool.map(self._introduce, silent[:_MAX_INTRODUCED]))

    def _live(self) -> dict[str, str]:
        """Return the ids of the hosts that report here, by address."""
        return {
            host.report.address: host.report.host
            for host in self._hosts.all()
            if not self._hosts.is_silent(host)
        }

    def _update(self, kept: list[Seen], live: dict[str, str], expected: int) -> None:
        now = time.time()
        recent = {
            seen.address: seen
            for seen in kept
            if seen.address in live or now < seen.at + _KEEP_S
        }
        for address, host in live.items():
            seen = recent.get(address)
            if seen is None or now > seen.at + _REFRESH_S:
                recent[address] = Seen(host, address, now)
        listed = sorted(recent.values())
        if listed == kept:
            return
        value = msgspec.json.encode(listed)
        self._names.kv.swap(self._key, value, expected, time.monotonic() + _CALL_S)

    def _introduce(self, address: str) -> None:
        entries = [member.peers for member in self._names.members()]
        said = messages.Introduction([self._names.me.peers, *entries])
        peer = channels.Peer(address)
        try:
            peer.call(channels.INTRODUCE, said, time.monotonic() + _CALL_S)
        except errors.Error as exc:
            _log.debug("introductions: {} not reached: {}", address, exc.detail)
        finally:
            peer.close()
