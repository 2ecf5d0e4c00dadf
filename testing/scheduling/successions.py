"""Simulated leaders and standbys, with clocks, delays and faults of their own.

``Grants`` and ``Succession`` are the product's; the store, the agent and the network
are simulated, on one true time. The simulation is harsher than the product: a deposed
leader goes on until the store tells it, and a standby may yield although it has the
store (``yields_without_cause``).
"""

import contextlib
import heapq
import itertools
import random
from unittest import mock

from bilberrypass import clock, errors
from bilberrypass.scheduling import grants, keyvalue, roster, succession

LEASE_S = 5.0
STORE_TTL_S = 2.0
CLOCK_RATES = (0.98, 1.0, 1.02)
_RENEWAL_S = _REQUEST_S = _REPORT_S = 0.5
_CANDIDACY_S = 0.1


class Store:
    """The election's key; its lease pauses or lapses while the store is down."""

    def __init__(self, pauses):
        self.pauses = pauses
        self.down_since = None
        self.epoch = 0
        self.holder = None
        self.expires_at = 0.0
        self.roster = None  # as an item
        self.revision = 0

    def put_roster(self, value, epoch=0):
        self.revision = epoch or self.revision + 0.001
        self.roster = keyvalue.Item("roster", value, self.revision)
        return self.revision

    def go_down(self, now):
        self.down_since = now

    def return_(self, now):
        if self.down_since is not None and self.pauses:
            self.expires_at += now - self.down_since
        self.down_since = None

    def is_free(self, now):
        return self.holder is None or now > self.expires_at


class _Connection:
    """A leader's connection to the store, for its roster; some answers are lost."""

    def __init__(self, world, process):
        self._world, self._process = world, process

    def commit(self, expected, puts, deadline):
        world, store = self._world, self._world.store
        if not world._reaches_store(self._process):
            raise errors.Error(errors.Kind.STORE_DOWN, "the store is away")
        held = store.epoch if not store.is_free(world.now) else 0
        if expected != {"leader": held, "roster": store.roster.revision}:
            held_item = keyvalue.Item("leader", b"", held)
            raise keyvalue.PreconditionFailed([held_item, store.roster])
        revision = store.put_roster(puts[0].value)
        if world.loses_answers and world.rng.random() < 0.2:
            raise errors.Error(errors.Kind.STORE_UNCERTAIN, "no answer")
        return revision


class Process:
    """One entry, with a clock, a connection to the store, and what it knows."""

    def __init__(self, world, name, rate, offset):
        self.world, self.name = world, name
        self.rate, self.offset = rate, offset
        self.frozen_until = 0.0
        self.has_store = True
        self.peers_cut = set()
        self.life = 0
        self.epoch = 0
        self.grants = self.keeper = None
        self.contact_at = 0.0
        self.bound = 0.0
        self.start()

    def start(self):
        """Start, or start again without any memory."""
        self.life += 1
        self.epoch, self.grants = 0, None
        self.leader, self.lacks_store = None, False
        self.is_dead = False
        with self.world.on(self):
            self.succession = succession.Succession(self.name, LEASE_S)

    def local(self, at):
        return self.offset + at * self.rate

    def true_time(self, local):
        return (local - self.offset) / self.rate

    def can_reach(self, other):
        return other.name not in self.peers_cut and self.name not in other.peers_cut


