"""The choice of a host for a task: filter the hosts that fit, then score them."""

import abc
import heapq
import random
import typing as t

from bilberrypass import resources
from bilberrypass.batch import interference
from bilberrypass.version import page

_SPREAD_WEIGHT: t.Final = 0.1
_RACK_SPREAD_SHARE: t.Final = 0.5
_PACKING_WEIGHT: t.Final = 0.2
_ACCELERATOR_PENALTY: t.Final = 1.0
_MAX_ALTERNATIVES: t.Final = 3
_SAMPLE_HOSTS: t.Final = 200
_MAX_SLOWDOWN: t.Final = 0.8
_NEGLIGIBLE_SLOWDOWN: t.Final = 0.005


class TaskRequirements(t.NamedTuple):
    """The resources and constraints of a task to place.

    ``failed_on`` is the host where the task failed last, or empty. ``tasks`` is the
    number of tasks of the job; ``domains`` and ``racks`` count those on hosts by
    failure domain and rack. ``may_wait`` is True if the task may wait for a
    host whose services it slows down less.
    """

    demand: resources.Demand
    task_class: str = ""
    rules: page.Rules = page.Rules()
    failed_on: str = ""
    tasks: int = 1
    domains: t.Mapping[str, int] = {}
    racks: t.Mapping[str, int] = {}
    may_wait: bool = False


class CandidateHost(t.NamedTuple):
    """A candidate host for a task, and the resources that are free there.

    ``services`` are those with an endpoint on the host. ``unavailable_reason``
    is why the host accepts no tasks now, or empty. ``loads`` is the share of
    the processors that each batch class holds, in [0, 1].
    """

    host: str
    failure_domain: str
    rack: str
    capacity: resources.Demand
    free: resources.Demand
    services: tuple[str, ...] = ()
    unavailable_reason: str = ""
    loads: t.Mapping[str, float] = {}


class Choice(t.NamedTuple):
    """The chosen host, or None, and its score.

    ``alternatives`` are the next best hosts with their scores, lower is better;
    ``reasons`` counts the rejected hosts by reason.
    """

    candidate: CandidateHost | None
    score: float
    alternatives: list[tuple[str, float]]
    reasons: dict[str, int]


def infeasibility_reason(
    requirements: TaskRequirements, candidate: CandidateHost
) -> str:
    """Return why even an idle host could not hold a task; empty if it could."""
    for allowed, value in zip(
        (
            requirements.rules.failure_domains,
            requirements.rules.racks,
            requirements.rules.hosts,
        ),
        (candidate.failure_domain, candidate.rack, candidate.host),
        strict=True,
    ):
        if allowed and value not in allowed:
            return "the job's rules leave it out"
    if not requirements.demand.fits_in(candidate.capacity):
        return f"too small: {requirements.demand.describe_shortage(candidate.capacity)}"
    return ""


def rejection_reason(requirements: TaskRequirements, candidate: CandidateHost) -> str:
    """Return why a host cannot take a task now; empty if it can."""
    if candidate.unavailable_reason:
        return candidate.unavailable_reason
    if not requirements.demand.fits_in(candidate.free):
        return "no room now"
    return infeasibility_reason(requirements, candidate)


class Policy(abc.ABC):
    """Scores the hosts that can take a task."""

    @abc.abstractmethod
    def score(self, requirements: TaskRequirements, candidate: CandidateHost) -> float:
        """Return the score of a host that can take the task; lower is better."""

    def wait_reason(
        self, requirements: TaskRequirements, candidate: CandidateHost
    ) -> str:
        """Return why a task should wait for a better host; empty if it should not.

        The default policy never waits.
        """
        return ""

    def rejection_reason(
        self, requirements: TaskRequirements, candidate: CandidateHost
    ) -> str:
        """Return why a host is rejected for a task now; empty if it is not."""
        return (
            rejection_reason(requirements, candidate)
            or (requirements.may_wait and self.wait_reason(requirements, candidate))
            or ""
        )


@t.final
class FirstFit(Policy):
    """Chooses the first host where the task fits."""

    def score(self, requirements: TaskRequirements, candidate: CandidateHost) -> float:
        """Return the same score for every host."""
        return 0.0


