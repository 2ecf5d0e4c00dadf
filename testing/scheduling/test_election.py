"""Leader election, and writes of a scheduler that may have lost leadership."""

import contextlib
import time

from bilberrypass import clock, errors
from bilberrypass.scheduling import committing, election, keyvalue
from testing import collecting, fixtures
from testing.standins import keyvalues


class _Candidate(election.Candidate):
    def __init__(self):
        self.epochs: list[int] = []
        self.leading_epoch = 0

    def on_elected(self, epoch):
        self.epochs.append(epoch)
        self.leading_epoch = epoch

    def on_leadership_lost(self, epoch):
        self.leading_epoch = 0


@contextlib.contextmanager
def _candidates(count):
    store = keyvalues.Store()
    members = []
    for number in range(count):
        candidate, connection = _Candidate(), keyvalues.StoreProxy(store)
        member = election.Election(
            connection, f"e{number}", f"10.0.0.{number}:1", candidate
        )
        member.start()
        members.append((member, candidate, connection))
        fixtures.wait_until(lambda m=member: m.leader, 5.0, "a leader")
    try:
        yield members, store
    finally:
        for member, _, _ in members:
            member.release_leadership()


def test_only_one_of_several_candidates_is_elected():
    with _candidates(3) as (members, _):
        assert [bool(c.leading_epoch) for _, c, _ in members] == [True, False, False]


def test_released_leadership_is_acquired_within_one_second():
    with _candidates(2) as (((first, a, _), (_, b, _)), _):
        began = clock.now()
        first.release_leadership()
        fixtures.wait_until(lambda: b.leading_epoch, 5.0, "the successor")
        assert not a.leading_epoch and clock.now() - began < 1.0
        assert b.leading_epoch > a.epochs[0]


def test_leader_without_store_is_replaced_and_steps_down():
    """A leader that cannot renew its lease must not lead beside its successor."""
    with _candidates(2) as (((_, a, connection), (_, b, _)), _):
        connection.is_cut = True
        fixtures.wait_until(lambda: b.leading_epoch, 8.0, "the successor")
        connection.is_cut = False
        fixtures.wait_until(lambda: not a.leading_epoch, 8.0, "the leader to step down")
        assert b.leading_epoch > a.epochs[0]


def test_one_candidate_leads_with_a_new_epoch_after_lease_revocation():
    """The store may revoke leases at any time; the old epoch must not be used again."""
    with _candidates(2) as (members, store):
        first = max(c.leading_epoch for _, c, _ in members)
        store.revoke_all_leases()
        fixtures.wait_until(
            lambda: max(c.leading_epoch for _, c, _ in members) > first,
            8.0,
            "a new epoch",
        )
        assert sum(bool(c.leading_epoch) for _, c, _ in members) == 1


def test_restarted_leader_replaces_its_predecessor_at_once():
    """A key that names this process's own address belongs to an ended predecessor.

    Waiting for the lease of the predecessor would delay scheduling.
    """
    store = keyvalues.Store()
    value = b'["e0","10.0.0.0:1",1]'
    store.put(election.KEY, value)
    old = store.items[election.KEY].revision
    candidate = _Candidate()
    member = election.Election(store, "e0", "10.0.0.0:1", candidate)
    member.start()
    fixtures.wait_until(lambda: candidate.leading_epoch, 1.0, "the new epoch")
    assert candidate.leading_epoch > old
    member.release_leadership()


def test_key_of_another_writer_holds_up_no_election():
    """Each candidate waited for the end of a leader that was none, for good."""
    for value in (b"[" * 9_999, b"", b'["n","10.0.0.1:99999",5]', b'["n","a:1",1e99]'):
        store = keyvalues.Store()
        candidate = _Candidate()
        member = election.Election(store, "e0", "10.0.0.0:1", candidate)
        member.start()
        fixtures.wait_until(lambda c=candidate: c.leading_epoch, 2.0, "a leader")
        first = candidate.leading_epoch
        store.put(election.KEY, value)
        fixtures.wait_until(
            lambda c=candidate, n=first: c.leading_epoch > n, 3.0, "the next term"
        )
        assert election.decode_leader(store.items[election.KEY]).name == "e0"
        member.release_leadership()


