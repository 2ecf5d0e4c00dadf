"""Interface to the worker on an agent's host."""

import abc
import typing as t

from bilberrypass import resources
from bilberrypass.version import work


class Run(t.NamedTuple):
    """A task on the worker.

    ``state`` is one of ``running``, ``finished``, ``failed``, ``stopped``
    (also after lease expiry) or ``checkpointed``; ``checkpoint`` is its last one.
    """

    spec: work.Spec
    state: str
    checkpoint: str = ""
    detail: str = ""
    throttle: float = 1.0


class Usage(t.NamedTuple):
    """Usage measured over an interval that ended some time ago.

    ``begin_ago_s`` and ``end_ago_s`` are seconds before the response.
    ``tasks`` pairs each task with its processor use in thousandths and memory in
    bytes; ``slowdown`` pairs each service class on the host with its measured
    latency inflation (1.0 if not slowed down).
    """

    begin_ago_s: float
    end_ago_s: float
    tasks: list[tuple[work.TaskId, int, int]]
    slowdown: list[tuple[str, float]]


class Inventory(t.NamedTuple):
    """The capacity of the host and the runs on it.

    ``clock_s`` is the worker's own monotonic clock at its response.
    """

    capacity: resources.Demand
    runs: list[Run]
    clock_s: float = 0.0


class Worker(abc.ABC):
    """The platform's worker, which accepts commands of the newest agent only.

    ``attach`` assigns a generation to the agent; commands of an older generation
    are rejected with kind STALE. Every call ends by its deadline (monotonic
    seconds) and raises ``errors.Error``: ENDPOINT_UNREACHABLE if it certainly had
    no effect, ANSWER_LOST if it may have had one.

    A lease is specified by its expiry on the caller's monotonic clock. A command
    that reaches the worker late, because the caller was paused, must not extend it.
    """

    @property
    def generation(self) -> int:
        """Identifies the latest ``attach`` of this client, 0 if there is none."""
        return 0

    @abc.abstractmethod
    def attach(self, deadline: float, incarnation: int = 0) -> Inventory:
        """Become the newest agent; return the capacity and all runs not forgotten.

        Rejected with STALE if an agent of a higher incarnation has attached.
        """

    @abc.abstractmethod
    def inventory(self, deadline: float) -> Inventory:
        """Return the host's capacity and all runs not forgotten."""

    @abc.abstractmethod
    def start(
        self,
        spec: work.Spec,
        expiry: float,
        deadline: float,
        generation: int | None = None,
    ) -> Run:
        """Start a task under a lease; the same task and attempt starts only once.

        Rejected with STALE if ``generation`` is given and no longer the present one.
        """

    @abc.abstractmethod
    def renew(self, leases: list[tuple[work.TaskId, float]], deadline: float) -> None:
        """Set the expiry of the tasks' leases (monotonic seconds)."""

    @abc.abstractmethod
    def checkpoint(self, task: work.TaskId, deadline: float) -> str:
        """Have the task write a checkpoint and return its reference."""

    @abc.abstractmethod
    def throttle(self, task: work.TaskId, share: float, deadline: float) -> None:
        """Limit the task to a share (0 to 1) of its processors."""

    @abc.abstractmethod
    def stop(self, task: work.TaskId, deadline: float) -> Run | None:
        """Stop a task and return its run, or None if the worker never had it.

        Afterwards the same task and attempt cannot start on this worker.
        """

    @abc.abstractmethod
    def forget(self, tasks: list[work.TaskId], deadline: float) -> None:
        """Delete ended runs whose end has been recorded."""

    @abc.abstractmethod
    def usage(self, deadline: float) -> Usage:
        """Return the newest usage report."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connections."""
