"""Time limit for the arrival of the head of an HTTP request."""

import collections.abc as abc
import contextlib
import socket
import threading
import time
import typing as t

from cheroot import server

_HEAD_TIMEOUT_S: t.Final = 2.0
_CHECK_INTERVAL_S: t.Final = 0.25


@t.final
class HeadTimeout:
    """Shuts down connections whose request line and headers arrive too slowly.

    A socket's timeout starts again with each byte received, so a client that
    sends single bytes could occupy a thread without limit.
    """

    def __init__(self) -> None:
        self._deadlines: dict[server.HTTPConnection, float] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="heads", daemon=True)

    def start(self) -> None:
        """Start the thread that shuts down slow connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread without waiting for it."""
        self._stopping.set()

    @contextlib.contextmanager
    def limit(self, conn: server.HTTPConnection) -> abc.Iterator[None]:
        """Shut the connection down if the block takes longer than the limit."""
        self._deadlines[conn] = time.monotonic() + _HEAD_TIMEOUT_S
        try:
            yield
        finally:
            self._deadlines.pop(conn, None)

    def _run(self) -> None:
        while not self._stopping.wait(_CHECK_INTERVAL_S):
            now = time.monotonic()
            for conn, deadline in list(self._deadlines.items()):
                if now > deadline:
                    with contextlib.suppress(OSError):
                        conn.socket.shutdown(socket.SHUT_RDWR)
