"""What an agent asks of the worker on its host."""

import abc
import typing as t

from bilberrypass import resources
from bilberrypass.version import work


class Run(t.NamedTuple):
    """A task on the worker.

    ``state`` is one of ``running``, ``finished``, ``failed``, ``stopped``
    (also after a lapsed lease) or ``checkpointed``; ``checkpoint`` is its last one.
    """

    spec: work.Spec
    state: str
    checkpoint: str = ""
    detail: str = ""
    throttle: float = 1.0


class Usage(t.NamedTuple):
    """Usage measured over an interval that ended some time ago.

    ``begin_ago_s`` and ``end_ago_s`` are seconds before the answer.
    ``tasks`` pairs each task with its processor use in thousandths and memory in
    bytes; ``slowdown`` pairs each service class on the host with its measured
    latency inflation (1.0: as when alone).
    """

    begin_ago_s: float
    end_ago_s: float
    tasks: list[tuple[work.TaskId, int, int]]
    slowdown: list[tuple[str, float]]


class Inventory(t.NamedTuple):
    """What the host holds and what runs on it.

    ``clock_s`` is the worker's own monotonic clock when it answered.
    """

    capacity: resources.Demand
    runs: list[Run]
    clock_s: float = 0.0


class Worker(abc.ABC):
    """The platform's worker, driven by the newest agent alone.

    ``attach`` gives the agent a generation; commands of an older generation are
    refused with kind STALE. Every call ends by its deadline (monotonic seconds)
    and raises ``errors.Error``: ENDPOINT_UNREACHABLE where it certainly had no
    effect, ANSWER_LOST where it may have had one.

    A lease is given by its expiry on the caller's monotonic clock. What reaches
    the worker late, because the caller was paused, must not lengthen it.
    """

    @abc.abstractmethod
    def attach(self, deadline: float, incarnation: int = 0) -> Inventory:
        """Become the newest agent and return all runs not yet forgotten.

        Refused with STALE where an agent of a higher incarnation was attached.
        """

    @abc.abstractmethod
    def inventory(self, deadline: float) -> Inventory:
        """Return the host's capacity and all runs not yet forgotten."""

    @abc.abstractmethod
    def start(self, spec: work.Spec, expiry: float, deadline: float) -> Run:
        """Start a task under a lease; the same task and attempt starts once."""

    @abc.abstractmethod
    def renew(self, leases: list[tuple[work.TaskId, float]], deadline: float) -> None:
        """Set when the tasks' leases expire."""

    @abc.abstractmethod
    def checkpoint(self, task: work.TaskId, deadline: float) -> str:
        """Make the task write a checkpoint, and return its reference."""

    @abc.abstractmethod
    def throttle(self, task: work.TaskId, share: float, deadline: float) -> None:
        """Let the task use a share (0 to 1) of its processors."""

    @abc.abstractmethod
    def stop(self, task: work.TaskId, deadline: float) -> Run | None:
        """Stop a task and return its end, or None if the worker never had it.

        After this the same task and attempt does not start here any more.
        """

    @abc.abstractmethod
    def forget(self, tasks: list[work.TaskId], deadline: float) -> None:
        """Drop ended runs whose end has been recorded."""

    @abc.abstractmethod
    def usage(self, deadline: float) -> Usage:
        """Return the newest usage report."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close connections."""
