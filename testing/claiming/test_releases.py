"""Calls on the claims of one shard that arrive in another order than sent."""

import contextlib
import time

from bilberrypass import errors
from bilberrypass.claiming import claims
from bilberrypass.connection import memory, messages
from bilberrypass.membership import directory
from testing import collecting, fixtures

_TIMEOUT_S = 10.0
_RETENTION_S = 60.0


@contextlib.contextmanager
def _shard():
    own_member = directory.Member("e0", "127.0.0.1:1")
    entry_directory = directory.Directory(memory.MemoryStore(), "/", own_member, 10)
    entry_directory.start()
    shard = claims.Shard(0, entry_directory, "/", lambda: _RETENTION_S)
    shard.start()
    try:
        fixtures.wait_until(lambda: shard.is_owned, _TIMEOUT_S, "the ownership")
        yield shard
    finally:
        shard.stop()
        entry_directory.stop()


def _call(shard, verb, claim):
    req = messages.ClaimRequest(0, verb, b"key", b"digest", claim)
    return shard.call(req, time.monotonic() + _TIMEOUT_S)


def test_claim_overtaken_by_its_release_does_not_hold_the_key():
    with _shard() as shard:
        _call(shard, claims.RELEASE, b"first")
        exc = fixtures.error_of(errors.Error, _call, shard, claims.CLAIM, b"first")
        assert (exc.kind, exc.ran) == (errors.Kind.STALE, errors.Ran.NO), exc
        assert _call(shard, claims.CLAIM, b"second").is_mine


def test_released_key_can_be_claimed_again():
    with _shard() as shard:
        assert _call(shard, claims.CLAIM, b"first").is_mine
        _call(shard, claims.RELEASE, b"first")
        assert _call(shard, claims.CLAIM, b"second").is_mine


load_tests = collecting.hook(__name__)
