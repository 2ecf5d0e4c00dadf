"""Attempts at one request: what is sent again, and what all of them together say."""

import time
import typing as t

from bilberrypass import errors
from bilberrypass.connection import channels, messages
from bilberrypass.membership import fleet
from bilberrypass.request import dispatch, routing
from testing import collecting
from testing.request import test_limits

_LOST = errors.Error(errors.Kind.ANSWER_LOST, "lost")
_FULL = errors.Refused(errors.Kind.OVERLOADED, "full")


class _Peer:
    """Answers each Forward with the next of its outcomes."""

    def __init__(self, *outcomes: t.Any, never_runs: bool = False) -> None:
        self._outcomes = list(outcomes)
        self._never_runs = never_runs
        self.forwarded = 0

    def call(self, method, req, deadline):
        if method is channels.REVOKE:
            return messages.Revoked(self._never_runs)
        self.forwarded += 1
        outcome = self._outcomes.pop(0)
        if isinstance(outcome, errors.Error):
            raise type(outcome)(outcome.kind, outcome.detail, ran=outcome.ran)
        return messages.Forwarded(req.request, outcome, [], b"ok", 2)


class _Hosts:
    """A fleet of hosts with scripted peers."""

    def __init__(self, *peers: _Peer) -> None:
        self._hosts = [
            test_limits.make_host(f"h{n}")._replace(peer=peer)
            for n, peer in enumerate(peers)
        ]

    def serving(self, service: str) -> list[fleet.Host]:
        return self._hosts

    def knows(self, service: str) -> bool:
        return True


def _run(*peers: _Peer, idempotent: bool = False):
    req = messages.Forward("r1", "echo", "POST", "/", [], b"", 0.0, idempotent)
    hosts = t.cast(fleet.Fleet, _Hosts(*peers))
    dispatcher = dispatch.Dispatcher(hosts, routing.RoundRobin(), "fd1", lambda: 0.1)
    try:
        return dispatcher.run(req, time.monotonic() + 5.0)
    except errors.Error as exc:
        return exc


def test_uncertain_non_idempotent_request_is_sent_once():
    first, second = _Peer(_LOST), _Peer(200)
    outcome = _run(first, second)
    assert outcome.ran is errors.Ran.UNKNOWN
    assert first.forwarded + second.forwarded == 1


def test_revoked_request_is_sent_elsewhere():
    first, second = _Peer(_LOST, never_runs=True), _Peer(200)
    assert _run(first, second).status == 200
    assert (first.forwarded, second.forwarded) == (1, 1)


def test_refused_request_is_sent_elsewhere():
    first, second = _Peer(_FULL), _Peer(200)
    assert _run(first, second).status == 200


def test_uncertain_idempotent_request_is_sent_elsewhere():
    first, second = _Peer(_LOST), _Peer(200)
    assert _run(first, second, idempotent=True).status == 200


def test_refusal_after_an_uncertain_attempt_is_not_told_as_not_run():
    outcome = _run(_Peer(_LOST), _Peer(_FULL), idempotent=True)
    assert outcome.ran is errors.Ran.UNKNOWN, outcome


def test_all_refused_is_told_as_not_run():
    outcome = _run(_Peer(_FULL), _Peer(_FULL))
    assert (outcome.kind, outcome.ran) == (errors.Kind.OVERLOADED, "no"), outcome


load_tests = collecting.hook(__name__)
