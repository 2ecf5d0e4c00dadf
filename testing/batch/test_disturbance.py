"""Throttling and eviction of batch work that slows down services."""

import json
import unittest.mock

from bilberrypass import resources
from bilberrypass.batch import disturbance, interference, placement, placer, records
from bilberrypass.connection import messages, worker
from bilberrypass.execution import throttle
from bilberrypass.version import page
from testing import collecting, fakes

_START_S = 1_000.0


class _Clock:
    def __init__(self):
        self.now = _START_S

    def __call__(self):
        return self.now


def _usage(inflation, lag_s=0.0):
    return worker.Usage(lag_s + 0.5, lag_s, [], [("front", inflation)])


def _report_usage(throttled, clock, inflation, seconds, lag_s=0.0):
    for _ in range(seconds):
        clock.now += 1.0
        throttled.update(_usage(inflation, lag_s))
    return throttled.share


def _make_throttle():
    clock = _Clock()
    return throttle.Throttle(), clock, unittest.mock.patch("time.monotonic", clock)


def test_service_slowdown_throttles_batch_work_step_by_step():
    throttled, clock, patched = _make_throttle()
    with patched:
        assert _report_usage(throttled, clock, 2.0, 1) == 0.5
        assert _report_usage(throttled, clock, 2.0, 1) == 0.25
        assert _report_usage(throttled, clock, 2.0, 9) == 0.25


def test_measurement_taken_before_the_last_step_is_ignored():
    throttled, clock, patched = _make_throttle()
    with patched:
        _report_usage(throttled, clock, 2.0, 1)
        assert _report_usage(throttled, clock, 2.0, 5, lag_s=10.0) == 0.5


def test_throttle_is_lifted_only_after_a_period_without_slowdown():
    throttled, clock, patched = _make_throttle()
    with patched:
        _report_usage(throttled, clock, 2.0, 1)
        assert _report_usage(throttled, clock, 1.3, 60) == 0.5, (
            "no change between the low and the high threshold"
        )
        assert _report_usage(throttled, clock, 1.1, 15) == 0.5
        assert _report_usage(throttled, clock, 1.1, 10) == 1.0


def _report(inflation):
    capacity = resources.Demand(8_000, 8, 0)
    return fakes.make_report(capacity=capacity, usage=_usage(inflation))


def _add_running_job(jobs, id, task_class):
    demand = {"cpu_milli": 1_000, "memory_bytes": 1}
    body = {"team": "t", "demand": demand, "task_class": task_class}
    records.put(jobs, page.parse_job(id, json.dumps(body).encode(), 1.0, ""))
    spec = records.place(jobs, ("t", id), 0, "h0")
    records.apply_report(jobs, messages.TaskState(spec.task, "running", spec.demand))


def test_most_interfering_task_is_evicted_if_throttling_does_not_help():
    model = interference.Model()
    for _ in range(50):
        model.update("front", 3.0, {"noisy": 0.5})
        model.update("front", 1.0, {"quiet": 0.5})
    evictor = disturbance.Evictor(placer.make_context(placement.FirstFit()), model)
    clock = _Clock()
    jobs: records.Jobs = {}
    with unittest.mock.patch("time.monotonic", clock):
        with unittest.mock.patch("time.time", clock):
            _add_running_job(jobs, "quiet", "quiet")
            _add_running_job(jobs, "noisy", "noisy")
            evictor.handle_report(_report(2.0))
            evictor.evict_overdue(jobs, records.tasks_by_host(jobs))
            assert jobs["t", "noisy"].tasks[0].state == page.RUNNING
            clock.now += 40.0
            evictor.handle_report(_report(2.0))
            evictor.evict_overdue(jobs, records.tasks_by_host(jobs))
            evictor.evict_overdue(jobs, records.tasks_by_host(jobs))
    assert jobs["t", "noisy"].tasks[0].state == page.EVICTING
    assert jobs["t", "quiet"].tasks[0].state == page.RUNNING


load_tests = collecting.hook(__name__)
