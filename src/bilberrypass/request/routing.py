"""The choice of a host for a caller's request."""

import abc
import itertools
import random
import typing as t

from bilberrypass.membership import fleet

_CANDIDATES: t.Final = 2
_FULL: t.Final = 1.0
_LEAST_LOAD: t.Final = 0.1
_LEAST_SERVICE_S: t.Final = 0.001


class Candidate(t.NamedTuple):
    """A host that serves a service, as an entry sees it.

    ``load`` is the requests there for each slot, this entry's own newest ones
    included; ``service_s`` the smoothed time of an answer; ``share`` falls below
    one while the host has just come back.
    """

    host: fleet.Host
    load: float
    service_s: float
    is_near: bool
    share: float


class Policy(abc.ABC):
    """Chooses among hosts that serve a service."""

    @abc.abstractmethod
    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the host for one request; ``candidates`` is not empty."""


@t.final
class LeastWait(Policy):
    """Takes the host with the shorter wait of two drawn at random.

    The hosts in the entry's own failure domain come first while one of those
    drawn there has a free slot.
    """

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the host with the shortest wait expected."""
        near = [c for c in candidates if c.is_near]
        if near:
            best = _draw(near)
            if best.load < _FULL * best.share:
                return best
        return _draw(candidates)


@t.final
class Random(Policy):
    """Takes any host: a baseline."""

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return a host drawn at random."""
        return random.choice(candidates)


@t.final
class RoundRobin(Policy):
    """Takes the hosts in turn: a baseline."""

    def __init__(self) -> None:
        self._turn = itertools.count()

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the next host."""
        ordered = sorted(candidates, key=lambda c: c.host.report.host)
        return ordered[next(self._turn) % len(ordered)]


POLICIES: t.Final[dict[str, type[Policy]]] = {
    "least_wait": LeastWait,
    "random": Random,
    "round_robin": RoundRobin,
}


def _draw(candidates: list[Candidate]) -> Candidate:
    drawn = random.sample(candidates, min(_CANDIDATES, len(candidates)))
    return min(drawn, key=_wait)


def _wait(candidate: Candidate) -> float:
    """Return a measure of the wait; a host that comes back counts as fuller."""
    load = (candidate.load + _LEAST_LOAD) / candidate.share
    return load * (candidate.service_s + _LEAST_SERVICE_S)
