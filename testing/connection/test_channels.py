"""Calls between processes: what is certain, and what replaces a silent one."""

import contextlib
import threading
import time

from bilberrypass import errors
from bilberrypass.connection import channels, messages
from testing import collecting, fixtures
from testing.standins import link

_REVOKE = messages.Revoke("r1", 1, 0.0)


@contextlib.contextmanager
def _server(serve, threads=4, queued=100):
    server = channels.Server("127.0.0.1:0", {channels.REVOKE: serve}, threads, queued)
    server.start()
    try:
        yield server
    finally:
        server.stop(0.1)


@contextlib.contextmanager
def _holding(**options):
    """A server that holds each call; gives a peer of it, and two events.

    The first event is set once a call has begun, the second lets the calls end.
    """
    began, release = threading.Event(), threading.Event()

    def wait(req):
        began.set()
        release.wait(10)
        return messages.Revoked(True)

    with _server(wait, **options) as server, _peer(server.address) as peer:
        yield peer, began, release


def _peer(address):
    return contextlib.closing(channels.Peer(address))


def _call(peer, timeout_s=10.0):
    return peer.call(channels.REVOKE, _REVOKE, time.monotonic() + timeout_s)


def _failure(peer, timeout_s=10.0):
    return fixtures.error_of(errors.Error, _call, peer, timeout_s)


def _yes(req):
    return messages.Revoked(True)


def test_peer_that_takes_no_connection_ran_nothing():
    with _peer(f"127.0.0.1:{fixtures.free_port()}") as peer:
        for _ in range(3):
            exc = _failure(peer)
            assert (exc.kind, exc.ran) == (errors.Kind.PEER_UNREACHABLE, "no"), exc


def test_cut_connection_leaves_the_outcome_unknown():
    with contextlib.ExitStack() as stack:
        between = None

        def cut(req):
            between.cut()
            return messages.Revoked(True)

        server = stack.enter_context(_server(cut))
        between = stack.enter_context(link.Link(server.address))
        peer = stack.enter_context(_peer(between.address))
        exc = _failure(peer)
        assert exc.ran is errors.Ran.UNKNOWN, exc


def test_silent_connection_is_noticed_and_replaced():
    with (
        _server(_yes) as server,
        link.Link(server.address) as between,
        _peer(between.address) as peer,
    ):
        _call(peer)
        between.swallow()
        exc = _failure(peer, timeout_s=30.0)
        assert exc.kind is errors.Kind.PEER_UNREACHABLE, exc
        assert exc.ran is errors.Ran.UNKNOWN, exc
        _call(peer)


def test_too_many_calls_ran_nothing():
    with _holding(threads=1, queued=0) as (peer, began, release):
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


def test_closing_a_peer_cuts_no_call_in_progress():
    answers = []
    with _holding() as (peer, began, release):
        thread = threading.Thread(target=lambda: answers.append(_call(peer)))
        thread.start()
        assert began.wait(10)
        peer.close()
        release.set()
        thread.join()
        assert answers == [messages.Revoked(True)]


def test_fault_with_a_long_detail_arrives():
    def refuse(req):
        raise errors.Refused(errors.Kind.NO_ROOM, "é" * 50_000)

    with _server(refuse) as server, _peer(server.address) as peer:
        exc = _failure(peer)
        assert (exc.kind, exc.ran) == (errors.Kind.NO_ROOM, "no"), exc


load_tests = collecting.hook(__name__)
