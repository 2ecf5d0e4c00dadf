"""Draws the schedule of overlapping faults of a seed."""

import collections.abc as abc
import functools
import random
import typing as t

from soak import checker, disturbances, hosts
from testing.standins import link


class Event(t.NamedTuple):
    """An action, and its time in seconds from the start.

    ``fault`` is the name of the fault that it begins, or ends if ``is_end`` is set, at
    ``place``, which is empty for what is no disturbance (RULES.md, "In touch").
    """

    at: float
    description: str
    action: abc.Callable[[], None]
    place: str = ""
    fault: str = ""
    is_end: bool = False


class Fault(t.NamedTuple):
    """A fault, what begins and ends it, and the place that it disturbs."""

    place: str
    description: str
    begin: abc.Callable[[], None]
    end: abc.Callable[[], None]

    def events(self, at: float, end_at: float) -> list[Event]:
        """Return the events of its start and its end."""
        return [
            Event(at, self.description, self.begin, self.place, self.description),
            Event(
                end_at,
                f"end of {self.description}",
                self.end,
                self.place,
                self.description,
                is_end=True,
            ),
        ]


FaultKind = abc.Callable[[hosts.Fleet, random.Random], Fault]


def runner_place(agent_host: hosts.AgentHost) -> str:
    """Return the place of an agent's runner."""
    return f"runner of {agent_host.name}"


def _choose_host(fleet: hosts.Fleet, rng: random.Random) -> hosts.Host:
    """Return a host, an entry in half of the cases.

    Entries are few, and their faults matter most.
    """
    return rng.choice(fleet.entries if rng.random() < 0.5 else fleet.agent_hosts)


def _kill(fleet: hosts.Fleet, rng: random.Random) -> Fault:
    host = _choose_host(fleet, rng)
    return Fault(host.name, f"kill {host.name}", host.kill, host.restart)


def _kill_all(fleet: hosts.Fleet, rng: random.Random) -> Fault:
    def kill() -> None:
        for host in fleet.hosts:
            host.kill()

    def restart() -> None:
        for host in fleet.hosts:
            host.restart()

    return Fault(disturbances.ALL_HOSTS, "kill all", kill, restart)


def _terminate(fleet: hosts.Fleet, rng: random.Random) -> Fault:
    host = _choose_host(fleet, rng)
    return Fault(host.name, f"terminate {host.name}", host.terminate, host.restart)


def _freeze(fleet: hosts.Fleet, rng: random.Random) -> Fault:
    host = _choose_host(fleet, rng)
    return Fault(host.name, f"freeze {host.name}", host.pause, host.resume)


def _reload(fleet: hosts.Fleet, rng: random.Random) -> Fault:
    host = _choose_host(fleet, rng)
    return Fault("", f"reload {host.name}", host.reload, host.reload)


def _link_fault(fleet: hosts.Fleet, rng: random.Random) -> Fault:
    host = _choose_host(fleet, rng)
    number = rng.randrange(len(host.links))
    chosen: link.Link = host.links[number]
    slow_s = rng.uniform(0.05, 0.6)
    name, action = rng.choice(
        [
            ("reset", chosen.cut),
            ("refuse", chosen.refuse),
            ("silence", chosen.blackhole),
            ("deafen", chosen.discard_responses),
            ("delay", lambda: chosen.delay(slow_s)),
        ]
    )
    return Fault(host.name, f"{name} way {number} of {host.name}", action, chosen.heal)


def _store_down(fleet: hosts.Fleet, rng: random.Random) -> Fault:
    store = fleet.store.store

    def switch(is_down: bool) -> None:
        store.is_down = is_down

    return Fault(
        disturbances.CORE, "store down", lambda: switch(True), lambda: switch(False)
    )


def _store_slow(fleet: hosts.Fleet, rng: random.Random) -> Fault:
    slow_s = rng.uniform(0.1, 0.5)

    def switch(delay_s: float) -> None:
        fleet.store.delay_s = delay_s

    return Fault(
        disturbances.CORE, "store slow", lambda: switch(slow_s), lambda: switch(0.0)
    )


def _drop_history(fleet: hosts.Fleet, rng: random.Random) -> Fault:
    store = fleet.store.store
    return Fault(disturbances.CORE, "history dropped", store.compact, store.compact)


def _revoke_leases(fleet: hosts.Fleet, rng: random.Random) -> Fault:
    store = fleet.store.store
    return Fault(
        disturbances.CORE,
        "leases revoked",
        store.revoke_all_leases,
        store.revoke_all_leases,
    )


def _configure(fleet: hosts.Fleet, rng: random.Random) -> Fault:
    return Fault(
        "",
        "configure",
        fleet.store.write_configuration,
        fleet.store.write_configuration,
    )


def _crash_runner(fleet: hosts.Fleet, rng: random.Random) -> Fault:
    agent_host = rng.choice(fleet.agent_hosts)
    return Fault(
        runner_place(agent_host),
        f"crash the runner of {agent_host.name}",
        agent_host.crash_runner,
        agent_host.restart_runner,
    )


def _delay_orders(fleet: hosts.Fleet, rng: random.Random) -> Fault:
    agent_host = rng.choice(fleet.agent_hosts)
    order_delay_s = rng.choice((None, 0.5, 2.0, 5.0))
    count = rng.randint(1, 12)

    def lose() -> None:
        agent_host.runner.lost_order_delay_s = order_delay_s
        agent_host.runner.orders_to_lose = count

    def heal() -> None:
        agent_host.runner.orders_to_lose = 0

    description = f"late orders {order_delay_s} at {agent_host.name}"
    return Fault(runner_place(agent_host), description, lose, heal)


