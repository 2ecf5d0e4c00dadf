"""The tasks of a wide step, placed in one pass, and steps that find no room."""

import random

from bilberrypass import clock
from bilberrypass.scheduling import (
    full_demands,
    hosts,
    interference,
    jobs,
    messages,
    placement,
    state,
)
from testing import collecting
from testing.scheduling import clusters

SMALL = jobs.Step(1, cpu_milli=1_000, memory_mb=100)
LARGE = jobs.Step(1, cpu_milli=9_000, memory_mb=100)


def _task(step, index=0, job="j"):
    owner = state.JobState(jobs.Job(job, "q", "", (step,), 0.0), clock.now())
    return state.Task(owner, jobs.TaskKey(job, 0, 0, index), step)


def _fleet(seed):
    """Return hosts of different sizes, some with services and fillers."""
    rng = random.Random(seed)
    fleet = []
    for number in range(12):
        host = hosts.Host(f"h{number}", 0.0)
        labels = ("a", f"r{number // 3}")
        cpu = rng.choice((16_000, 32_000, 64_000))
        host.runner = messages.RunnerInfo("i", 1, "p", cpu, 64_000, 0, labels)
        host.reported_at = clock.now()
        for index in range(rng.randrange(3)):
            image = rng.choice("st")
            service = jobs.Step(
                1, 6_000, 2_000, is_service=True, image=image, latency_target_ms=50
            )
            task = _task(service, index, f"s{number}")
            task.figure = rng.randrange(10, 45)
            host.add(task)
        fleet.append(host)
    return fleet


def _choose_one_by_one(fleet, estimates, now):
    return lambda task: placement.choose_host(task, "p", fleet, estimates, now)


def _place(tasks, choose):
    """Return the hosts of the tasks; each is added before the next is placed."""
    found = []
    for task in tasks:
        host = choose(task)
        found.append(host and host.name)
        if host is not None:
            task.run = 1
            host.add(task)
    return found


def test_step_is_placed_as_its_tasks_would_be_one_by_one():
    for seed in range(20):
        rng = random.Random(seed)
        step = jobs.Step(
            40,
            rng.choice((500, 3_000, 7_000)),
            rng.choice((100, 4_000)),
            is_filler=rng.random() < 0.5,
            image="f",
            max_per_host=rng.choice((0, 2)),
        )
        estimates, now = interference.Estimates(), clock.now()
        tasks = [_task(step, index) for index in range(step.count)]
        for task in tasks[::5]:
            task.avoided_host = f"h{rng.randrange(12)}"
        one_by_one, at_once = _fleet(seed), _fleet(seed)
        expected = _place(tasks, _choose_one_by_one(one_by_one, estimates, now))
        chooser = placement.StepPlacement(
            step, jobs.step_key(tasks[0].key), "p", at_once, estimates, now
        )
        assert _place(tasks, chooser.choose) == expected, seed


def test_avoided_host_is_chosen_only_if_no_other_has_room():
    fleet = _fleet(1)[:2]
    first, second = _task(SMALL), _task(SMALL, 1)
    first.avoided_host = placement.choose_host(
        second, "p", fleet, interference.Estimates(), clock.now()
    ).name
    for candidates, expected in ((fleet, False), (fleet[:1], True)):
        first.avoided_host = first.avoided_host if len(candidates) > 1 else "h0"
        chosen = placement.choose_host(
            first, "p", candidates, interference.Estimates(), clock.now()
        )
        assert (chosen.name == first.avoided_host) is expected


def test_smaller_step_is_placed_in_a_round_in_which_a_larger_one_was_not():
    """Steps that need no less than one without room are skipped, others are not."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1", cpu=8_000)
        cluster.submit(LARGE, LARGE, SMALL, id="a" * 16)
        cluster.submit(SMALL._replace(is_filler=True, image="f"), id="b" * 16)
        orders = host.await_orders(2)
        assert {order.task for order in orders} == {
            f"{'a' * 16}.0.2.0",
            f"{'b' * 16}.0.0.0",
        }


def test_refused_demand_covers_only_what_needs_no_less_of_the_same_kind():
    full = full_demands.FullDemands()
    full.add(LARGE, "p")
    assert full.covers(LARGE._replace(memory_mb=500), "p")
    assert not full.covers(LARGE._replace(memory_mb=50), "p")
    assert not full.covers(SMALL, "p")
    assert not full.covers(LARGE, "another service")
    assert not full.covers(LARGE._replace(required_label="a"), "p")
    assert not full.covers(LARGE._replace(is_filler=True, image="f"), "p")


def test_step_that_may_not_share_hosts_refuses_nothing_for_others():
    full = full_demands.FullDemands()
    full.add(LARGE._replace(max_per_host=1), "p")
    assert not full.covers(LARGE, "p")


load_tests = collecting.hook(__name__)
