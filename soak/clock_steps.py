"""Draws jumps of the hosts' times of day, forwards, backwards and back again."""

import random
import typing as t

from soak import checker, faults, hosts

_INTERVAL_S: t.Final = 4.0
_MIN_STEP_S: t.Final = 0.5
_MAX_STEP_S: t.Final = 30.0
_MAX_STEP_OF_ALL_S: t.Final = 5.0  # RULES.md, ORDER
_MAX_DURATION_S: t.Final = 6.0
_ALL_SHARE: t.Final = 0.2


def _make_fault(
    invariants: checker.InvariantChecker, host: hosts.Host, step_s: float
) -> faults.Fault:
    def step() -> None:
        invariants.has_stepped_clocks = True
        host.step_clock(step_s)

    description = f"clock of {host.name} {step_s:+.1f} s"
    return faults.Fault(host.name, description, step, lambda: host.step_clock(0.0))


def draw(
    invariants: checker.InvariantChecker,
    fleet: hosts.Fleet,
    rng: random.Random,
    duration_s: float,
) -> list[faults.Event]:
    """Draw jumps on one host, on several or on all; return their events.

    Jumps of all clocks stay within what ORDER allows, since no host can tell them.
    """
    events: list[faults.Event] = []
    at = rng.expovariate(1 / _INTERVAL_S)
    while at < duration_s:
        count = rng.randint(1, max(1, len(fleet.hosts) // 2))
        most_s = _MAX_STEP_S
        if rng.random() < _ALL_SHARE:
            count, most_s = len(fleet.hosts), _MAX_STEP_OF_ALL_S
        step_s = rng.choice((-1, 1)) * rng.uniform(_MIN_STEP_S, most_s)
        end_at = min(duration_s, at + rng.uniform(0.3, _MAX_DURATION_S))
        for host in rng.sample(fleet.hosts, count):
            events += _make_fault(invariants, host, step_s).events(at, end_at)
        at += rng.expovariate(1 / _INTERVAL_S)
    return events
