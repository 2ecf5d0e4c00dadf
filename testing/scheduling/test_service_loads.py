"""Own loads of services: what their tasks show, and the forecast of their swing."""

import math
import random

from bilberrypass.scheduling import service_loads
from testing import collecting

_PERIOD_S = 15.0


def _own_margin(at):
    return 2.7 + 1.1 * math.sin(math.tau * at / _PERIOD_S)


def _observe(load, since, until, tasks=6, slowed=0, own=_own_margin, seed=1):
    """Report the tasks of a step twice a second, some of them slowed by fillers."""
    rng = random.Random(seed)
    at = since
    while at < until:
        for task in range(tasks):
            lost = 1.2 if task < slowed else 0.0
            noise = rng.gauss(0, 0.1)
            load.observe(at + 0.05 * task, own(at) - lost + noise, lost, lost)
        at += 0.5
    return at


def test_tasks_without_fillers_show_the_own_margin():
    load = service_loads.Load()
    for task in range(6):
        load.observe(10.0, 1.0 if task < 4 else 3.0, 0.0, 3.0 if task < 4 else 0.0)
    assert abs(load.measure(10.0).margin - 3.0) < 0.3


def test_swing_is_forecast_before_its_peak_also_beside_fillers():
    for slowed in (0, 5):
        load = service_loads.Load()
        at = _observe(load, 100.0, 130.0, slowed=slowed)
        while at < 145.0:
            now, at = at, _observe(load, at, at + 0.5, slowed=slowed)
            for step, margin in enumerate(load.forecast(now)):
                expected = _own_margin(now + step * service_loads.FORECAST_STEP_S)
                assert abs(margin - expected) < 0.5, (slowed, now, step)


def test_falling_margin_is_followed_before_a_swing_is_known():
    load = service_loads.Load()
    now = _observe(load, 10.0, 13.0, own=lambda at: 3.5 - 0.4 * (at - 10.0))
    assert load.forecast(now)[-1] <= load.measure(now).margin
    now = _observe(load, now, 16.0, own=lambda at: 2.3 + 0.4 * (at - 13.0))
    assert max(load.forecast(now)) <= load.measure(now).margin + 0.01


def test_step_without_figures_is_unknown_and_forgotten():
    loads = service_loads.Loads()
    assert loads.of(("j", 0, 0)).forecast(5.0) == ()
    first = loads.of(("j", 0, 0))
    first.observe(10.0, 2.0, 0.0, 0.0)
    assert first.forecast(10.1) and first.measure(12.0).weight == 0.0
    loads.forget_idle(100.0)
    assert loads.of(("j", 0, 0)) is not first


load_tests = collecting.hook(__name__)