class World:
    """Entries, one agent and the store; ``ends`` has the leases' latest ends.

    Parameters
    ----------
    rng : random.Random
        Draws clocks, delays and freezes.
    entries : int
        How many there are.
    pauses : bool
        Whether the store's leases pause while it is down.
    """

    def __init__(self, rng, entries=3, pauses=False):
        self.rng = rng
        self.now = 0.0
        self.yields_without_cause = True
        self.loses_answers = False
        self.has_rosters = True  # entries of an earlier release wrote none
        self.store = Store(pauses)
        self._events, self._order = [], itertools.count()
        self._current = None
        self.grants: list[tuple[int, float]] = []  # epoch and true end
        self.elections: list[tuple[int, float, bool]] = []  # epoch, true bound, short
        self.processes = [
            Process(self, f"e{n}", rng.choice(CLOCK_RATES), rng.uniform(100, 200))
            for n in range(entries)
        ]
        self.agent_rate = rng.choice(CLOCK_RATES)
        self.agent_follows: Process | None = None
        for process in self.processes:
            for step in (self._renew, self._request, self._campaign):
                self._repeat(process, step, rng.uniform(0, 0.5))
            self._repeat(process, self._keep_roster, 0.3)
        self.at(0.2, self._report)

    @contextlib.contextmanager
    def on(self, process):
        """Let ``clock.now`` be the clock of a process."""
        with mock.patch.object(clock, "now", lambda: process.local(self.now)):
            yield

    def at(self, time, call, *args):
        heapq.heappush(self._events, (time, next(self._order), call, args))

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now = until

    def _on_process(self, process, call, *args):
        """Call on a process, after its freeze if it is frozen."""
        if process.frozen_until > self.now:
            self.at(process.frozen_until, self._on_process, process, call, *args)
        elif not process.is_dead:
            with self.on(process):
                call(*args)

    def _after(self, process, call, *args):
        self.at(
            self.now + self.rng.choice((0.001, 0.01, 0.3)),
            self._on_process,
            process,
            call,
            *args,
        )

    def _repeat(self, process, step, at):
        def turn():
            if not process.is_dead and process.frozen_until <= self.now:
                with self.on(process):
                    step(process)
            interval_s = _CANDIDACY_S if step == self._campaign else _REQUEST_S
            self._repeat(process, step, self.now + interval_s)

        self.at(at, turn)

    def _reaches_store(self, process):
        return self.store.down_since is None and process.has_store

    # The election.

    def _renew(self, process):
        if process.epoch and self._reaches_store(process):
            self._after(
                process,
                self._apply_renewal,
                process,
                process.epoch,
                process.local(self.now),
            )

    def _apply_renewal(self, process, epoch, sent_at):
        store = self.store
        if epoch != process.epoch or not self._reaches_store(process):
            return
        if store.epoch != epoch or self.now > store.expires_at:
            process.epoch, process.grants = 0, None
            if store.epoch == epoch:
                store.holder = None
            return
        store.expires_at = self.now + STORE_TTL_S
        process.contact_at = max(process.contact_at, sent_at)

    def _campaign(self, process):
        store = self.store
        if process.epoch or not self._reaches_store(process):
            return
        if not store.is_free(self.now):
            process.leader = store.holder, store.epoch
            return
        inherited = roster.read(store.roster, store.epoch)
        is_informed = process.succession.is_informed(store.epoch, inherited)
        if not is_informed and self.rng.random() < 0.8:
            return
        predecessor, store.epoch = store.epoch, store.epoch + 1
        store.holder, store.expires_at = process, self.now + STORE_TTL_S
        if self.has_rosters:
            elected_with = roster.inherit(inherited, process.name)
            store.put_roster(roster.encode(elected_with), store.epoch)
        contact_at = process.local(self.now)
        self._after(
            process,
            self._lead,
            process,
            (store.epoch, predecessor, inherited),
            contact_at,
            process.life,
        )

    def _lead(self, process, election, contact_at, life):
        if process.life != life:
            return
        epoch, _, inherited = election
        process.bound = process.succession.begin_leading(*election)
        elected_with = roster.inherit(inherited, process.name)
        process.keeper = roster.Keeper(
            _Connection(self, process),
            "leader",
            "roster",
            epoch,
            process.name,
            elected_with,
        )
        is_short = process.bound < grants.unknown_grants_end(clock.now()) - 1e-9
        true_bound = process.true_time(process.bound)
        self.elections.append((epoch, true_bound, is_short))
        process.epoch, process.contact_at = epoch, contact_at
        process.grants = grants.Grants(
            epoch,
            LEASE_S,
            lambda: process.contact_at if process.epoch == epoch else 0.0,
            elected_with.names if self.has_rosters else (),
            process.name,
        )

    def _keep_roster(self, process):
        if process.epoch and self.has_rosters:
            process.keeper.update(process.grants, clock.now() > process.bound)

    # Standbys.

    def _request(self, process):
        if process.epoch or process.leader is None:
            return
        leader, epoch = process.leader
        if leader is process or not process.can_reach(leader):
            return
        has_cause = self.yields_without_cause or not self._reaches_store(process)
        yields = process.lacks_store and has_cause and self.rng.random() < 0.9
        req = process.succession.make_request(epoch, yields)
        self._after(leader, self._answer, leader, process, req, clock.now())

    def _answer(self, leader, standby, req, sent_at):
        if leader.grants is not None and leader.can_reach(standby):
            self._lower_bound(leader, leader.succession.record_start(req))
            response = leader.grants.respond(req, leader.bound)
            self._after(standby, self._hear, standby, req.epoch, sent_at, response)

    def _lower_bound(self, leader, bound):
        if self.has_rosters and leader.epoch and bound < leader.bound:
            leader.bound = bound
            (index,) = (
                n for n, found in enumerate(self.elections) if found[0] == leader.epoch
            )
            self.elections[index] = leader.epoch, leader.true_time(bound), True

    def _hear(self, standby, epoch, sent_at, response):
        if response.epoch == epoch:
            standby.lacks_store = response.lacks_store
            standby.succession.record_response(sent_at, response)

    # The agent, which takes any leader's lease.

    def _report(self):
        for leader in self.processes:
            if leader.epoch:
                sent_at = self.now
                self._after(leader, self._begin_response, leader, sent_at)
        self.at(self.now + _REPORT_S, self._report)

    def _begin_response(self, leader, sent_at):
        """Read the clock; the process may freeze before it computes the lease."""
        now = clock.now()
        if leader.grants is None:
            return
        if self.rng.random() < 0.05:
            leader.frozen_until = self.now + self.rng.uniform(0.1, 6.0)
        life = leader.life
        self._on_process(leader, self._grant, leader, leader.grants, now, sent_at, life)

    def _grant(self, leader, granting, now, sent_at, life=None):
        if life not in (None, leader.life):
            return
        lease_s = granting.lease_s(now)
        if lease_s:
            # The agent counts from its report, whenever it hears of the lease.
            self.grants.append((granting._epoch, sent_at + lease_s / self.agent_rate))

    def find_outlasting(self):
        """Return the leases that end after what a later leader counts on."""
        return [
            (granted, end, elected, bound)
            for elected, bound, _ in self.elections
            for granted, end in self.grants
            if granted < elected and end > bound
        ]


