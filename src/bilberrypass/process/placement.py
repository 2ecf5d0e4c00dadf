"""The choice of a host for a task."""

import abc
import typing as t

from bilberrypass import resources


class Room(t.NamedTuple):
    """A host that may take a task, and the room that is left there."""

    host: str
    failure_domain: str
    rack: str
    capacity: resources.Demand
    free: resources.Demand


class Policy(abc.ABC):
    """Chooses among hosts that have room."""

    @abc.abstractmethod
    def choose(self, demand: resources.Demand, rooms: list[Room]) -> Room | None:
        """Return the host for a task, or None if none fits now."""


@t.final
class FirstFit(Policy):
    """Takes the first host that has room."""

    def choose(self, demand: resources.Demand, rooms: list[Room]) -> Room | None:
        """Return the first room that fits."""
        return next((room for room in rooms if demand.fits(room.free)), None)
