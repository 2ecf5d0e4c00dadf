"""Policies that choose a host for a caller's request."""

import abc
import itertools
import random
import typing as t

from bilberrypass.membership import fleet

_SAMPLE_SIZE: t.Final = 2
_FULL_LOAD: t.Final = 1.0
_MIN_LOAD: t.Final = 0.1
_MIN_SERVICE_S: t.Final = 0.001


class Candidate(t.NamedTuple):
    """A host that serves a service, as an entry observes it.

    ``load`` is the number of requests per slot: the reported ones, or those that this
    entry has outstanding if they are more. ``service_s`` is the smoothed service time
    in seconds. ``slow_start_factor`` is below one for a while after an ejection.
    """

    host: fleet.Host
    load: float
    service_s: float
    is_same_failure_domain: bool
    slow_start_factor: float


class Policy(abc.ABC):
    """Chooses among the hosts that serve a service."""

    @abc.abstractmethod
    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the host for one request; ``candidates`` is not empty."""


@t.final
class LeastWait(Policy):
    """Chooses the host with the shorter expected wait of two drawn at random.

    Hosts in the entry's own failure domain are preferred as long as the better of
    the two drawn there has a free slot.
    """

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the host with the shorter expected wait of those drawn."""
        near = [c for c in candidates if c.is_same_failure_domain]
        if near:
            best = _draw_best(near)
            if best.load < _FULL_LOAD * best.slow_start_factor:
                return best
        return _draw_best(candidates)


@t.final
class Random(Policy):
    """Chooses a host uniformly at random; a baseline for comparison."""

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return a host drawn at random."""
        return random.choice(candidates)


@t.final
class RoundRobin(Policy):
    """Chooses the hosts in turn; a baseline for comparison."""

    def __init__(self) -> None:
        self._counter = itertools.count()

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the next host in the order of host ids."""
        ordered = sorted(candidates, key=lambda c: c.host.report.host)
        return ordered[next(self._counter) % len(ordered)]


POLICIES: t.Final[dict[str, type[Policy]]] = {
    "least_wait": LeastWait,
    "random": Random,
    "round_robin": RoundRobin,
}


def _draw_best(candidates: list[Candidate]) -> Candidate:
    drawn = random.sample(candidates, min(_SAMPLE_SIZE, len(candidates)))
    return min(drawn, key=_expected_wait)


def _expected_wait(candidate: Candidate) -> float:
    """Return the relative expected wait; a host in slow start counts as fuller."""
    load = (candidate.load + _MIN_LOAD) / candidate.slow_start_factor
    return load * (candidate.service_s + _MIN_SERVICE_S)