def led_world(seed=1, entries=3, pauses=False, has_rosters=True):
    """Return a world in which a leader has listed its standbys."""
    world = World(random.Random(seed), entries, pauses)
    world.has_rosters = has_rosters
    world.yields_without_cause = False
    world.rng.random = lambda: 0.85  # no freezes but those of the test
    world.run(5.0)
    (leader,) = (p for p in world.processes if p.epoch)
    return world, leader, [p for p in world.processes if p is not leader]


def elect_next(world, within_s):
    """Run until the next election; return it, and check the leases so far."""
    count = len(world.elections)
    until = world.now + within_s
    while len(world.elections) == count and world.now < until:
        world.run(world.now + 0.05)
    assert len(world.elections) > count
    return world.elections[-1]


def latest_end(world, epoch):
    return max(end for granted, end in world.grants if granted == epoch)


def bring_trouble(world, rng):
    """Bring about one fault, or end some."""
    process = rng.choice(world.processes)
    kind = rng.choice(("down", "up", "cut", "heal", "kill", "start", "freeze", "part"))
    if kind == "down" and world.store.down_since is None:
        world.store.go_down(world.now)
    elif kind == "up":
        world.store.return_(world.now)
    elif kind == "cut":
        process.has_store = False
    elif kind == "heal":
        for each in world.processes:
            each.has_store, each.peers_cut = True, set()
    elif kind == "kill":
        process.is_dead = True
    elif kind == "start":
        for each in world.processes:
            if each.is_dead:
                each.start()
    elif kind == "freeze":
        process.frozen_until = world.now + rng.uniform(0.2, 14.0)
    else:
        process.peers_cut = {rng.choice(world.processes).name}
