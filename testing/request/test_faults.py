"""Single faults on each hop of a request: the reported outcome matches what ran.

Guards against a request that runs twice, or a caller that receives a wrong outcome,
when a process, a link or the store fails.
"""

import random

from testing import collecting
from testing.request import faults, linked

_SEED = 11


def _run_rounds(names: list[str]) -> None:
    rng = random.Random(_SEED)
    attempts: list[faults.Attempt] = []
    with linked.linked_system() as run:
        faults.wait_recovered(run, "start")
        for name in names:
            label = name.replace(" ", "-")
            current = faults.Round(run, label, rng)
            current.run([faults.FAULTS[name]])
            attempts += current.attempts
            faults.wait_recovered(run, label)
        faults.check_attempts(run, attempts)


def test_killed_processes_yield_correct_outcomes():
    _run_rounds(["entry killed", "agent killed", "endpoint killed"])


def test_frozen_processes_yield_correct_outcomes():
    _run_rounds(["entry frozen", "agent frozen"])


def test_cut_links_yield_correct_outcomes():
    _run_rounds(["caller-entry cut", "entry-agent cut", "agent-endpoint cut"])


def test_silent_links_yield_correct_outcomes():
    _run_rounds(["caller-entry silent", "entry-agent silent", "agent-endpoint silent"])


def test_broken_answers_yield_correct_outcomes():
    _run_rounds(["endpoint dies in its answers", "entry-agent away"])


def test_store_faults_yield_correct_outcomes():
    _run_rounds(["store away", "store silent", "store loses answers"])


load_tests = collecting.hook(__name__)
