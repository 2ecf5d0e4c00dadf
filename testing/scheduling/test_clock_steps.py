"""Decisions of the scheduler while times of day jump, on some hosts or its own."""

import time

from bilberrypass import clock
from bilberrypass.scheduling import cleaning, fleet_clock, jobs
from testing import collecting, fixtures
from testing.scheduling import clusters

STEP = jobs.Step(1, cpu_milli=100)
DUE_IN_S = 1.2
TOLERANCE_S = 0.25  # early_ms of RULES.md


def _complete(cluster, host):
    order = cluster.run_task(host)
    host.end_run((order.task, order.run), "done")
    cluster.await_status("completed", host)


def _start_delay_s(cluster, *hosts):
    """Submit a job that is due in DUE_IN_S, and return when its task is ordered."""
    submitted_at = clock.now()
    first_run_at = time.time() + DUE_IN_S
    cluster.submit(STEP, repetitions=1, first_run_at=first_run_at, interval_s=1.0)

    def is_ordered():
        for host in hosts:
            host.report()
        return any(host.orders for host in hosts)

    with fixtures.stepped_time_of_day(cluster.scheduler_step_s):
        fixtures.wait_until(is_ordered, 8.0, "the start")
    return clock.now() - submitted_at


def test_finished_job_is_kept_when_the_schedulers_clock_jumps_forward():
    with clusters.running_cluster() as cluster:
        _complete(cluster, cluster.add_host("h1"))
        with fixtures.stepped_time_of_day(300.0):
            cluster.scheduler._cleaner.clean()
        assert cluster.status() == "completed"
        assert cleaning.job_keys("a" * 16)[0] in cluster.store.items


def test_finished_job_is_kept_when_the_next_scheduler_has_a_clock_ahead():
    with clusters.running_cluster() as cluster:
        _complete(cluster, cluster.add_host("h1"))
        with fixtures.stepped_time_of_day(300.0):
            cluster.elect_scheduler()
            cluster.scheduler._cleaner.clean()
        assert cluster.status() == "completed"


def test_job_accepted_by_an_entry_with_a_clock_behind_is_not_late():
    with clusters.running_cluster() as cluster:
        with fixtures.stepped_time_of_day(-60.0):
            cluster.submit(STEP)
        found = fixtures.wait_until(
            lambda: cluster.scheduler.jobs.get("a" * 16), 2.0, "the job"
        )
        assert clock.now() - found.accepted_at < 3.0


def test_job_accepted_by_an_entry_with_a_clock_ahead_is_not_preferred():
    with clusters.running_cluster() as cluster:
        with fixtures.stepped_time_of_day(60.0):
            cluster.submit(STEP)
        found = fixtures.wait_until(
            lambda: cluster.scheduler.jobs.get("a" * 16), 2.0, "the job"
        )
        assert found.accepted_at <= clock.now()


def test_scheduled_task_does_not_start_early_when_the_schedulers_clock_jumps():
    with clusters.running_cluster() as cluster:
        hosts = [cluster.add_host(f"h{n}") for n in range(2)]
        cluster.scheduler_step_s = 5.0
        delay_s = _start_delay_s(cluster, *hosts)
        assert DUE_IN_S - TOLERANCE_S <= delay_s < DUE_IN_S + 1.0, delay_s


def test_scheduled_task_does_not_start_late_when_the_schedulers_clock_is_set_back():
    with clusters.running_cluster() as cluster:
        hosts = [cluster.add_host(f"h{n}") for n in range(2)]
        cluster.scheduler_step_s = -5.0
        delay_s = _start_delay_s(cluster, *hosts)
        assert DUE_IN_S - TOLERANCE_S <= delay_s < DUE_IN_S + 1.0, delay_s


def test_scheduled_task_starts_in_time_while_a_third_of_the_hosts_jump():
    with clusters.running_cluster() as cluster:
        hosts = [cluster.add_host(f"h{n}") for n in range(6)]
        for host in hosts[:2]:
            host.clock_offset_s += 30.0
        cluster.scheduler_step_s = 0.0
        delay_s = _start_delay_s(cluster, *hosts)
        assert DUE_IN_S - TOLERANCE_S <= delay_s < DUE_IN_S + 1.0, delay_s


def test_fleet_clock_ignores_hosts_that_report_no_time():
    found = fleet_clock.FleetClock()
    for number in range(3):
        found.observe(f"h{number}", 0.0, 10.0)
    assert abs(found.unix_time(clock.now()) - time.time()) < 0.5


def test_fleet_clock_follows_most_hosts():
    now, true_offset_s = 100.0, 5_000.0
    found = fleet_clock.FleetClock()
    for number in range(5):
        found.observe(f"h{number}", now + true_offset_s, now)
    found.observe("h0", now + true_offset_s + 9.0, now)
    found.observe("h1", now + true_offset_s - 9.0, now)
    assert found.unix_time(now + 3.0) == now + 3.0 + true_offset_s


def test_fleet_clock_of_two_clocks_is_the_one_behind():
    now = clock.now()
    found = fleet_clock.FleetClock()
    found.observe("h", time.time() + 20.0, now)
    assert abs(found.unix_time(now) - time.time()) < 0.5


load_tests = collecting.hook(__name__)
