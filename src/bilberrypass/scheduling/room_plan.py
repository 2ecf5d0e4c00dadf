"""The plan of room over time: when hosts will have room, by what runs on them."""

import bisect
import collections.abc as abc
import math
import typing as t

from bilberrypass.scheduling import (
    durations,
    hosts,
    jobs,
    placement,
    room_guard,
    state,
)

ERROR_SHARE: t.Final = 0.5  # estimates are wrong by half in either direction
_STOP_S: t.Final = 0.5  # time of a stop and of the report of its end
_FULL_PERCENT: t.Final = 100.0
_MIN_PACE: t.Final = 0.1
_OVERDUE_SHARE: t.Final = 0.1  # of the time so far, left to a run beyond its estimate

ExpectedEnd = abc.Callable[[state.Task, float], float]


def expected_end(task: state.Task, now: float) -> float:
    """Return when the newest run of a task is expected to end, on ``clock.now``.

    The observed speed counts for as much as the run has progressed, the estimate for
    the rest. A waiting task counts as started now. Infinite for a service, and for a
    run of which nothing is known.
    """
    step = task.step
    if task.phase is state.Phase.STOPPING:
        return now + _STOP_S
    if step.is_service:
        return math.inf
    if task.phase is state.Phase.WAITING:
        return now + step.estimate_s if step.estimate_s else math.inf
    progress = task.progress
    done = progress.percent / _FULL_PERCENT
    pace = max(_MIN_PACE, task.pace / _FULL_PERCENT)
    if not done:
        if not step.estimate_s:
            return math.inf
        # An earlier scheduler started the run if its start is not known.
        elapsed_s = now - (task.started_at or progress.started_at or now)
        return now + max(step.estimate_s / pace - elapsed_s, _OVERDUE_SHARE * elapsed_s)
    remaining_s = step.estimate_s * (1.0 - done) / pace
    since_s = now - progress.advanced_at
    if task.started_at:
        speed_s = (progress.advanced_at - task.started_at) / done
        observed_s = speed_s * (1.0 - done)
        remaining_s = done * observed_s + (1.0 - done) * remaining_s
    return now + max(remaining_s - since_s, _OVERDUE_SHARE * since_s)


def corrected_end(learned: durations.Durations) -> ExpectedEnd:
    """Return the expected ends of runs by the corrected durations."""

    def expected(task: state.Task, now: float) -> float:
        if task.phase is state.Phase.STOPPING:
            return now + _STOP_S
        key = task.key
        if not learned.task_s(task.job, key.occurrence, key.step):
            return math.inf
        return learned.expected_end(task, now)

    return expected


def latest_end(expected: float, now: float) -> float:
    """Return the end of a run that is later than expected by the error margin."""
    return now + (expected - now) * (1.0 + ERROR_SHARE)


class Usage:
    """What runs on a host use at one time, of the totals that ``hosts.Host`` keeps."""

    __slots__ = (
        "filler_cpu",
        "runner",
        "service_cpu",
        "used_cpu",
        "used_gpus",
        "used_memory",
    )

    def __init__(self, host: room_guard.Totals) -> None:
        self.runner = host.runner
        self.used_cpu = host.used_cpu
        self.used_memory = host.used_memory
        self.used_gpus = host.used_gpus
        self.filler_cpu = host.filler_cpu
        self.service_cpu = host.service_cpu

    def update(self, step: jobs.Step, sign: int) -> None:
        """Add a task of a step, or remove it with the sign -1."""
        if step.is_filler:
            self.filler_cpu += sign * step.cpu_milli
        else:
            self.used_cpu += sign * step.cpu_milli
        self.used_memory += sign * step.memory_mb
        self.used_gpus += sign * step.gpus
        self.service_cpu += sign * step.cpu_milli * step.is_service


class Free(t.NamedTuple):
    """Room that no run uses: thousandths of a core, megabytes, accelerators."""

    cpu_milli: int
    memory_mb: int
    gpus: int


class Fit(t.NamedTuple):
    """When a task fits, and how many runs end before."""

    at: float
    ends: int


class _Schedule(t.NamedTuple):
    """The expected ends of a host's runs, ascending; ``runs`` counts all."""

    runs: int
    ends: list[float]
    steps: list[jobs.Step]


