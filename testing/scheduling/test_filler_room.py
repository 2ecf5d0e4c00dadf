"""Room for fillers beside services with swinging loads, on hosts of unequal size."""

import collections
import math
import statistics

from bilberrypass import clock
from bilberrypass.hosting import pacing
from bilberrypass.scheduling import (
    host_figures,
    hosts,
    interference,
    jobs,
    messages,
    placement,
    state,
)
from testing import collecting

_TARGET_MS = 50
_PERIOD_S = 14.0
_SERVICE = jobs.Step(
    1, cpu_milli=3_000, is_service=True, image="s", latency_target_ms=_TARGET_MS
)
_FILLER = jobs.Step(
    1, cpu_milli=1_800, is_filler=True, image="f", estimate_s=3.0, memory_mb=100
)
_LOSS = 12.0  # of margin, if fillers used a whole host


class _Fleet:
    """Hosts with one task of a service each, whose latency follows a model."""

    def __init__(self, sizes, now):
        self.estimates = interference.Estimates()
        self.hosts, self._now = [], now
        self._pacers = collections.defaultdict(pacing.Pacer)
        for number, cores in enumerate(sizes):
            host = hosts.Host(f"h{number}", 0.0)
            host.runner = messages.RunnerInfo(
                f"i{number}", 1, "p", cores * 1_000, 99_000, 0, ()
            )
            host.add(_new_task(_SERVICE, "service", number))
            self.hosts.append(host)

    def run(self, seconds):
        """Report all hosts twice a second for some time; return the last time."""
        for _ in range(int(2 * seconds)):
            self._now += 0.5
            for host in self.hosts:
                self._report(host)
        return self._now

    def margin(self, host):
        """Return the true margin of the host's service."""
        used = sum(_used_milli(task) for task in host.tasks.values())
        own = 2.7 + 1.1 * math.sin(math.tau * self._now / _PERIOD_S)
        return max(0.1, own - _LOSS * used / host.runner.cpu_milli)

    def _report(self, host):
        host.reported_at = self._now
        for task in host.tasks.values():
            task.phase = state.Phase.RUNNING
            task.figure = (
                _used_milli(task)
                if task.step.is_filler
                else round(_TARGET_MS / self.margin(host))
            )
        host_figures.update_estimates(host, self.estimates)
        self._pace(host)

    def _pace(self, host):
        """Set the paces as the host's agent does."""
        tasks = list(host.tasks.values())
        course = pacing.Course(
            self._now, self.estimates.loads.of(("service", 0, 0)).course(self._now)
        )
        rows = self.estimates.rows_of({"s"}, {"f"}, host.runner.cpu_milli / 1_000)
        paces = self._pacers[host.name].choose_paces(
            [
                pacing.ServiceLatency(
                    "s", task.figure, _TARGET_MS, course.coming_loss(self._now)
                )
                for task in tasks
                if task.step.is_service
            ],
            [
                pacing.Filler(task.key, "f", task.pace, task.step.cpu_milli / 1_000)
                for task in tasks
                if task.step.is_filler
            ],
            {row[:2]: row.per_core for row in rows},
            self._now,
        )
        for task in tasks:
            task.pace = paces.get(task.key, task.pace)

    def place_filler(self, number, now):
        task = _new_task(_FILLER, f"filler{number}", 0)
        host = placement.choose_host(task, "p", self.hosts, self.estimates, now)
        if host is not None:
            host.add(task)
        return host


def _used_milli(task):
    return task.step.cpu_milli * task.pace // 100 if task.step.is_filler else 0


def _new_task(step, job, index):
    job_state = state.JobState(jobs.Job(job, "q", "", (step,), 0.0), clock.now())
    task = state.Task(job_state, jobs.TaskKey(job, 0, 0, index), step)
    task.run = 1
    return task


def _fleet_with_experience(sizes):
    """Return a fleet that has seen a filler on its first host for some seconds."""
    fleet = _Fleet(sizes, 1_000.0)
    fleet.run(20)
    task = _new_task(_FILLER, "first", 0)
    fleet.hosts[0].add(task)
    fleet.run(10)
    fleet.hosts[0].remove(task)
    return fleet


def test_burst_of_fillers_leaves_services_under_their_targets():
    """Fillers get what services spare over their time, on hosts of 16 and 24 cores.

    Before, a filler was taken to slow services alike on hosts of any size, and the
    turn of a load was not seen.
    """
    fleet = _fleet_with_experience([16, 24] * 4)
    now = fleet.run(14)
    placed, paces = 0, []
    for second in range(28):
        placed += fleet.place_filler(second, now) is not None
        now = fleet.run(1)
        for host in fleet.hosts:
            assert fleet.margin(host) > 1.0, (second, host.name)
        if second % 3 == 2:  # fillers end
            for host in fleet.hosts:
                for task in list(host.tasks.values()):
                    if task.step.is_filler:
                        paces.append(task.pace)
                        host.remove(task)
    assert statistics.fmean(paces) > 75, paces
    assert placed >= 14, placed


def test_small_host_takes_fewer_fillers_than_a_large_one():
    placed = {}
    for cores in (16, 64):
        fleet = _fleet_with_experience([cores] * 3)
        now = fleet.run(8.5)  # the least load
        count = 0
        while fleet.place_filler(count, now) is not None:
            count += 1
        placed[cores] = count
    assert placed[64] > placed[16] > 0, placed


def test_new_leader_admits_few_fillers_until_it_knows_the_loads():
    """Guards against a burst on all hosts after the leader was lost.

    Its successor has the stored estimates, but no course of any load.
    """
    fleet = _fleet_with_experience([16] * 2)
    stored = fleet.estimates.encode()
    fleet.estimates = interference.Estimates()
    fleet.estimates.restore(stored)
    now = fleet.run(0.5)
    count = 0
    while fleet.place_filler(count, now) is not None:
        count += 1
    fleet.run(0.5)
    assert all(fleet.margin(host) > 1.0 for host in fleet.hosts), count


load_tests = collecting.hook(__name__)
