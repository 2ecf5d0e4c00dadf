"""Lasting tasks that wait in line to start alone after crashes of their runner."""

from bilberrypass import clock, crash_limits
from bilberrypass.scheduling import jobs
from testing import collecting, fixtures
from testing.scheduling import clusters

JOB = "a" * 16
STEP = jobs.Step(1, cpu_milli=100)
AGE_S = 0.85  # a run outlives such crashes in 1.8 s


def _start_lasting(cluster, host, count):
    """Start lasting tasks on a host, and let its runner crash twice under them."""
    cluster.submit(STEP._replace(count=count, is_service=True))
    for _ in range(2):
        fixtures.wait_until(lambda: _count_runs(host) == count, 5.0, "all runs")
        host.report()
        host.crash(AGE_S)
        host.report()


def _count_runs(host):
    """Let a host execute its orders; return how many runs it has."""
    host.report()
    host.execute_orders()
    return len(host.rows)


def test_lasting_tasks_do_not_wait_long_in_line_for_starts_alone():
    """Each of them waited until the one before had outlived its crashes (review/14).

    Eight were away for up to 13 s after their runner was back.
    """
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        _start_lasting(cluster, host, 8)
        since = clock.now()
        fixtures.wait_until(lambda: _count_runs(host) == 8, 6.5, "all at work")
        assert clock.now() - since > crash_limits.MAX_LINE_S


def test_crash_under_the_rest_of_the_line_fails_no_lasting_job():
    """One of them may crash its runner; the others are innocent."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        _start_lasting(cluster, host, 6)
        fixtures.wait_until(lambda: _count_runs(host) > 3, 8.0, "starts together")
        host.crash(0.1)
        host.report()
        crashes = [len(task.crashes) for task in _open_tasks(cluster)]
        assert max(crashes) == crash_limits.MAX_CRASHES, crashes
        assert not cluster.scheduler.jobs[JOB].failed
        # From now on each of them starts alone, however long it waits.
        for task in _open_tasks(cluster):
            if len(task.crashes) == crash_limits.MAX_CRASHES:
                task.not_before = 0.0
                isolation = task.isolation(clock.now())
                assert isolation is crash_limits.Isolation.ALONE


def _open_tasks(cluster):
    return list(cluster.scheduler.jobs[JOB].occurrences.begun_tasks())


load_tests = collecting.hook(__name__)
