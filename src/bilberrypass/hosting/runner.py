"""What an agent needs of the runner beside it."""

import abc
import typing as t


class Listed(t.NamedTuple):
    """A run that is on the runner.

    ``progress`` is in percent; a service's task is at work from 100 on. ``figure``
    is a tail latency in ms for a task with a latency target, else its processor
    use in thousandths of a core.
    """

    task: str
    run: int
    checkpoint: str
    progress: int
    figure: int


class Ended(t.NamedTuple):
    """An end, numbered by the runner from 1 in each life."""

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


class Lists(t.NamedTuple):
    """The runner's own lists, and its clock when it answered, in ms."""

    running: list[Listed]
    ended: list[Ended]
    clock_ms: int
    life: int


class Answer(t.NamedTuple):
    """A runner's answer to an order; ``reason`` is empty if it was obeyed."""

    reason: str
    clock_ms: int


class Run(t.NamedTuple):
    """What a runner is told to start."""

    task: str
    run: int
    spec: str
    checkpoint: str
    ticket: str


class Runner(abc.ABC):
    """A runner, in one of its lives.

    Methods raise ``errors.Error`` with PEER_UNREACHABLE if the runner certainly
    did nothing, and ANSWER_LOST if the order may still be carried out.
    """

    @abc.abstractmethod
    def start(self, run: Run, lease_end_ms: int, epoch: int, deadline: float) -> Answer:
        """Start a run under a lease that ends on the runner's clock."""

    @abc.abstractmethod
    def stop(self, task: str, run: int, epoch: int, deadline: float) -> Answer:
        """Stop a run, or bar it from starting."""

    @abc.abstractmethod
    def pace(
        self, task: str, run: int, percent: int, epoch: int, deadline: float
    ) -> Answer:
        """Slow a run down to a share of its speed."""

    @abc.abstractmethod
    def hold(
        self, noted: int, lease_end_ms: int | None, epoch: int, wait_s: float
    ) -> Lists:
        """Renew the lease, forget the ends up to ``noted``, wait for an end."""
