"""How fillers are slowed beside services, and how they recover."""

import math

from bilberrypass.hosting import pacing
from testing import collecting

HEAVY, MILD = ("heavy", 1), ("mild", 1)
PRESSING = {("s", "heavy"): 0.1, ("s", "mild"): 0.005}


def _fillers(heavy=100, mild=100):
    return [
        pacing.Filler(HEAVY, "heavy", heavy, 7.0),
        pacing.Filler(MILD, "mild", mild, 7.0),
    ]


def _served(latency_ms):
    return [pacing.Served("s", latency_ms, 100)]


def test_the_filler_that_presses_most_is_slowed_first():
    paces = pacing.Pacer().decide(_served(110), _fillers(), PRESSING, 10.0)
    assert paces.keys() == {HEAVY} and paces[HEAVY] < 100


def test_a_cut_goes_as_far_as_the_estimate_asks():
    paces = pacing.Pacer().decide(_served(110), _fillers(), PRESSING, 10.0)
    left = 110 * math.exp(-0.1 * 7.0 * (100 - paces[HEAVY]) / 100)
    assert left < 90


def test_nothing_changes_below_the_limit_at_full_speed():
    assert not pacing.Pacer().decide(_served(50), _fillers(), PRESSING, 10.0)


def test_a_service_far_over_its_target_stops_all_fillers():
    paces = pacing.Pacer().decide(_served(250), _fillers(), PRESSING, 10.0)
    assert paces == {HEAVY: 0, MILD: 0}


def test_harm_never_lasts_whatever_the_estimates_say():
    # A service over its target for harm_ms (4 s) is harm; estimates may be wrong.
    pacer = pacing.Pacer()
    paces = {HEAVY: 100, MILD: 100}
    now = 0.0
    while now < 2.5:
        fillers = _fillers(paces[HEAVY], paces[MILD])
        paces |= pacer.decide(_served(105), fillers, {("s", "mild"): 1.0}, 10.0 + now)
        now += 0.4
    assert paces == {HEAVY: 0, MILD: 0}


def test_fillers_recover_within_the_room_the_mildest_first():
    paces = pacing.Pacer().decide(_served(60), _fillers(0, 0), PRESSING, 10.0)
    assert paces[MILD] == 100
    assert 0 < paces.get(HEAVY, 0) < 100


def test_without_services_fillers_work_at_full_speed():
    paces = pacing.Pacer().decide([], _fillers(20, 0), PRESSING, 10.0)
    assert paces == {HEAVY: 100, MILD: 100}


def test_a_measurement_is_awaited_between_two_settings():
    pacer = pacing.Pacer()
    assert pacer.decide(_served(110), _fillers(), PRESSING, 10.0)
    assert not pacer.decide(_served(110), _fillers(), PRESSING, 10.3)


load_tests = collecting.hook(__name__)
