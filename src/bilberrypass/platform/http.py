"""JSON over HTTP/1.1, with separate errors for calls certainly not executed."""

import collections.abc as abc
import http.client
import typing as t

import msgspec
import urllib3

from bilberrypass import clock, errors
from bilberrypass.version import settings

# A few times the longest round trip between zones.
_CONNECT_TIMEOUT_S: t.Final = 0.5
_MIN_TIMEOUT_S: t.Final = 0.01
_CHECK_TIMEOUT_S: t.Final = 1.0  # a busy peer may need longer than to connect

# Errors that urllib3 raises before any byte of the request was sent.
_NOT_SENT: t.Final = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.NewConnectionError,
)


class Response(t.NamedTuple):
    """Status and body of a complete HTTP response."""

    status: int
    body: bytes


class NotSent(errors.Error):
    """The request was not sent, so the call was certainly not executed.

    ``is_refused`` is set if nothing listens at the address.
    """

    def __init__(self, request: str, exc: BaseException) -> None:
        super().__init__(
            errors.Kind.PEER_UNREACHABLE, f"{request}: {exc}", ran=errors.Ran.NO
        )
        self.is_refused = isinstance(exc.__cause__, ConnectionRefusedError)


class NoAnswer(errors.Error):
    """No response came; the call may have been executed or may still be.

    ``is_closed`` is set if the peer closed or reset the connection.
    """

    def __init__(self, request: str, exc: BaseException) -> None:
        super().__init__(errors.Kind.ANSWER_LOST, f"{request}: {exc}")
        self.is_closed = isinstance(exc, urllib3.exceptions.ProtocolError)


Connection = http.client.HTTPConnection
PeerCheck = abc.Callable[[Connection], None]


@t.final
class _CheckedConnection(urllib3.connection.HTTPConnection):
    """A connection that checks its peer before it sends the first request."""

    def __init__(
        self, *args: t.Any, check_peer: PeerCheck | None = None, **kwargs: t.Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._check_peer = check_peer

    def connect(self) -> None:
        super().connect()
        if self._check_peer is None:
            return
        # This object is already in the middle of the request that made it connect.
        conn = Connection(self.host, self.port)
        conn.sock = self.sock
        conn.sock.settimeout(_CHECK_TIMEOUT_S)
        try:
            self._check_peer(conn)
        except (errors.Error, http.client.HTTPException, OSError) as exc:
            self.close()
            raise urllib3.exceptions.NewConnectionError(self, str(exc)) from exc
        if conn.sock is None:
            # A peer that closes each connection cannot be bound to the checked one.
            super().connect()


@t.final
class _CheckedPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _CheckedConnection


@t.final
class Client:
    """A client of one address that reuses its connections.

    Parameters
    ----------
    address : str
        IP address and port.
    connections : int
        Connections that are kept for reuse; further concurrent calls open more.
    check_peer : callable, optional
        Called with each new connection before the first request is sent on it;
        raises an error if the peer is not the intended one.
    """

    def __init__(
        self, address: str, connections: int, check_peer: PeerCheck | None = None
    ) -> None:
        self.address = address
        host, port = settings.split_address(address)
        self._pool = _CheckedPool(
            host,
            port,
            maxsize=connections,
            block=False,
            retries=False,
            check_peer=check_peer,
        )

    def call(
        self,
        method: str,
        path: str,
        deadline: float,
        body: t.Any = None,
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send a request and return the complete response.

        Raises
        ------
        NotSent
            No connection could be made, or its peer is not the intended one.
        NoAnswer
            The connection broke, or the deadline on ``clock.now`` passed.
        """
        time_left_s = max(_MIN_TIMEOUT_S, deadline - clock.now())
        timeout = urllib3.Timeout(
            connect=min(_CONNECT_TIMEOUT_S, time_left_s), read=time_left_s
        )
        payload = None if body is None else msgspec.json.encode(body)
        content_headers = (
            {"Content-Type": "application/json"} if body is not None else {}
        )
        request = f"{method} {self.address}{path.partition('?')[0]}"
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=payload,
                headers=content_headers | (headers or {}),
                timeout=timeout,
                retries=False,
                redirect=False,
            )
        except _NOT_SENT as exc:
            raise NotSent(request, exc) from exc
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise NoAnswer(request, exc) from exc
        return Response(response.status, response.data)
