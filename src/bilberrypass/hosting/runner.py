"""The interface through which an agent controls its runner."""

import abc
import collections.abc as cabc
import typing as t

import logbook

from bilberrypass import errors

_log = logbook.Logger("runner")

T = t.TypeVar("T")


class ActiveRun(t.NamedTuple):
    """A run that is present on the runner.

    ``progress`` is in percent; the task of a service is serving from 100 on.
    ``figure`` is the tail latency in ms of a task with a latency target, and the
    CPU use in thousandths of a core of any other task.
    """

    task: str
    run: int
    checkpoint: str
    progress: int
    figure: int


class EndedRun(t.NamedTuple):
    """A run that has ended; the runner numbers ends from 1 in each life."""

    number: int
    task: str
    run: int
    outcome: str
    checkpoint: str


class RunnerSnapshot(t.NamedTuple):
    """The runs of a runner, active and ended, and its clock in ms when it answered.

    ``has_all_ends`` is False if further ends wait until these are acknowledged.
    """

    running: list[ActiveRun]
    ended: list[EndedRun]
    clock_ms: int
    life: int
    has_all_ends: bool = True


class Answer(t.NamedTuple):
    """A runner's answer to an order; ``reason`` is empty if the order succeeded."""

    reason: str
    clock_ms: int


class NotListening(errors.Error):
    """The runner's address refuses connections, so no process listens there."""

    def __init__(self, detail: str) -> None:
        super().__init__(errors.Kind.PEER_UNREACHABLE, detail, ran=errors.Ran.NO)


class ConnectionClosed(errors.Error):
    """The runner closed or reset the connection before its answer was complete."""

    def __init__(self, detail: str) -> None:
        super().__init__(errors.Kind.ANSWER_LOST, detail)


class RunSpec(t.NamedTuple):
    """The parameters of a run to start; checkpoint and ticket may be empty."""

    task: str
    run: int
    spec: str
    checkpoint: str
    ticket: str


class Runner(abc.ABC):
    """A client of one life of a runner.

    Methods raise ``errors.Error`` with PEER_UNREACHABLE if the runner certainly
    did not execute the call, and with ANSWER_LOST if it may have executed it or
    may still do so.
    """

    @abc.abstractmethod
    def start(
        self, run: RunSpec, lease_end_ms: int, epoch: int, deadline: float
    ) -> Answer:
        """Start a run under a lease whose end, in ms, is on the runner's clock."""

    @abc.abstractmethod
    def stop(self, task: str, run: int, epoch: int, deadline: float) -> Answer:
        """Stop a run, or prevent a run that has not started from starting."""

    @abc.abstractmethod
    def set_pace(
        self, task: str, run: int, percent: int, epoch: int, deadline: float
    ) -> Answer:
        """Limit a run to a percentage of its full speed."""

    @abc.abstractmethod
    def poll(
        self,
        acknowledged_end: int,
        lease_end_ms: int | None,
        epoch: int,
        wait_s: float,
    ) -> RunnerSnapshot:
        """Renew the lease, discard ends up to ``acknowledged_end``, await a new end."""


def call(method: cabc.Callable[..., T], *args: t.Any) -> T:
    """Call a method of a runner; an unexpected exception counts as a lost answer.

    It would end the thread of an order, while the order counts as in progress.
    """
    try:
        return method(*args)
    except errors.Error:
        raise
    except Exception as exc:
        _log.exception("runner: unexpected error in a call")
        raise errors.Error(errors.Kind.ANSWER_LOST, repr(exc)) from exc
