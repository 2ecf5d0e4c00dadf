"""The choice of a host for a caller's request."""

import abc
import random
import typing as t

from bilberrypass.process import fleet

_CANDIDATES: t.Final = 2


class Policy(abc.ABC):
    """Chooses among hosts that serve a service."""

    @abc.abstractmethod
    def choose(self, service: str, hosts: list[fleet.Host]) -> fleet.Host:
        """Return the host for one request; ``hosts`` is not empty."""


@t.final
class LeastOutstanding(Policy):
    """Takes the less loaded of a few hosts drawn at random."""

    def choose(self, service: str, hosts: list[fleet.Host]) -> fleet.Host:
        """Return the host with the fewest requests for each slot."""
        drawn = random.sample(hosts, min(_CANDIDATES, len(hosts)))
        return min(drawn, key=lambda host: _load(service, host))


def _load(service: str, host: fleet.Host) -> float:
    own = [e for e in host.report.endpoints if e.service == service]
    slots = sum(e.slots for e in own)
    return sum(e.in_use + e.queued for e in own) / max(1, slots)
