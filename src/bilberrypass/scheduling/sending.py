"""Delivery of orders to the agents, grouped by host."""

import abc
import collections.abc as cabc
import concurrent.futures as futures
import threading
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.connection import channels
from bilberrypass.observing import decisions
from bilberrypass.scheduling import messages

_log = logbook.Logger("sending")

_MAX_CONCURRENT_CALLS: t.Final = 12
_CALL_TIMEOUT_S: t.Final = 1.0  # a round trip within a region takes milliseconds
_MAX_ATTEMPTS: t.Final = 3
_MAX_LOGGED_STOPS: t.Final = 10
_MAX_CALL_BYTES: t.Final = 4 << 20  # a tenth of a second on a link of a host
_ORDER_BYTES: t.Final = 100  # without the texts of its job


OnSendFailed = cabc.Callable[[str, list[messages.Order]], None]


class OrderSender(abc.ABC):
    """Interface through which a scheduler sends its orders."""

    @abc.abstractmethod
    def send(
        self,
        host: str,
        address: str,
        orders: list[messages.Order],
        agent: int,
        sequence: int,
    ) -> None:
        """Queue orders for the agent of a host; does not block.

        ``agent`` and ``sequence`` identify the host's newest report.
        """

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop sending, without waiting for calls in progress.

        Orders that are still queued may be dropped without being reported as failed.
        """


class _Queue(t.NamedTuple):
    """Orders for one host, and the report that the oldest of them followed."""

    agent: int
    sequence: int
    orders: list[messages.Order]


@t.final
class PeerOrderSender(OrderSender):
    """Sends orders with one queue and at most one call in progress per host.

    Parameters
    ----------
    epoch : int
        Epoch of the scheduler; agents reject epochs lower than the highest they saw.
    address : str
        Address at which agents reach the scheduler.
    on_failed : callable
        Called with the host and the orders that it did not accept.
    """

    def __init__(
        self,
        epoch: int,
        address: str,
        on_failed: OnSendFailed,
    ) -> None:
        self._epoch = epoch
        self._address = address
        self._on_failed = on_failed
        self._lock = threading.Lock()
        self._peers: dict[str, channels.Peer] = {}
        self._queued: dict[str, _Queue] = {}
        self._sending_hosts: set[str] = set()
        self._pool = futures.ThreadPoolExecutor(
            _MAX_CONCURRENT_CALLS, thread_name_prefix="send"
        )

    def send(
        self,
        host: str,
        address: str,
        orders: list[messages.Order],
        agent: int,
        sequence: int,
    ) -> None:
        """Queue orders for the agent of a host; does not block.

        ``agent`` and ``sequence`` identify the host's newest report.
        """
        with self._lock:
            queued = self._queued.setdefault(host, _Queue(agent, sequence, []))
            queued.orders.extend(orders)
            if host in self._sending_hosts:
                return
            self._sending_hosts.add(host)
        self._pool.submit(self._send_queued, host, address)

    def stop(self) -> None:
        """Cancel send loops that have not started, and close the connections.

        The orders queued for the hosts of cancelled loops are dropped, without a call
        of ``on_failed``. A loop in progress finishes its call and then tries the orders
        queued for its host: they fail on the closed connection and are passed to
        ``on_failed``. Only a loop that opens a new connection after the stop still
        sends them. A later ``send`` raises ``RuntimeError`` if it starts a loop.
        """
        self._pool.shutdown(wait=False, cancel_futures=True)
        with self._lock:
            peers = list(self._peers.values())
        for peer in peers:
            peer.close()

    def _connect(self, host: str, address: str) -> channels.Peer:
        peer = self._peers.get(host)
        if peer is None or peer.address != address:
            peer = self._peers[host] = channels.Peer(address)
        return peer

    def _send_queued(self, host: str, address: str) -> None:
        while True:
            with self._lock:
                queued = self._queued.pop(host, None)
                if queued is None:
                    self._sending_hosts.discard(host)
                    return
            for part in _split(queued.orders):
                try:
                    is_taken = self._try_send(
                        host, address, queued._replace(orders=part)
                    )
                except Exception:
                    # The loop goes on, or no order would reach the host again.
                    _log.exception("sending: orders to {} failed unexpectedly", host)
                    is_taken = False
                if not is_taken:
                    self._on_failed(host, part)

    def _try_send(self, host: str, address: str, queued: _Queue) -> bool:
        orders = queued.orders
        message = messages.Orders(
            self._epoch, self._address, orders, queued.agent, queued.sequence
        )
        for _ in range(_MAX_ATTEMPTS):
            deadline = time.monotonic() + _CALL_TIMEOUT_S
            try:
                response = self._connect(host, address).call(
                    messages.ORDERS, message, deadline
                )
            except errors.Error as exc:
                _record_failure("orders.unanswered", host, orders, why=str(exc))
                continue
            if not response.is_taken:
                _record_failure("orders.refused", host, orders, epoch=response.epoch)
            return response.is_taken
        return False


def _split(orders: list[messages.Order]) -> cabc.Iterator[list[messages.Order]]:
    """Yield the orders in parts that one call can carry in time."""
    part: list[messages.Order] = []
    size = 0
    for order in orders:
        texts = order.spec, order.checkpoint, order.image
        order_bytes = _ORDER_BYTES + sum(map(len, texts))
        if part and size + order_bytes > _MAX_CALL_BYTES:
            yield part
            part, size = [], 0
        part.append(order)
        size += order_bytes
    if part:
        yield part


def _record_failure(
    event: str, host: str, orders: list[messages.Order], **fields: t.Any
) -> None:
    """Record orders that a host did not take, and the runs that it should stop."""
    stops = [
        f"{order.task}/{order.run}"
        for order in orders
        if order.verb == messages.Verb.STOP
    ]
    decisions.record(
        event,
        host=host,
        orders=len(orders),
        stops=stops[:_MAX_LOGGED_STOPS],
        **fields,
    )
