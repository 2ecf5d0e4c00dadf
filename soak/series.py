"""Draws late orders, replaced schedulers, departures of runners, and calm spells."""

import itertools
import math
import random
import typing as t

from soak import departures, faults, hosts

_CALM_INTERVAL_S: t.Final = 6.0
# Longer than the bounds of RULES.md, UNASKED, which hold only without a fault nearby.
_CALM_S: t.Final = 5.0
_DEPARTURE_INTERVAL_S: t.Final = 3.0
_EVACUATION_SHARE: t.Final = 0.3
_CONFIGURATION_SHARE: t.Final = 0.2
_LATE_ORDERS_INTERVAL_S: t.Final = 3.0
_MIN_LATE_S: t.Final = 2.0
_MAX_LATE_S: t.Final = 12.0
_MAX_STARTING_LATE_S: t.Final = 4.5
_MAX_LOSS_S: t.Final = 5.0
_FORGETFUL_AGENT_SHARE: t.Final = 0.4  # it knows nothing of the orders once restarted
_REPLACEMENT_INTERVAL_S: t.Final = 5.0
_MAX_REPLACEMENT_S: t.Final = 3.0
_FIRST_HOST_NUMBER: t.Final = 100  # above the hosts of the start


def _arrivals(rng: random.Random, interval_s: float, end_s: float) -> list[float]:
    """Return random times before ``end_s``, ``interval_s`` apart in the mean."""
    times: list[float] = []
    at = rng.expovariate(1 / interval_s)
    while at < end_s:
        times.append(at)
        at += rng.expovariate(1 / interval_s)
    return times


def _draw_late_orders(
    fleet: hosts.Fleet, rng: random.Random, at: float
) -> list[faults.Event]:
    """Draw a time in which a runner carries out starts, stops and holds much later."""
    agent_host = rng.choice(fleet.agent_hosts)
    # A start is refused once the lease that came with it is over.
    late_s = rng.uniform(_MIN_LATE_S, rng.choice((_MAX_STARTING_LATE_S, _MAX_LATE_S)))
    orders, holds = rng.choice((1, 2, 4, 1_000)), rng.randint(0, 2)

    def lose() -> None:
        runner = agent_host.runner
        runner.lost_order_delay_s = late_s
        runner.orders_to_lose, runner.holds_to_lose = orders, holds

    def heal() -> None:
        runner = agent_host.runner
        if runner.lost_order_delay_s == late_s:  # no later loss has begun
            runner.orders_to_lose = runner.holds_to_lose = 0

    fault = faults.Fault(
        faults.runner_place(agent_host),
        f"orders {late_s:.1f} s late at {agent_host.name}",
        lose,
        heal,
    )
    events = fault.events(at, at + rng.uniform(0.5, _MAX_LOSS_S))
    if rng.random() < _FORGETFUL_AGENT_SHARE:
        kill_at = at + rng.uniform(0.1, _MAX_LOSS_S)
        kill = faults.Fault(
            agent_host.name,
            f"kill {agent_host.name} during late orders",
            agent_host.kill,
            agent_host.restart,
        )
        events += kill.events(kill_at, kill_at + rng.uniform(0.2, 1.0))
    return events


def _draw_replacement(
    fleet: hosts.Fleet, rng: random.Random, at: float
) -> list[faults.Event]:
    """Draw how the process that leads at that time is replaced by another."""
    is_release = rng.random() < 0.5
    replaced: list[hosts.Entry] = []

    def replace() -> None:
        leader = fleet.find_leader()
        if is_release:
            fleet.store.store.revoke_lease_of(hosts.ELECTION_KEY)
        elif leader is not None:
            leader.terminate()
            replaced.append(leader)

    def heal() -> None:
        for entry in replaced:
            entry.restart()

    how = "leadership released" if is_release else "terminate the leader"
    fault = faults.Fault("leader", how, replace, heal)
    return fault.events(at, at + rng.uniform(0.3, _MAX_REPLACEMENT_S))


def draw_faults(
    fleet: hosts.Fleet, rng: random.Random, duration_s: float
) -> list[faults.Event]:
    """Draw late orders and replaced schedulers; return their events."""
    events: list[faults.Event] = []
    for at in _arrivals(rng, _LATE_ORDERS_INTERVAL_S, duration_s):
        events += _draw_late_orders(fleet, rng, at)
    for at in _arrivals(rng, _REPLACEMENT_INTERVAL_S, duration_s):
        events += _draw_replacement(fleet, rng, at)
    return [event._replace(at=min(duration_s, event.at)) for event in events]


def draw_departures(
    fleet: hosts.Fleet, rng: random.Random, duration_s: float
) -> list[faults.Event]:
    """Draw leaving and evacuated runners and changes of the configuration.

    They go on in calm spells, since they are no disturbances.
    """
    host_numbers = itertools.count(_FIRST_HOST_NUMBER)
    events: list[faults.Event] = []
    for at in _arrivals(rng, _DEPARTURE_INTERVAL_S, duration_s):
        if rng.random() < _CONFIGURATION_SHARE:
            change = fleet.store.write_configuration
            events.append(faults.Event(at, "configuration in series", change))
            continue
        is_evacuation = rng.random() < _EVACUATION_SHARE
        most = max(1, len(fleet.agent_hosts) - 1)
        count = min(most, rng.randint(2, 4) if is_evacuation else 1)
        for agent_host in rng.sample(fleet.agent_hosts, count):
            plan = departures.draw(rng, is_evacuation, next(host_numbers))
            events.append(_draw_departure(agent_host, plan, at))
    return events


def _draw_departure(
    agent_host: hosts.AgentHost, plan: departures.Plan, at: float
) -> faults.Event:
    how = "evacuated" if plan.is_evacuation else "leaves"
    return faults.Event(
        at, f"{agent_host.name}'s runner {how}", lambda: agent_host.depart(plan)
    )


def full_duration_s(duration_s: float) -> float:
    """Return the duration with the calm spells, of the time with faults."""
    return duration_s + _CALM_S * math.ceil(duration_s / _CALM_INTERVAL_S)


def insert_calm_spells(
    events: list[faults.Event], duration_s: float, calm: faults.Event
) -> list[faults.Event]:
    """Return the events with a calm spell inserted after each ``_CALM_INTERVAL_S``.

    ``calm`` begins each of them, and ends all faults.
    """
    spells = math.ceil(duration_s / _CALM_INTERVAL_S)
    starts = [min(duration_s, _CALM_INTERVAL_S * (n + 1)) for n in range(spells)]
    moved = [
        event._replace(at=event.at + _CALM_S * sum(event.at > at for at in starts))
        for event in events
    ]
    calms = [calm._replace(at=at + _CALM_S * n) for n, at in enumerate(starts)]
    return faults.sort_events([*moved, *calms])
