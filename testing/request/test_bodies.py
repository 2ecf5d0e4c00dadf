"""Bodies pass unchanged both ways, and malformed requests have no effect."""

import contextlib
import json
import socket

from testing import collecting, fixtures, system
from testing.request import calling

_MAX_BODY_BYTES = 1 << 20
_STATUS_VERSION_UNSUPPORTED = b"505"
_MALFORMED = [
    b"\x00\xff\xfe nonsense\r\n\r\n",
    b"GET /services/echo/a HTTP/9.9\r\n\r\n",
    b"GET /services/../../etc HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /services/echo/\xff\x80 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /services/%00/a HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /services/echo/a HTTP/1.1\r\nHost: a\r\nIdempotency-Key: \xc3\xa9\r\n\r\n",
    b"GET /services/echo/a HTTP/1.1\r\nBilberrypass-Deadline: nan\r\n\r\n",
    b"GET /services/echo/a HTTP/1.1\r\nBilberrypass-Deadline: 1e400\r\n\r\n",
    b"POST /services/echo/a HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\nabc",
    b"POST /services/echo/a HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\nabc",
    b"POST /services/echo/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
    b"\r\nzz\r\nabc\r\n",
    b"POST /services/echo/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
    b"\r\n5\r\nab",
    b"POST /services/echo/a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc",
]


@contextlib.contextmanager
def _running_system():
    limits = {"max_body_bytes": _MAX_BODY_BYTES}
    with system.system(entry_changes=limits, agent_changes=limits) as run:
        calling.wait_answered(run.callers(), 10, "an answer", method="GET")
        yield run


def _send_raw(run, raw: bytes) -> bytes:
    """Send bytes, shut down the sending side, and return all bytes received."""
    host, _, port = run.callers().removeprefix("http://").rpartition(":")
    with socket.create_connection((host, int(port)), 5) as conn:
        conn.sendall(raw)
        conn.shutdown(socket.SHUT_WR)
        parts = []
        with contextlib.suppress(ConnectionResetError):
            while part := conn.recv(65_536):
                parts.append(part)
        return b"".join(parts)


def _count_runs(run) -> int:
    return fixtures.http("GET", f"{run.endpoints[0].url()}/_runs").json()["total"]


def test_large_bodies_pass_complete_both_ways():
    with _running_system() as run:
        body = b"0123456789abcdef" * 50_000
        result = calling.call(run.callers(), body=body)
        assert json.loads(result.body)["body"].encode() == body
        result = calling.call(run.callers(), X_Size="900000")
        assert len(json.loads(result.body)["padding"]) == 900_000


def test_answer_to_head_has_the_content_length_of_the_endpoint():
    with _running_system() as run:
        headers = {"X-Size": "2000"}
        direct = fixtures.http("HEAD", f"{run.endpoints[0].url()}/a", None, headers)
        path = f"{run.callers()}/services/echo/a"
        result = fixtures.http("HEAD", path, None, headers)
        assert int(direct.headers["Content-Length"]) > 2000, direct
        assert result.headers["Content-Length"] == direct.headers["Content-Length"], (
            result
        )
        assert (result.status, result.body) == (200, b""), result


def test_answer_to_head_leaves_the_connection_usable():
    """Guards against body bytes after a HEAD answer, read as the next answer."""
    with _running_system() as run:
        head = b"HEAD /services/echo/a HTTP/1.1\r\nHost: a\r\nX-Size: 2000\r\n\r\n"
        last = b"GET /services/echo/b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        answer = _send_raw(run, head + last)
        _, _, rest = answer.partition(b"\r\n\r\n")
        assert rest.startswith(b"HTTP/1.1 200 OK\r\n"), answer
        assert b'"path": "/b"' in rest, answer


def test_answers_without_body_do_not_claim_an_empty_body():
    """Guards against an added Content-Length of 0 on a 204 or 304 answer."""
    with _running_system() as run:
        for status, is_named in ((204, False), (304, True)):
            head = f"GET /services/echo/a HTTP/1.1\r\nHost: a\r\nX-Status: {status}"
            answer = _send_raw(run, head.encode() + b"\r\nConnection: close\r\n\r\n")
            fields, _, body = answer.partition(b"\r\n\r\n")
            assert fields.startswith(f"HTTP/1.1 {status}".encode()), answer
            assert (b"content-length:" in fields.lower()) is is_named, answer
            assert b"content-length: 0" not in fields.lower(), answer
            assert not body, answer


def test_chunked_body_passes_complete():
    with _running_system() as run:
        head = b"POST /services/echo/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        answer = _send_raw(run, head + b"5\r\nabcde\r\n3\r\nfgh\r\n0\r\n\r\n")
        assert b"200 OK" in answer.splitlines()[0], answer
        assert b'"body": "abcdefgh"' in answer, answer


def test_request_body_over_the_limit_is_refused_and_not_run():
    with _running_system() as run:
        before = _count_runs(run)
        result = calling.call(run.callers(), body=b"x" * (_MAX_BODY_BYTES + 1))
        assert (result.status, result.ran) == (413, "no"), result
        assert _count_runs(run) == before


def test_request_with_answer_over_the_limit_is_reported_as_run():
    with _running_system() as run:
        result = calling.call(run.callers(), X_Size=str(_MAX_BODY_BYTES))
        assert (result.code, result.ran) == ("ANSWER_TOO_LARGE", "yes"), result


def test_malformed_requests_are_not_run_and_leave_the_entry_serving():
    with _running_system() as run:
        before = _count_runs(run)
        for raw in _MALFORMED:
            answer = _send_raw(run, raw)
            status = answer[9:12]
            is_refused = (
                status.startswith(b"4") or status == _STATUS_VERSION_UNSUPPORTED
            )
            assert not answer or is_refused, (raw, answer)
        assert _count_runs(run) == before
        assert calling.call(run.callers()).status == 200


def test_callers_that_disconnect_leave_the_entry_serving():
    with _running_system() as run:
        head = b"POST /services/echo/a HTTP/1.1\r\nHost: a\r\nX-Delay-S: 0.3\r\n"
        host, _, port = run.callers().removeprefix("http://").rpartition(":")
        before = _count_runs(run)
        for _ in range(20):
            with socket.create_connection((host, int(port)), 5) as conn:
                conn.sendall(head + b"Content-Length: 2\r\n\r\nab")
        fixtures.wait_until(lambda: _count_runs(run) == before + 20, 10, "the runs")
        result = calling.call(run.callers(), body=b"mine")
        assert json.loads(result.body)["body"] == "mine"


load_tests = collecting.hook(__name__)
