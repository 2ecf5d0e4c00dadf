"""The ledger of one host: what is committed, and what room is left."""

import threading
import typing as t

from bilberrypass import errors, resources
from bilberrypass.version import work


@t.final
class Ledger:
    """What one host has committed, and what it still has.

    Parameters
    ----------
    host : str
        Name of the host, for messages.
    capacity : resources.Demand
        What the host holds.
    """

    def __init__(self, host: str, capacity: resources.Demand) -> None:
        self._host = host
        self._lock = threading.Lock()
        self._capacity = capacity
        self._held: dict[work.TaskId, resources.Demand] = {}

    @property
    def capacity(self) -> resources.Demand:
        """What the host holds."""
        return self._capacity

    @property
    def committed(self) -> resources.Demand:
        """The sum of what is held for tasks."""
        with self._lock:
            return resources.total(self._held.values())

    def rebuild(
        self,
        capacity: resources.Demand,
        held: t.Mapping[work.TaskId, resources.Demand],
        unsettled: t.Collection[work.TaskId] = (),
    ) -> None:
        """Take over what the worker itself says that it runs.

        Parameters
        ----------
        capacity : resources.Demand
            What the host holds.
        held : mapping of work.TaskId to resources.Demand
            The tasks that run.
        unsettled : collection of work.TaskId, optional
            Tasks whose starts the worker may yet take; they keep their room.
        """
        with self._lock:
            kept = {task: self._held[task] for task in unsettled if task in self._held}
            self._capacity = capacity
            self._held = kept | dict(held)

    def hold(self, task: work.TaskId, demand: resources.Demand) -> None:
        """Count a task that the worker runs already, whether it fits or not."""
        with self._lock:
            self._held[task] = demand

    def admit(self, task: work.TaskId, demand: resources.Demand) -> None:
        """Hold room for a task; once more for the same task changes nothing.

        Raises
        ------
        errors.Refused
            NO_ROOM if the host cannot hold the demand now.
        """
        with self._lock:
            if task in self._held:
                return
            room = self._capacity.minus(resources.total(self._held.values()))
            shortage = demand.shortage(room)
            if shortage:
                raise errors.Refused(
                    errors.Kind.NO_ROOM,
                    f"{self._host} has no room: {shortage}; place it elsewhere",
                )
            self._held[task] = demand

    def release(self, task: work.TaskId) -> None:
        """Give back what was held for a task, if anything was."""
        with self._lock:
            self._held.pop(task, None)
