"""HTTP server on cheroot that the stand-ins share."""

import collections.abc as abc
import contextlib
import json
import signal
import socket
import threading
import typing as t

from cheroot import server

_THREADS = 96
_KEEP_ALIVE_CONNECTIONS = 256
_BACKLOG = 256
# A shorter timeout closes idle connections just as a client reuses them.
_IDLE_TIMEOUT_S = 60


class Request(t.NamedTuple):
    method: str
    path: str
    query: str
    headers: abc.Mapping[str, str]
    body: bytes


class Reply(t.NamedTuple):
    """A response; ``cut_after`` closes the connection after so many body bytes."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    cut_after: int | None = None


Handler = abc.Callable[[Request], Reply | None]


def json_reply(value, status: int = 200) -> Reply:
    return Reply(status, json.dumps(value).encode())


def problem_reply(status: int, code: str, detail: str, ran: str = "no") -> Reply:
    body = {"status": status, "code": code, "detail": detail, "ran": ran}
    return Reply(status, json.dumps(body).encode(), "application/problem+json")


def make_server(port: int, handler: Handler) -> server.HTTPServer:
    """Return a bound server; if the handler returns None, the connection is closed."""

    class Gateway(server.Gateway):
        def respond(self):
            _send_reply(self.req, handler(_read_request(self.req)))

    http_server = server.HTTPServer(
        ("127.0.0.1", port), Gateway, minthreads=_THREADS, maxthreads=_THREADS
    )
    http_server.request_queue_size = _BACKLOG
    http_server.timeout = _IDLE_TIMEOUT_S
    http_server.keep_alive_conn_limit = _KEEP_ALIVE_CONNECTIONS
    http_server.prepare()
    return http_server


def address(http_server: server.HTTPServer) -> str:
    host, port = http_server.bind_addr[:2]
    return f"{host}:{port}"


@contextlib.contextmanager
def listening(handler: Handler, port: int = 0):
    """Serve in a thread of this process; yield the address."""
    http_server = make_server(port, handler)
    thread = threading.Thread(target=http_server.serve, daemon=True)
    thread.start()
    try:
        yield address(http_server)
    finally:
        http_server.stop()
        thread.join()


def start_server(
    role: str, ident: str, http_server: server.HTTPServer, name: str = "http"
) -> threading.Event:
    """Serve in a thread, print the ready line; return the event that SIGTERM sets."""
    terminated = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: terminated.set())
    threading.Thread(target=http_server.serve, daemon=True).start()
    addresses = {name: address(http_server)}
    ready_line = {"ready": True, "role": role, "id": ident, "addresses": addresses}
    print(json.dumps(ready_line), flush=True)
    return terminated


def _read_request(req) -> Request:
    headers = {k.decode().lower(): v.decode() for k, v in req.inheaders.items()}
    has_body = "content-length" in headers or "transfer-encoding" in headers
    body = req.rfile.read() if has_body else b""
    path, query = req.path.decode(), (req.qs or b"").decode()
    return Request(req.method.decode(), path, query, headers, body)


def _send_reply(req, reply: Reply | None) -> None:
    if reply is None:
        _cut_connection(req)
        return
    req.status = str(reply.status).encode()
    req.outheaders = [
        (b"Content-Type", reply.content_type.encode()),
        (b"Content-Length", str(len(reply.body)).encode()),
    ]
    req.ensure_headers_sent()
    if req.method == b"HEAD":
        return
    req.write(reply.body[: reply.cut_after])
    if reply.cut_after is not None:
        _cut_connection(req)


def _cut_connection(req) -> None:
    req.sent_headers = True
    req.close_connection = True
    with contextlib.suppress(OSError):
        req.conn.socket.shutdown(socket.SHUT_RDWR)
