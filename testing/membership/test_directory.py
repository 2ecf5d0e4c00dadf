"""Entries as members: shards spread, move on planned stops, and come back."""

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
_MOVE_S = 15.0
_CALL_S = 5.0


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
    """Wait until each entry owns a share, and the shards move no more."""

    def share():
        owners = _owners(entry)
        found = {owner for _, _, owner in owners}
        return owners if found == ids else None

    fixtures.wait_until(share, _MOVE_S, f"shards at {sorted(ids)}")
    last = _owners(entry)
    settled_at = time.monotonic() + 2.0
    deadline = time.monotonic() + _MOVE_S
    while time.monotonic() < min(settled_at, deadline):
        now = _owners(entry)
        if now != last:
            last, settled_at = now, time.monotonic() + 2.0
    assert {owner for _, _, owner in last} == ids, last
    return last


def test_shards_spread_over_members_and_move_back_to_a_replacement():
    with _members(3, _SHORT_TTL_S) as (kv, entries):
        spread = _wait_spread(entries[0], {"e0", "e1", "e2"})
        entries[2].kill()
        fewer = _wait_spread(entries[0], {"e0", "e1"})
        stayed = [shard for shard in spread if shard[2] != "e2"]
        assert set(stayed) <= set(fewer), (spread, fewer)
        with system.daemon("entry", _settings(2, kv, _SHORT_TTL_S)):
            again = _wait_spread(entries[0], {"e0", "e1", "e2"})
            assert again == spread, (again, spread)


def test_planned_stop_hands_shards_over_before_the_lease_lapses():
    with _members(2, _LONG_TTL_S) as (_, entries):
        _wait_spread(entries[0], {"e0", "e1"})
        entries[1].terminate()
        fixtures.wait_until(
            lambda: {owner for _, _, owner in _owners(entries[0])} == {"e0"},
            _MOVE_S,
            "the hand-over",
        )
        assert entries[1].wait() == 0


@contextlib.contextmanager
def _directory(kv, id):
    names = directory.Directory(kv, "/t/", directory.Member(id, f"{id}:1"), 5)
    names.start()
    try:
        fixtures.wait_until(lambda: names.lease, _CALL_S, "a lease")
        yield names
    finally:
        names.stop()


def _acquire(owned):
    return fixtures.wait_until(owned.acquire, _CALL_S, "the shard")


def test_view_never_goes_back_to_an_older_listing():
    kv = _Slowed()
    with _directory(kv, "a") as names:
        kv.swap(names.config_key, b"[1]", store.ABSENT, time.monotonic() + _CALL_S)
        fixtures.wait_until(names.config, _CALL_S, "the key")
        kv.frozen = kv.list("/t/fleet/", time.monotonic() + _CALL_S)
        item = names.config()
        kv.delete(names.config_key, item.revision, time.monotonic() + _CALL_S)
        fixtures.wait_until(lambda: names.config() is None, _CALL_S, "the deletion")
        names.refresh()
        assert names.config() is None


class _Slowed(memory.MemoryStore):
    """Answers with an old listing, as one overtaken on its way would."""

    frozen = None

    def list(self, prefix, deadline):
        return self.frozen or super().list(prefix, deadline)


def test_ownership_ends_when_another_is_seen_as_the_owner():
    kv = memory.MemoryStore()
    with _directory(kv, "a") as names:
        owned = ownership.Ownership(names, "jobs", 0)
        _acquire(owned)
        key = names.owner_key("jobs", 0)
        other = directory.Owner("jobs", 0, "b", "b:1", 0, 99, "x")
        swap = kv.swap(
            key, msgspec.json.encode(other), owned.epoch, time.monotonic() + _CALL_S
        )
        assert swap.done
        fixtures.wait_until(lambda: not owned.is_held, _CALL_S, "the end")
        assert not owned.acquire()


def test_ownership_taken_again_after_a_lost_release_outlives_the_late_delete():
    kv = _Late()
    with _directory(kv, "a") as names:
        owned = ownership.Ownership(names, "jobs", 0)
        _acquire(owned)
        first = owned.epoch
        kv.is_late = True
        owned.release()
        kv.is_late = False
        _acquire(owned)
        assert owned.epoch > first
        assert not kv.arrive().done
        assert kv.get(names.owner_key("jobs", 0), time.monotonic() + _CALL_S)


class _Late(memory.MemoryStore):
    """Holds a delete back until it is told to let it arrive."""

    is_late = False

    def delete(self, key, expected, deadline):
        if self.is_late:
            self._held = (key, expected)
            raise errors.Error(errors.Kind.STORE_UNCERTAIN, "the answer was lost")
        return super().delete(key, expected, deadline)

    def arrive(self):
        return super().delete(*self._held, time.monotonic() + _CALL_S)


load_tests = collecting.hook(__name__)
