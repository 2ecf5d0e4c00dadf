"""A limit on how long the head of an HTTP request may take to arrive."""

import collections.abc as abc
import contextlib
import socket
import threading
import time
import typing as t

from cheroot import server

_LIMIT_S: t.Final = 2.0
_CHECK_INTERVAL_S: t.Final = 0.25


@t.final
class HeadLimit:
    """Cuts connections whose request line and headers come too slowly.

    A socket's timeout starts anew with each byte, so a sender of single bytes
    would keep a thread for as long as it likes.
    """

    def __init__(self) -> None:
        self._deadlines: dict[server.HTTPConnection, float] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="heads", daemon=True)

    def start(self) -> None:
        """Begin to cut."""
        self._thread.start()

    def stop(self) -> None:
        """Cut no more."""
        self._stopping.set()

    @contextlib.contextmanager
    def watching(self, conn: server.HTTPConnection) -> abc.Iterator[None]:
        """Cut a connection whose head has not been read in time."""
        self._deadlines[conn] = time.monotonic() + _LIMIT_S
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