_KINDS: t.Final[list[tuple[int, FaultKind]]] = [
    (5, _kill),
    (1, _kill_all),
    (2, _terminate),
    (4, _freeze),
    (1, _reload),
    (7, _link_fault),
    (2, _store_down),
    (2, _store_slow),
    (1, _drop_history),
    (1, _revoke_leases),
    (1, _configure),
    (3, _crash_runner),
    (3, _delay_orders),
]
_MEAN_INTERVAL_S: t.Final = 0.9
_MAX_FAULT_S: t.Final = 6.0
_MIN_CRASH_S: t.Final = 0.3
_MAX_CRASH_S: t.Final = 1.5
_MAX_CRASH_OFFSET_S: t.Final = 0.2
_MAX_UPTIME_S: t.Final = 1.5
_CRASH_REPEATS: t.Final = (1, 1, 1, 2, 3)
_MAX_KILL_OFFSET_S: t.Final = 0.5
_CAPACITY_INTERVAL_S: t.Final = 1.5
_CAPACITY_SHARES: t.Final = (0.05, 0.2, 0.5, 1.0, 1.0)


class CrashMix(t.NamedTuple):
    """How often runners crash for a short time, beside the other faults.

    ``interval_s`` is the mean time between the crashes of one or several runners;
    ``agent_kill_share`` is the share of the crashes around which the agent is killed.
    ``deadly_share`` is the share of jobs with a task that crashes its runners.
    """

    interval_s: float = 4.0
    agent_kill_share: float = 0.2
    deadly_share: float = 0.02


def _draw_crash(
    agent_host: hosts.AgentHost, rng: random.Random, at: float, mix: CrashMix
) -> list[Event]:
    """Return the events of one crash and its repetitions, the first about at ``at``."""
    name = agent_host.name
    events: list[Event] = []
    for _ in range(rng.choice(_CRASH_REPEATS)):
        at += rng.uniform(0.0, _MAX_CRASH_OFFSET_S)
        back_at = at + rng.uniform(_MIN_CRASH_S, _MAX_CRASH_S)
        crash = Fault(
            runner_place(agent_host),
            f"short crash of {name}'s runner",
            agent_host.crash_runner,
            agent_host.restart_runner,
        )
        events += crash.events(at, back_at)
        if rng.random() < mix.agent_kill_share:
            kill_at = rng.uniform(at - _MAX_KILL_OFFSET_S, back_at + _MAX_KILL_OFFSET_S)
            restart_at = kill_at + rng.uniform(_MIN_CRASH_S, _MAX_CRASH_S)
            kill = Fault(
                name, f"kill {name} with it", agent_host.kill, agent_host.restart
            )
            events += kill.events(max(0.0, kill_at), restart_at)
        at = back_at + rng.uniform(0.0, _MAX_UPTIME_S)
    return events


def draw_crashes(
    fleet: hosts.Fleet, rng: random.Random, duration_s: float, mix: CrashMix
) -> list[Event]:
    """Draw short crashes of one or several runners at once; return their events."""
    events: list[Event] = []
    at = rng.expovariate(1 / mix.interval_s)
    while at < duration_s:
        count = min(rng.choice((1, 1, 2, 3)), len(fleet.agent_hosts))
        for agent_host in rng.sample(fleet.agent_hosts, count):
            events += _draw_crash(agent_host, rng, at, mix)
        at += rng.expovariate(1 / mix.interval_s)
    return [event._replace(at=min(duration_s, event.at)) for event in events]


def draw_capacities(
    fleet: hosts.Fleet, rng: random.Random, duration_s: float
) -> list[Event]:
    """Draw changes of the runners' capacities, which are no disturbances."""
    events: list[Event] = []
    at = rng.expovariate(1 / _CAPACITY_INTERVAL_S)
    while at < duration_s:
        agent_host = rng.choice(fleet.agent_hosts)
        cpu_milli = int(rng.choice(_CAPACITY_SHARES) * checker.HOST_CPU_MILLI)
        change = functools.partial(agent_host.set_capacity, cpu_milli)
        events.append(Event(at, f"capacity {cpu_milli} of {agent_host.name}", change))
        at += rng.expovariate(1 / _CAPACITY_INTERVAL_S)
    restore = [
        Event(duration_s, f"full capacity of {host.name}", host.restore_capacity)
        for host in fleet.agent_hosts
    ]
    return [*events, *restore]


def draw_events(
    fleet: hosts.Fleet, rng: random.Random, duration_s: float
) -> list[Event]:
    """Draw a schedule of faults and return its events in order of time.

    Each fault has an event for its start and one for its end; faults overlap.
    """
    events: list[Event] = []
    at = rng.uniform(0.5, 2.0)
    weights = [weight for weight, _ in _KINDS]
    while at < duration_s:
        _, kind = rng.choices(_KINDS, weights)[0]
        fault = kind(fleet, rng)
        end_at = min(duration_s, at + rng.uniform(0.2, _MAX_FAULT_S))
        events += fault.events(at, end_at)
        at += rng.expovariate(1 / _MEAN_INTERVAL_S)
    return sort_events(events)


def sort_events(events: abc.Iterable[Event]) -> list[Event]:
    """Return events in order of time."""
    return sorted(events, key=lambda event: event.at)
