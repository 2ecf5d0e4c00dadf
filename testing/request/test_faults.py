"""Each fault of a request's path alone: what callers are told is what ran."""

import random

from testing import collecting
from testing.request import faults, linked

_SEED = 11


def _play(names: list[str]) -> None:
    rng = random.Random(_SEED)
    sent: list[faults.Sent] = []
    with linked.linked_system() as run:
        faults.wait_recovered(run, "start")
        for name in names:
            label = name.replace(" ", "-")
            played = faults.Round(run, label, rng)
            played.play([faults.FAULTS[name]])
            sent += played.sent
            faults.wait_recovered(run, label)
        faults.judge(run, sent)


def test_kills():
    _play(["entry killed", "agent killed", "endpoint killed"])


def test_freezes():
    _play(["entry frozen", "agent frozen"])


def test_cuts():
    _play(["caller-entry cut", "entry-agent cut", "agent-endpoint cut"])


def test_silence():
    _play(["caller-entry silent", "entry-agent silent", "agent-endpoint silent"])


def test_broken_answers():
    _play(["endpoint dies in its answers", "entry-agent away"])


def test_store():
    _play(["store away", "store silent", "store loses answers"])


load_tests = collecting.hook(__name__)
