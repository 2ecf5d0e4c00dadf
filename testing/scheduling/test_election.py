"""One scheduler at a time, whatever the store does."""

import contextlib

from bilberrypass import clock, errors
from bilberrypass.scheduling import committing, election, keyvalue
from testing import collecting, fixtures
from testing.standins import keyvalues


class _Candidate(election.Candidate):
    def __init__(self):
        self.epochs: list[int] = []
        self.leads = 0

    def lead(self, epoch):
        self.epochs.append(epoch)
        self.leads = epoch

    def resign(self, epoch):
        self.leads = 0


@contextlib.contextmanager
def _candidates(count):
    store = keyvalues.Store()
    found = []
    for number in range(count):
        candidate, way = _Candidate(), keyvalues.Way(store)
        one = election.Election(way, f"e{number}", f"10.0.0.{number}:1", candidate)
        one.start()
        found.append((one, candidate, way))
        fixtures.wait_until(lambda o=one: o.leader, 5.0, "a leader")
    try:
        yield found, store
    finally:
        for one, _, _ in found:
            one.hand_over()


def test_one_of_several_leads():
    with _candidates(3) as (found, _):
        assert [bool(c.leads) for _, c, _ in found] == [True, False, False]


def test_a_hand_over_is_taken_up_at_once():
    with _candidates(2) as (((first, a, _), (_, b, _)), _):
        began = clock.now()
        first.hand_over()
        fixtures.wait_until(lambda: b.leads, 5.0, "the successor")
        assert not a.leads and clock.now() - began < 1.0
        assert b.leads > a.epochs[0]


def test_a_cut_off_leader_is_replaced_and_learns_of_it():
    with _candidates(2) as (((_, a, way), (_, b, _)), _):
        way.is_cut = True
        fixtures.wait_until(lambda: b.leads, 8.0, "the successor")
        way.is_cut = False
        fixtures.wait_until(lambda: not a.leads, 8.0, "the deposition")
        assert b.leads > a.epochs[0]


def test_a_leader_whose_key_is_taken_away_leads_with_a_new_epoch_or_not_at_all():
    with _candidates(2) as (found, store):
        first = max(c.leads for _, c, _ in found)
        store.revoke_all()
        fixtures.wait_until(
            lambda: max(c.leads for _, c, _ in found) > first, 8.0, "a new term"
        )
        assert sum(bool(c.leads) for _, c, _ in found) == 1


def test_a_restarted_leader_takes_its_own_place_at_once():
    store = keyvalues.Store()
    value = b'["e0","10.0.0.0:1",1]'
    store.put(election.KEY, value)
    old = store.items[election.KEY].revision
    candidate = _Candidate()
    one = election.Election(store, "e0", "10.0.0.0:1", candidate)
    one.start()
    fixtures.wait_until(lambda: candidate.leads, 1.0, "the new term")
    assert candidate.leads > old
    one.hand_over()


def test_a_free_key_is_left_to_a_strong_host_and_taken_if_there_is_none():
    store = keyvalues.Store()
    weak, strong = _Candidate(), _Candidate()
    first = election.Election(store, "weak", "10.0.0.1:1", weak, patience_s=0.5)
    first.start()
    second = election.Election(store, "strong", "10.0.0.2:1", strong)
    second.start()
    fixtures.wait_until(lambda: strong.leads, 2.0, "the strong one")
    assert not weak.leads
    second.hand_over()
    fixtures.wait_until(lambda: weak.leads, 3.0, "the weak one")
    first.hand_over()


def _committer(store, epoch):
    stored, deposed = [], []
    found = committing.Committer(
        store, epoch, lambda group, revision: stored.append(revision), deposed.append
    )
    found.start()
    return found, stored, deposed


def test_a_write_without_an_answer_is_settled_by_what_the_store_has():
    store = keyvalues.Store()
    store.put(election.KEY, b"x")
    epoch = store.revision
    store.lose_answers = 1
    found, stored, deposed = _committer(store, epoch)
    found.submit([committing.Write("j", b"one", 0)])
    fixtures.wait_until(lambda: stored, 5.0, "the write")
    assert store.items["progress/j"].revision == stored[0] and not deposed
    found.stop()


def test_a_write_that_comes_late_does_not_undo_a_newer_one():
    store = keyvalues.Store()
    store.put(election.KEY, b"x")
    epoch = store.revision
    store.hold_commits = 1
    found, stored, _ = _committer(store, epoch)
    found.submit([committing.Write("j", b"one", 0)])
    fixtures.wait_until(lambda: stored, 5.0, "the first write")
    found.submit([committing.Write("j", b"two", stored[0])])
    fixtures.wait_until(lambda: len(stored) == 2, 5.0, "the second write")
    store.release()
    assert store.items["progress/j"].value == b"two"
    found.stop()


def test_a_deposed_writer_changes_nothing():
    store = keyvalues.Store()
    store.put(election.KEY, b"x")
    epoch = store.revision
    store.put(election.KEY, b"y")
    found, stored, deposed = _committer(store, epoch)
    found.submit([committing.Write("j", b"one", 0)])
    fixtures.wait_until(lambda: deposed, 5.0, "the deposition")
    assert "progress/j" not in store.items and not stored


def test_a_lease_that_ended_is_told_from_a_store_that_is_down():
    store = keyvalues.Store()
    exc = fixtures.error_of(keyvalue.LeaseLost, store.renew, 1, 0.0)
    assert exc.kind is errors.Kind.STALE


load_tests = collecting.hook(__name__)
