"""Pacing of fillers: when they are slowed for a service, and how they recover."""

import math

from bilberrypass.hosting import pacing
from testing import collecting

HEAVY, MILD, NEW = ("heavy", 1), ("mild", 1), ("new", 1)
ESTIMATES = {("s", "heavy"): 0.1, ("s", "mild"): 0.005}


def _fillers(heavy=100, mild=100):
    return [
        pacing.Filler(HEAVY, "heavy", heavy, 7.0),
        pacing.Filler(MILD, "mild", mild, 7.0),
    ]


def _services(latency_ms):
    return [pacing.ServiceLatency("s", latency_ms, 100)]


def test_most_interfering_filler_is_slowed_first():
    paces = pacing.Pacer().choose_paces(_services(110), _fillers(), ESTIMATES, 10.0)
    assert paces.keys() == {HEAVY} and paces[HEAVY] < 100


def test_cut_is_as_large_as_estimate_requires():
    paces = pacing.Pacer().choose_paces(_services(110), _fillers(), ESTIMATES, 10.0)
    expected_ms = 110 * math.exp(-0.1 * 7.0 * (100 - paces[HEAVY]) / 100)
    assert expected_ms < 90


def test_filler_that_asks_for_no_cores_is_paced_too():
    fillers = [pacing.Filler(HEAVY, "heavy", 100, 0.0)]
    assert pacing.Pacer().choose_paces(_services(110), fillers, ESTIMATES, 10.0)


def test_no_change_below_limit_at_full_pace():
    assert not pacing.Pacer().choose_paces(_services(50), _fillers(), ESTIMATES, 10.0)


def test_service_far_over_target_stops_all_fillers():
    paces = pacing.Pacer().choose_paces(_services(250), _fillers(), ESTIMATES, 10.0)
    assert paces == {HEAVY: 0, MILD: 0}


def test_fillers_stop_despite_wrong_estimates():
    """A service must not stay over its latency target, even with wrong estimates.

    Here the estimates attribute the latency to the wrong filler, so cuts alone would
    never help. A service that is over its target for harm_ms (4 s) counts as harmed.
    """
    pacer = pacing.Pacer()
    paces = {HEAVY: 100, MILD: 100}
    now = 0.0
    while now < 2.5:
        fillers = _fillers(paces[HEAVY], paces[MILD])
        paces |= pacer.choose_paces(
            _services(105), fillers, {("s", "mild"): 1.0}, 10.0 + now
        )
        now += 0.4
    assert paces == {HEAVY: 0, MILD: 0}


def test_least_interfering_filler_recovers_first_within_headroom():
    paces = pacing.Pacer().choose_paces(_services(60), _fillers(0, 0), ESTIMATES, 10.0)
    assert paces[MILD] == 100
    assert 0 < paces.get(HEAVY, 0) < 100


def test_fillers_recover_to_full_pace_without_services():
    paces = pacing.Pacer().choose_paces([], _fillers(20, 0), ESTIMATES, 10.0)
    assert paces == {HEAVY: 100, MILD: 100}


def test_new_filler_is_slowed_before_its_effect_shows():
    """Guards against services over their target from the start of each filler on."""
    pacer = pacing.Pacer()
    assert pacer.choose_paces(_services(110), _fillers(), ESTIMATES, 10.0)
    fillers = [*_fillers(0, 100), pacing.Filler(NEW, "heavy", 100, 7.0, 0, False)]
    paces = pacer.choose_paces(_services(70), fillers, ESTIMATES, 10.1)
    assert paces.keys() == {NEW} and paces[NEW] < 40
    assert not pacer.choose_paces(_services(70), fillers, ESTIMATES, 10.2)


def test_new_filler_of_uncertain_effect_starts_slowly():
    fillers = [pacing.Filler(NEW, "new", 100, 7.0, 0, False)]
    known, cautious = {("s", "new"): 0.05}, {("s", "new"): 0.2}
    assert not pacing.Pacer().choose_paces(_services(60), fillers, known, 10.0)
    paces = pacing.Pacer().choose_paces(_services(60), fillers, known, 10.0, cautious)
    assert paces[NEW] < 100
    measured = [fillers[0]._replace(is_measured=True, pace=paces[NEW])]
    paces = pacing.Pacer().choose_paces(_services(60), measured, known, 10.6, cautious)
    assert paces == {NEW: 100}


def test_fillers_are_slowed_before_the_load_of_a_service_rises():
    course = pacing.Course(10.0, (2.0, 2.0, 1.6, 1.2, 1.2))
    loss = course.coming_loss(10.6)
    assert 0.3 < loss < 0.7
    services = [pacing.ServiceLatency("s", 70, 100, loss)]
    paces = pacing.Pacer().choose_paces(services, _fillers(), ESTIMATES, 10.6)
    assert paces[HEAVY] < 100
    assert course.coming_loss(20.0) == 0.0  # too old to be used


def test_filler_that_is_nearly_done_keeps_its_pace():
    services = [pacing.ServiceLatency("s", 90, 100)]
    fillers = [
        pacing.Filler(HEAVY, "heavy", 100, 7.0, 90),
        pacing.Filler(NEW, "heavy", 100, 7.0, 10),
    ]
    paces = pacing.Pacer().choose_paces(services, fillers, ESTIMATES, 10.0)
    assert paces.keys() == {NEW}


def test_paces_change_at_most_once_per_measurement():
    pacer = pacing.Pacer()
    assert pacer.choose_paces(_services(110), _fillers(), ESTIMATES, 10.0)
    assert not pacer.choose_paces(_services(110), _fillers(), ESTIMATES, 10.3)


load_tests = collecting.hook(__name__)
