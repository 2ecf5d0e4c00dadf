"""The clock of all deadlines that must hold across a suspended machine."""

import time


def now() -> float:
    """Return seconds on a clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
