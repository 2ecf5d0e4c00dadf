"""Stalled runs and slow hosts whose reports look healthy."""

import math
import random

from bilberrypass.scheduling import jobs, stragglers
from testing import collecting, fixtures
from testing.scheduling import clusters


def _progress_of(points, pace=100):
    progress = stragglers.Progress()
    for at, percent in points:
        progress.observe(percent, pace, at)
    return progress


def test_run_with_progress_is_not_stalled():
    progress = _progress_of([(10.0, 0), (10.5, 25), (11.0, 50), (11.5, 75)])
    assert not progress.is_stalled(2.0, 11.9)


def test_run_without_progress_is_stalled():
    progress = _progress_of([(10.0, 5), (10.5, 5), (11.0, 5)])
    assert not progress.is_stalled(2.0, 11.0)
    assert progress.is_stalled(2.0, 12.0)


def test_long_run_is_not_stalled_before_a_share_of_its_estimate():
    progress = _progress_of([(10.0, 5), (10.5, 5), (12.0, 5)])
    assert not progress.is_stalled(60.0, 13.0)


def test_slowed_filler_does_not_count_as_stalled():
    progress = _progress_of([(10.0, 5), (11.0, 5), (12.0, 5)], pace=0)
    assert not progress.is_stalled(2.0, 12.5)


def _simulate_speeds(factors, seed):
    """Simulate tasks with estimates wrong by half on hosts of the given speeds."""
    rng = random.Random(seed)
    speeds = [stragglers.SpeedEstimate() for _ in factors]
    for speed, factor in zip(speeds, factors, strict=True):
        for run in range(8):
            real_s = 2.0 / factor
            estimate_s = 2.0 * math.exp(rng.gauss(0, 0.5))
            for step in range(5):
                percent = min(100, int(100 * 0.45 * step / real_s))
                speed.observe(str(run), percent, estimate_s, 10.0 + 0.45 * step)
    return speeds


def test_slow_host_is_distinguished_from_wrong_estimates():
    for seed in range(20):
        speeds = _simulate_speeds([1.0, 1.0, 1.0, 0.15, 1.0], seed)
        usual = stragglers.median_level(speeds)
        found = [speed.is_slow(usual) for speed in speeds]
        assert found == [False, False, False, True, False], (seed, found)


def test_equally_fast_hosts_are_not_slow_whatever_the_estimates():
    """Guards against moving tasks between equally fast hosts.

    On ringkas-bilberry trouble-2 there were 111 moves of tasks whose estimates were
    too short; each was as slow on the other host.
    """
    for seed in range(20):
        speeds = _simulate_speeds([0.4] * 6, seed)
        usual = stragglers.median_level(speeds)
        assert not any(speed.is_slow(usual) for speed in speeds), seed


def test_stalled_task_is_restarted_once_on_another_host():
    with clusters.running_cluster() as cluster:
        bad, good = cluster.add_host("bad"), cluster.add_host("good", cpu=2_000)
        cluster.submit(jobs.Step(1, cpu_milli=100, estimate_s=1.0))
        bad.await_orders(1)
        bad.execute_orders()

        def moved():
            bad.report(), good.report()
            return [o for o in bad.orders if o.verb == clusters.Verb.STOP]

        fixtures.wait_until(moved, 5.0, "the stop")
        assert not good.orders
        bad.execute_orders()

        def started():
            bad.report(), good.report()
            return [o for o in good.orders if o.verb == clusters.Verb.START]

        (order,) = fixtures.wait_until(started, 5.0, "the start elsewhere")
        assert order.run == 2


load_tests = collecting.hook(__name__)
