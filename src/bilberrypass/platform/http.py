"""JSON calls over HTTP/1.1 that tell 'not executed' from 'may have been executed'."""

import typing as t

import msgspec
import urllib3

from bilberrypass import clock, errors
from bilberrypass.version import settings

_CONNECT_S: t.Final = 0.5  # a few times the longest round trip between zones
_MIN_TIMEOUT_S: t.Final = 0.01

# Errors of urllib3 that come before any byte of the request was sent.
_NOT_SENT: t.Final = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.NewConnectionError,
)


class Response(t.NamedTuple):
    """A complete response."""

    status: int
    body: bytes


class NotSent(errors.Error):
    """The call certainly was not executed."""

    def __init__(self, what: str, exc: BaseException) -> None:
        super().__init__(
            errors.Kind.PEER_UNREACHABLE, f"{what}: {exc}", ran=errors.Ran.NO
        )


class NoAnswer(errors.Error):
    """The call may have been executed, or may be later."""

    def __init__(self, what: str, exc: BaseException) -> None:
        super().__init__(errors.Kind.ANSWER_LOST, f"{what}: {exc}")


@t.final
class Client:
    """Calls one address, over as few connections as possible.

    Parameters
    ----------
    address : str
        IP number and port.
    connections : int
        Calls that may be in progress at once.
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
        """Call and return the complete response.

        Raises
        ------
        NotSent
            No connection could be made.
        NoAnswer
            The connection broke, or the deadline on ``clock.now`` passed.
        """
        left_s = max(_MIN_TIMEOUT_S, deadline - clock.now())
        timeout = urllib3.Timeout(connect=min(_CONNECT_S, left_s), read=left_s)
        content = None if body is None else msgspec.json.encode(body)
        sent = {"Content-Type": "application/json"} if body is not None else {}
        what = f"{method} {self.address}{path.partition('?')[0]}"
        try:
            found = self._pool.urlopen(
                method,
                path,
                body=content,
                headers=sent | (headers or {}),
                timeout=timeout,
                retries=False,
                redirect=False,
            )
        except _NOT_SENT as exc:
            raise NotSent(what, exc) from exc
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise NoAnswer(what, exc) from exc
        return Response(found.status, found.data)
