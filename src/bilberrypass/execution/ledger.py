"""The resources of one host: its capacity and what is reserved for tasks."""

import threading
import typing as t

from bilberrypass import errors, resources
from bilberrypass.version import work


@t.final
class Ledger:
    """Thread-safe record of the resources reserved for tasks on one host.

    Parameters
    ----------
    host : str
        Name of the host, used in error messages.
    capacity : resources.Demand
        Total resources of the host.
    """

    def __init__(self, host: str, capacity: resources.Demand) -> None:
        self._host = host
        self._lock = threading.Lock()
        self._capacity = capacity
        self._reserved: dict[work.TaskId, resources.Demand] = {}

    @property
    def capacity(self) -> resources.Demand:
        """The total resources of the host."""
        return self._capacity

    @property
    def committed(self) -> resources.Demand:
        """The sum of all reservations."""
        with self._lock:
            return resources.sum_demands(self._reserved.values())

    def rebuild(
        self,
        capacity: resources.Demand,
        held: t.Mapping[work.TaskId, resources.Demand],
        unsettled: t.Collection[work.TaskId] = (),
    ) -> None:
        """Replace all reservations by what the worker reports to be running.

        Parameters
        ----------
        capacity : resources.Demand
            Total resources of the host.
        held : mapping of work.TaskId to resources.Demand
            The running tasks and their demands.
        unsettled : collection of work.TaskId, optional
            Tasks whose start the worker may still execute; they keep their
            reservations.
        """
        with self._lock:
            kept = {
                task: self._reserved[task]
                for task in unsettled
                if task in self._reserved
            }
            self._capacity = capacity
            self._reserved = kept | dict(held)

    def set_capacity(self, capacity: resources.Demand) -> None:
        """Set the total resources, which may have shrunk below what is reserved."""
        with self._lock:
            self._capacity = capacity

    def hold(self, task: work.TaskId, demand: resources.Demand) -> None:
        """Reserve resources for a task that already runs, even beyond the capacity."""
        with self._lock:
            self._reserved[task] = demand

    def admit(self, task: work.TaskId, demand: resources.Demand) -> None:
        """Reserve resources for a task; idempotent for each task.

        Raises
        ------
        errors.Refused
            NO_ROOM if the free resources are smaller than the demand.
        """
        with self._lock:
            if task in self._reserved:
                return
            free = self._capacity.minus(resources.sum_demands(self._reserved.values()))
            shortage = demand.describe_shortage(free)
            if shortage:
                raise errors.Refused(
                    errors.Kind.NO_ROOM,
                    f"{self._host} has no room: {shortage}; place the task elsewhere",
                )
            self._reserved[task] = demand

    def release(self, task: work.TaskId) -> None:
        """Release the reservation of a task, if it has one."""
        with self._lock:
            self._reserved.pop(task, None)
