"""The election of the one scheduler: a key in the store under a lease."""

import abc
import threading
import typing as t

import msgspec

from bilberrypass import clock, errors
from bilberrypass.observing import decisions
from bilberrypass.scheduling import keyvalue

KEY: t.Final = "leader"
LEASE_S: t.Final = 2.0  # longer than a slow store's answer, short for a takeover
_RENEW_INTERVAL_S: t.Final = 0.5  # four tries within the lease
_CALL_S: t.Final = 1.0
_WATCH_S: t.Final = 2.0
_RETRY_S: t.Final = 0.3


class Leader(t.NamedTuple):
    """The elected process; its epoch is the revision of the election."""

    name: str
    address: str
    epoch: int


class _Value(t.NamedTuple):
    name: str
    address: str
    lease: int


def read(item: keyvalue.Item | None) -> Leader | None:
    """Return the leader that the key names."""
    if item is None:
        return None
    value = msgspec.json.decode(item.value, type=_Value)
    return Leader(value.name, value.address, item.revision)


class Candidate(abc.ABC):
    """What is told of an election."""

    @abc.abstractmethod
    def lead(self, epoch: int) -> None:
        """Begin to lead."""

    @abc.abstractmethod
    def resign(self, epoch: int) -> None:
        """Lead no longer."""


@t.final
class Election:
    """Follows the election's key, and takes it when it is free.

    Parameters
    ----------
    store : keyvalue.Store
        Holds the key.
    name, address : str
        This process and where its peers reach it.
    candidate : Candidate
        Leads when elected.
    patience_s : float
        How long a free key is left to others first; for weak hosts.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        name: str,
        address: str,
        candidate: Candidate,
        patience_s: float = 0.0,
    ) -> None:
        self._store = store
        self._name = name
        self._address = address
        self._candidate = candidate
        self._patience_s = patience_s
        self._lease: keyvalue.Lease | None = None
        self._leader: Leader | None = None
        self._epoch = 0
        self._contact_at = 0.0
        self._seen = decisions.Dependency("election.store")
        self._renewed = decisions.Dependency("election.renewal")
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._follow, name="election", daemon=True),
            threading.Thread(target=self._keep, name="lease", daemon=True),
        ]

    def start(self) -> None:
        """Begin to follow the key."""
        for thread in self._threads:
            thread.start()

    @property
    def leader(self) -> Leader | None:
        """The newest leader known."""
        return self._leader

    @property
    def contact_at(self) -> float:
        """When the newest call that the store answered for this leader was sent."""
        return self._contact_at

    def hand_over(self) -> None:
        """Give the lead up so that another takes it at once."""
        self._stopping.set()
        lease = self._lease
        if self._epoch and lease is not None:
            self.depose("leaving")
            try:
                self._store.revoke(lease.id, clock.now() + _CALL_S)
            except errors.Error as exc:
                decisions.record("election.revoke_failed", why=str(exc))

    def depose(self, why: str) -> None:
        """Stop leading, since another may lead."""
        epoch, self._epoch = self._epoch, 0
        self._lease = None
        if epoch:
            decisions.record("election.lost", epoch=epoch, why=why)
            self._candidate.resign(epoch)

    def _follow(self) -> None:
        while not self._stopping.is_set():
            try:
                found = self._store.get(KEY, clock.now() + _CALL_S)
                self._seen.worked()
                leader = read(found.item)
                self._see(leader)
                if leader is None or self._is_predecessor(leader):
                    if self._is_left_to_others(found.revision):
                        continue
                    self._stand(0 if leader is None else leader.epoch)
                    continue
                self._watch(found.revision)
            except errors.Error as exc:
                self._seen.failed(exc)
                self._stopping.wait(_RETRY_S)

    def _watch(self, revision: int) -> None:
        while not self._stopping.is_set():
            try:
                watched = self._store.watch(KEY, revision, _WATCH_S)
            except keyvalue.HistoryLost:
                self._stopping.wait(_RETRY_S)
                return
            revision = max(revision, watched.revision)
            if any(change.key == KEY for change in watched.changes):
                return

    def _see(self, leader: Leader | None) -> None:
        if leader != self._leader:
            self._leader = leader
            decisions.record("election.seen", leader=leader and leader._asdict())
        if self._epoch and (leader is None or leader.epoch != self._epoch):
            self.depose("the key names another or nobody")

    def _is_left_to_others(self, revision: int) -> bool:
        """Wait for a stronger host to stand; tell whether the key has changed."""
        if not self._patience_s:
            return False
        watched = self._store.watch(KEY, revision, self._patience_s)
        return any(change.key == KEY for change in watched.changes)

    def _is_predecessor(self, leader: Leader) -> bool:
        """Tell whether the leader was an earlier process at our own address.

        It has ended, since the address is ours now.
        """
        return leader.epoch != self._epoch and leader.address == self._address

    def _stand(self, replaced: int) -> None:
        deadline = clock.now() + _CALL_S
        sent_at = clock.now()
        lease = self._store.grant(LEASE_S, deadline)
        value = msgspec.json.encode(_Value(self._name, self._address, lease.id))
        put = keyvalue.Put(KEY, value, lease.id)
        try:
            epoch = self._store.commit({KEY: replaced}, [put], deadline)
        except keyvalue.PreconditionFailed as exc:
            self._see(read(exc.items.get(KEY)))
            return
        except errors.Error as exc:
            if exc.kind is not errors.Kind.STORE_UNCERTAIN:
                raise
            item = self._store.get(KEY, clock.now() + _CALL_S).item
            if item is None or item.value != value:
                raise
            epoch = item.revision
        self._lease, self._contact_at = lease, sent_at
        self._epoch = epoch
        self._leader = Leader(self._name, self._address, epoch)
        decisions.record("election.won", epoch=epoch)
        self._candidate.lead(epoch)

    def _keep(self) -> None:
        while not self._stopping.wait(_RENEW_INTERVAL_S):
            lease = self._lease
            if lease is None:
                continue
            sent_at = clock.now()
            try:
                self._store.renew(lease.id, sent_at + _CALL_S)
            except keyvalue.LeaseLost:
                decisions.record("election.lease_lost", lease=lease.id)
                if self._lease is lease:
                    self._lease = None
                continue
            except errors.Error as exc:
                self._renewed.failed(exc)
                continue
            self._renewed.worked()
            self._contact_at = sent_at
