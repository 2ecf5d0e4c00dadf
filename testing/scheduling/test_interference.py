"""Estimates of how much fillers of an image slow down services of another."""

import math
import random

from bilberrypass.scheduling import interference, jobs
from testing import collecting
from testing.scheduling import clusters


def _simulate_estimates(pairs, rounds, seed):
    """Return estimates from simulated fillers that start and stop beside a service."""
    rng = random.Random(seed)
    estimates = interference.Estimates()
    for _ in range(rounds):
        filler = rng.choice(sorted(pairs))
        cores = rng.choice([-7.0, 7.0, 4.0])
        noise = rng.gauss(0, 0.1)
        after = 50.0 * math.exp(pairs[filler] * cores + noise)
        estimates.observe("s", 50.0, after, {filler: cores})
    return estimates


def test_heavy_and_mild_pairs_are_distinguished():
    estimates = _simulate_estimates({"heavy": 0.08, "mild": 0.0}, 40, seed=1)
    assert estimates.per_core("s", "heavy") > 0.06
    assert estimates.per_core("s", "mild") < 0.02


def test_four_samples_suffice_to_detect_a_heavy_image():
    estimates = _simulate_estimates({"heavy": 0.1}, 4, seed=2)
    assert estimates.per_core("s", "heavy") > 0.05


def test_unknown_pair_gets_a_moderate_estimate():
    estimates = interference.Estimates()
    assert 0.0 < estimates.per_core("s", "f") < 0.1


def test_latency_change_without_fillers_adds_no_estimate():
    estimates = interference.Estimates()
    estimates.observe("s", 50.0, 100.0, {"f": 0.0})
    assert not estimates.rows_of_services({"s"})


def test_samples_too_far_apart_are_not_compared():
    estimates = interference.Estimates()
    before = interference.Sample(10.0, {"t": ("s", 50.0)}, {"f": 0.0})
    after = interference.Sample(20.0, {"t": ("s", 90.0)}, {"f": 7.0})
    assert interference.update_from_samples(estimates, before, after) is after
    assert not estimates.rows_of_services({"s"})


def test_trend_excludes_effects_of_fillers():
    trend = interference.Trend()
    for step in range(10):
        rise = 0.1 * step
        trend.observe(100.0 + 0.5 * step, 50.0 * math.exp(rise), rise)
    assert abs(trend.slope) < 0.01
    assert trend.expected_rise(3.0) < 0.03


def test_trend_follows_rising_load_and_never_expects_a_fall():
    rising, falling = interference.Trend(), interference.Trend()
    for step in range(10):
        rising.observe(100.0 + 0.5 * step, 50.0 * math.exp(0.05 * step), 0.0)
        falling.observe(100.0 + 0.5 * step, 50.0 * math.exp(-0.05 * step), 0.0)
    assert 0.2 < rising.expected_rise(3.0) < 0.4
    assert falling.expected_rise(3.0) == 0.0


def test_stored_estimates_are_restored_by_the_next_scheduler():
    """Guards against the loss of all estimates when the leader changes.

    In an incident of ringkas-bilberry all pairs were unknown after a power failure,
    and seven fillers started at once raised a service's latency to seven times its
    target.
    """
    estimates = _simulate_estimates({"heavy": 0.08}, 20, seed=3)
    restored = interference.Estimates()
    restored.restore(estimates.encode())
    assert restored.per_core("s", "heavy") == estimates.per_core("s", "heavy")


def test_estimates_are_stored_with_the_progress_of_jobs():
    with clusters.running_cluster() as cluster:
        cluster.scheduler.estimates.observe("s", 50.0, 90.0, {"f": 7.0})
        host = cluster.add_host("h1")
        cluster.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)
        expected = cluster.scheduler.estimates.per_core("s", "f")
        cluster.elect_scheduler()
        assert cluster.scheduler.estimates.per_core("s", "f") == expected


load_tests = collecting.hook(__name__)