def test_delayed_candidate_is_elected_only_without_another():
    store = keyvalues.Store()
    weak, strong = _Candidate(), _Candidate()
    first = election.Election(store, "weak", "10.0.0.1:1", weak, candidacy_delay_s=0.5)
    first.start()
    second = election.Election(store, "strong", "10.0.0.2:1", strong)
    second.start()
    fixtures.wait_until(lambda: strong.leading_epoch, 2.0, "the strong candidate")
    assert not weak.leading_epoch
    second.release_leadership()
    fixtures.wait_until(lambda: weak.leading_epoch, 3.0, "the weak candidate")
    first.release_leadership()


def _committer(store, epoch):
    stored, losses = [], []
    committer = committing.Committer(
        store,
        epoch,
        lambda group, revision: stored.append(revision),
        lambda write, exc: None,
        losses.append,
    )
    committer.start()
    return committer, stored, losses


def test_commit_with_lost_response_is_resolved_from_the_store():
    """The retry of a commit that took effect fails on its own precondition.

    This must not be taken for a write of another leader.
    """
    store = keyvalues.Store()
    store.put(election.KEY, b"x")
    epoch = store.revision
    store.lose_answers = 1
    committer, stored, losses = _committer(store, epoch)
    committer.submit([committing.ProgressWrite("j", b"one", 0)])
    fixtures.wait_until(lambda: stored, 5.0, "the write")
    assert store.items["progress/j"].revision == stored[0] and not losses
    committer.stop()


def test_delayed_commit_does_not_overwrite_a_newer_one():
    """A commit that the store applies after its retry fails on the precondition."""
    store = keyvalues.Store()
    store.put(election.KEY, b"x")
    epoch = store.revision
    store.hold_commits = 1
    committer, stored, _ = _committer(store, epoch)
    committer.submit([committing.ProgressWrite("j", b"one", 0)])
    fixtures.wait_until(lambda: stored, 5.0, "the first write")
    committer.submit([committing.ProgressWrite("j", b"two", stored[0])])
    fixtures.wait_until(lambda: len(stored) == 2, 5.0, "the second write")
    store.apply_held_commits()
    assert store.items["progress/j"].value == b"two"
    committer.stop()


def test_committer_that_lost_the_election_writes_nothing():
    store = keyvalues.Store()
    store.put(election.KEY, b"x")
    epoch = store.revision
    store.put(election.KEY, b"y")
    committer, stored, losses = _committer(store, epoch)
    committer.submit([committing.ProgressWrite("j", b"one", 0)])
    fixtures.wait_until(lambda: losses, 5.0, "the loss of leadership")
    assert "progress/j" not in store.items and not stored


def test_retried_commit_leaves_out_the_estimates_beside_it():
    """A forecast that is stored after an outage would pass for a new one."""
    store = keyvalues.Store()
    store.put(election.KEY, b"x")
    epoch = store.revision
    store.is_down = True
    committer, stored, _ = _committer(store, epoch)
    extra = keyvalue.Put(committing.FORECAST_KEY, b"old")
    committer.submit([committing.ProgressWrite("j", b"one", 0)], extra)
    fixtures.wait_until(lambda: "commit" in store.calls, 2.0, "an attempt")
    store.is_down = False
    fixtures.wait_until(lambda: stored, 5.0, "the write")
    assert "progress/j" in store.items and committing.FORECAST_KEY not in store.items
    committer.stop()


def test_watch_of_the_key_passes_on_other_keys_with_their_greatest_age():
    """A record that was there before the first read has no known age."""
    store, found = keyvalues.Store(), []
    store.put(committing.FORECAST_KEY, b"before")
    began = clock.now()
    member = election.Election(
        store, "e0", "10.0.0.0:1", _Candidate(), on_other_key=lambda *x: found.append(x)
    )
    member.start()
    fixtures.wait_until(lambda: member.leader, 2.0, "a leader")
    for value in (b"one", b"two"):
        time.sleep(0.3)
        put_at = clock.now()
        store.put(committing.FORECAST_KEY, value)
        fixtures.wait_until(
            lambda v=value: found and found[-1][0].value == v, 2.0, "the change"
        )
        assert began <= found[-1][1] <= put_at
        began = found[-1][1]
    assert [change.value for change, _ in found] == [b"one", b"two"]
    member.release_leadership()


def test_renewal_of_ended_lease_differs_from_store_failure():
    store = keyvalues.Store()
    exc = fixtures.error_of(keyvalue.LeaseLost, store.renew, 1, 0.0)
    assert exc.kind is errors.Kind.STALE


load_tests = collecting.hook(__name__)
