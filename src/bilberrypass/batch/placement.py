"""The choice of a host for a task: what fits, and what of it is best."""

import abc
import heapq
import random
import typing as t

from bilberrypass import resources
from bilberrypass.batch import interference
from bilberrypass.version import page

_SPREAD_WEIGHT: t.Final = 0.1
_RACK_SHARE: t.Final = 0.5
_GAP_WEIGHT: t.Final = 0.2
_ACCELERATOR_WEIGHT: t.Final = 1.0
_ALTERNATIVES: t.Final = 3
_SAMPLE: t.Final = 200
_MOST_DISTURBANCE: t.Final = 0.8
_NEGLIGIBLE: t.Final = 0.005


class Ask(t.NamedTuple):
    """What a task asks for; ``failed_on`` is the host where it failed last.

    ``domains`` and ``racks`` count the job's tasks in each, ``tasks`` all of them.
    ``is_patient`` tells whether the task may wait for a host that it disturbs less.
    """

    demand: resources.Demand
    task_class: str = ""
    rules: page.Rules = page.Rules()
    failed_on: str = ""
    tasks: int = 1
    domains: t.Mapping[str, int] = {}
    racks: t.Mapping[str, int] = {}
    is_patient: bool = False


class Room(t.NamedTuple):
    """A host that may take a task, and the room that is left there.

    ``services`` are those with an endpoint on the host; ``resting`` tells why the
    host takes no tasks now, or is empty; ``loads`` is the share of the processors
    that each batch class holds.
    """

    host: str
    failure_domain: str
    rack: str
    capacity: resources.Demand
    free: resources.Demand
    services: tuple[str, ...] = ()
    resting: str = ""
    loads: t.Mapping[str, float] = {}


class Choice(t.NamedTuple):
    """The chosen room, if any, and what spoke for it.

    ``alternatives`` are the next best hosts with their scores, lower is better;
    ``reasons`` count the hosts left out by the reason.
    """

    room: Room | None
    score: float
    alternatives: list[tuple[str, float]]
    reasons: dict[str, int]


def why_never(ask: Ask, room: Room) -> str:
    """Tell why a host could never hold a task, even when empty; empty if it could."""
    for allowed, own in zip(
        (ask.rules.failure_domains, ask.rules.racks, ask.rules.hosts),
        (room.failure_domain, room.rack, room.host),
        strict=True,
    ):
        if allowed and own not in allowed:
            return "the job's rules leave it out"
    if not ask.demand.fits(room.capacity):
        return f"too small: {ask.demand.shortage(room.capacity)}"
    return ""


def why_not(ask: Ask, room: Room) -> str:
    """Tell why a host cannot take a task now; empty if it can."""
    if room.resting:
        return room.resting
    if not ask.demand.fits(room.free):
        return "no room now"
    return why_never(ask, room)


class Policy(abc.ABC):
    """Weighs the hosts that can take a task."""

    @abc.abstractmethod
    def weigh(self, ask: Ask, room: Room) -> float:
        """Return the score of a host that can take the task; lower is better."""

    def why_wait(self, ask: Ask, room: Room) -> str:
        """Tell why a patient task should wait for a better host; empty if not."""
        return ""

    def why_not(self, ask: Ask, room: Room) -> str:
        """Tell why a task does not go to a host now; empty if it may."""
        return why_not(ask, room) or (ask.is_patient and self.why_wait(ask, room)) or ""


@t.final
class FirstFit(Policy):
    """Takes the first host that has room."""

    def weigh(self, ask: Ask, room: Room) -> float:
        """Find all hosts alike."""
        return 0.0


