"""Whose consent the leaders need, and which of them may have granted, in the store."""

import collections.abc as abc
import threading
import typing as t

import msgspec

from bilberrypass import clock, decoding, errors
from bilberrypass.observing import decisions
from bilberrypass.scheduling import grants, keyvalue

_COMMIT_TIMEOUT_S: t.Final = 1.0
_UNKNOWN_LEADER: t.Final = ""  # no process has this identity


class Roster(t.NamedTuple):
    """What a leader leaves to its successors; it outlives every process.

    Parameters
    ----------
    epoch : int
        Epoch of the leader that wrote it, 0 for the one elected with it.
    names : tuple of str
        No leader whose leases may be out extends one without the consent of each of
        these entries.
    leaders : tuple of str
        The entries of these leaders, the latest one last.
    """

    epoch: int
    names: tuple[str, ...]
    leaders: tuple[str, ...]


_decoder = msgspec.msgpack.Decoder(Roster)


def identity(name: str, address: str) -> str:
    """Return what tells an entry from a replacement on another machine.

    Processes of one identity follow each other: each holds the address.
    """
    return f"{name} {address}"


def encode(roster: Roster) -> bytes:
    """Return a roster in its stored form."""
    return msgspec.msgpack.encode(roster)


def read(item: keyvalue.Item | None, predecessor: int) -> Roster | None:
    """Return the roster that the latest leader has left.

    Parameters
    ----------
    item : keyvalue.Item or None
        The stored roster.
    predecessor : int
        Epoch of the latest leader, 0 if there was none.

    Returns
    -------
    Roster or None
        None if that leader wrote none, as one of an earlier release, or if it cannot
        be read. Before the first leader, the roster is empty.
    """
    if not predecessor:
        return Roster(0, (), ())
    if item is None:
        return None
    try:
        found = decoding.decode_msgpack(item.value, _decoder)
    except decoding.UnreadableError as exc:
        decisions.record("roster.unreadable", why=str(exc))
        return None
    epoch = found.epoch or item.revision
    return found if epoch == predecessor else None


def inherit(found: Roster | None, own: str) -> Roster:
    """Return the roster that an entry writes with its election.

    The latest leader is asked for no consent: it may be lost, which would end what
    runs in an outage. Its next process is added again.
    """
    if found is None:
        return Roster(0, (), (_UNKNOWN_LEADER, own))
    if not found.leaders:
        return Roster(0, (own,), (own,))
    latest = found.leaders[-1]
    names = tuple(name for name in found.names if name == own or name != latest)
    leaders = tuple(name for name in found.leaders if name != own)
    return Roster(0, names, (*leaders, own))


@t.final
class Keeper:
    """Keeps the stored roster of one leader true.

    The consent of a name is needed before the store may have it, and until the store
    certainly has it no more. Thread-safe.

    Parameters
    ----------
    store : keyvalue.Store
        Holds the roster.
    election_key, key : str
        The key of the election, and that of the roster.
    epoch : int
        Epoch of the leader.
    own : str
        Identity of the entry.
    elected_with : Roster
        Written with the election.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        election_key: str,
        key: str,
        epoch: int,
        own: str,
        elected_with: Roster,
    ) -> None:
        self._store = store
        self._election_key, self._key = election_key, key
        self.epoch = epoch
        self._own = own
        self._stored = elected_with
        self._revision = epoch
        self._is_uncertain = False  # whether an attempt may have taken effect
        self._lock = threading.Lock()

    def update(self, granting: grants.Grants, have_earlier_ended: bool) -> None:
        """Write the roster if it is to change.

        Parameters
        ----------
        granting : grants.Grants
            Lists the standbys, and is told whose consent is needed.
        have_earlier_ended : bool
            Whether no lease of earlier leaders is out. Until then, names may only be
            removed: those leaders do not ask others.
        """
        with self._lock:
            self._update(granting, have_earlier_ended)

    def _update(self, granting: grants.Grants, have_earlier_ended: bool) -> None:
        listed = {*granting.listed(clock.now()), self._own}
        # Earlier processes of this entry have ended.
        others = set(self._stored.leaders) - {self._own}
        if have_earlier_ended or not others:
            wanted = Roster(self.epoch, tuple(sorted(listed)), (self._own,))
        else:
            names = tuple(name for name in self._stored.names if name in listed)
            wanted = Roster(self.epoch, names, self._stored.leaders)
        has_changed = set(wanted.names) != set(self._stored.names)
        has_changed |= wanted.leaders != self._stored.leaders
        if has_changed or self._is_uncertain:
            self._write(wanted, granting)

    def _write(self, wanted: Roster, granting: grants.Grants) -> None:
        granting.require({*self._stored.names, *wanted.names})
        try:
            revision = self._store.commit(
                {self._election_key: self.epoch, self._key: self._revision},
                [keyvalue.Put(self._key, encode(wanted))],
                clock.now() + _COMMIT_TIMEOUT_S,
            )
        except keyvalue.PreconditionFailed as exc:
            self._adopt_earlier_attempt(exc.items, granting)
            return
        except errors.Error as exc:
            decisions.record("roster.not_written", why=str(exc))
            self._is_uncertain = True
            return
        self._confirm(wanted, revision, granting)

    def _adopt_earlier_attempt(
        self, items: abc.Mapping[str, keyvalue.Item], granting: grants.Grants
    ) -> None:
        """Take in an attempt of this leader that took effect without an answer."""
        leader, item = items.get(self._election_key), items.get(self._key)
        if leader is None or leader.revision != self.epoch or item is None:
            return
        found = read(item, self.epoch)
        if found is not None:
            self._confirm(found, item.revision, granting)

    def _confirm(self, stored: Roster, revision: int, granting: grants.Grants) -> None:
        self._stored, self._revision = stored, revision
        self._is_uncertain = False
        granting.require(set(stored.names))
        decisions.record(
            "roster.stored",
            epoch=self.epoch,
            names=sorted(stored.names),
            leaders=stored.leaders,
        )
