"""When work that may take down whoever runs it is isolated, cleared or given up.

Handles tasks that crash each runner that starts them. A crash loses all runs of a
runner, and does not tell which of them caused it, so innocent tasks must neither be
given up nor crash again and again beside a guilty one.
"""

import collections.abc as abc
import enum
import typing as t

MAX_CRASHES: t.Final = 3
# Operators allow five starts of a task that crashes its runners.
MAX_UNRELATED_CRASHES: t.Final = 5
# An older run has shown that its task can be started.
MAX_BLAMED_AGE_S: t.Final = 10.0
_PROBATION_MARGIN_S: t.Final = 0.5
_SPEED_FACTOR: t.Final = 1.5  # by which the same work may take longer on another host
_AGE_MARGIN_S: t.Final = 0.2  # by which a busy host may delay a crash
_MAX_SUDDEN_AGE_S: t.Final = 1.0
SUSPECT_SPACING_S: t.Final = 0.5
MAX_SUSPECTS: t.Final = 4  # that may start on a host within that time
QUIET_S: t.Final = 0.3  # without a start, before a run that is to be alone
HOLD_S: t.Final = 1.0  # in which a host becomes quiet, and several rounds begin
MAX_RESERVED_SHARE: t.Final = 0.25
# A lasting task may be idle for 3 s before it counts as lost (RULES.md, LOST).
MAX_LINE_S: t.Final = 3.0


class Crash(t.NamedTuple):
    """A crash under a run, which had existed for ``min_age_s`` to ``age_s`` seconds."""

    run: int
    min_age_s: float
    age_s: float


class Isolation(enum.IntEnum):
    """How far the next run of a task is kept apart from others.

    SPACED: not soon after several other suspects on the same host, so that a crash hits
    few of them early in their runs. ALONE, if one more crash may give the task up and
    the earlier ones came soon after its starts: nothing else starts on the host shortly
    before the run, and until it has outlived them, so that a crash is its own. Neither
    may last long, since a crash under many runs makes many innocent suspects.

    One crash makes suspects of all runs of its runner, which then wait in line for
    ALONE starts. A lasting task that has waited for ``MAX_LINE_S`` is SPACED instead,
    with the others in line. The next crash under several of them is not the last one.
    """

    NONE = 0
    SPACED = 1
    ALONE = 2


def is_blamed(crash: Crash) -> bool:
    """Return whether a crash counts against its run.

    A start without an answer may have been carried out much later than it was sent, so
    only the least age shows that a run is old.
    """
    return crash.min_age_s <= MAX_BLAMED_AGE_S


def is_given_up(crashes: abc.Collection[Crash]) -> bool:
    """Return whether a task is not to be started again.

    A task that takes its runners down does so at about the same age each time, as far
    as the ages are known. Crashes with other causes hit runs of any age.
    """
    return (
        len(crashes) >= MAX_UNRELATED_CRASHES or _count_related(crashes) >= MAX_CRASHES
    )


def _count_related(crashes: abc.Collection[Crash]) -> int:
    """Return how many of the crashes may have come at about the same age."""
    return max(
        (sum(_may_coincide(c, other.min_age_s) for c in crashes) for other in crashes),
        default=0,
    )


def _may_coincide(crash: Crash, age_s: float) -> bool:
    """Return whether a crash may have come at about this age, on a slower host."""
    return crash.min_age_s <= age_s <= _AGE_MARGIN_S + _SPEED_FACTOR * crash.age_s


def choose_isolation(
    crashes: abc.Collection[Crash], is_urgent: bool = False
) -> Isolation:
    """Return how the next run of a task with these crashes is isolated.

    ``is_urgent`` says that it has waited for an ALONE start for too long. That counts
    once only, before it has crashed with others in line.
    """
    if not crashes:
        return Isolation.NONE
    may_be_last = (
        len(crashes) + 1 >= MAX_UNRELATED_CRASHES
        or _count_related(crashes) + 1 >= MAX_CRASHES
    )
    if is_urgent and len(crashes) < MAX_CRASHES:
        return Isolation.SPACED
    is_sudden = max(crash.age_s for crash in crashes) <= _MAX_SUDDEN_AGE_S
    return Isolation.ALONE if may_be_last and is_sudden else Isolation.SPACED


def is_shared(age_s: float, others_s: abc.Iterable[float]) -> bool:
    """Return whether a run that crashed was not alone, by the ages of the others.

    Beside a run that is alone, no other starts shortly before it or later.
    """
    return any(other_s < age_s + QUIET_S for other_s in others_s)


def probation_s(crashes: abc.Collection[Crash]) -> float:
    """Return the age at which a run has outlived the crashes of its earlier runs.

    The task is cleared then: it can be started, so the crashes had other causes.
    """
    longest_s = max(crash.age_s for crash in crashes)
    outlived_s = _PROBATION_MARGIN_S + _SPEED_FACTOR * longest_s
    return min(MAX_BLAMED_AGE_S, outlived_s)


def max_reserved_hosts(hosts: int) -> int:
    """Return on how many of so many hosts runs may be ALONE at the same time."""
    return max(1, int(hosts * MAX_RESERVED_SHARE))
