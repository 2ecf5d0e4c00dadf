"""The claims whose release one owner of a shard has handled lately."""

import collections
import time
import typing as t

_RETENTION_S: t.Final = 60.0
_MAX_CLAIMS: t.Final = 8_000


@t.final
class ReleasedClaims:
    """Released claims, by id; not thread-safe. The oldest are dropped first.

    A release may overtake its claim, which must then not hold the key: nobody would
    release it again.
    """

    def __init__(self) -> None:
        self._deadlines: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def __contains__(self, claim: bytes) -> bool:
        return claim in self._deadlines

    def add(self, claim: bytes) -> None:
        """Record a release, and drop those that no claim can follow any more."""
        now = time.monotonic()
        self._deadlines[claim] = now + _RETENTION_S
        while (
            len(self._deadlines) > _MAX_CLAIMS
            or next(iter(self._deadlines.values())) <= now
        ):
            self._deadlines.popitem(last=False)
