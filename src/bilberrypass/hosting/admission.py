"""Whether a start fits in the room that the runs on a runner leave.

Handles runners that accept any start, while their capacity shrinks and grows.
"""

import collections.abc as abc
import enum

from bilberrypass.scheduling import messages


class Admission(enum.Enum):
    """The answer to a start."""

    ADMITTED = enum.auto()
    NO_ROOM = enum.auto()
    LEAVING = enum.auto()
    UNKNOWN = enum.auto()  # until runs that the agent has found are described


def check_start(
    order: messages.Order,
    others: abc.Iterable[messages.Order | None],
    info: messages.RunnerInfo,
) -> Admission:
    """Decide on a start.

    Parameters
    ----------
    order : messages.Order
        The order to start a run.
    others : iterable of messages.Order or None
        Orders of the runs that hold room, also while they are being stopped; None for
        a run of which the demand is not known.
    info : messages.RunnerInfo
        The runner's latest description of itself.
    """
    used = list(_demand(order))
    for other in others:
        if other is None:
            return Admission.UNKNOWN
        used = [a + b for a, b in zip(used, _demand(other), strict=True)]
    has_room = all(
        a <= most or not wanted
        for a, most, wanted in zip(used, info.capacity, _demand(order), strict=True)
    )
    return Admission.ADMITTED if has_room else Admission.NO_ROOM


def _demand(order: messages.Order) -> tuple[int, int, int]:
    return order.cpu_milli * (not order.is_filler), order.memory_mb, order.gpus
