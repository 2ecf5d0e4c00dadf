"""When room will be free on a host, by what runs there."""

import math
import random

from bilberrypass import clock
from bilberrypass.scheduling import (
    hosts,
    jobs,
    messages,
    placement,
    room_plan,
    state,
)
from testing import collecting

PLAIN = jobs.Step(1, cpu_milli=4_000, memory_mb=1_000, estimate_s=4.0)
SERVICE = jobs.Step(1, 4_000, 1_000, is_service=True, image="s")
_NEVER = 1e18  # after all ends but those of services


def _host(cpu=16_000):
    host = hosts.Host("h", 0.0)
    host.runner = messages.RunnerInfo("i", 1, "p", cpu, 64_000, 0, ())
    return host


def _run(step, now, age_s=0.0, index=0):
    """Return a task that began ``age_s`` ago."""
    job = state.JobState(jobs.Job("j", "q", "", (step,), 0.0), now)
    task = state.Task(job, jobs.TaskKey("j", 0, 0, index), step)
    task.run, task.phase, task.started_at = 1, state.Phase.RUNNING, now - age_s
    return task


def test_expected_end_of_a_run():
    """Guards against plans that trust estimates which are wrong by half."""
    now = clock.now()
    cases = (
        ("by its estimate", PLAIN, 1.0, 0, 3.0, 3.0),
        ("overdue", PLAIN, 10.0, 0, 0.1, 4.0),
        ("half done, slower than its estimate", PLAIN, 4.0, 50, 2.5, 3.5),
        ("almost done", PLAIN, 9.0, 90, 0.8, 1.1),
        ("without estimate, half done", PLAIN._replace(estimate_s=0.0), 4.0, 50, 2, 4),
    )
    for name, step, age_s, percent, least_s, most_s in cases:
        task = _run(step, now, age_s)
        if percent:
            task.progress.observe(percent, 100, now)
        left_s = room_plan.expected_end(task, now) - now
        assert least_s - 1e-6 <= left_s <= most_s + 1e-6, (name, left_s)


def test_end_of_services_and_of_runs_of_which_nothing_is_known_is_infinite():
    now = clock.now()
    for step in (SERVICE, PLAIN._replace(estimate_s=0.0)):
        task = _run(step, now, 1.0)
        assert room_plan.expected_end(task, now) == math.inf
        task.phase = state.Phase.STOPPING
        assert room_plan.expected_end(task, now) < now + 2


def test_run_of_an_earlier_scheduler_is_expected_by_its_progress():
    now = clock.now()
    task = _run(PLAIN, now)
    task.started_at = 0.0
    task.progress.observe(75, 100, now)
    assert abs(room_plan.expected_end(task, now) - now - 1.0) < 0.01


def test_plan_agrees_with_a_host_whose_runs_have_ended():
    """Load: hosts with random services, fillers and other tasks."""
    for seed in range(20):
        rng, now, host = random.Random(seed), clock.now(), _host()
        for index in range(rng.randrange(2, 8)):
            step = rng.choice((PLAIN, PLAIN._replace(is_filler=True), SERVICE))
            step = step._replace(
                cpu_milli=rng.randrange(500, 6_000), estimate_s=rng.uniform(1, 9)
            )
            host.add(_run(step, now, index=index))
        plan = room_plan.RoomPlan(now)
        ends = {id(t): plan.expected_end(t) for t in host.tasks.values()}
        for wanted in (PLAIN, PLAIN._replace(cpu_milli=9_000, is_filler=True)):
            fit = plan.earliest_fit(wanted, host)
            at = min(fit.at, _NEVER)
            later = _host()
            for task in host.tasks.values():
                if ends[id(task)] > at:
                    later.add(task)
            assert placement.fits(wanted, later) is (fit.at < math.inf), seed
            assert plan.usage_at(host, at).used_memory == later.used_memory, seed


def test_free_room_of_all_hosts_grows_as_runs_end():
    now, host = clock.now(), _host()
    host.add(_run(PLAIN, now))
    host.add(_run(SERVICE, now, index=1))
    plan = room_plan.RoomPlan(now)
    assert plan.free_at([host], now) == (8_000, 62_000, 0)
    assert plan.free_at([host, host], now + 5) == (24_000, 126_000, 0)


def test_largest_gap_of_each_kind_of_host():
    now, busy, free, large = clock.now(), _host(), _host(), _host(64_000)
    busy.add(_run(PLAIN, now))
    assert room_plan.largest_gaps([busy, free, large]) == {
        "p-16c": (16_000, 64_000, 0),
        "p-64c": (64_000, 64_000, 0),
    }


load_tests = collecting.hook(__name__)
