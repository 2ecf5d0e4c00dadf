"""A watch over etcd v3's JSON gateway."""

import collections.abc as abc
import queue
import threading
import time
import typing as t

import msgspec
import urllib3

from bilberrypass import errors
from bilberrypass.connection import etcd_wire, store

WATCH_PATH: t.Final = "/v3/watch"

_IDLE_INTERVAL_S: t.Final = 0.9
_CONNECT_TIMEOUT_S: t.Final = 2.0
_SILENCE_TIMEOUT_S: t.Final = 2.0
_CHUNK_BYTES: t.Final = 1 << 16
_OK: t.Final = 200


class _Broken(t.NamedTuple):
    """The reason why the connection can no longer be used."""

    reason: str


class _Silent(t.NamedTuple):
    """The connection was opened and has received nothing for the silence timeout."""


_Message: t.TypeAlias = etcd_wire.WatchResponse | _Broken | _Silent | None


@t.final
class Watch:
    """Events of keys with a prefix, read by one thread for each connection.

    A silent connection may be broken without either end having noticed, so it is
    replaced by a new one that continues at the same revision.

    Parameters
    ----------
    host : str
        IP address of the store's gateway.
    port : int
        TCP port.
    prefix : str
        Prefix of the keys that are watched.
    after : int
        Store revision after which events are wanted.
    deadline : float
        Monotonic seconds at which the watch ends.
    """

    def __init__(
        self, host: str, port: int, prefix: str, after: int, deadline: float
    ) -> None:
        self._address = (host, port)
        self._prefix = prefix.encode()
        self._after = after
        self._deadline = deadline
        self._messages: queue.SimpleQueue[_Message] = queue.SimpleQueue()
        self._stopped = False

    def events(self) -> abc.Iterator[list[store.Event]]:
        """Yield lists of events, an empty one at least each second without events."""
        while not self._has_ended():
            messages: queue.SimpleQueue[_Message] = queue.SimpleQueue()
            self._messages = messages
            connection = _Connection(self._address, self._request(), messages)
            connection.start()
            try:
                yield from self._until_silent(messages)
            finally:
                connection.stop()

    def stop(self) -> None:
        """End the iteration; may be called from any thread."""
        self._stopped = True
        self._messages.put(None)

    def _has_ended(self) -> bool:
        return self._stopped or time.monotonic() >= self._deadline

    def _request(self) -> bytes:
        create = etcd_wire.WatchCreateRequest(
            key=self._prefix or b"\0",
            range_end=etcd_wire.range_end(self._prefix),
            start_revision=self._after + 1,
            progress_notify=True,
        )
        return etcd_wire.encode(etcd_wire.WatchRequest(create_request=create))

    def _until_silent(
        self, messages: queue.SimpleQueue[_Message]
    ) -> abc.Iterator[list[store.Event]]:
        while not self._has_ended():
            left_s = self._deadline - time.monotonic()
            try:
                message = messages.get(timeout=max(0.0, min(_IDLE_INTERVAL_S, left_s)))
            except queue.Empty:
                yield []
                continue
            if message is None or isinstance(message, _Silent):
                return
            if isinstance(message, _Broken):
                raise errors.Error(errors.Kind.STORE_DOWN, f"watch: {message.reason}")
            yield self._advance(message)

    def _advance(self, result: etcd_wire.WatchResponse) -> list[store.Event]:
        if result.get("canceled") or result.get("compact_revision"):
            raise errors.Error(
                errors.Kind.STORE_DOWN,
                f"watch: cancelled by the store at revision {self._after}; list afresh",
            )
        found = [_to_event(event) for event in result.get("events", [])]
        events = [event for event in found if event.revision > self._after]
        if events:
            self._after = events[-1].revision
        elif not result.get("created"):
            # A progress message: everything up to its revision has been sent.
            progress = result.get("header", {}).get("revision", 0)
            self._after = max(self._after, progress)
        return events


@t.final
class _Connection:
    """A thread that opens one connection and queues the messages received."""

    def __init__(
        self,
        address: tuple[str, int],
        request: bytes,
        messages: queue.SimpleQueue[_Message],
    ) -> None:
        self._address = address
        self._request = request
        self._messages = messages
        self._response: urllib3.BaseHTTPResponse | None = None
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="watch", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopped = True
        self._shut_down()

    def _shut_down(self) -> None:
        """Wake the thread from a blocked read."""
        response = self._response
        if response is None:
            return
        try:
            response.shutdown()
        except (ValueError, RuntimeError, OSError):
            # The thread has already closed it.
            return

    def _run(self) -> None:
        host, port = self._address
        pool = urllib3.HTTPConnectionPool(host, port, maxsize=1, retries=False)
        try:
            self._open(pool)
            self._messages.put(self._read())
        except urllib3.exceptions.ReadTimeoutError:
            self._messages.put(self._on_silence())
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            self._messages.put(_Broken(f"{type(exc).__name__}: {exc}"))
        except msgspec.MsgspecError as exc:
            self._messages.put(_Broken(f"the store's message is malformed: {exc}"))
        finally:
            if self._response is not None:
                self._response.close()
            pool.close()

    def _open(self, pool: urllib3.HTTPConnectionPool) -> None:
        timeout = urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=_SILENCE_TIMEOUT_S)
        self._response = pool.urlopen(
            "POST",
            WATCH_PATH,
            body=self._request,
            headers={"Content-Type": "application/json"},
            timeout=timeout,
            retries=False,
            redirect=False,
            preload_content=False,
        )
        if self._stopped:
            self._shut_down()

    def _read(self) -> _Broken:
        """Queue the messages received until the connection ends."""
        if self._response.status != _OK:
            return _Broken(f"the store responded with status {self._response.status}")
        unfinished = b""
        while chunk := self._response.read1(_CHUNK_BYTES):
            *lines, unfinished = (unfinished + chunk).split(b"\n")
            for line in filter(None, lines):
                self._queue_line(etcd_wire.decode(line, etcd_wire.WatchLine))
        return _Broken("the store ended the connection")

    def _queue_line(self, line: etcd_wire.WatchLine) -> None:
        if "error" in line:
            self._messages.put(
                _Broken(f"the store responded with error {line['error']}")
            )
        else:
            self._messages.put(line.get("result", {}))

    def _on_silence(self) -> _Message:
        if self._response is None:
            return _Broken(f"the store has not responded for {_SILENCE_TIMEOUT_S} s")
        return _Silent()


def _to_event(event: etcd_wire.Event) -> store.Event:
    item = event["kv"]
    deleted = event.get("type", etcd_wire.PUT) == etcd_wire.DELETE
    value = None if deleted else item.get("value", b"")
    return store.Event(item["key"].decode(), value, item.get("mod_revision", 0))
