"""Draws evacuations of failure domains by operators."""

import random
import typing as t

from bilberrypass.platform import operator
from soak import domains, faults, hosts

_INTERVAL_S: t.Final = 12.0
_MIN_S: t.Final = 2.0
_MAX_S: t.Final = 9.0


def draw(
    check: domains.EvacuationCheck,
    fleet: hosts.Fleet,
    rng: random.Random,
    duration_s: float,
) -> list[faults.Event]:
    """Draw evacuations, one after the other; return their events.

    They are no disturbances.
    """
    events: list[faults.Event] = []
    at = rng.expovariate(1 / _INTERVAL_S)
    while at < duration_s:
        end_at = min(duration_s, at + rng.uniform(_MIN_S, _MAX_S))
        events += _draw_one(check, fleet, rng.choice(domains.DOMAINS), at, end_at)
        at = end_at + rng.expovariate(1 / _INTERVAL_S)
    return events


def _draw_one(
    check: domains.EvacuationCheck,
    fleet: hosts.Fleet,
    domain: str,
    at: float,
    end_at: float,
) -> list[faults.Event]:
    key = operator.EVACUATION_PREFIX + domain
    store = fleet.store.store

    def begin() -> None:
        store.put(key, b"{}")
        check.begin(domain)

    def end() -> None:
        check.end(domain)
        store.remove(key)

    return [
        faults.Event(at, f"evacuate {domain}", begin),
        faults.Event(end_at, f"return {domain}", end),
    ]
