"""JSON over HTTP/1.1, with separate errors for calls certainly not executed."""

import typing as t

import msgspec
import urllib3

from bilberrypass import clock, errors
from bilberrypass.version import settings

# A few times the longest round trip between zones.
_CONNECT_TIMEOUT_S: t.Final = 0.5
_MIN_TIMEOUT_S: t.Final = 0.01

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
    """The request was not sent, so the call was certainly not executed."""

    def __init__(self, request: str, exc: BaseException) -> None:
        super().__init__(
            errors.Kind.PEER_UNREACHABLE, f"{request}: {exc}", ran=errors.Ran.NO
        )


class NoAnswer(errors.Error):
    """No response came; the call may have been executed or may still be."""

    def __init__(self, request: str, exc: BaseException) -> None:
        super().__init__(errors.Kind.ANSWER_LOST, f"{request}: {exc}")


@t.final
class Client:
    """A client of one address that reuses its connections.

    Parameters
    ----------
    address : str
        IP address and port.
    connections : int
        Connections that are kept for reuse; further concurrent calls open more.
    """

    def __init__(self, address: str, connections: int) -> None:
        self.address = address
        host, port = settings.split_address(address)
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=connections, block=False, retries=False
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
            No connection could be made.
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
