"""Batch jobs that compete for a fixed number of cores, in simulated time."""

import heapq
import itertools
import math
import random
import typing as t

from bilberrypass.scheduling import jobs, ordering, state

CORES = 200
QUEUE = jobs.Queue("q", "p", priority=2, stretch=2.0, latency_objective_s=1.0)
QUEUES = {"q": QUEUE, "urgent": QUEUE._replace(priority=0)}
_DURATION_S = 34.0
_END_S = 52.0
_START_S = 1_000.0
_MEAN_WORK = 2 * 8 * 7 * 3.4
_MAX_LATENESS_FACTOR = 3.0
_LATE_VALUE = 0.15

Order = t.Callable[[list[state.JobState], float, ordering.MeanWork], list]


class Arrival(t.NamedTuple):
    """A job, the true durations of its steps' tasks, and its value to its caller."""

    job: state.JobState
    durations_s: list[float]
    objective_s: float
    value: float


class Outcome(t.NamedTuple):
    """Shares of the jobs: by value earned, in time, in time or late."""

    value: float
    in_time: float
    served: float


def draw(seed: int, load: float, duration_s: float = _DURATION_S) -> list[Arrival]:
    """Draw jobs whose work arrives at ``load`` times the rate that CORES can do.

    Widths, sizes and durations are those of the deployments that the project serves;
    estimates are wrong by half.
    """
    rng = random.Random(seed)
    rate = load * CORES / _MEAN_WORK
    drawn, at = [], rng.expovariate(rate)
    while at < duration_s:
        drawn.append(_draw_job(rng, len(drawn), _START_S + at))
        at += rng.expovariate(rate)
    mean = sum(work for *_, work in drawn) / max(1, len(drawn))
    return [
        Arrival(job, durations, objective, min(4.0, 0.3 + 0.7 * work / mean))
        for job, durations, objective, work in drawn
    ]


def _draw_job(rng, number, at):
    steps, durations_s, work, chain_s = [], [], 0.0, 0.0
    for n in range(max(1, min(5, round(rng.gauss(2, 0.8))))):
        width = max(1, min(32, round(8 * math.exp(rng.gauss(0, 0.6) - 0.18))))
        cores = min(14.0, 7 * math.exp(rng.gauss(0, 0.3)))
        duration_s = min(8.6, 3.4 * math.exp(rng.gauss(0, 0.5) - 0.125))
        estimate_s = duration_s * math.exp(rng.gauss(0, 0.5))
        after = (n - 1,) if n else ()
        steps.append(
            jobs.Step(
                width, int(cores * 1_000), estimate_s=estimate_s, after=after, image="f"
            )
        )
        durations_s.append(duration_s)
        work += width * cores * duration_s
        chain_s += duration_s * max(1, math.ceil(width * cores / (CORES / 4)))
    job = jobs.Job(f"{number:016x}", "q", "", tuple(steps), 0.0)
    objective_s = QUEUE.stretch * chain_s + QUEUE.latency_objective_s
    return state.JobState(job, at), durations_s, objective_s, work


def draw_pile(count: int, duration_s: float, queue: str = "q") -> list[Arrival]:
    """Return equal jobs of a queue that arrive within a time, evenly spaced."""
    duration = 3.0
    step = jobs.Step(7, 7_000, estimate_s=duration, image="f")
    objective_s = QUEUE.stretch * duration + QUEUE.latency_objective_s
    found = []
    for number in range(count):
        job = jobs.Job(f"{queue}{number:09x}", queue, "", (step,), 0.0)
        at = _START_S + number * duration_s / count
        found.append(Arrival(state.JobState(job, at), [duration], objective_s, 1.0))
    return found


def by_rank(open_jobs, now, mean_work):
    """Return the jobs by the product's rank."""
    room = ordering.Room(CORES, CORES)
    return sorted(
        open_jobs,
        key=lambda job: ordering.rank(
            job,
            QUEUES[job.job.queue],
            now,
            0.0,
            mean_work.of(job.job.queue),
            room,
        ),
    )


def by_objective(open_jobs, now, mean_work):
    """Return the jobs by their objective, those that cannot meet it last."""

    def key(job):
        steps = job.job.steps
        total_s = ordering.critical_path_s(steps, lambda number: True)
        left_s = ordering.critical_path_s(
            steps, lambda number: bool(job.open_steps[0, number])
        )
        allowed_s = QUEUE.stretch * total_s + QUEUE.latency_objective_s
        end_s = now + left_s - job.accepted_at
        lateness = (end_s > allowed_s) + (end_s > _MAX_LATENESS_FACTOR * allowed_s)
        return lateness, job.accepted_at + allowed_s

    return sorted(open_jobs, key=key)


def play(arrivals: list[Arrival], order: Order) -> Outcome:
    """Play the jobs in an order of placement, and return what their callers got."""
    by_id = {arrival.job.job.id: arrival for arrival in arrivals}
    events = [(arrival.job.accepted_at, n, None) for n, arrival in enumerate(arrivals)]
    sequence, free = len(events), CORES * 1_000
    open_jobs: list[state.JobState] = []
    mean_work = ordering.MeanWork()
    ended_at: dict[str, float] = {}
    while events:
        now, number, task = heapq.heappop(events)
        if now > _START_S + _END_S:
            break
        if task is None:
            open_jobs.append(arrivals[number].job)
            mean_work.add(arrivals[number].job.job)
        else:
            free += task.step.cpu_milli
            task.job.finish_task(task)
            if not any(task.job.open_steps.values()):
                ended_at[task.key.job] = now
                open_jobs.remove(task.job)
        for job in order(open_jobs, now, mean_work):
            for waiting in itertools.chain(*job.eligible_steps(now)):
                is_waiting = waiting.phase is state.Phase.WAITING
                if is_waiting and waiting.step.cpu_milli <= free:
                    waiting.phase = state.Phase.RUNNING
                    free -= waiting.step.cpu_milli
                    sequence += 1
                    duration_s = by_id[job.job.id].durations_s[waiting.key.step]
                    heapq.heappush(events, (now + duration_s, sequence, waiting))
    return _outcome(arrivals, ended_at)


def _outcome(arrivals, ended_at):
    earned, in_time, served = 0.0, 0, 0
    for arrival in arrivals:
        end_at = ended_at.get(arrival.job.job.id, math.inf)
        took_s = end_at - arrival.job.accepted_at
        is_in_time = took_s <= arrival.objective_s
        is_served = took_s <= _MAX_LATENESS_FACTOR * arrival.objective_s
        earned += arrival.value * (1 if is_in_time else _LATE_VALUE * is_served)
        in_time += is_in_time
        served += is_served
    owed = sum(arrival.value for arrival in arrivals)
    count = max(1, len(arrivals))
    return Outcome(earned / max(1e-9, owed), in_time / count, served / count)