@t.final
class RoomPlan:
    """Tells when room will be free, in one round of placement.

    Handles fleets on which no host has room for a waiting task. A host's part is
    computed when it is asked for, and again after a run was added to the host.

    Parameters
    ----------
    now : float
        Time of the round, on ``clock.now``.
    expected : callable
        Returns when a task's run is expected to end; see ``expected_end``.
    """

    def __init__(self, now: float, expected: ExpectedEnd = expected_end) -> None:
        self.now = now
        self._expected = expected
        self._schedules: dict[str, _Schedule] = {}

    def expected_end(self, task: state.Task) -> float:
        """Return when a task is expected to end, if it starts now or has started."""
        return self._expected(task, self.now)

    def earliest_fit(self, step: jobs.Step, host: hosts.Host) -> Fit:
        """Return when a host has room for a task of a step, infinite for never."""
        if placement.fits(step, host):
            return Fit(self.now, 0)
        schedule = self._schedule(host)
        if not step.is_filler:
            return _fit_plain(step, Usage(host), schedule)
        usage = Usage(host)
        for number, ending in enumerate(schedule.steps):
            usage.update(ending, -1)
            if placement.fits(step, usage):
                return Fit(schedule.ends[number], number + 1)
        return Fit(math.inf, len(schedule.ends))

    def usage_at(self, host: hosts.Host, at: float) -> Usage:
        """Return what the host's present runs will use at a time."""
        usage = Usage(host)
        schedule = self._schedule(host)
        for ending in schedule.steps[: bisect.bisect_right(schedule.ends, at)]:
            usage.update(ending, -1)
        return usage

    def free_at(self, usable: abc.Iterable[hosts.Host], at: float) -> Free:
        """Return the room that the present runs leave on all of some hosts at a time.

        Fillers leave the cores that they use, since other work has precedence there.
        """
        total = Free(0, 0, 0)
        for host in usable:
            free = _free(self.usage_at(host, at))
            total = Free(*(a + b for a, b in zip(total, free, strict=True)))
        return total

    def _schedule(self, host: hosts.Host) -> _Schedule:
        known = self._schedules.get(host.name)
        if known is not None and known.runs == len(host.tasks):
            return known
        found = []
        for task in host.tasks.values():
            end = self._expected(task, self.now)
            if end < math.inf:
                found.append((end, task.step))
        found.sort(key=lambda item: item[0])
        schedule = _Schedule(
            len(host.tasks), [end for end, _ in found], [step for _, step in found]
        )
        self._schedules[host.name] = schedule
        return schedule


def _fit_plain(step: jobs.Step, usage: Usage, schedule: _Schedule) -> Fit:
    """Return when a task fits that is no filler; ``placement.fits`` takes longer."""
    runner = usage.runner
    assert runner is not None
    cpu = usage.used_cpu + step.cpu_milli - runner.cpu_milli
    memory = usage.used_memory + step.memory_mb - runner.memory_mb
    gpus = usage.used_gpus + step.gpus - runner.gpus
    for number, ending in enumerate(schedule.steps):
        if not ending.is_filler:
            cpu -= ending.cpu_milli
        memory -= ending.memory_mb
        gpus -= ending.gpus
        if cpu <= 0 and memory <= 0 and gpus <= 0:
            return Fit(schedule.ends[number], number + 1)
    return Fit(math.inf, len(schedule.ends))


def _free(usage: room_guard.Totals) -> Free:
    runner = usage.runner
    if runner is None:
        return Free(0, 0, 0)
    return Free(
        max(0, runner.cpu_milli - usage.used_cpu),
        max(0, runner.memory_mb - usage.used_memory),
        max(0, runner.gpus - usage.used_gpus),
    )


def host_kind(host: hosts.Host) -> str:
    """Return what hosts of one size and service share, for figures by kind."""
    assert host.runner is not None
    cores = host.runner.cpu_milli // jobs.MILLI_PER_CORE
    gpus = f"-{host.runner.gpus}gpu" if host.runner.gpus else ""
    return f"{host.runner.service}-{cores}c{gpus}"


def largest_gaps(usable: abc.Iterable[hosts.Host]) -> dict[str, Free]:
    """Return by kind of host the room of the host that has most cores free.

    It is the largest task that would fit there now, other than a filler.
    """
    found: dict[str, Free] = {}
    for host in usable:
        kind, free = host_kind(host), _free(host)
        found[kind] = max(found.get(kind, Free(0, 0, 0)), free)
    return found
