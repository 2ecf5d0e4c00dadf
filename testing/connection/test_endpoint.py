"""An agent's client for an endpoint: complete responses, silence, slots."""

import collections.abc as abc
import contextlib
import socket
import threading
import time

from bilberrypass import errors
from bilberrypass.connection import endpoint, messages
from testing import collecting, fixtures
from testing.standins import endpoint as standin
from testing.standins import link, serving

_MAX_BODY_BYTES = 1 << 20
_OK = b"HTTP/1.1 200 OK\r\n"


def _request(method="POST", idempotent=False, body=b"", **headers):
    fields = [(name.replace("_", "-"), value) for name, value in headers.items()]
    return messages.ForwardRequest(
        "r1", "echo", method, "/a", fields, body, 10.0, idempotent=idempotent
    )


def _client(address: str, slots: int = 2, max_queued: int = 2) -> endpoint.Endpoint:
    announcement = {
        "service": "echo",
        "address": address,
        "slots": slots,
        "leaving": False,
    }
    return endpoint.Endpoint("ep1", announcement, max_queued, _MAX_BODY_BYTES)


def _serve(target, req, timeout_s=10.0, on_begin=lambda: None):
    return target.serve(req, time.monotonic() + timeout_s, on_begin)


def _failure(target, req, on_begin=lambda: None) -> errors.Error:
    return fixtures.error_of(errors.Error, _serve, target, req, 10.0, on_begin)


def _refusal(slots, left_s) -> errors.Refused:
    return fixtures.error_of(errors.Refused, slots.acquire, time.monotonic() + left_s)


@contextlib.contextmanager
def _linked():
    """Yield an endpoint, a link to it, and a client that has used the link once."""
    served = standin.Endpoint("echo", "ep1", 2)
    with serving.listening(served.handle) as address, link.Link(address) as relay:
        target = _client(relay.address)
        assert _serve(target, _request("GET", idempotent=True)).status == 200
        yield served, relay, target


@contextlib.contextmanager
def _scripted(*answers: bytes) -> abc.Iterator[str]:
    """Send the given bytes on one connection after another and close it."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def run():
            for answer in answers:
                conn, _ = listener.accept()
                with conn:
                    conn.recv(65_536)
                    conn.sendall(answer)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        thread.join(5)


def test_chunked_response_is_read_completely():
    complete = (
        _OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    with _scripted(complete) as address:
        answer = _serve(_client(address), _request())
        assert (answer.body, answer.length) == (b"abcde", 5), answer


def test_incomplete_responses_are_not_passed_on():
    broken = [
        b"",
        b"nonsense\r\n\r\n",
        _OK + b"Content-Length: 10\r\n\r\nabc",
        _OK + b"Content-Length: x\r\n\r\nabc",
        _OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab",
        _OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nab",
        _OK + b"\r\nno length",
    ]
    for answer in broken:
        with _scripted(answer) as address:
            exc = _failure(_client(address), _request())
            assert exc.kind is errors.Kind.ANSWER_LOST, (answer, exc)
            assert exc.ran is not errors.Ran.NO, (answer, exc)


def test_request_with_too_large_response_ran():
    with serving.listening(standin.Endpoint("echo", "ep1", 2).handle) as address:
        exc = _failure(_client(address), _request(X_Size=str(_MAX_BODY_BYTES)))
        assert (exc.kind, exc.ran) == (errors.Kind.ANSWER_TOO_LARGE, "yes"), exc


def test_refused_connection_ran_nothing():
    begin_calls = []
    target = _client(f"127.0.0.1:{fixtures.free_port()}")
    exc = _failure(target, _request(), on_begin=lambda: begin_calls.append(1))
    assert isinstance(exc, errors.Refused), exc
    assert (exc.kind, exc.ran) == (errors.Kind.ENDPOINT_UNREACHABLE, "no"), exc
    assert not begin_calls


def test_non_idempotent_request_uses_a_new_connection():
    with _linked() as (served, relay, target):
        relay.discard_open()
        answer = _serve(target, _request("POST", body=b"x"), timeout_s=1.0)
        assert answer.status == 200, answer
        assert served._runs()["total"] == 2


def test_silent_idle_connection_is_replaced_for_an_idempotent_request():
    with _linked() as (_, relay, target):
        relay.discard_open()
        answer = _serve(target, _request("GET", idempotent=True), timeout_s=9.0)
        assert answer.status == 200, answer


def test_broken_idle_connection_is_replaced():
    with _linked() as (_, relay, target):
        for _ in range(2):
            relay.cut()
            assert _serve(target, _request("GET", idempotent=True)).status == 200


def test_slots_are_never_exceeded_and_the_nearest_deadline_is_first():
    slots = endpoint.Slots(1, 8)
    slots.acquire(time.monotonic() + 1)
    order = []

    def wait(name, left_s):
        slots.acquire(time.monotonic() + left_s)
        order.append(name)
        slots.release(0.0)

    threads = []
    for name, left_s in (("late", 30), ("early", 10), ("middle", 20)):
        thread = threading.Thread(target=wait, args=(name, left_s))
        thread.start()
        threads.append(thread)
        fixtures.wait_until(lambda: slots.queued == len(threads), 5, "the queue")
    slots.release(0.0)
    for thread in threads:
        thread.join()
    assert order == ["early", "middle", "late"], order
    assert slots.in_use == 0


def test_removed_slots_run_out_and_added_ones_are_assigned():
    slots = endpoint.Slots(2, 8)
    for _ in range(2):
        slots.acquire(time.monotonic() + 1)
    slots.resize(1)
    thread = threading.Thread(target=slots.acquire, args=(time.monotonic() + 30,))
    thread.start()
    fixtures.wait_until(lambda: slots.queued == 1, 5, "the queue")
    slots.release(0.0)
    assert (slots.in_use, slots.queued) == (1, 1)
    slots.resize(2)
    thread.join()
    assert (slots.in_use, slots.queued) == (2, 0)


def test_request_that_cannot_meet_its_deadline_is_rejected_at_once():
    slots = endpoint.Slots(1, 8)
    slots.acquire(time.monotonic() + 1)
    slots.release(service_s=5.0)
    slots.acquire(time.monotonic() + 60)
    exc = _refusal(slots, left_s=8)
    assert (exc.kind, exc.ran) == (errors.Kind.OVERLOADED, "no"), exc
    assert exc.retry_after_s == 5.0, exc.retry_after_s


def test_requests_wait_in_a_full_queue_if_limits_are_off():
    is_limited = [True]
    slots = endpoint.Slots(1, 0, lambda: is_limited[0])
    slots.acquire(time.monotonic() + 1.0)
    exc = _refusal(slots, left_s=0.1)
    assert "its queue is full" in exc.detail, exc.detail
    is_limited[0] = False
    exc = _refusal(slots, left_s=0.1)
    assert "no slot came free in time" in exc.detail, exc.detail


def test_leaving_endpoint_gets_no_queued_request():
    served = standin.Endpoint("echo", "ep1", 1)
    with serving.listening(served.handle) as address:
        target = _client(address, slots=1)
        target.slots.acquire(time.monotonic() + 10)
        failures = []
        thread = threading.Thread(
            target=lambda: failures.append(_failure(target, _request()))
        )
        thread.start()
        fixtures.wait_until(lambda: target.slots.queued == 1, 5, "the queue")
        target.handle_announcement(target.announcement | {"leaving": True})
        target.slots.release(0.0)
        thread.join()
        assert (failures[0].kind, failures[0].ran) == (errors.Kind.LEAVING, "no")
        assert served._runs()["total"] == 0


load_tests = collecting.hook(__name__)
