"""How long the next leader waits after all entries, or two leaders, were killed."""

import random

from bilberrypass.scheduling import grants
from testing import collecting
from testing.scheduling import successions

LEASE_S = successions.LEASE_S
_MARGIN_S = 0.5  # drift of clocks, and a round of requests
_MAX_IDLE_S = 9.0  # RULES.md, LOST: 6 s after the last run, and 3 s


def _kill_all(world, lost=(), restart_after_s=0.5):
    """Kill all entries at once; those that are not lost start again. Return when."""
    killed_at = world.now
    for process in world.processes:
        process.is_dead = True
    world.run(killed_at + restart_after_s)
    for process in world.processes:
        if process not in lost:
            process.start()
    return killed_at


def _final_bound(world):
    """Let the latest leader hear of the others; return until when it waits."""
    world.run(world.now + 2.0)
    return world.elections[-1][1]


def test_leader_after_the_kill_of_all_entries_waits_for_one_lease_only():
    """It waited 12.4 s, as none had heard the leader before (review/13)."""
    for seed in range(20):
        world, _, _ = successions.led_world(seed)
        killed_at = _kill_all(world)
        successions.elect_next(world, 6.0)
        assert _final_bound(world) - killed_at < _MAX_IDLE_S - _MARGIN_S, seed
        world.run(world.now + 20.0)
        assert not world.find_outlasting(), seed


def test_kill_of_all_entries_with_the_leader_lost_for_good():
    """It cannot testify that it is gone; the roster shows whose consent it needed."""
    for seed in range(20):
        world, leader, _ = successions.led_world(seed)
        killed_at = _kill_all(world, lost=(leader,))
        successions.elect_next(world, 6.0)
        assert _final_bound(world) - killed_at < _MAX_IDLE_S - _MARGIN_S, seed
        world.run(world.now + 20.0)
        assert not world.find_outlasting(), seed


def test_second_kill_of_all_entries_does_not_begin_the_longest_wait_anew():
    for seed in range(20):
        world, _, _ = successions.led_world(seed)
        _kill_all(world)
        successions.elect_next(world, 6.0)
        world.run(world.now + 0.1 * seed)
        killed_at = _kill_all(world)
        successions.elect_next(world, 6.0)
        assert _final_bound(world) - killed_at < _MAX_IDLE_S - _MARGIN_S, seed
        world.run(world.now + 20.0)
        assert not world.find_outlasting(), seed


def test_second_of_two_leaders_lost_within_a_second_is_not_waited_for_longer():
    """Its successor never heard it, but stands in the roster that it inherited."""
    for seed in range(20):
        world, leader, _ = successions.led_world(seed)
        leader.is_dead = True
        successions.elect_next(world, 4.0)
        world.run(world.now + 0.4)
        (second,) = (p for p in world.processes if p.epoch and p is not leader)
        second.is_dead = True
        _, bound, is_short = successions.elect_next(world, 6.0)
        assert is_short
        assert bound < world.now + LEASE_S + _MARGIN_S, seed
        world.run(world.now + 20.0)
        assert not world.find_outlasting(), seed


def test_kill_of_all_entries_in_an_outage_with_extended_leases():
    for seed in range(20):
        for pauses in (True, False):
            world, leader, _ = successions.led_world(seed, pauses=pauses)
            epoch = leader.epoch
            world.store.go_down(world.now)
            down_at = world.now
            world.run(down_at + 6.0)
            lost = (leader,) if seed % 2 else ()
            killed_at = _kill_all(world, lost)
            assert successions.latest_end(world, epoch) > down_at + LEASE_S
            world.run(world.now + 1.0)
            world.store.return_(world.now)
            successions.elect_next(world, 6.0)
            bound = _final_bound(world)
            world.run(world.now + 20.0)
            assert bound >= successions.latest_end(world, epoch), (seed, pauses)
            assert bound - killed_at < _MAX_IDLE_S + 0.5, (seed, pauses)
            assert not world.find_outlasting(), (seed, pauses)


def test_entries_that_replace_all_others_wait_for_the_longest_lease():
    """A leader cut off with its hosts may go on with the consent of the others."""
    world, _, _ = successions.led_world()
    for process in world.processes:
        process.is_dead = True
        process.name += "-new"
    world.run(world.now + 0.5)
    for process in world.processes:
        process.start()
    _, bound, is_short = successions.elect_next(world, 6.0)
    assert not is_short
    assert bound >= world.now + grants.STORE_CONTACT_TIMEOUT_S - _MARGIN_S


def _herd_trouble(world, rng):
    """Kill all entries, or replace one by another machine, beside the other faults."""
    kind = rng.choice(("herd", "replace", "other", "other", "other"))
    if kind == "herd":
        lost = [p for p in world.processes if rng.random() < 0.2]
        _kill_all(world, lost, rng.choice((0.1, 0.5, 1.5)))
    elif kind == "replace":
        process = rng.choice(world.processes)
        process.name += "+"
        process.start()
    else:
        successions.bring_trouble(world, rng)


def test_no_lease_outlasts_the_bound_when_all_entries_are_killed_again_and_again():
    """TWICE: as above, with kills of all entries, replaced ones, and lost answers."""
    short = elections = 0
    for seed in range(150):
        rng = random.Random(seed)
        world = successions.World(rng, rng.randint(1, 4), rng.random() < 0.5)
        world.loses_answers = True
        world.run(rng.uniform(1.0, 6.0))
        for _ in range(40):
            _herd_trouble(world, rng)
            world.run(world.now + rng.choice((0.1, 0.6, 2.5, 6.0)))
        assert not world.find_outlasting(), seed
        elections += len(world.elections)
        short += sum(is_short for _, _, is_short in world.elections)
    assert elections > 500 and short > elections / 4, (elections, short)


load_tests = collecting.hook(__name__)
