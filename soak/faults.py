"""The faults of a soak, drawn from a seed: series that overlap."""

import collections.abc as abc
import random
import typing as t

from soak import hosts
from testing.standins import link


class Event(t.NamedTuple):
    """Something that is done at a time, in seconds from the start."""

    at: float
    what: str
    do: abc.Callable[[], None]


Draw = abc.Callable[
    [hosts.Fleet, random.Random], tuple[str, abc.Callable, abc.Callable]
]


def _any(fleet: hosts.Fleet, rng: random.Random) -> hosts.Host:
    """Return a host; entries are few, and their faults matter most."""
    return rng.choice(fleet.entries if rng.random() < 0.5 else fleet.sides)


def _kill(fleet: hosts.Fleet, rng: random.Random) -> tuple[str, t.Any, t.Any]:
    host = _any(fleet, rng)
    return f"kill {host.name}", host.kill, host.restart


def _kill_all(fleet: hosts.Fleet, rng: random.Random) -> tuple[str, t.Any, t.Any]:
    def kill() -> None:
        for host in fleet.hosts:
            host.kill()

    def restart() -> None:
        for host in fleet.hosts:
            host.restart()

    return "kill all", kill, restart


def _terminate(fleet: hosts.Fleet, rng: random.Random) -> tuple[str, t.Any, t.Any]:
    host = _any(fleet, rng)
    return f"terminate {host.name}", host.terminate, host.restart


def _freeze(fleet: hosts.Fleet, rng: random.Random) -> tuple[str, t.Any, t.Any]:
    host = _any(fleet, rng)
    return f"freeze {host.name}", host.freeze, host.thaw


def _reload(fleet: hosts.Fleet, rng: random.Random) -> tuple[str, t.Any, t.Any]:
    host = _any(fleet, rng)
    return f"reload {host.name}", host.reload, host.reload


def _way(fleet: hosts.Fleet, rng: random.Random) -> tuple[str, t.Any, t.Any]:
    host = _any(fleet, rng)
    number = rng.randrange(len(host.links))
    found: link.Link = host.links[number]
    slow_s = rng.uniform(0.05, 0.6)
    name, do = rng.choice(
        [
            ("reset", found.cut),
            ("refuse", found.refuse),
            ("silence", found.blackhole),
            ("deafen", found.deafen),
            ("delay", lambda: found.delay(slow_s)),
        ]
    )
    return f"{name} way {number} of {host.name}", do, found.heal


def _store_down(fleet: hosts.Fleet, rng: random.Random) -> tuple[str, t.Any, t.Any]:
    kept = fleet.store.store

    def switch(is_down: bool) -> None:
        kept.is_down = is_down

    return "store down", lambda: switch(True), lambda: switch(False)


def _store_slow(fleet: hosts.Fleet, rng: random.Random) -> tuple[str, t.Any, t.Any]:
    slow_s = rng.uniform(0.1, 0.5)

    def switch(delay_s: float) -> None:
        fleet.store.delay_s = delay_s

    return "store slow", lambda: switch(slow_s), lambda: switch(0.0)


def _forget(fleet: hosts.Fleet, rng: random.Random) -> tuple[str, t.Any, t.Any]:
    kept = fleet.store.store
    return "history dropped", kept.drop_history, kept.drop_history


def _revoke(fleet: hosts.Fleet, rng: random.Random) -> tuple[str, t.Any, t.Any]:
    kept = fleet.store.store
    return "leases revoked", kept.revoke_all, kept.revoke_all


def _configure(fleet: hosts.Fleet, rng: random.Random) -> tuple[str, t.Any, t.Any]:
    return "configure", fleet.store.configure, fleet.store.configure


def _crash(fleet: hosts.Fleet, rng: random.Random) -> tuple[str, t.Any, t.Any]:
    side = rng.choice(fleet.sides)
    return f"crash the runner of {side.name}", side.crash, side.revive


def _late(fleet: hosts.Fleet, rng: random.Random) -> tuple[str, t.Any, t.Any]:
    side = rng.choice(fleet.sides)
    late_s = rng.choice((None, 0.5, 2.0, 5.0))
    count = rng.randint(1, 12)

    def lose() -> None:
        side.runner.late_s = late_s
        side.runner.lose = count

    def heal() -> None:
        side.runner.lose = 0

    return f"late orders {late_s} at {side.name}", lose, heal


_KINDS: t.Final[list[tuple[int, Draw]]] = [
    (5, _kill),
    (1, _kill_all),
    (2, _terminate),
    (4, _freeze),
    (1, _reload),
    (7, _way),
    (2, _store_down),
    (2, _store_slow),
    (1, _forget),
    (1, _revoke),
    (1, _configure),
    (3, _crash),
    (3, _late),
]
_MEAN_GAP_S: t.Final = 0.9
_LONGEST_S: t.Final = 6.0


def draw(fleet: hosts.Fleet, rng: random.Random, duration_s: float) -> list[Event]:
    """Return the events of a seed in order of time; faults overlap."""
    events: list[Event] = []
    at = rng.uniform(0.5, 2.0)
    weights = [weight for weight, _ in _KINDS]
    while at < duration_s:
        _, kind = rng.choices(_KINDS, weights)[0]
        what, do, undo = kind(fleet, rng)
        until = min(duration_s, at + rng.uniform(0.2, _LONGEST_S))
        events += [Event(at, what, do), Event(until, f"end of {what}", undo)]
        at += rng.expovariate(1 / _MEAN_GAP_S)
    return sorted(events, key=lambda event: event.at)
