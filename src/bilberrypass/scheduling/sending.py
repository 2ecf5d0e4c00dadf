"""Sends orders to the agents, grouped by host."""

import abc
import collections.abc as cabc
import concurrent.futures as futures
import threading
import time
import typing as t

from bilberrypass import errors
from bilberrypass.connection import channels
from bilberrypass.observing import decisions
from bilberrypass.scheduling import messages

_THREADS: t.Final = 12
_CALL_S: t.Final = 1.0  # a round trip within a region takes milliseconds
_TRIES: t.Final = 3


OnFailed = cabc.Callable[[str, list[messages.Order]], None]


class Outlet(abc.ABC):
    """Where a scheduler's orders go."""

    @abc.abstractmethod
    def send(self, host: str, address: str, orders: list[messages.Order]) -> None:
        """Queue orders for a host."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Send nothing more."""


@t.final
class Sender(Outlet):
    """Keeps one queue and at most one call in progress for each host.

    Parameters
    ----------
    epoch : int
        Of the scheduler; agents refuse a lower one than they have seen.
    address : str
        Where agents reach the scheduler.
    on_failed : callable
        Told the host and the orders that did not arrive.
    """

    def __init__(
        self,
        epoch: int,
        address: str,
        on_failed: OnFailed,
    ) -> None:
        self._epoch = epoch
        self._address = address
        self._on_failed = on_failed
        self._lock = threading.Lock()
        self._peers: dict[str, channels.Peer] = {}
        self._waiting: dict[str, list[messages.Order]] = {}
        self._busy: set[str] = set()
        self._pool = futures.ThreadPoolExecutor(_THREADS, thread_name_prefix="send")

    def send(self, host: str, address: str, orders: list[messages.Order]) -> None:
        """Queue orders for a host."""
        with self._lock:
            self._waiting.setdefault(host, []).extend(orders)
            if host in self._busy:
                return
            self._busy.add(host)
        self._pool.submit(self._drain, host, address)

    def stop(self) -> None:
        """Send nothing more."""
        self._pool.shutdown(wait=False, cancel_futures=True)
        with self._lock:
            peers = list(self._peers.values())
        for peer in peers:
            peer.close()

    def _peer(self, host: str, address: str) -> channels.Peer:
        peer = self._peers.get(host)
        if peer is None or peer.address != address:
            peer = self._peers[host] = channels.Peer(address)
        return peer

    def _drain(self, host: str, address: str) -> None:
        while True:
            with self._lock:
                orders = self._waiting.pop(host, [])
                if not orders:
                    self._busy.discard(host)
                    return
            if not self._try(host, address, orders):
                self._on_failed(host, orders)

    def _try(self, host: str, address: str, orders: list[messages.Order]) -> bool:
        message = messages.Orders(self._epoch, self._address, orders)
        for _ in range(_TRIES):
            deadline = time.monotonic() + _CALL_S
            try:
                answer = self._peer(host, address).call(
                    messages.ORDERS, message, deadline
                )
            except errors.Error as exc:
                decisions.record(
                    "orders.unanswered", host=host, orders=len(orders), why=str(exc)
                )
                continue
            if not answer.is_taken:
                decisions.record("orders.refused", host=host, epoch=answer.epoch)
            return answer.is_taken
        return False
