"""HTTP listeners that serve cherrypy applications with cheroot's server."""

import threading
import typing as t

import cheroot.server
import cheroot.wsgi
import logbook

from bilberrypass import errors
from bilberrypass.connection import head_timeout, problems
from bilberrypass.version import settings

_log = logbook.Logger("serving")

_SHUTDOWN_TIMEOUT_S: t.Final = 5
_BACKLOG_CONNECTIONS: t.Final = 1024
_MAX_HEADER_BYTES: t.Final = 64 << 10
_CHUNK_OVERHEAD_BYTES: t.Final = 64 << 10

_KIND_BY_STATUS: t.Final = {
    405: errors.Kind.METHOD_NOT_ALLOWED,
    413: errors.Kind.BODY_TOO_LARGE,
    500: errors.Kind.INTERNAL,
    503: errors.Kind.OVERLOADED,
}


class _Request(cheroot.server.HTTPRequest):
    """A request; errors of the server itself are problem+json too."""

    def parse_request(self) -> None:
        """Read the request line and the headers within their time limit."""
        with self.server.head_timeout.limit(self.conn):
            super().parse_request()

    def send_headers(self) -> None:
        """Close the connection after the response if its headers say so."""
        for key, value in self.outheaders:
            if key.lower() == b"connection" and value.lower() == b"close":
                self.close_connection = True
        super().send_headers()

    def respond(self) -> None:
        """Respond, then close the connection if the request body was not read fully."""
        super().respond()
        if self.chunked_read and not self.rfile.closed:
            self.close_connection = True

    def simple_response(self, status: str | int, msg: str | bytes = "") -> None:
        """Respond to a rejected request with problem+json and close the connection."""
        number, _, reason = str(status).partition(" ")
        kind = _KIND_BY_STATUS.get(int(number), errors.Kind.BAD_REQUEST)
        text = msg.decode("latin-1") if isinstance(msg, bytes) else msg
        detail = f"{text or reason or 'no valid HTTP/1.1'}; correct the request"
        if kind is errors.Kind.BODY_TOO_LARGE:
            limit = self.server.max_request_body_size - _CHUNK_OVERHEAD_BYTES
            detail = f"the body is larger than {limit} bytes; send less"
        response = problems.build_problem(errors.Error(kind, detail))
        lines = [
            f"HTTP/1.1 {response.status} {reason or 'Status'}",
            "Connection: close",
        ]
        lines += [f"{key}: {value}" for key, value in response.headers]
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self.close_connection = True
        try:
            self.conn.wfile.write(head + response.body)
        except OSError:
            _log.debug(
                "serving: caller disconnected before its error response was sent"
            )


def _log_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    """Log the server's own messages at debug level; most are caused by callers."""
    _log.debug("serving: {}", msg, exc_info=traceback)


class _Connection(cheroot.server.HTTPConnection):
    """A connection from one caller."""

    RequestHandlerClass = _Request


@t.final
class Listener:
    """One listening address that serves a WSGI application.

    Parameters
    ----------
    address : str
        IP address and port; port 0 selects a free one.
    app : callable
        The WSGI application, such as a cherrypy tree.
    threads : int
        Requests served concurrently.
    max_body_bytes : int
        Largest request body; larger ones are rejected.

    Raises
    ------
    errors.Error
        INVALID_SETTINGS if the address cannot be listened on.
    """

    def __init__(
        self, address: str, app: t.Any, threads: int, max_body_bytes: int
    ) -> None:
        self._server = cheroot.wsgi.Server(
            settings.split_address(address),
            app,
            numthreads=threads,
            request_queue_size=_BACKLOG_CONNECTIONS,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        self._head_timeout = head_timeout.HeadTimeout()
        self._server.head_timeout = self._head_timeout
        self._server.ConnectionClass = _Connection
        # The application rejects larger bodies; this limits what the server reads.
        self._server.max_request_body_size = max_body_bytes + _CHUNK_OVERHEAD_BYTES
        self._server.error_log = _log_error
        self._server.max_request_header_size = _MAX_HEADER_BYTES
        try:
            self._server.prepare()
        except OSError as exc:
            raise errors.Error(
                errors.Kind.INVALID_SETTINGS,
                f"cannot listen on {address} ({exc}); free it or set another address",
            ) from None
        host, port = self._server.bind_addr[:2]
        self.address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def start(self) -> None:
        """Start serving requests."""
        self._head_timeout.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting connections, and close those that are idle."""
        self._server.stop()
        self._thread.join(_SHUTDOWN_TIMEOUT_S)
        self._head_timeout.stop()
