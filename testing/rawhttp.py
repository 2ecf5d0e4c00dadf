"""HTTP over a raw socket, for requests that no client library sends."""

import json
import socket
import typing as t

from bilberrypass import errors

_SOCKET_TIMEOUT_S = 15.0


class Response(t.NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes


def send_and_receive(address: str, raw: bytes) -> bytes:
    """Send bytes, shut down the sending side, and return all bytes received."""
    host, _, port = address.rpartition(":")
    chunks = []
    with socket.create_connection((host, int(port)), _SOCKET_TIMEOUT_S) as sock:
        try:
            sock.sendall(raw)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # The peer closed early; its response may still be readable.
        try:
            while chunk := sock.recv(65536):
                chunks.append(chunk)
        except ConnectionResetError:
            pass  # The peer closed with unread bytes; keep what it sent before.
    return b"".join(chunks)


def parse_first_response(raw: bytes) -> Response | None:
    """Parse the first response; None if the connection was closed without one."""
    if not raw:
        return None
    head, _, body = raw.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:])
    headers = {key.lower(): value for key, value in fields.items()}
    length = int(headers.get("content-length", len(body)))
    return Response(int(lines[0].split()[1]), headers, body[:length])


def check_refusal(response: Response) -> str:
    """Assert that a refusal is a complete problem+json document; return its code."""
    assert response.headers.get("content-type") == "application/problem+json", response
    problem = json.loads(response.body)
    kind = errors.Kind(problem["code"])
    assert problem["status"] == response.status == errors.RESPONSES[kind].status, (
        problem
    )
    assert problem["ran"] in ("no", "yes", "unknown"), problem
    assert problem["detail"].strip(), problem
    if errors.RESPONSES[kind].retry_helps:
        assert int(response.headers["retry-after"]) >= 1, response
    return kind


def format_request(method, target, headers=(), body=b"") -> bytes:
    """Return the bytes of a request; its parts may contain any bytes."""
    lines = [method + b" " + target + b" HTTP/1.1", b"Host: test"]
    lines += [key + b": " + value for key, value in headers]
    return b"\r\n".join([*lines, b"", b""]) + body
