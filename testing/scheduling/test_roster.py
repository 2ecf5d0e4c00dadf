"""What a leader leaves to its successors, and what they may conclude from it."""

import contextlib
from unittest import mock

from bilberrypass import clock
from bilberrypass.scheduling import grants, keyvalue, messages, roster, succession
from testing import collecting
from testing.scheduling import successions
from testing.standins import keyvalues

LEASE_S = successions.LEASE_S


@contextlib.contextmanager
def _clock_at(now):
    with mock.patch.object(clock, "now", lambda: now):
        yield


def _leading(names=("e1", "e2"), leaders=("e2",), started_at=40.0):
    """Return an entry that started at 40 s and was elected with epoch 9 at 50 s."""
    with _clock_at(50.0):
        known = succession.Succession("e1", LEASE_S, started_at)
        return known, known.begin_leading(9, 7, roster.Roster(7, names, leaders))


def test_start_of_the_earlier_leaders_entry_bounds_its_leases():
    known, bound = _leading()
    assert bound == 50.0 + grants.elapsed_at_most(LEASE_S)
    with _clock_at(51.0):
        lower = known.record_start(messages.StandbyRequest("e2", 9, age_s=2.0))
    assert 49.0 + LEASE_S < lower < 49.5 + LEASE_S


def test_start_of_one_of_two_leaders_bounds_nothing():
    """The earlier one may have extended its leases in an outage, and be at work yet."""
    found = roster.inherit(roster.Roster(5, ("e1", "e2", "e4"), ("e4",)), "e2")
    assert found.leaders == ("e4", "e2")
    known, bound = _leading(found.names, found.leaders)
    with _clock_at(51.0):
        assert known.record_start(messages.StandbyRequest("e2", 9, age_s=2.0)) == bound
        lower = known.record_start(messages.StandbyRequest("e4", 9, age_s=2.0))
        assert lower < bound


def test_successor_extends_leases_without_the_leader_that_was_lost():
    """Else all that runs would end in an outage soon after a loss."""
    found = roster.Roster(5, ("e1", "e2", "e4"), ("e4",))
    assert roster.inherit(found, "e2").names == ("e1", "e2")
    assert roster.inherit(found, "e4").names == ("e1", "e2", "e4")


def test_requests_that_show_no_end_of_the_leader_bound_nothing():
    """A late request of a process before the leader's, and one that led itself."""
    known, bound = _leading()
    with _clock_at(51.0):
        for req in (
            messages.StandbyRequest("e2", 7, age_s=30.0),
            messages.StandbyRequest("e2", 9),
            messages.StandbyRequest("e3", 9, age_s=30.0),
        ):
            assert known.record_start(req) == bound
        led_before = succession.Succession("e2", LEASE_S, 10.0)
        led_before.begin_leading(7, 0)
        assert not led_before.make_request(9, False).age_s


def test_unknown_leader_before_a_known_one_is_waited_for():
    """An entry of an earlier release led in between and wrote no roster."""
    found = roster.inherit(None, "e2")
    with _clock_at(50.0):
        known = succession.Succession("e1", LEASE_S, 40.0)
        bound = known.begin_leading(9, 7, found._replace(epoch=7))
        known.record_start(messages.StandbyRequest("e2", 9, age_s=2.0))
        assert known._own_bound == bound == grants.unknown_grants_end(50.0)


def test_roster_of_another_leader_or_an_unreadable_one_counts_for_nothing():
    value = roster.encode(roster.Roster(7, ("e1",), ("e1",)))
    item = keyvalue.Item("k", value, 12)
    assert roster.read(item, 7).names == ("e1",)
    assert roster.read(item, 8) is None
    assert roster.read(None, 7) is None
    for odd in (b"", b"[" * 9_999, b"\x93\x07\xa0\xa0"):
        assert roster.read(item._replace(value=odd), 7) is None


def _keeper(elected_with):
    store = keyvalues.Store()
    store.put("leader", b"")
    epoch = store.revision
    store.put("roster", b"")
    store.items["roster"] = store.items["roster"]._replace(revision=epoch)
    granting = grants.Grants(epoch, LEASE_S, clock.now, elected_with.names, "e1")
    keeper = roster.Keeper(store, "leader", "roster", epoch, "e1", elected_with)
    return store, granting, keeper, epoch


def _stored_names(store, epoch):
    return roster.read(store.items["roster"], epoch).names


def test_names_are_only_removed_while_leases_of_earlier_leaders_are_out():
    """Those leaders ask no others for consent."""
    store, granting, keeper, epoch = _keeper(
        roster.Roster(0, ("e1", "e2", "e3"), ("e4", "e1"))
    )
    granting.respond(messages.StandbyRequest("e5", epoch), 0.0)
    granting.respond(
        messages.StandbyRequest("e3", epoch, heard_at=clock.now(), is_leaving=True), 0.0
    )
    keeper.update(granting, have_earlier_ended=False)
    assert _stored_names(store, epoch) == ("e1", "e2")
    keeper.update(granting, have_earlier_ended=True)
    assert _stored_names(store, epoch) == ("e1", "e2", "e5")
    assert roster.read(store.items["roster"], epoch).leaders == ("e1",)


def test_consent_is_needed_while_the_store_may_have_a_name():
    """A write without an answer may have taken effect, or may yet."""
    store, granting, keeper, epoch = _keeper(roster.Roster(0, ("e1",), ("e1",)))
    granting.respond(messages.StandbyRequest("e2", epoch), 0.0)
    store.lose_answers = 1
    keeper.update(granting, have_earlier_ended=True)
    assert granting._required == {"e2"}
    granting.respond(
        messages.StandbyRequest("e2", epoch, heard_at=clock.now(), is_leaving=True), 0.0
    )
    keeper.update(granting, have_earlier_ended=True)  # finds the first write
    assert granting._required == {"e2"}
    keeper.update(granting, have_earlier_ended=True)
    assert granting._required == set()
    assert _stored_names(store, epoch) == ("e1",)


def test_deposed_leader_changes_no_roster():
    store, granting, keeper, epoch = _keeper(roster.Roster(0, ("e1",), ("e1",)))
    store.put("leader", b"another")
    before = store.items["roster"]
    granting.respond(messages.StandbyRequest("e2", epoch), 0.0)
    keeper.update(granting, have_earlier_ended=True)
    assert store.items["roster"] == before


load_tests = collecting.hook(__name__)
