"""Malformed input at the HTTP interfaces of an entry always gets a useful refusal.

Guards against input that ends a server thread, leaves a traceback in the log, or gets
an answer without a code and a detail.
"""

import contextlib
import json
import time

import hypothesis
from hypothesis import strategies

from testing import collecting, fixtures, rawhttp, system

_TOKEN = (b"Authorization", b"Bearer " + system.OPERATOR.token.encode())
_MAX_BODY_BYTES = 4096
_EXAMPLES = 150

_fixed = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=_EXAMPLES,
    suppress_health_check=list(hypothesis.HealthCheck),
)

_ids = strategies.one_of(
    strategies.sampled_from(
        ["", "a", "..", ".", "%2e%2e", "a/b", "a%2Fb", "a%0A", "%00", "%ff", "-x"]
    ),
    strategies.text(max_size=200),
)
_header_junk = strategies.binary(max_size=60).map(
    lambda raw: raw.replace(b"\r", b"").replace(b"\n", b"")
)
_json = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=10), inner, max_size=4)
    ),
    max_leaves=10,
)


@contextlib.contextmanager
def _running_local():
    cfg = {
        "callers": system.unused_address(),
        "operators": system.unused_address(),
        "operator_tokens": [system.OPERATOR.kept],
        "max_body_bytes": _MAX_BODY_BYTES,
    }
    with system.daemon("local", cfg) as proc:
        fixtures.wait_until(lambda: _is_serving(proc), 10, "the sample service")
        yield proc
        assert _is_serving(proc), proc.stderr_text()
        assert "Traceback" not in proc.stderr_text(), proc.stderr_text()


def _is_serving(proc):
    url = f"http://{proc.addresses['callers']}/services/echo/x"
    return fixtures.http("POST", url, b"sofa").body == b"sofa"


def _send(proc, name, raw):
    """Return the error code of the answer, empty if it is not a refusal."""
    response = rawhttp.parse_first_response(
        rawhttp.send_and_receive(proc.addresses[name], raw)
    )
    if response is None or response.status < 400:
        return ""
    return rawhttp.check_refusal(response)


def _as_operator(method, target, headers=(), body=b""):
    length = str(len(body)).encode()
    fields = [_TOKEN, (b"Content-Length", length)]
    return rawhttp.format_request(method, target, [*fields, *headers], body)


def test_garbage_bytes_get_a_refusal_or_a_closed_connection():
    with _running_local() as proc:

        @_fixed
        @hypothesis.given(
            strategies.sampled_from(["callers", "operators", "announcements"]),
            strategies.binary(max_size=300),
            strategies.booleans(),
        )
        def send(name, raw, ended):
            _send(proc, name, raw + (b"\r\n\r\n" if ended else b""))

        send()


def test_arbitrary_headers_get_a_valid_answer():
    with _running_local() as proc:

        @_fixed
        @hypothesis.given(
            strategies.sampled_from([b"GET", b"POST", b"PUT", b"get", b"", b"A" * 99]),
            strategies.sampled_from([b"/services/echo/x", b"/jobs/j1", b"/jobs"]),
            strategies.lists(
                strategies.tuples(
                    strategies.sampled_from(
                        [
                            b"Idempotency-Key",
                            b"Bilberrypass-Idempotent",
                            b"Bilberrypass-Deadline",
                            b"Content-Length",
                            b"Transfer-Encoding",
                            b"Traceparent",
                            b"Expect",
                            b"X Y",
                        ]
                    ),
                    _header_junk
                    | strategies.sampled_from(
                        [
                            b"chunked",
                            b"-1",
                            b"3",
                            b"true",
                            b"nan",
                            b"1e400",
                            b"",
                            b"9" * 30,
                        ]
                    ),
                ),
                max_size=4,
            ),
            strategies.binary(max_size=50),
        )
        def send(method, target, headers, body):
            _send(
                proc, "callers", rawhttp.format_request(method, target, headers, body)
            )

        send()


def test_arbitrary_path_gets_a_valid_answer():
    with _running_local() as proc:

        @_fixed
        @hypothesis.given(
            strategies.sampled_from(["callers", "operators", "announcements"]),
            strategies.sampled_from([b"GET", b"PUT", b"DELETE", b"POST", b"PATCH"]),
            strategies.sampled_from(
                [
                    "/jobs/",
                    "/services/",
                    "/services/echo/",
                    "/hosts/",
                    "/config/",
                    "/",
                    "",
                ]
                + ["/endpoints/"]
            ),
            _ids,
        )
        def send(name, method, start, id):
            target = (start + id).encode("utf-8", "replace").replace(b" ", b"%20")
            raw = rawhttp.format_request(method, target, [(b"Content-Length", b"0")])
            _send(proc, name, raw)

        send()


def test_arbitrary_job_gets_a_valid_answer():
    job = system.job_body()
    with _running_local() as proc:

        @_fixed
        @hypothesis.given(
            _json
            | strategies.builds(
                lambda key, value: job | {key: value},
                strategies.sampled_from([*job, "tasks", "urgent", "max_attempts", "x"]),
                _json,
            )
        )
        def send(value):
            body = json.dumps(value).encode()
            length = str(len(body)).encode()
            raw = rawhttp.format_request(
                b"PUT", b"/jobs/j-bad", [(b"Content-Length", length)], body
            )
            assert _send(proc, "callers", raw) in (
                "",
                "BAD_BODY",
                "KEY_REUSED",
                "NEVER_FITS",
                "QUOTA_EXCEEDED",
                "BODY_TOO_LARGE",
            )

        send()


