"""What placement asks of those who keep room for other work."""

import abc
import typing as t

from bilberrypass.scheduling import hosts, messages


class RoomGuard(abc.ABC):
    """Keeps room on hosts for other work than the tasks that are being placed."""

    @abc.abstractmethod
    def allows(self, host: hosts.Host) -> bool:
        """Return whether a host that has room may be used."""

    @abc.abstractmethod
    def penalty(self, host: hosts.Host) -> int:
        """Return what is taken off the score of a host."""


class Totals(t.Protocol):
    """What runs use on a host, now or at another time."""

    runner: messages.RunnerInfo | None
    used_cpu: int
    used_memory: int
    used_gpus: int
    filler_cpu: int
    service_cpu: int
