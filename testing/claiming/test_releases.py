"""Calls on the claims of one shard that arrive in another order than sent."""

from bilberrypass import errors
from bilberrypass.claiming import claims
from testing import collecting, fixtures
from testing.claiming import shards


def test_claim_overtaken_by_its_release_does_not_hold_the_key():
    with shards.running_shard() as shard:
        shards.call(shard, claims.RELEASE, b"first")
        exc = fixtures.error_of(
            errors.Error, shards.call, shard, claims.CLAIM, b"first"
        )
        assert (exc.kind, exc.ran) == (errors.Kind.STALE, errors.Ran.NO), exc
        assert shards.call(shard, claims.CLAIM, b"second").is_mine


def test_released_key_can_be_claimed_again():
    with shards.running_shard() as shard:
        assert shards.call(shard, claims.CLAIM, b"first").is_mine
        shards.call(shard, claims.RELEASE, b"first")
        assert shards.call(shard, claims.CLAIM, b"second").is_mine


load_tests = collecting.hook(__name__)