def test_arbitrary_configuration_gets_a_valid_answer():
    with _running_local() as proc:

        @_fixed
        @hypothesis.given(
            _json
            | strategies.fixed_dictionaries(
                {
                    "defaults": _json,
                    "exceptions": strategies.lists(
                        strategies.fixed_dictionaries(
                            {"match": _json, "set": _json, "reason": _json}
                        ),
                        max_size=2,
                    ),
                }
            ),
            strategies.sampled_from([b'"0"', b'"1"', b"", b"*", b'W/"1"', b'"-1"']),
        )
        def send(value, revision):
            body = json.dumps(value).encode()
            raw = _as_operator(b"PUT", b"/config", [(b"If-Match", revision)], body)
            _send(proc, "operators", raw)

        send()


def test_each_kind_of_bad_request_gets_its_error_code():
    past = str(time.time() - 10).encode()
    big = b"x" * (_MAX_BODY_BYTES + 1)
    big_chunk = b"%x\r\n" % len(big) + big + b"\r\n0\r\n\r\n"
    size = (b"Content-Length", str(len(big)).encode())
    chunked = (b"Transfer-Encoding", b"chunked")
    first, newest = (b"If-Match", b'"0"'), (b"If-Match", b"newest")
    echo = b"/services/echo/x"
    req = rawhttp.format_request
    with _running_local() as proc:
        for code, raw in (
            ("UNKNOWN_SERVICE", req(b"GET", b"/services/none/x")),
            ("BAD_REQUEST", req(b"GET", b"/services/!/x")),
            ("NOT_FOUND", req(b"GET", b"/nothing")),
            ("DEADLINE_PASSED", req(b"GET", echo, [(b"Bilberrypass-Deadline", past)])),
            ("BAD_HEADER", req(b"GET", echo, [(b"Bilberrypass-Deadline", b"soon")])),
            ("BAD_HEADER", req(b"GET", echo, [(b"Bilberrypass-Idempotent", b"maybe")])),
            ("BAD_HEADER", req(b"GET", echo, [(b"Idempotency-Key", b"k" * 300)])),
            ("BODY_TOO_LARGE", req(b"POST", echo, [size], big)),
            ("BODY_TOO_LARGE", req(b"POST", echo, [chunked], big_chunk)),
            ("BAD_BODY", req(b"POST", echo, [chunked], b"zz\r\n")),
            ("BAD_BODY", req(b"POST", echo, [(b"Content-Length", b"50")], b"short")),
            ("BODY_TOO_LARGE", req(b"PUT", b"/jobs/j", [size], big)),
            ("BAD_REQUEST", req(b"GET", b"/jobs/a%0A")),
            ("BAD_BODY", req(b"PUT", b"/jobs/j")),
            ("NOT_FOUND", req(b"GET", b"/jobs/none")),
            ("METHOD_NOT_ALLOWED", req(b"PATCH", b"/jobs/j")),
            ("BAD_REQUEST", b"nonsense\r\n\r\n"),
        ):
            assert _send(proc, "callers", raw) == code, raw[:80]
        for code, raw in (
            ("NOT_FOUND", req(b"GET", b"/nothing")),
            ("UNAUTHORIZED", req(b"GET", b"/status")),
            ("METHOD_NOT_ALLOWED", _as_operator(b"POST", b"/status")),
            ("NOT_FOUND", _as_operator(b"GET", b"/config/x")),
            ("PRECONDITION_REQUIRED", _as_operator(b"PUT", b"/config")),
            ("BAD_HEADER", _as_operator(b"PUT", b"/config", [newest])),
            ("BAD_BODY", _as_operator(b"PUT", b"/config", [first], b"{")),
            ("INVALID_CONFIG", _as_operator(b"PUT", b"/config", [first], b"[]")),
            ("BAD_BODY", _as_operator(b"POST", b"/hosts/h1/drain", (), b"{}")),
        ):
            assert _send(proc, "operators", raw) == code, raw[:80]


def test_unread_body_is_not_parsed_as_a_request():
    """Guards against request smuggling.

    A refused body that stays unread on the connection must not be parsed as the next
    request.
    """
    hidden = rawhttp.format_request(b"GET", b"/services/echo/hidden")
    size = str(_MAX_BODY_BYTES + len(hidden)).encode()
    padding = b"x" * _MAX_BODY_BYTES
    with _running_local() as proc:
        for headers, body in (
            ([(b"Content-Length", size)], hidden + padding),
            ([(b"Transfer-Encoding", b"chunked")], b"zz\r\n" + hidden),
            ([(b"Transfer-Encoding", b"chunked")], b"fffff\r\n" + hidden + padding),
        ):
            raw = rawhttp.format_request(b"POST", b"/services/echo/x", headers, body)
            received = rawhttp.send_and_receive(proc.addresses["callers"], raw)
            assert received.count(b"HTTP/1.1 ") == 1, received
            rawhttp.check_refusal(rawhttp.parse_first_response(received))


def test_answer_to_head_has_no_body():
    with _running_local() as proc:
        for target in (b"/services/none/x", b"/jobs/none", b"/services/echo/x"):
            raw = rawhttp.format_request(b"HEAD", target, [(b"Connection", b"close")])
            received = rawhttp.send_and_receive(proc.addresses["callers"], raw)
            assert received.endswith(b"\r\n\r\n"), received


load_tests = collecting.hook(__name__)
