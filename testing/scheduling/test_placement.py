"""The choice of a host for a task, without network or scheduler."""

from bilberrypass import clock
from bilberrypass.scheduling import (
    hosts,
    interference,
    jobs,
    messages,
    placement,
    state,
)
from testing import collecting

FILLER = jobs.Step(1, cpu_milli=7_000, memory_mb=13_000, is_filler=True, image="f")
SERVICE = jobs.Step(
    1,
    cpu_milli=13_000,
    memory_mb=26_000,
    is_service=True,
    image="s",
    latency_target_ms=100,
)
PLAIN = jobs.Step(1, cpu_milli=1_000, memory_mb=2_000)


def _host(name, cpu=64_000, labels=("a", "r1"), service="p"):
    host = hosts.Host(name, 0.0)
    host.runner = messages.RunnerInfo(f"i-{name}", 1, service, cpu, 256_000, 0, labels)
    host.reported_at = clock.now()
    return host


def _task(step, index=0, job="j"):
    job_state = state.JobState(jobs.Job(job, "q", "", (step,), 0.0), clock.now())
    return state.Task(job_state, jobs.TaskKey(job, 0, 0, index), step)


def _add_runs(host, step, count=1, latency_ms=0, job="k"):
    for index in range(count):
        task = _task(step, index, job)
        task.run, task.figure = 1, latency_ms
        host.add(task)


def _choose(step, *candidates, estimates=None, **fields):
    return placement.choose_host(
        _task(step, **fields),
        "p",
        candidates,
        estimates or interference.Estimates(),
        clock.now(),
    )


def test_host_without_free_processors_is_skipped():
    full, free = _host("full"), _host("free", cpu=2_000)
    _add_runs(full, PLAIN, 64)
    assert _choose(PLAIN, full, free) is free
    _add_runs(free, PLAIN, 2)
    assert _choose(PLAIN, full, free) is None


def test_host_without_free_memory_is_skipped():
    host = _host("h")
    _add_runs(host, jobs.Step(1, memory_mb=250_000))
    assert _choose(jobs.Step(1, memory_mb=10_000), host) is None


def test_label_service_and_max_per_host_are_enforced():
    host = _host("h")
    assert _choose(PLAIN._replace(required_label="gpu"), host) is None
    assert _choose(PLAIN, _host("h", service="other")) is None
    spread = PLAIN._replace(max_per_host=1)
    host.add(_task(spread, 0))
    assert _choose(spread, host, index=1) is None


def test_rack_that_holds_the_data_is_preferred():
    near, far = _host("near", labels=("a", "r2")), _host("far")
    _add_runs(near, PLAIN, 10)
    assert _choose(PLAIN._replace(data_rack="r2"), far, near) is near


def test_filler_goes_to_the_host_whose_service_it_slows_least():
    estimates = interference.Estimates()
    for _ in range(10):
        estimates.observe("s", 1.0, {"f": 7 / 64})
        estimates.observe("t", 0.0, {"f": 7 / 64})
    sensitive, sturdy = _host("sensitive"), _host("sturdy")
    _add_runs(sensitive, SERVICE, 2, latency_ms=40)
    _add_runs(sturdy, SERVICE._replace(image="t"), 3, latency_ms=60)
    assert _choose(FILLER, sensitive, sturdy, estimates=estimates) is sturdy


def test_filler_waits_if_a_service_would_exceed_its_latency_target():
    host = _host("h")
    _add_runs(host, SERVICE, 2, latency_ms=90)
    assert _choose(FILLER, host) is None


def test_few_fillers_are_placed_beside_an_unmeasured_service():
    host = _host("h")
    _add_runs(host, SERVICE, 2)
    placed = 0
    while _choose(FILLER, host) is host:
        _add_runs(host, FILLER, 1, job=f"k{placed}")
        placed += 1
    assert 1 <= placed <= 3, placed


def test_hosts_without_cores_and_fillers_that_ask_for_none_are_weighed():
    none, some = _host("none", cpu=0), _host("some")
    for host in (none, some):
        _add_runs(host, SERVICE._replace(cpu_milli=0), 1, latency_ms=20)
    assert _choose(FILLER, none) is None
    assert _choose(FILLER._replace(cpu_milli=0), none, some) is some


def test_services_of_one_image_share_a_host():
    same, other = _host("same"), _host("other")
    _add_runs(same, SERVICE, 1)
    _add_runs(other, SERVICE._replace(image="t"), 1)
    assert _choose(SERVICE, other, same) is same


def test_fillers_do_not_exceed_the_processors_of_a_host():
    host = _host("h")
    placed = 0
    while _choose(FILLER, host) is host:
        _add_runs(host, FILLER, 1, job=f"k{placed}")
        placed += 1
    assert placed == 9, placed


def test_avoided_host_is_chosen_last():
    bad, busy = _host("bad"), _host("busy")
    bad.avoid_until = clock.now() + 5
    _add_runs(busy, PLAIN, 40)
    assert _choose(PLAIN, bad, busy) is busy
    assert _choose(PLAIN, bad) is bad


def test_starved_filler_goes_where_it_slows_services_least():
    pressed, worse = _host("pressed"), _host("worse")
    _add_runs(pressed, SERVICE, 2, latency_ms=90)
    _add_runs(worse, SERVICE, 2, latency_ms=300)
    assert _choose(FILLER, pressed, worse) is None
    chosen = placement.choose_host(
        _task(FILLER),
        "p",
        (worse, pressed),
        interference.Estimates(),
        clock.now(),
        is_starved=True,
    )
    assert chosen is pressed


def test_starved_filler_still_needs_free_memory():
    host = _host("h")
    _add_runs(host, jobs.Step(1, memory_mb=250_000))
    task = _task(FILLER)
    no_estimates = interference.Estimates()
    assert (
        placement.choose_host(
            task, "p", [host], no_estimates, clock.now(), is_starved=True
        )
        is None
    )


load_tests = collecting.hook(__name__)
