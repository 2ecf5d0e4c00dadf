"""The way to the owners of shards at other entries."""

import threading
import typing as t

from bilberrypass import errors
from bilberrypass.connection import channels
from bilberrypass.membership import directory

_RETRY_S: t.Final = 1.0


@t.final
class Owners:
    """Connections to the entries that own shards of one kind.

    Parameters
    ----------
    names : directory.Directory
        Knows the owners.
    kind : str
        What the shards hold, such as ``jobs``.
    """

    def __init__(self, names: directory.Directory, kind: str) -> None:
        self._names = names
        self._kind = kind
        self._lock = threading.Lock()
        self._peers: dict[str, channels.Peer] = {}

    def find(self, shard: int) -> channels.Peer:
        """Return the connection to another entry that owns a shard.

        Raises
        ------
        errors.Refused
            NOT_READY if no other entry is known as the owner.
        """
        found = self._names.owner(self._kind, shard)
        if found is None or found.entry == self._names.me.id:
            raise errors.Refused(
                errors.Kind.NOT_READY,
                f"{self._kind} shard {shard} has no owner at the moment; come back",
                retry_after_s=_RETRY_S,
            )
        with self._lock:
            if found.peers not in self._peers:
                self._peers[found.peers] = channels.Peer(found.peers)
            return self._peers[found.peers]
