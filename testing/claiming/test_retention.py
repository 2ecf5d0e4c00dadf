"""How long claims hold their keys, while entries' times of day jump."""

import secrets

from bilberrypass import errors
from bilberrypass.claiming import claims
from bilberrypass.connection import memory
from testing import collecting, fixtures
from testing.claiming import shards

DAY_S = 86_400.0


def _expire(shard):
    """Let the shard remove expired claims with its next write."""
    shard._next_expiry = 0.0
    attempt = secrets.token_bytes(8)
    shards.call(shard, claims.CLAIM, attempt, key=b"other")
    shards.call(shard, claims.RELEASE, attempt, key=b"other")


def _assert_in_use(shard):
    exc = fixtures.error_of(errors.Error, shards.call, shard, claims.CLAIM, b"second")
    assert exc.kind is errors.Kind.KEY_IN_USE, exc


def test_claim_outlives_a_forward_jump_of_the_owners_clock():
    with shards.running_shard() as shard:
        shards.call(shard, claims.CLAIM, b"first")
        with fixtures.stepped_time_of_day(DAY_S):
            _expire(shard)
            _assert_in_use(shard)


def test_claim_outlives_a_new_owner_with_a_clock_ahead():
    kv = memory.MemoryStore()
    with shards.running_shard(kv) as shard:
        shards.call(shard, claims.CLAIM, b"first")
    with fixtures.stepped_time_of_day(DAY_S), shards.running_shard(kv) as shard:
        _expire(shard)
        _assert_in_use(shard)


def test_claim_of_an_owner_with_a_clock_behind_outlives_the_next_owner():
    kv = memory.MemoryStore()
    with fixtures.stepped_time_of_day(-DAY_S), shards.running_shard(kv) as shard:
        shards.call(shard, claims.CLAIM, b"first")
    with shards.running_shard(kv) as shard:
        _expire(shard)
        _assert_in_use(shard)


def test_claim_expires_after_its_retention_period():
    with shards.running_shard(retention_s=0.0) as shard:
        shards.call(shard, claims.CLAIM, b"first")

        def is_released():
            _expire(shard)
            return b"key" not in shard.state

        fixtures.wait_until(is_released, 5.0, "the expiry")


load_tests = collecting.hook(__name__)
