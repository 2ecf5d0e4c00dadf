"""Calls between processes: their outcome after failures, and reconnection."""

import contextlib
import threading
import time

from bilberrypass import errors
from bilberrypass.connection import channels, messages
from testing import collecting, fixtures
from testing.standins import link

_REVOKE = messages.RevokeRequest("r1", 1, 0.0)


@contextlib.contextmanager
def _server(serve, threads=4, max_queued=100):
    server = channels.Server(
        "127.0.0.1:0", {channels.REVOKE: serve}, threads, max_queued
    )
    server.start()
    try:
        yield server
    finally:
        server.stop(0.1)


@contextlib.contextmanager
def _blocking_server(**options):
    """Yield a client of a server that blocks each call, and two events.

    The first event is set once a call has begun, the second lets the calls end.
    """
    began, release = threading.Event(), threading.Event()

    def wait(req):
        began.set()
        release.wait(10)
        return messages.RevokeResponse(True)

    with _server(wait, **options) as server, _peer(server.address) as peer:
        yield peer, began, release


def _peer(address):
    return contextlib.closing(channels.Peer(address))


def _call(peer, timeout_s=10.0):
    return peer.call(channels.REVOKE, _REVOKE, time.monotonic() + timeout_s)


def _failure(peer, timeout_s=10.0):
    return fixtures.error_of(errors.Error, _call, peer, timeout_s)


def _accept(req):
    return messages.RevokeResponse(True)


def test_call_on_a_closed_connection_ran_nothing():
    """A caller's change was uncertain though not sent: its entry had a new leader."""
    with _server(_accept) as server:
        peer = channels.Peer(server.address)
        peer.close()
        assert _failure(peer).ran is errors.Ran.NO


def test_refused_connection_ran_nothing():
    with _peer(f"127.0.0.1:{fixtures.free_port()}") as peer:
        for _ in range(3):
            exc = _failure(peer)
            assert (exc.kind, exc.ran) == (errors.Kind.PEER_UNREACHABLE, "no"), exc


def test_broken_connection_leaves_the_outcome_unknown():
    with contextlib.ExitStack() as stack:
        relay = None

        def cut(req):
            relay.cut()
            return messages.RevokeResponse(True)

        server = stack.enter_context(_server(cut))
        relay = stack.enter_context(link.Link(server.address))
        peer = stack.enter_context(_peer(relay.address))
        exc = _failure(peer)
        assert exc.ran is errors.Ran.UNKNOWN, exc


def test_silent_connection_is_detected_and_replaced():
    with (
        _server(_accept) as server,
        link.Link(server.address) as relay,
        _peer(relay.address) as peer,
    ):
        _call(peer)
        relay.discard_open()
        exc = _failure(peer, timeout_s=30.0)
        assert exc.kind is errors.Kind.PEER_UNREACHABLE, exc
        assert exc.ran is errors.Ran.UNKNOWN, exc
        _call(peer)


def test_call_beyond_the_limit_ran_nothing():
    with _blocking_server(threads=1, max_queued=0) as (peer, began, release):
        thread = threading.Thread(target=_call, args=(peer,))
        thread.start()
        assert began.wait(10)
        exc = fixtures.wait_until(
            lambda: _failure_or_none(peer), 10, "a refusal for too many calls"
        )
        release.set()
        thread.join()
        assert (exc.kind, exc.ran) == (errors.Kind.OVERLOADED, "no"), exc


def _failure_or_none(peer):
    exc = _failure(peer, 0.5)
    return exc if exc.kind is errors.Kind.OVERLOADED else None


def test_closing_a_peer_lets_calls_in_progress_finish():
    answers = []
    with _blocking_server() as (peer, began, release):
        thread = threading.Thread(target=lambda: answers.append(_call(peer)))
        thread.start()
        assert began.wait(10)
        peer.close()
        release.set()
        thread.join()
        assert answers == [messages.RevokeResponse(True)]


def test_error_with_a_long_detail_is_received():
    def refuse(req):
        raise errors.Refused(errors.Kind.NO_ROOM, "é" * 50_000)

    with _server(refuse) as server, _peer(server.address) as peer:
        exc = _failure(peer)
        assert (exc.kind, exc.ran) == (errors.Kind.NO_ROOM, "no"), exc


load_tests = collecting.hook(__name__)
