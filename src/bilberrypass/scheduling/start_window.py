"""How many starts a host may have before it, so that their order can still change."""

import typing as t

# A start waits for about so long at its host, behind those sent before it.
_TARGET_DELAY_S: t.Final = 1.0
_MIN_STARTS: t.Final = 32
_FIRST_STARTS: t.Final = 128
_MIN_INTERVAL_S: t.Final = 0.4  # hosts report every 0.5 s, and after some events


@t.final
class StartWindow:
    """The starts that were sent to one host and that it has not carried out yet.

    A host starts some hundred tasks a second, in the order in which it got them. A
    start that is held back until its turn is near costs nothing, and other jobs may go
    before it meanwhile. The window holds what the host carries out within a second. It
    doubles while the host is faster.
    """

    __slots__ = ("_begun", "_most", "_since", "_starting", "_was_full")

    def __init__(self) -> None:
        self._starting: set[tuple[str, int]] = set()
        self._most = _FIRST_STARTS
        self._begun = 0
        self._since = 0.0
        self._was_full = False

    def __len__(self) -> int:
        return len(self._starting)

    @property
    def is_full(self) -> bool:
        """Whether no further start should be sent now."""
        return len(self._starting) >= self._most

    def add(self, key: tuple[str, int]) -> None:
        """Count a run that is to start."""
        self._starting.add(key)
        self._was_full = self._was_full or self.is_full

    def record_begun(self, key: tuple[str, int]) -> None:
        """Record that a run has begun, or has ended."""
        if key in self._starting:
            self._starting.remove(key)
            self._begun += 1

    def discard(self, key: tuple[str, int]) -> None:
        """Count a run no more that may never have begun."""
        self._starting.discard(key)

    def update(self, now: float) -> None:
        """Adapt the window to the starts since the last time, on ``clock.now``."""
        interval_s = now - self._since
        if interval_s < _MIN_INTERVAL_S:
            return
        if self._was_full and self._since:
            rate = self._begun / interval_s
            self._most = max(_MIN_STARTS, int(rate * _TARGET_DELAY_S))
        self._since, self._begun = now, 0
        self._was_full = self.is_full
