"""What is learnt of images that disturb each other."""

import math
import random

from bilberrypass.scheduling import interference, jobs
from testing import collecting
from testing.scheduling import offices


def _played(pairs, rounds, seed):
    """Learn from a played day: fillers come and go beside one service."""
    rng = random.Random(seed)
    estimates = interference.Estimates()
    for _ in range(rounds):
        filler = rng.choice(sorted(pairs))
        cores = rng.choice([-7.0, 7.0, 4.0])
        noise = rng.gauss(0, 0.1)
        after = 50.0 * math.exp(pairs[filler] * cores + noise)
        estimates.observe("s", 50.0, after, {filler: cores})
    return estimates


def test_a_heavy_pair_is_told_from_a_mild_one():
    estimates = _played({"heavy": 0.08, "mild": 0.0}, 40, seed=1)
    assert estimates.per_core("s", "heavy") > 0.06
    assert estimates.per_core("s", "mild") < 0.02


def test_a_few_samples_are_enough_to_avoid_a_heavy_image():
    estimates = _played({"heavy": 0.1}, 4, seed=2)
    assert estimates.per_core("s", "heavy") > 0.05


def test_an_unknown_pair_is_neither_harmless_nor_barred():
    estimates = interference.Estimates()
    assert 0.0 < estimates.per_core("s", "f") < 0.1


def test_changes_without_fillers_teach_nothing():
    estimates = interference.Estimates()
    estimates.observe("s", 50.0, 100.0, {"f": 0.0})
    assert not estimates.rows({"s"})


def test_samples_too_far_apart_are_not_compared():
    estimates = interference.Estimates()
    before = interference.Sample(10.0, {"t": ("s", 50.0)}, {"f": 0.0})
    after = interference.Sample(20.0, {"t": ("s", 90.0)}, {"f": 7.0})
    assert interference.learn(estimates, before, after) is after
    assert not estimates.rows({"s"})


def test_the_trend_leaves_out_what_fillers_cause():
    trend = interference.Trend()
    for step in range(10):
        rise = 0.1 * step
        trend.observe(100.0 + 0.5 * step, 50.0 * math.exp(rise), rise)
    assert abs(trend.slope) < 0.01
    assert trend.ahead(3.0) < 0.03


def test_the_trend_sees_a_load_that_rises_and_counts_on_no_fall():
    rising, falling = interference.Trend(), interference.Trend()
    for step in range(10):
        rising.observe(100.0 + 0.5 * step, 50.0 * math.exp(0.05 * step), 0.0)
        falling.observe(100.0 + 0.5 * step, 50.0 * math.exp(-0.05 * step), 0.0)
    assert 0.2 < rising.ahead(3.0) < 0.4
    assert falling.ahead(3.0) == 0.0


def test_a_successor_knows_what_was_learnt():
    # Seen in an incident of ringkas-bilberry: after a loss of power all pairs were
    # unknown again, and seven fillers at once pressed a service to seven targets.
    learnt = _played({"heavy": 0.08}, 20, seed=3)
    successor = interference.Estimates()
    successor.restore(learnt.encode())
    assert successor.per_core("s", "heavy") == learnt.per_core("s", "heavy")


def test_what_was_learnt_is_stored_with_the_progress_of_jobs():
    with offices.office() as office:
        office.scheduler.estimates.observe("s", 50.0, 90.0, {"f": 7.0})
        host = office.host("h1")
        office.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)
        expected = office.scheduler.estimates.per_core("s", "f")
        office.elect()
        assert office.scheduler.estimates.per_core("s", "f") == expected


load_tests = collecting.hook(__name__)
