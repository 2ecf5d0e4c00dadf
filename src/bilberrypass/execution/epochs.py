"""The newest owner of each shard known on one host."""

import threading
import typing as t

from bilberrypass import errors


@t.final
class ShardEpochs:
    """Thread-safe record of the highest epoch seen of each shard."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._newest: dict[int, int] = {}

    def check(self, shard: int, epoch: int) -> None:
        """Raise STALE if a newer owner of the shard is known; else record the epoch."""
        with self._lock:
            newest = max(epoch, self._newest.get(shard, 0))
            self._newest[shard] = newest
        if epoch < newest:
            raise errors.Refused(
                errors.Kind.STALE,
                f"shard {shard} has a newer owner (epoch {newest}, not {epoch}); "
                "stop acting as its owner",
            )
