"""Pairs of concurrent faults, drawn with fixed seeds.

Guards against what single faults do not show: a request that runs twice, or a caller
that receives a wrong outcome, when two hops fail at the same time.
"""

import random

from testing import collecting
from testing.request import faults, linked

_ROUNDS = 3


def _run_rounds(seed: int) -> None:
    rng = random.Random(seed)
    attempts: list[faults.Attempt] = []
    with linked.linked_system() as run:
        faults.wait_recovered(run, "start")
        for number in range(_ROUNDS):
            names = rng.sample(sorted(faults.FAULTS), 2)
            label = f"s{seed}r{number}"
            current = faults.Round(run, label, rng)
            current.run([faults.FAULTS[name] for name in names])
            attempts += current.attempts
            faults.wait_recovered(run, f"{label} {names}".replace(" ", "-"))
        faults.check_attempts(run, attempts)


def test_fault_pairs_of_seed_1_yield_correct_outcomes():
    _run_rounds(1)


def test_fault_pairs_of_seed_2_yield_correct_outcomes():
    _run_rounds(2)


def test_fault_pairs_of_seed_3_yield_correct_outcomes():
    _run_rounds(3)


load_tests = collecting.hook(__name__)
