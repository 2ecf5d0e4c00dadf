"""How runners leave, gracefully or evacuated, and what comes in their place."""

import random
import typing as t

_DRAIN_S: t.Final = 2.0  # drain_ms
ACK_TIMEOUT_S: t.Final = 5.0  # a runner ends anyway, some seconds later
ABSENCE_S: t.Final = 4.0
MAX_S: t.Final = 40.0  # more than any departure takes
_LONG_EXTRA_SHARE: t.Final = 0.3
_HOST_REMOVED_SHARE: t.Final = 0.3
_NEW_HOST_SHARE: t.Final = 0.5


class Plan(t.NamedTuple):
    """How one runner leaves.

    ``notice_s`` is the time left that it reports, and ``extra_s`` how much longer it
    serves, after the acknowledgement unless it is evacuated. ``host_gap_s`` is the time
    from the removal of the agent's host to the runner's end, None if the host stays.
    ``unanswered_s`` is how long the runner lives on if its exit gets no answer.
    ``new_number`` is the number of the host of its successor, 0 for the same host.
    """

    notice_s: float
    extra_s: float
    is_evacuation: bool
    host_gap_s: float | None
    unanswered_s: float
    new_number: int


def draw(rng: random.Random, is_evacuation: bool, new_number: int) -> Plan:
    """Draw how a runner leaves; its successor may come at the host of this number."""
    extra_s = rng.uniform(0.1, 1.0)
    if rng.random() < _LONG_EXTRA_SHARE:
        extra_s = rng.uniform(2.0, 8.0)
    host_gap_s = rng.uniform(0.2, 2.5) if rng.random() < _HOST_REMOVED_SHARE else None
    unanswered_s = rng.uniform(1.0, 4.0)
    notice_s = rng.uniform(1.0, 3.0)
    has_new_host = rng.random() < _NEW_HOST_SHARE
    return Plan(
        notice_s if is_evacuation else _DRAIN_S,
        0.0 if is_evacuation else extra_s,
        is_evacuation,
        host_gap_s,
        unanswered_s,
        new_number if has_new_host else 0,
    )
