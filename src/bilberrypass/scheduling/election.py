"""Leader election of the scheduler: a key in the store, attached to a lease."""

import abc
import collections.abc as cabc
import threading
import typing as t

import msgspec

from bilberrypass import clock, decoding, errors, supervision
from bilberrypass.observing import decisions
from bilberrypass.scheduling import keyvalue, roster

KEY: t.Final = "leader"
# Written with each election, without a lease: its revision is the latest epoch.
TERM_KEY: t.Final = KEY + "/term"
ROSTER_KEY: t.Final = KEY + "/roster"  # what a leader leaves to its successors
# outlasts a slow response of the store, and allows a fast takeover
LEASE_TTL_S: t.Final = 2.0
_RENEW_INTERVAL_S: t.Final = 0.5  # four attempts within the lease
_STORE_CALL_TIMEOUT_S: t.Final = 1.0
_WATCH_TIMEOUT_S: t.Final = 2.0
_RETRY_INTERVAL_S: t.Final = 0.3
_UNINFORMED_DELAY_S: t.Final = 0.5  # time for an election among the others


OnOtherKey = cabc.Callable[[keyvalue.Change, float], None]


class Leader(t.NamedTuple):
    """The elected process; its epoch is the revision of the election's key."""

    name: str
    address: str
    epoch: int


class _Value(t.NamedTuple):
    name: str
    address: str
    lease: int


def decode_leader(item: keyvalue.Item | None) -> Leader | None:
    """Return the leader that the election's key names; None if there is no leader.

    A leader's key is attached to a lease; one without comes from another writer.

    Raises
    ------
    errors.Error
        STORE_UNCERTAIN if the value cannot be read; the key is held all the same.
    """
    if item is None or not item.lease:
        return None
    try:
        value = decoding.decode_json(item.value, _Value)
    except decoding.UnreadableError as exc:
        raise errors.Error(errors.Kind.STORE_UNCERTAIN, f"{KEY}: {exc}") from exc
    return Leader(value.name, value.address, item.revision)


class Candidate(abc.ABC):
    """Callbacks of a process that stands for election."""

    @abc.abstractmethod
    def on_elected(self, epoch: int) -> None:
        """Start to lead, after this process was elected with an epoch."""

    def is_informed(self, predecessor: int, inherited: roster.Roster | None) -> bool:
        """Return whether this process knows how long an earlier leader granted.

        Parameters
        ----------
        predecessor : int
            The epoch of the latest leader, 0 if there was none.
        inherited : roster.Roster or None
            What that leader has left.
        """
        return True

    @abc.abstractmethod
    def on_leadership_lost(self, epoch: int) -> None:
        """Stop leading, after the leadership of an epoch was lost or released."""


