"""The time of day by the clocks of many hosts, for scheduled starts."""

import time
import typing as t

from bilberrypass import clock


def offset_s() -> float:
    """Return the difference of this process's time of day and ``clock.now``."""
    return time.time() - clock.now()


@t.final
class FleetClock:
    """The median of the times of day that hosts report.

    Scheduled starts need the time of day, and that of any single host may jump by
    seconds. The median holds as long as most clocks do. Reports arrive late, never
    early, so the result lags rather than leads.
    """

    def __init__(self) -> None:
        self._offsets_s: dict[str, float] = {}

    def observe(self, host: str, unix_time: float, at: float) -> None:
        """Record the Unix time of a host whose report arrived at ``at``.

        Parameters
        ----------
        host : str
            Name of the host.
        unix_time : float
            The host's time of day when it sent the report; 0 if it sent none.
        at : float
            Time of arrival on ``clock.now``.
        """
        if unix_time:
            self._offsets_s[host] = unix_time - at

    def unix_time(self, now: float) -> float:
        """Return the Unix time at ``now``, a time on ``clock.now``.

        Of an even number of clocks, the lower of the two in the middle counts: a
        scheduled task may start late, but not early.
        """
        offsets = sorted([*self._offsets_s.values(), offset_s()])
        return now + offsets[(len(offsets) - 1) // 2]