@t.final
class Random(Policy):
    """Takes any host that has room.

    Parameters
    ----------
    seed : int
        Of the random numbers.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def weigh(self, ask: Ask, room: Room) -> float:
        """Return a random score."""
        return self._random.random()


@t.final
class Weighted(Policy):
    """Weighs the predicted disturbance of services, spread and packing.

    Parameters
    ----------
    model : interference.Model
        Predicts the disturbance.
    weight : callable
        Returns the present weight of the services' tail latency.
    """

    def __init__(
        self, model: interference.Model, weight: t.Callable[[], float] = lambda: 1.0
    ) -> None:
        self._model = model
        self._weight = weight

    def weigh(self, ask: Ask, room: Room) -> float:
        """Return the sum of what speaks against the host."""
        score = self._weight() * self._disturbance(ask, room)
        in_domain = ask.domains.get(room.failure_domain, 0)
        in_rack = ask.racks.get(room.rack, 0)
        score += _SPREAD_WEIGHT * (in_domain + _RACK_SHARE * in_rack) / ask.tasks
        score += _GAP_WEIGHT * _gap(ask, room)
        if room.capacity.accelerators and not ask.demand.accelerators:
            score += _ACCELERATOR_WEIGHT
        return score + (ask.failed_on == room.host)

    def why_wait(self, ask: Ask, room: Room) -> str:
        """Tell whether a service on the host would be disturbed too much."""
        added = ask.demand.cpu_milli / max(1, room.capacity.cpu_milli)
        for service in room.services:
            expected = added * self._model.predict(service, ask.task_class)
            if expected < _NEGLIGIBLE:
                continue
            for name, load in room.loads.items():
                expected += load * self._model.predict(service, name)
            if expected > _MOST_DISTURBANCE:
                return "a service there would be disturbed too much"
        return ""

    def _disturbance(self, ask: Ask, room: Room) -> float:
        return sum(
            self._model.predict(service, ask.task_class) for service in room.services
        )


def _gap(ask: Ask, room: Room) -> float:
    """Return the mean share that would be left of processors and memory.

    The fullest host that still fits keeps the large gaps elsewhere whole.
    """
    left_cpu = room.free.cpu_milli - ask.demand.cpu_milli
    left_memory = room.free.memory_bytes - ask.demand.memory_bytes
    cpu_share = left_cpu / max(1, room.capacity.cpu_milli)
    memory_share = left_memory / max(1, room.capacity.memory_bytes)
    return (cpu_share + memory_share) / 2


@t.final
class Ranking:
    """The hosts in order for tasks that ask for the same.

    A host is weighed anew only when it has come to the front: what is placed
    there or nearby makes it worse, and changes nothing else. In a large fleet a
    sample is ranked first, and all hosts only where the sample has no room.

    Parameters
    ----------
    policy : Policy
        Weighs the hosts.
    ask : Ask
        What each of the tasks asks for.
    rooms : dict of str to Room
        All hosts; may change between two choices, but rooms only shrink.
    """

    def __init__(self, policy: Policy, ask: Ask, rooms: dict[str, Room]) -> None:
        self._policy = policy
        self._rooms = rooms
        hosts = list(rooms.values())
        self._is_sample = len(hosts) > _SAMPLE
        self._rank(ask, random.sample(hosts, _SAMPLE) if self._is_sample else hosts)

    def _rank(self, ask: Ask, hosts: list[Room]) -> None:
        self.reasons: dict[str, int] = {}
        self._heap: list[tuple[float, int, str]] = []
        for order, room in enumerate(hosts):
            reason = self._policy.why_not(ask, room)
            if reason:
                self.reasons[reason] = self.reasons.get(reason, 0) + 1
            else:
                self._heap.append((self._policy.weigh(ask, room), order, room.host))
        heapq.heapify(self._heap)

    def choose(self, ask: Ask) -> Choice:
        """Return the best host for the next task."""
        choice = self._choose_ranked(ask)
        if choice.room is None and self._is_sample:
            self._is_sample = False
            self._rank(ask, list(self._rooms.values()))
            choice = self._choose_ranked(ask)
        return choice

    def _choose_ranked(self, ask: Ask) -> Choice:
        while self._heap:
            _, order, host = self._heap[0]
            room = self._rooms[host]
            reason = self._policy.why_not(ask, room)
            if reason:
                heapq.heappop(self._heap)
                self.reasons[reason] = self.reasons.get(reason, 0) + 1
                continue
            score = self._policy.weigh(ask, room)
            heapq.heapreplace(self._heap, (score, order, host))
            if self._heap[0][2] == host:
                return Choice(room, score, self._next_best(host), self.reasons)
        return Choice(None, 0.0, [], self.reasons)

    def _next_best(self, chosen: str) -> list[tuple[str, float]]:
        front = heapq.nsmallest(_ALTERNATIVES + 1, self._heap[: 2 * _ALTERNATIVES + 1])
        return [(host, score) for score, _, host in front if host != chosen]