@t.final
class Random(Policy):
    """Chooses a random host where the task fits.

    Parameters
    ----------
    seed : int
        Seed of the random number generator.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def score(self, requirements: TaskRequirements, candidate: CandidateHost) -> float:
        """Return a random score in [0, 1)."""
        return self._random.random()


@t.final
class Weighted(Policy):
    """Scores hosts by predicted service slowdown, spread of the job, and packing.

    Parameters
    ----------
    model : interference.Model
        Predicts the slowdown.
    weight : callable
        Returns the current weight of the services' tail latency.
    """

    def __init__(
        self, model: interference.Model, weight: t.Callable[[], float] = lambda: 1.0
    ) -> None:
        self._model = model
        self._weight = weight

    def score(self, requirements: TaskRequirements, candidate: CandidateHost) -> float:
        """Return the weighted sum of all penalties of the host."""
        score = self._weight() * self._slowdown(requirements, candidate)
        in_domain = requirements.domains.get(candidate.failure_domain, 0)
        in_rack = requirements.racks.get(candidate.rack, 0)
        score += (
            _SPREAD_WEIGHT
            * (in_domain + _RACK_SPREAD_SHARE * in_rack)
            / requirements.tasks
        )
        score += _PACKING_WEIGHT * _free_share(requirements, candidate)
        if candidate.capacity.accelerators and not requirements.demand.accelerators:
            score += _ACCELERATOR_PENALTY
        return score + (requirements.failed_on == candidate.host)

    def wait_reason(
        self, requirements: TaskRequirements, candidate: CandidateHost
    ) -> str:
        """Return a reason if a service on the host would be slowed down too much.

        A task whose own effect on a service is negligible need not wait because of
        the tasks that are there already.
        """
        added = requirements.demand.cpu_milli / max(1, candidate.capacity.cpu_milli)
        for service in candidate.services:
            expected = added * self._model.predict(service, requirements.task_class)
            if expected < _NEGLIGIBLE_SLOWDOWN:
                continue
            for name, load in candidate.loads.items():
                expected += load * self._model.predict(service, name)
            if expected > _MAX_SLOWDOWN:
                return "a service there would be disturbed too much"
        return ""

    def _slowdown(
        self, requirements: TaskRequirements, candidate: CandidateHost
    ) -> float:
        return sum(
            self._model.predict(service, requirements.task_class)
            for service in candidate.services
        )


def _free_share(requirements: TaskRequirements, candidate: CandidateHost) -> float:
    """Return the mean share of processors and memory that would stay free.

    Choosing the fullest host that still fits keeps large free blocks on others.
    """
    left_cpu = candidate.free.cpu_milli - requirements.demand.cpu_milli
    left_memory = candidate.free.memory_bytes - requirements.demand.memory_bytes
    cpu_share = left_cpu / max(1, candidate.capacity.cpu_milli)
    memory_share = left_memory / max(1, candidate.capacity.memory_bytes)
    return (cpu_share + memory_share) / 2


@t.final
class Ranking:
    """A heap of hosts by score, for tasks with equal resources and constraints.

    A host is rescored only when it reaches the top of the heap. That suffices,
    because a placement only worsens the scores of its host and of those that share
    its rack or failure domain. In a large fleet a random sample of the hosts is
    ranked first, and all hosts only if no host in the sample can take the task.

    Parameters
    ----------
    policy : Policy
        Scores the hosts.
    requirements : TaskRequirements
        The resources and constraints of each task.
    candidates : dict of str to CandidateHost
        All hosts. Entries may be replaced between two choices, but their free
        resources may only shrink.
    """

    def __init__(
        self,
        policy: Policy,
        requirements: TaskRequirements,
        candidates: dict[str, CandidateHost],
    ) -> None:
        self._policy = policy
        self._candidates = candidates
        hosts = list(candidates.values())
        self._is_sample = len(hosts) > _SAMPLE_HOSTS
        self._rank(
            requirements,
            random.sample(hosts, _SAMPLE_HOSTS) if self._is_sample else hosts,
        )

    def _rank(self, requirements: TaskRequirements, hosts: list[CandidateHost]) -> None:
        self.reasons: dict[str, int] = {}
        self._heap: list[tuple[float, int, str]] = []
        for position, candidate in enumerate(hosts):
            reason = self._policy.rejection_reason(requirements, candidate)
            if reason:
                self.reasons[reason] = self.reasons.get(reason, 0) + 1
            else:
                self._heap.append(
                    (
                        self._policy.score(requirements, candidate),
                        position,
                        candidate.host,
                    )
                )
        heapq.heapify(self._heap)

    def choose(self, requirements: TaskRequirements) -> Choice:
        """Return the best host for the next task; no candidate if none can take it."""
        choice = self._choose_ranked(requirements)
        if choice.candidate is None and self._is_sample:
            self._is_sample = False
            self._rank(requirements, list(self._candidates.values()))
            choice = self._choose_ranked(requirements)
        return choice

    def _choose_ranked(self, requirements: TaskRequirements) -> Choice:
        while self._heap:
            _, position, host = self._heap[0]
            candidate = self._candidates[host]
            reason = self._policy.rejection_reason(requirements, candidate)
            if reason:
                heapq.heappop(self._heap)
                self.reasons[reason] = self.reasons.get(reason, 0) + 1
                continue
            score = self._policy.score(requirements, candidate)
            heapq.heapreplace(self._heap, (score, position, host))
            if self._heap[0][2] == host:
                return Choice(candidate, score, self._next_best(host), self.reasons)
        return Choice(None, 0.0, [], self.reasons)

    def _next_best(self, chosen: str) -> list[tuple[str, float]]:
        front = heapq.nsmallest(
            _MAX_ALTERNATIVES + 1, self._heap[: 2 * _MAX_ALTERNATIVES + 1]
        )
        return [(host, score) for score, _, host in front if host != chosen]
