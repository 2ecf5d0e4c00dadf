"""A TCP relay that injects network faults."""

import contextlib
import socket
import threading
import time

_CHUNK_BYTES = 65_536
_BACKLOG = 128
_CONNECT_TIMEOUT_S = 5.0


class _Pair:
    """One relayed connection; ``server`` is None until it is connected.

    Once ``discards_responses`` is set, nothing from the server reaches the client any
    more: the client would take the rest of a partly discarded response for the next.
    """

    def __init__(self, client: socket.socket, discards_all: bool) -> None:
        self.client = client
        self.server: socket.socket | None = None
        self.discards_all = discards_all
        self.discards_responses = False

    def close(self) -> None:
        for sock in filter(None, (self.client, self.server)):
            # shutdown() wakes a thread that is blocked in recv(); close() does not.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


class Link:
    """Relay from ``address`` to a target ``ip:port``, until its context exits."""

    def __init__(self, target: str, port: int = 0) -> None:
        host, _, target_port = target.rpartition(":")
        self._target = (host, int(target_port))
        self._lock = threading.Lock()
        self._pairs: set[_Pair] = set()
        self._delay_s = 0.0
        self._blackhole = False
        self._discards_responses = False
        self._is_refusing = False
        self._is_target_down = False
        self._port = port
        self._listener: socket.socket | None = None
        self._listen()

    def __enter__(self) -> "Link":
        return self

    def __exit__(self, *_) -> None:
        self.refuse()
        self.cut()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._port}"

    def cut(self) -> None:
        """Close all open connections; new connections still work."""
        with self._lock:
            pairs, self._pairs = self._pairs, set()
        for pair in pairs:
            pair.close()

    def refuse(self) -> None:
        """Refuse new connections; open connections keep working."""
        with self._lock:
            self._is_refusing = True
        self._stop_listening()

    def take_target_down(self) -> None:
        """Behave as if the target's process had ended, also after ``heal``."""
        with self._lock:
            self._is_target_down = True
        self._stop_listening()
        self.cut()

    def bring_target_up(self, target: str) -> None:
        """Relay to a new process of the target, at ``ip:port``."""
        host, _, port = target.rpartition(":")
        with self._lock:
            self._target = (host, int(port))
            self._is_target_down = False
        self._listen_if_reachable()

    def _stop_listening(self) -> None:
        with self._lock:
            listener, self._listener = self._listener, None
        if listener is not None:
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def discard_open(self) -> None:
        """Discard all further bytes of the open connections, also after ``heal``."""
        with self._lock:
            for pair in self._pairs:
                pair.discards_all = True

    def blackhole(self) -> None:
        """Discard all bytes of open connections, and of new ones until ``heal``."""
        with self._lock:
            self._blackhole = True
        self.discard_open()

    def discard_responses(self) -> None:
        """Relay bytes to the target, but discard all bytes that it sends back."""
        self._discards_responses = True

    def delay(self, seconds: float) -> None:
        """Delay each chunk by at least this many seconds, in both directions."""
        self._delay_s = seconds

    def heal(self) -> None:
        """Accept and relay new connections; discarding ones keep discarding."""
        with self._lock:
            self._blackhole = self._discards_responses = False
            self._is_refusing = False
            self._delay_s = 0.0
        self._listen_if_reachable()

    def _listen_if_reachable(self) -> None:
        with self._lock:
            is_due = self._listener is None and not (
                self._is_refusing or self._is_target_down
            )
        if is_due:
            self._listen()

    def _listen(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self._port))
        listener.listen(_BACKLOG)
        self._port = listener.getsockname()[1]
        with self._lock:
            self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                if self._listener is not listener:
                    client.close()
                    return
                pair = _Pair(client, discards_all=self._blackhole)
                self._pairs.add(pair)
            threading.Thread(target=self._relay, args=(pair,), daemon=True).start()

    def _relay(self, pair: _Pair) -> None:
        if pair.discards_all:
            self._relay_direction(pair, pair.client, None)
            return
        try:
            pair.server = self._connect()
        except OSError:
            self._close_pair(pair)
            return
        responses = threading.Thread(
            target=self._relay_direction,
            args=(pair, pair.server, pair.client),
            daemon=True,
        )
        responses.start()
        self._relay_direction(pair, pair.client, pair.server)
        responses.join()
        self._close_pair(pair)

    def _connect(self) -> socket.socket:
        server = socket.create_connection(self._target, _CONNECT_TIMEOUT_S)
        server.settimeout(None)
        server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return server

    def _relay_direction(
        self, pair: _Pair, source: socket.socket, sink: socket.socket | None
    ) -> None:
        """Relay one direction until it ends; pass the end on unless it is discarded."""
        with contextlib.suppress(OSError):
            while chunk := source.recv(_CHUNK_BYTES):
                time.sleep(self._delay_s)
                if source is pair.server and self._discards_responses:
                    pair.discards_responses = True
                if pair.discards_responses and source is pair.server:
                    continue
                if not pair.discards_all and sink is not None:
                    sink.sendall(chunk)
        with contextlib.suppress(OSError):
            if not pair.discards_all and sink is not None:
                sink.shutdown(socket.SHUT_WR)

    def _close_pair(self, pair: _Pair) -> None:
        if pair.discards_all:
            return
        with self._lock:
            self._pairs.discard(pair)
        pair.close()