@t.final
class Election:
    """Watches the election's key and acquires it while it is free.

    Parameters
    ----------
    store : keyvalue.Store
        Holds the key.
    name, address : str
        Name of this process, and the address at which its peers reach it.
    candidate : Candidate
        Notified when leadership is gained or lost.
    candidacy_delay_s : float
        How long a free key is left to other processes first; for weak hosts.
    on_other_key : callable, optional
        Called with each change of another key that begins with ``KEY``, as the watch
        of this key sees it, and with a time on ``clock.now`` before that change.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        name: str,
        address: str,
        candidate: Candidate,
        candidacy_delay_s: float = 0.0,
        on_other_key: OnOtherKey | None = None,
    ) -> None:
        self._store = store
        self._name = name
        self._address = address
        self._candidate = candidate
        self._candidacy_delay_s = candidacy_delay_s
        self._on_other_key = on_other_key
        self._lease: keyvalue.Lease | None = None
        self._leader: Leader | None = None
        self._epoch = 0
        self._predecessor = 0
        self._inherited: roster.Roster | None = None
        self._roster_revision = 0
        self._last_contact_at = 0.0
        self._store_reads = decisions.Dependency("election.store")
        self._renewals = decisions.Dependency("election.renewal")
        self._stopping = threading.Event()
        self._threads = [
            supervision.SupervisedThread(
                "election", self._run, self._stopping, self._on_thread_failed
            ),
            supervision.SupervisedThread("lease", self._renew_lease, self._stopping),
        ]

    def start(self) -> None:
        """Start the threads that watch the key and renew the lease."""
        for thread in self._threads:
            thread.start()

    @property
    def leader(self) -> Leader | None:
        """The leader last read from the store; None if the key was free."""
        return self._leader

    @property
    def last_contact_at(self) -> float:
        """Send time of the latest successful grant or renewal, on ``clock.now``."""
        return self._last_contact_at

    def last_contact_in(self, epoch: int) -> float:
        """Return ``last_contact_at`` while this process leads for an epoch, else 0."""
        return self._last_contact_at if self._epoch == epoch else 0.0

    @property
    def predecessor(self) -> int:
        """The epoch of the leader before this process's latest election, or 0."""
        return self._predecessor

    @property
    def inherited(self) -> roster.Roster | None:
        """What that leader has left to this process, None if nothing."""
        return self._inherited

    @property
    def identity(self) -> str:
        """What tells this entry from a replacement on another machine."""
        return roster.identity(self._name, self._address)

    def release_leadership(self) -> None:
        """Revoke the lease, so that another process can be elected at once."""
        self._stopping.set()
        lease = self._lease
        if self._epoch and lease is not None:
            self.step_down("leaving")
            try:
                self._store.revoke(lease.id, clock.now() + _STORE_CALL_TIMEOUT_S)
            except errors.Error as exc:
                decisions.record("election.revoke_failed", why=str(exc))

    def on_leader_notice(self, leader: Leader) -> int:
        """Follow a later leader that introduces itself; return the epoch known now.

        This process may be the only one that the store turns away.
        """
        known = self._leader
        if known is None or known.epoch < leader.epoch:
            if self._epoch:
                self.step_down("a later leader introduced itself")
            self._update_leader(leader)
        return self._leader.epoch if self._leader else 0

    def step_down(self, why: str) -> None:
        """Stop leading, because another process may have been elected."""
        epoch, self._epoch = self._epoch, 0
        self._lease = None
        if epoch:
            decisions.record("election.lost", epoch=epoch, why=why)
            self._candidate.on_leadership_lost(epoch)

    def _on_thread_failed(self) -> None:
        """Leave the key to others, since this process may lead without a scheduler."""
        self.step_down("the thread of the election failed")

    def _run(self) -> None:
        while not self._stopping.is_set():
            read_at = clock.now()
            try:
                lookup = self._store.get(KEY, read_at + _STORE_CALL_TIMEOUT_S)
                self._store_reads.worked()
                leader = decode_leader(lookup.item)
                self._update_leader(leader)
                if leader is None or self._is_predecessor(leader):
                    self._acquire(lookup)
                    continue
                self._await_key_change(lookup.revision, read_at)
            except errors.Error as exc:
                self._store_reads.failed(exc)
                self._stopping.wait(_RETRY_INTERVAL_S)

    def _await_key_change(self, revision: int, read_at: float) -> None:
        """Watch the keys after a revision that was read at ``read_at`` or later."""
        while not self._stopping.is_set():
            sent_at = clock.now()
            try:
                batch = self._store.watch(KEY, revision, _WATCH_TIMEOUT_S)
            except keyvalue.HistoryLost:
                self._stopping.wait(_RETRY_INTERVAL_S)
                return
            revision = max(revision, batch.revision)
            for change in batch.changes:
                if change.key != KEY and self._on_other_key is not None:
                    self._on_other_key(change, read_at)
            read_at = sent_at
            if any(change.key == KEY for change in batch.changes):
                return

    def _update_leader(self, leader: Leader | None) -> None:
        if leader != self._leader:
            self._leader = leader
            decisions.record("election.seen", leader=leader and leader._asdict())
        if self._epoch and (leader is None or leader.epoch != self._epoch):
            self.step_down("the election key is free or held by another process")

    def _acquire(self, lookup: keyvalue.Lookup) -> None:
        """Acquire the key, unless a process that should lead rather does so first."""
        term = self._store.get(TERM_KEY, clock.now() + _STORE_CALL_TIMEOUT_S).item
        self._predecessor = term.revision if term else 0
        left = self._store.get(ROSTER_KEY, clock.now() + _STORE_CALL_TIMEOUT_S).item
        self._roster_revision = left.revision if left else 0
        self._inherited = roster.read(left, self._predecessor)
        delay_s = self._candidacy_delay_s
        replaced = lookup.item
        if not self._candidate.is_informed(self._predecessor, self._inherited):
            delay_s = max(delay_s, _UNINFORMED_DELAY_S)
            if replaced is not None and replaced.revision == self._predecessor:
                # That of this process's predecessor; others may acquire a free key.
                self._store.commit(
                    {KEY: replaced.revision},
                    [],
                    clock.now() + _STORE_CALL_TIMEOUT_S,
                    [KEY],
                )
                return
        if not self._has_other_candidate(lookup.revision, delay_s):
            self._campaign(replaced.revision if replaced else 0)

    def _has_other_candidate(self, revision: int, delay_s: float) -> bool:
        """Wait for others to acquire the key; return whether it changed."""
        if not delay_s:
            return False
        batch = self._store.watch(KEY, revision, delay_s)
        return any(change.key == KEY for change in batch.changes)

    def _is_predecessor(self, leader: Leader) -> bool:
        """Return whether the leader is an earlier process at this address.

        Such a process has ended, because this one holds its address.
        """
        return leader.epoch != self._epoch and leader.address == self._address

    def _campaign(self, replaced: int) -> None:
        """Acquire the key with a new lease, if it still has the given revision.

        The revision is 0 if there is no key. A key that is there is not a leader's, or
        is that of this process's predecessor.
        """
        deadline = clock.now() + _STORE_CALL_TIMEOUT_S
        sent_at = clock.now()
        lease = self._store.grant(LEASE_TTL_S, deadline)
        value = msgspec.json.encode(_Value(self._name, self._address, lease.id))
        puts = [
            keyvalue.Put(KEY, value, lease.id),
            keyvalue.Put(TERM_KEY, self._name.encode()),
            keyvalue.Put(
                ROSTER_KEY,
                roster.encode(roster.inherit(self._inherited, self.identity)),
            ),
        ]
        expected = {
            KEY: replaced,
            TERM_KEY: self._predecessor,
            ROSTER_KEY: self._roster_revision,
        }
        try:
            epoch = self._store.commit(expected, puts, deadline)
        except keyvalue.PreconditionFailed as exc:
            self._update_leader(decode_leader(exc.items.get(KEY)))
            return
        except errors.Error as exc:
            if exc.kind is not errors.Kind.STORE_UNCERTAIN:
                raise
            item = self._store.get(KEY, clock.now() + _STORE_CALL_TIMEOUT_S).item
            if item is None or item.value != value:
                raise
            epoch = item.revision
        self._lease, self._last_contact_at = lease, sent_at
        self._epoch = epoch
        self._leader = Leader(self._name, self._address, epoch)
        decisions.record("election.won", epoch=epoch)
        self._candidate.on_elected(epoch)

    def _renew_lease(self) -> None:
        while not self._stopping.wait(_RENEW_INTERVAL_S):
            lease = self._lease
            if lease is None:
                continue
            sent_at = clock.now()
            try:
                self._store.renew(lease.id, sent_at + _STORE_CALL_TIMEOUT_S)
            except keyvalue.LeaseLost:
                decisions.record("election.lease_lost", lease=lease.id)
                if self._lease is lease:
                    self._lease = None
                continue
            except errors.Error as exc:
                self._renewals.failed(exc)
                continue
            self._renewals.worked()
            self._last_contact_at = sent_at
