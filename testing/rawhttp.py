"""HTTP over a raw socket, for what no client library would send."""

import json
import socket
import typing as t

from bilberrypass import errors

_TIMEOUT_S = 15.0


class Answer(t.NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes


def exchange(address: str, raw: bytes) -> bytes:
    """Send bytes, end the sending side, and return all that comes back."""
    host, _, port = address.rpartition(":")
    received = []
    with socket.create_connection((host, int(port)), _TIMEOUT_S) as sock:
        try:
            sock.sendall(raw)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # Refused before all was sent; the answer may still be read.
        try:
            while part := sock.recv(65536):
                received.append(part)
        except ConnectionResetError:
            pass  # A close with unread bytes; what came before it counts.
    return b"".join(received)


def first_answer(raw: bytes) -> Answer | None:
    """Return the first answer, or None if the connection was closed without one."""
    if not raw:
        return None
    head, _, body = raw.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:])
    headers = {key.lower(): value for key, value in fields.items()}
    length = int(headers.get("content-length", len(body)))
    return Answer(int(lines[0].split()[1]), headers, body[:length])


def check_refusal(answer: Answer) -> str:
    """Assert that a refusal is problem+json, whole; return its code."""
    assert answer.headers.get("content-type") == "application/problem+json", answer
    said = json.loads(answer.body)
    kind = errors.Kind(said["code"])
    assert said["status"] == answer.status == errors.RESPONSES[kind].status, said
    assert said["ran"] in ("no", "yes", "unknown"), said
    assert said["detail"].strip(), said
    if errors.RESPONSES[kind].retry_helps:
        assert int(answer.headers["retry-after"]) >= 1, answer
    return kind


def request(method, target, headers=(), body=b"") -> bytes:
    """Write a request; the parts may hold any bytes."""
    lines = [method + b" " + target + b" HTTP/1.1", b"Host: test"]
    lines += [key + b": " + value for key, value in headers]
    return b"\r\n".join([*lines, b"", b""]) + body
