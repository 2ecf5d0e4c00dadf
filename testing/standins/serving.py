"""The HTTP server shared by the stand-ins, over cheroot."""

import collections.abc as abc
import contextlib
import json
import signal
import socket
import threading
import typing as t

from cheroot import server

_THREADS = 96
_KEPT_ALIVE = 256
_BACKLOG = 256
# A shorter one closes idle connections just as a client sends on them again.
_IDLE_TIMEOUT_S = 60


class Request(t.NamedTuple):
    method: str
    path: str
    query: str
    headers: abc.Mapping[str, str]
    body: bytes


class Reply(t.NamedTuple):
    """An answer; ``cut_after`` bytes of its body the connection is closed."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    cut_after: int | None = None


Handler = abc.Callable[[Request], Reply | None]


def answer_json(value, status: int = 200) -> Reply:
    return Reply(status, json.dumps(value).encode())


def problem(status: int, code: str, detail: str, ran: str = "no") -> Reply:
    body = {"status": status, "code": code, "detail": detail, "ran": ran}
    return Reply(status, json.dumps(body).encode(), "application/problem+json")


def make(port: int, handler: Handler) -> server.HTTPServer:
    """Return a bound server; a handler that returns None closes the connection."""

    class Gateway(server.Gateway):
        def respond(self):
            _answer(self.req, handler(_read(self.req)))

    made = server.HTTPServer(
        ("127.0.0.1", port), Gateway, minthreads=_THREADS, maxthreads=_THREADS
    )
    made.request_queue_size = _BACKLOG
    made.timeout = _IDLE_TIMEOUT_S
    made.keep_alive_conn_limit = _KEPT_ALIVE
    made.prepare()
    return made


def address(made: server.HTTPServer) -> str:
    host, port = made.bind_addr[:2]
    return f"{host}:{port}"


@contextlib.contextmanager
def listening(handler: Handler, port: int = 0):
    """Serve in this process for the time of a test; gives the address."""
    made = make(port, handler)
    thread = threading.Thread(target=made.serve, daemon=True)
    thread.start()
    try:
        yield address(made)
    finally:
        made.stop()
        thread.join()


def run(
    role: str, ident: str, made: server.HTTPServer, name: str = "http"
) -> threading.Event:
    """Serve, print the ready line, and return the event that SIGTERM sets."""
    terminated = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: terminated.set())
    threading.Thread(target=made.serve, daemon=True).start()
    addresses = {name: address(made)}
    line = {"ready": True, "role": role, "id": ident, "addresses": addresses}
    print(json.dumps(line), flush=True)
    return terminated


def _read(req) -> Request:
    headers = {k.decode().lower(): v.decode() for k, v in req.inheaders.items()}
    has_body = "content-length" in headers or "transfer-encoding" in headers
    body = req.rfile.read() if has_body else b""
    path, query = req.path.decode(), (req.qs or b"").decode()
    return Request(req.method.decode(), path, query, headers, body)


def _answer(req, reply: Reply | None) -> None:
    if reply is None:
        _cut(req)
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
        _cut(req)


def _cut(req) -> None:
    req.sent_headers = True
    req.close_connection = True
    with contextlib.suppress(OSError):
        req.conn.socket.shutdown(socket.SHUT_RDWR)
