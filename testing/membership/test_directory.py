"""Shards spread over the members, and move when members stop, fail or return."""

import contextlib
import time

import msgspec

from bilberrypass import errors
from bilberrypass.connection import memory, store
from bilberrypass.membership import directory, ownership
from testing import collecting, fixtures, system
from testing.batch import fleets

_SHARDS = 12
_LONG_TTL_S = 60
_SHORT_TTL_S = 3
_MOVE_TIMEOUT_S = 15.0
_TIMEOUT_S = 5.0


@contextlib.contextmanager
def _members(count, ttl_s):
    with contextlib.ExitStack() as stack:
        kv = stack.enter_context(system.store())
        settings = [_settings(n, kv, ttl_s) for n in range(count)]
        yield kv, fleets.start_all(stack, "entry", settings)


def _settings(number, kv, ttl_s):
    return system.entry_settings(
        number, kv.addresses["store"], shards=_SHARDS, member_ttl_s=ttl_s
    )


def _owners(entry):
    shards = fleets.get(entry.url("operators"), "/status")["shards"]
    return [(s["kind"], s["shard"], s["owner"]) for s in shards]


def _wait_spread(entry, ids):
    """Wait until each entry owns shards and no owner has changed for 2 s."""

    def share():
        owners = _owners(entry)
        found = {owner for _, _, owner in owners}
        return owners if found == ids else None

    fixtures.wait_until(share, _MOVE_TIMEOUT_S, f"shards at {sorted(ids)}")
    last = _owners(entry)
    settled_at = time.monotonic() + 2.0
    deadline = time.monotonic() + _MOVE_TIMEOUT_S
    while time.monotonic() < min(settled_at, deadline):
        now = _owners(entry)
        if now != last:
            last, settled_at = now, time.monotonic() + 2.0
    assert {owner for _, _, owner in last} == ids, last
    return last


def test_shards_spread_over_members_and_move_back_to_a_replacement():
    """Guards against shards that are left without an owner after a kill.

    Shards of the remaining members must not move, and the replacement of the killed
    member must get the same shards.
    """
    with _members(3, _SHORT_TTL_S) as (kv, entries):
        spread = _wait_spread(entries[0], {"e0", "e1", "e2"})
        entries[2].kill()
        fewer = _wait_spread(entries[0], {"e0", "e1"})
        stayed = [shard for shard in spread if shard[2] != "e2"]
        assert set(stayed) <= set(fewer), (spread, fewer)
        with system.daemon("entry", _settings(2, kv, _SHORT_TTL_S)):
            again = _wait_spread(entries[0], {"e0", "e1", "e2"})
            assert again == spread, (again, spread)


def test_planned_stop_hands_shards_over_before_the_lease_expires():
    """Guards against shards without an owner for the lease's time to live of 60 s."""
    with _members(2, _LONG_TTL_S) as (_, entries):
        _wait_spread(entries[0], {"e0", "e1"})
        entries[1].terminate()
        fixtures.wait_until(
            lambda: {owner for _, _, owner in _owners(entries[0])} == {"e0"},
            _MOVE_TIMEOUT_S,
            "the hand-over",
        )
        assert entries[1].wait() == 0


@contextlib.contextmanager
def _directory(kv, id):
    entry_directory = directory.Directory(kv, "/t/", directory.Member(id, f"{id}:1"), 5)
    entry_directory.start()
    try:
        fixtures.wait_until(lambda: entry_directory.lease, _TIMEOUT_S, "a lease")
        yield entry_directory
    finally:
        entry_directory.stop()


def _acquire(held):
    return fixtures.wait_until(held.acquire, _TIMEOUT_S, "the shard")


def test_view_ignores_an_older_listing():
    """Guards against a deleted key that reappears through a delayed listing."""
    kv = _StaleListingStore()
    with _directory(kv, "a") as entry_directory:
        kv.swap(
            entry_directory.config_key,
            b"[1]",
            store.ABSENT,
            time.monotonic() + _TIMEOUT_S,
        )
        fixtures.wait_until(entry_directory.config, _TIMEOUT_S, "the key")
        kv.stale_listing = kv.list("/t/fleet/", time.monotonic() + _TIMEOUT_S)
        item = entry_directory.config()
        kv.delete(
            entry_directory.config_key, item.revision, time.monotonic() + _TIMEOUT_S
        )
        fixtures.wait_until(
            lambda: entry_directory.config() is None, _TIMEOUT_S, "the deletion"
        )
        entry_directory.refresh()
        assert entry_directory.config() is None


class _StaleListingStore(memory.MemoryStore):
    """Answers with an old listing, as if its answer had been delayed in transit."""

    stale_listing = None

    def list(self, prefix, deadline):
        return self.stale_listing or super().list(prefix, deadline)


def test_ownership_ends_when_another_owner_is_in_the_view():
    """Guards against two entries that both consider themselves the owner."""
    kv = memory.MemoryStore()
    with _directory(kv, "a") as entry_directory:
        held = ownership.Ownership(entry_directory, "jobs", 0)
        _acquire(held)
        key = entry_directory.owner_key("jobs", 0)
        other = directory.Owner("jobs", 0, "b", "b:1", 0, 99, "x")
        swap = kv.swap(
            key, msgspec.json.encode(other), held.epoch, time.monotonic() + _TIMEOUT_S
        )
        assert swap.done
        fixtures.wait_until(lambda: not held.is_held, _TIMEOUT_S, "the end")
        assert not held.acquire()


def test_reacquired_ownership_survives_the_delayed_delete_of_its_release():
    """Guards against the loss of a key that was written after the release.

    The delete of the release arrives only after the entry has acquired the shard
    again.
    """
    kv = _DelayedDeleteStore()
    with _directory(kv, "a") as entry_directory:
        held = ownership.Ownership(entry_directory, "jobs", 0)
        _acquire(held)
        first = held.epoch
        kv.is_delayed = True
        held.release()
        kv.is_delayed = False
        _acquire(held)
        assert held.epoch > first
        assert not kv.deliver_delete().done
        assert kv.get(
            entry_directory.owner_key("jobs", 0), time.monotonic() + _TIMEOUT_S
        )


class _DelayedDeleteStore(memory.MemoryStore):
    """Delays a delete, whose answer is lost, until ``deliver_delete`` is called."""

    is_delayed = False

    def delete(self, key, expected, deadline):
        if self.is_delayed:
            self._delayed_delete = (key, expected)
            raise errors.Error(errors.Kind.STORE_UNCERTAIN, "the answer was lost")
        return super().delete(key, expected, deadline)

    def deliver_delete(self):
        return super().delete(*self._delayed_delete, time.monotonic() + _TIMEOUT_S)


load_tests = collecting.hook(__name__)
