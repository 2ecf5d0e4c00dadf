"""Clock for deadlines that must hold across a suspension of the machine."""

import time


def now() -> float:
    """Return the seconds of a clock that runs on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


STARTED_AT = now()  # of this process, as early as the program can tell
