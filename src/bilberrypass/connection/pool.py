"""An agent's HTTP connections to one endpoint."""

import threading
import time
import typing as t

import urllib3
import urllib3.connection

_MAX_IDLE_S: t.Final = 5.0


class IdleConnection(t.NamedTuple):
    """An idle connection, to be closed at ``deadline`` (monotonic seconds)."""

    conn: urllib3.connection.HTTPConnection
    deadline: float


@t.final
class ConnectionPool:
    """Idle connections to one address.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        Port.
    max_idle : int
        Idle connections kept for further requests.
    """

    def __init__(self, host: str, port: int, max_idle: int) -> None:
        self._host = host
        self._port = port
        self._max_idle = max_idle
        self._lock = threading.Lock()
        self._idle: list[IdleConnection] = []

    def acquire_idle(self) -> urllib3.connection.HTTPConnection | None:
        """Return the most recently used idle connection, or None if none is usable."""
        while True:
            with self._lock:
                if not self._idle:
                    return None
                conn, deadline = self._idle.pop()
            if time.monotonic() < deadline and conn.is_connected:
                return conn
            conn.close()

    def open(self, timeout_s: float) -> urllib3.connection.HTTPConnection:
        """Return a new, established connection."""
        conn = urllib3.connection.HTTPConnection(
            self._host, self._port, timeout=timeout_s
        )
        conn.connect()
        return conn

    def release(self, conn: urllib3.connection.HTTPConnection) -> None:
        """Keep a connection for further requests, after a complete response."""
        if conn.sock is None:
            return
        with self._lock:
            if len(self._idle) < self._max_idle:
                self._idle.append(IdleConnection(conn, time.monotonic() + _MAX_IDLE_S))
                return
        conn.close()

    def close_idle(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for conn, _ in idle:
            conn.close()
