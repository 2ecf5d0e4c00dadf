"""The other entries that one entry calls."""

import threading
import typing as t

from bilberrypass import clock
from bilberrypass.connection import channels
from bilberrypass.scheduling import election

_ADDRESS_MAX_AGE_S: t.Final = 60.0


@t.final
class Peers:
    """Knows the leader and the entries that called lately; thread-safe.

    Parameters
    ----------
    address : str
        At which peers reach this entry.
    elections : election.Election
        Knows the leader.
    """

    def __init__(self, address: str, elections: election.Election) -> None:
        self._address = address
        self._election = elections
        self._lock = threading.Lock()
        self._peer: channels.Peer | None = None
        self._seen_at: dict[str, float] = {}

    def record_call(self, address: str) -> None:
        """Record that another entry called just now."""
        self._seen_at[address] = clock.now()

    def leader(self) -> election.Leader | None:
        """Return the leader if it is another entry.

        An entry that has lost the lead may not know its successor yet.
        """
        leader = self._election.leader
        is_other = leader is not None and leader.address != self._address
        return leader if is_other else None

    def find(self) -> str:
        """Return another entry's address: the leader's or a recent peer's; or empty."""
        leader = self.leader()
        if leader is not None:
            return leader.address
        seen_at, address = max(
            ((at, address) for address, at in list(self._seen_at.items())),
            default=(0.0, ""),
        )
        return address if clock.now() - seen_at < _ADDRESS_MAX_AGE_S else ""

    def at(self, address: str) -> channels.Peer:
        """Return the connection to an entry, instead of the one to another."""
        with self._lock:
            peer = self._peer
            if peer is None or peer.address != address:
                if peer is not None:
                    peer.close()
                peer = self._peer = channels.Peer(address)
            return peer
