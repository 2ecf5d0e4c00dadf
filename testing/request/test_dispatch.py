"""Retries of a request, and whether the final error says that it may have run."""

import time
import typing as t

from bilberrypass import errors
from bilberrypass.connection import channels, messages
from bilberrypass.membership import fleet
from bilberrypass.request import dispatch, routing
from testing import collecting
from testing.request import test_limits

_LOST = errors.Error(errors.Kind.ANSWER_LOST, "lost")
_REFUSED = errors.Refused(errors.Kind.OVERLOADED, "full")


class _Peer:
    """Answers each forwarded request with the next scripted outcome."""

    def __init__(self, *outcomes: t.Any, never_runs: bool = False) -> None:
        self._outcomes = list(outcomes)
        self._never_runs = never_runs
        self.forwarded = 0

    def call(self, method, req, deadline):
        if method is channels.REVOKE:
            return messages.RevokeResponse(self._never_runs)
        self.forwarded += 1
        outcome = self._outcomes.pop(0)
        if isinstance(outcome, errors.Error):
            raise type(outcome)(outcome.kind, outcome.detail, ran=outcome.ran)
        return messages.ForwardResponse(req.request, outcome, [], b"ok", 2)


class _Hosts:
    """A fleet of hosts with scripted peers."""

    def __init__(self, *peers: _Peer) -> None:
        self._hosts = [
            test_limits.make_host(f"h{n}")._replace(peer=peer)
            for n, peer in enumerate(peers)
        ]

    def serving(self, service: str) -> list[fleet.Host]:
        return self._hosts

    def is_known_service(self, service: str) -> bool:
        return True


def _run(*peers: _Peer, idempotent: bool = False):
    req = messages.ForwardRequest("r1", "echo", "POST", "/", [], b"", 0.0, idempotent)
    hosts = t.cast(fleet.Fleet, _Hosts(*peers))
    dispatcher = dispatch.Dispatcher(hosts, routing.RoundRobin(), "fd1", lambda: 0.1)
    try:
        return dispatcher.run(req, time.monotonic() + 5.0)
    except errors.Error as exc:
        return exc


def test_non_idempotent_request_that_may_have_run_is_not_retried():
    """Guards against a second run after the answer to the first was lost."""
    first, second = _Peer(_LOST), _Peer(200)
    outcome = _run(first, second)
    assert outcome.ran is errors.Ran.UNKNOWN
    assert first.forwarded + second.forwarded == 1


def test_revoked_request_is_retried_on_another_host():
    """A confirmed revocation proves that the first attempt never runs."""
    first, second = _Peer(_LOST, never_runs=True), _Peer(200)
    assert _run(first, second).status == 200
    assert (first.forwarded, second.forwarded) == (1, 1)


def test_refused_request_is_retried_on_another_host():
    first, second = _Peer(_REFUSED), _Peer(200)
    assert _run(first, second).status == 200


def test_idempotent_request_that_may_have_run_is_retried_on_another_host():
    first, second = _Peer(_LOST), _Peer(200)
    assert _run(first, second, idempotent=True).status == 200


def test_refusal_after_an_attempt_that_may_have_run_is_reported_as_unknown():
    """Guards against an error of the last attempt that hides the first one's run."""
    outcome = _run(_Peer(_LOST), _Peer(_REFUSED), idempotent=True)
    assert outcome.ran is errors.Ran.UNKNOWN, outcome


def test_request_refused_by_all_hosts_is_reported_as_not_run():
    outcome = _run(_Peer(_REFUSED), _Peer(_REFUSED))
    assert (outcome.kind, outcome.ran) == (errors.Kind.OVERLOADED, "no"), outcome


load_tests = collecting.hook(__name__)
