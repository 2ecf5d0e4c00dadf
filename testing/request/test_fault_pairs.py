"""Pairs of faults at the same time, over fixed seeds."""

import random

from testing import collecting
from testing.request import faults, linked

_ROUNDS = 3


def _play(seed: int) -> None:
    rng = random.Random(seed)
    sent: list[faults.Sent] = []
    with linked.linked_system() as run:
        faults.wait_recovered(run, "start")
        for number in range(_ROUNDS):
            names = rng.sample(sorted(faults.FAULTS), 2)
            label = f"s{seed}r{number}"
            played = faults.Round(run, label, rng)
            played.play([faults.FAULTS[name] for name in names])
            sent += played.sent
            faults.wait_recovered(run, f"{label} {names}".replace(" ", "-"))
        faults.judge(run, sent)


def test_seed_1():
    _play(1)


def test_seed_2():
    _play(2)


def test_seed_3():
    _play(3)


load_tests = collecting.hook(__name__)
