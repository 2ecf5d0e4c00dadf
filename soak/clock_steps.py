"""Draws jumps of the hosts' times of day, forwards, backwards and back again."""

import random
import typing as t

from soak import faults, hosts

_INTERVAL_S: t.Final = 4.0
_MIN_STEP_S: t.Final = 0.5
_MAX_STEP_S: t.Final = 30.0
_MAX_DURATION_S: t.Final = 6.0
_ALL_SHARE: t.Final = 0.2


def _draw_step(host: hosts.Host, step_s: float) -> faults.Fault:
    return faults.Fault(
        host.name,
        f"clock of {host.name} {step_s:+.1f} s",
        lambda: host.step_clock(step_s),
        lambda: host.step_clock(0.0),
    )


def draw(
    fleet: hosts.Fleet, rng: random.Random, duration_s: float
) -> list[faults.Event]:
    """Draw jumps on one host, on several or on all; return their events."""
    events: list[faults.Event] = []
    at = rng.expovariate(1 / _INTERVAL_S)
    while at < duration_s:
        count = rng.randint(1, max(1, len(fleet.hosts) // 2))
        if rng.random() < _ALL_SHARE:
            count = len(fleet.hosts)
        step_s = rng.choice((-1, 1)) * rng.uniform(_MIN_STEP_S, _MAX_STEP_S)
        end_at = min(duration_s, at + rng.uniform(0.3, _MAX_DURATION_S))
        for host in rng.sample(fleet.hosts, count):
            events += _draw_step(host, step_s).events(at, end_at)
        at += rng.expovariate(1 / _INTERVAL_S)
    return events
