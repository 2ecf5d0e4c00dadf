"""The order in which jobs are placed on hosts."""

import collections.abc as abc
import enum
import math
import typing as t

from bilberrypass.scheduling import durations, hosts, jobs, placement, state

# To its caller, a job that finishes within this many objectives still has some
# value; a job is worth a fixed part and a part that grows with its work, up to a limit.
_MAX_LATENESS_FACTOR: t.Final = 3.0
_FIXED_VALUE: t.Final = 0.3
_VALUE_OF_MEAN_WORK: t.Final = 0.7
_MAX_VALUE: t.Final = 4.0
# A late job has often been begun; to drop it wastes its work and its caller's wait.
_LATE_WEIGHT: t.Final = 0.9
_USELESS_WEIGHT: t.Final = 0.2
_MAX_ROOM_SHARE: t.Final = 0.5  # of one job; the others' tasks are in between

_CROWDED_CPU_SHARE: t.Final = 0.6  # a job may wait while half is in use


class Group(enum.IntEnum):
    """Groups of the jobs of one priority, in the order in which they are placed."""

    RESCUED = 0
    BY_VALUE = 1
    HOPELESS = 2


class Chance(t.NamedTuple):
    """Whether a batch job can still end while it is of use to its caller.

    ``time_left_s`` is the time for which it is of use, ``needed_s`` the time that it
    needs once it goes first, ``error`` the standard deviation of the logarithm of that;
    ``left`` is its work left in core-seconds.
    """

    time_left_s: float
    needed_s: float
    error: float
    left: float
    is_filler: bool


class Rank(t.NamedTuple):
    """Sort key of jobs, smallest first; ``accepted_at`` is on ``clock.now``.

    No two jobs have the same ``job``, so ``chance`` does not count in the order. It is
    None where a job's time or needs are unknown.
    """

    priority: int
    is_batch: bool
    group: Group
    negative_value_density: float
    accepted_at: float
    job: str
    chance: Chance | None = None


class Room(t.NamedTuple):
    """Cores that the usable hosts have for batch tasks, and for fillers."""

    batch: float
    fillers: float


def measure_room(usable: abc.Iterable[hosts.Host]) -> Room:
    """Return the room of hosts, including what batch tasks and fillers use."""
    batch = fillers = 0
    for host in usable:
        assert host.runner is not None
        batch += max(0, host.runner.cpu_milli - host.service_cpu)
        fillers += max(0, placement.spare_cpu(host) + host.filler_cpu)
    return Room(batch / jobs.MILLI_PER_CORE, fillers / jobs.MILLI_PER_CORE)


def is_crowded(usable: abc.Iterable[hosts.Host], service: str) -> bool:
    """Return whether most cores of the hosts of a service are reserved."""
    used = total = 0
    for host in usable:
        if host.runner is not None and host.runner.service == service:
            used += host.used_cpu
            total += host.runner.cpu_milli
    return used > _CROWDED_CPU_SHARE * total


def rank(
    job: state.JobState,
    queue: jobs.Queue,
    now: float,
    unix_now: float,
    room: Room,
    learned: durations.Durations | durations.KnownDurations,
) -> Rank:
    """Return the rank of a job at a time on ``clock.now``.

    Handles loads that exceed the capacity of the hosts for many seconds. Jobs go by
    their value for each core-second of work that is left, by the expected durations,
    so that few are begun and most of these are finished. By the earliest objective,
    all would be begun and most finished too late. Services go before batch jobs of
    their priority, since a host that batch tasks have filled has no room for them.
    Jobs that can no longer end while they are of use go last, as far as their queue's
    objective and their estimates tell.

    Parameters
    ----------
    job : state.JobState
        The job, with its open steps.
    queue : jobs.Queue
        The queue, with its priority and its latency objective.
    now : float
        Time on ``clock.now``.
    unix_now : float
        Unix time at ``now``, for the due times of repetitions.
    room : Room
        Cores for which the job competes.
    learned : durations.Durations
        Expected durations of the job's tasks, and the mean work of its queue.
    """
    steps = job.job.steps
    if any(step.is_service for step in steps):
        return Rank(
            queue.priority, False, Group.BY_VALUE, 0.0, job.accepted_at, job.job.id
        )
    outlook = learned.outlook(job, now)
    mean_work = learned.mean_work.of(job.job.queue) * learned.value_bias(job.job.queue)
    is_filler = any(step.is_filler for step in steps)
    cores = room.fillers if is_filler else room.batch
    remaining_s = max(
        outlook.path_left_s, outlook.left / max(1.0, cores * _MAX_ROOM_SHARE)
    )
    allowed_s = queue.stretch * outlook.path_s + queue.latency_objective_s
    value = _FIXED_VALUE + _VALUE_OF_MEAN_WORK * outlook.work / mean_work
    age_s = now - job.accepted_at
    if job.job.repetitions:
        age_s = unix_now - job.occurrences.due_at(job.occurrences.first_open())
    weight = _lateness_weight(age_s + remaining_s, allowed_s)
    density = weight * min(_MAX_VALUE, value) / outlook.left
    chance = None
    if queue.latency_objective_s > 0 and all(step.estimate_s for step in steps):
        time_left_s = _MAX_LATENESS_FACTOR * allowed_s - age_s
        chance = Chance(
            time_left_s, remaining_s, outlook.error, outlook.left, is_filler
        )
    is_lost = chance is not None and _is_hopeless(chance)
    group = Group.HOPELESS if is_lost else Group.BY_VALUE
    return Rank(
        queue.priority, True, group, -density, job.accepted_at, job.job.id, chance
    )


def _is_hopeless(chance: Chance) -> bool:
    """Return whether a job ends too late even if it needs less than expected."""
    return chance.needed_s / math.exp(chance.error) > chance.time_left_s


def _lateness_weight(end_s: float, allowed_s: float) -> float:
    """Return the weight of a job's value by the time from acceptance to its end."""
    if end_s <= allowed_s:
        return 1.0
    is_useful = end_s <= _MAX_LATENESS_FACTOR * allowed_s
    return _LATE_WEIGHT if is_useful else _USELESS_WEIGHT
