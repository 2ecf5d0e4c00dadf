"""Batch jobs that compete for a fixed number of cores, in simulated time."""

import heapq
import math
import random
import typing as t

from bilberrypass.scheduling import durations, jobs, ordering, passing_over, state
from testing.scheduling import job_tasks

CORES = 200
END_S = 52.0
SPREAD_END_S = 90.0
QUEUE = jobs.Queue("q", "p", priority=2, stretch=2.0, latency_objective_s=1.0)
QUEUES = {"q": QUEUE, "urgent": QUEUE._replace(name="urgent", priority=0)}
_DURATION_S = 34.0
_SPREAD_DURATION_S = 60.0
_START_S = 1_000.0
_MEAN_WORK = 2 * 8 * 7 * 3.4
_MAX_LATENESS_FACTOR = 3.0
_LATE_VALUE = 0.15
_REPORT_INTERVAL_S = 0.5
_TAIL_SHARE = 0.05
_TAIL = 7.0
_SPREAD_WORK = 1 + _TAIL_SHARE * (_TAIL - 1)

Order = t.Callable[[list[state.JobState], float, durations.Durations], list]


class Arrival(t.NamedTuple):
    """A job, the true durations of its tasks by step, and its value to its caller."""

    job: state.JobState
    durations_s: list[list[float]]
    objective_s: float
    value: float


class Outcome(t.NamedTuple):
    """Shares of the jobs: by value earned, in time, in time or late."""

    value: float
    in_time: float
    served: float


def draw(
    seed: int, load: float, error: float = 0.5, has_spread: bool = False
) -> list[Arrival]:
    """Draw jobs whose work arrives at ``load`` times the rate that CORES can do.

    Widths, sizes and durations are those of the deployments that the project serves.
    ``error`` is the standard deviation of the logarithm of the estimates. With
    ``has_spread`` the tasks of a step differ by 15 to 30 in 100, and one in twenty
    takes seven times as long.
    """
    rng, task_rng = random.Random(seed), random.Random(f"tasks {seed}")
    rate = load * CORES / (_MEAN_WORK * (_SPREAD_WORK if has_spread else 1.0))
    drawn, at = [], rng.expovariate(rate)
    while at < (_SPREAD_DURATION_S if has_spread else _DURATION_S):
        drawn.append(_draw_job(rng, len(drawn), _START_S + at, error))
        at += rng.expovariate(rate)
    mean = sum(work for *_, work in drawn) / max(1, len(drawn))
    return [
        _draw_tasks(task_rng, job, steps_s, has_spread, min(4.0, 0.3 + 0.7 * w / mean))
        for job, steps_s, w in drawn
    ]


def _draw_tasks(rng, job, steps_s, has_spread, value):
    tasks_s, chain_s = [], 0.0
    for step, step_s in zip(job.job.steps, steps_s, strict=True):
        spread = rng.uniform(0.15, 0.3) * has_spread
        tails = [
            _TAIL if rng.random() < _TAIL_SHARE else 1.0 for _ in range(step.count)
        ]
        tasks_s.append(
            [
                step_s * math.exp(rng.gauss(0, spread)) * (tail if has_spread else 1.0)
                for tail in tails
            ]
        )
        cores = step.cpu_milli / jobs.MILLI_PER_CORE
        waves = max(1, math.ceil(step.count * cores / (CORES / 4)))
        chain_s += max(tasks_s[-1]) + (waves - 1) * step_s
    objective_s = QUEUE.stretch * chain_s + QUEUE.latency_objective_s
    return Arrival(job, tasks_s, objective_s, value)


def _draw_job(rng, number, at, error):
    steps, durations_s, work = [], [], 0.0
    for n in range(max(1, min(5, round(rng.gauss(2, 0.8))))):
        width = max(1, min(32, round(8 * math.exp(rng.gauss(0, 0.6) - 0.18))))
        cores = min(14.0, 7 * math.exp(rng.gauss(0, 0.3)))
        duration_s = min(8.6, 3.4 * math.exp(rng.gauss(0, 0.5) - 0.125))
        estimate_s = duration_s * math.exp(rng.gauss(0, error))
        after = (n - 1,) if n else ()
        steps.append(
            jobs.Step(
                width, int(cores * 1_000), estimate_s=estimate_s, after=after, image="f"
            )
        )
        durations_s.append(duration_s)
        work += width * cores * duration_s
    job = jobs.Job(f"{number:016x}", "q", "", tuple(steps), 0.0)
    return state.JobState(job, at), durations_s, work


def draw_pile(count: int, duration_s: float, queue: str = "q") -> list[Arrival]:
    """Return equal jobs of a queue that arrive within a time, evenly spaced."""
    duration = 3.0
    step = jobs.Step(7, 7_000, estimate_s=duration, image="f")
    objective_s = QUEUE.stretch * duration + QUEUE.latency_objective_s
    found = []
    for number in range(count):
        job = state.JobState(
            jobs.Job(f"{queue}{number:09x}", queue, "", (step,), 0.0),
            _START_S + number * duration_s / count,
        )
        found.append(Arrival(job, [[duration] * step.count], objective_s, 1.0))
    return found


def by_rank(open_jobs, now, learned):
    """Return the jobs in the product's order."""
    room = ordering.Room(CORES, CORES)
    queues = [QUEUES[job.job.queue] for job in open_jobs]
    ranked = [
        (ordering.rank(job, queue, now, 0.0, room, learned), job, queue)
        for job, queue in zip(open_jobs, queues, strict=True)
    ]
    return [job for _, job, _ in passing_over.Rescuer().sort(ranked, room, now)]


def _paths_s(job):
    """Return the critical paths in all and of the open steps, by the estimates."""
    steps = job.job.steps
    total_s = [step.estimate_s for step in steps]
    left_s = [s * bool(job.occurrences.open_count(0, n)) for n, s in enumerate(total_s)]
    return durations.path_s(steps, total_s), durations.path_s(steps, left_s)


def by_estimates(open_jobs, now, learned):
    """Return the jobs by value for each core-second left, by the estimates alone."""

    def key(job):
        steps = job.job.steps
        counts = [job.occurrences.open_count(0, number) for number in range(len(steps))]
        left = durations.work_core_s(steps, counts)
        work = durations.work_core_s(steps, [step.count for step in steps])
        total_s, left_s = _paths_s(job)
        end_s = now - job.accepted_at + max(left_s, left / (CORES / 2))
        allowed_s = QUEUE.stretch * total_s + QUEUE.latency_objective_s
        weight = 1.0 if end_s <= allowed_s else 0.5
        if end_s > _MAX_LATENESS_FACTOR * allowed_s:
            weight = 0.2
        value = min(4.0, 0.3 + 0.7 * work / learned.mean_work.of("q"))
        return -weight * value / left, job.accepted_at

    return sorted(open_jobs, key=key)


def by_objective(open_jobs, now, learned):
    """Return the jobs by their objective, those that cannot meet it last."""

    def key(job):
        total_s, left_s = _paths_s(job)
        allowed_s = QUEUE.stretch * total_s + QUEUE.latency_objective_s
        end_s = now + left_s - job.accepted_at
        lateness = (end_s > allowed_s) + (end_s > _MAX_LATENESS_FACTOR * allowed_s)
        return lateness, job.accepted_at + allowed_s

    return sorted(open_jobs, key=key)


def play(arrivals: list[Arrival], order: Order, end_s: float = END_S) -> Outcome:
    """Play the jobs in an order of placement, and return what their callers got."""
    by_id = {arrival.job.job.id: arrival for arrival in arrivals}
    events = [(arrival.job.accepted_at, n, None) for n, arrival in enumerate(arrivals)]
    sequence, free = len(events), CORES * 1_000
    open_jobs: list[state.JobState] = []
    running: dict[state.Task, float] = {}
    report_at = 0.0
    learned = durations.Durations({})
    ended_at: dict[str, float] = {}
    while events:
        now, number, task = heapq.heappop(events)
        if now > _START_S + end_s:
            break
        if now >= report_at:
            report_at = now + _REPORT_INTERVAL_S
            for other, duration_s in running.items():
                done = (now - other.started_at) / duration_s
                other.progress.observe(int(100 * done), 100, now)
        if task is None:
            open_jobs.append(arrivals[number].job)
            learned.mean_work.add(arrivals[number].job.job)
        else:
            free += task.step.cpu_milli
            del running[task]
            task.job.finish_task(task)
            learned.observe_end(task, durations.took_s(task, now))
            if not task.job.occurrences.has_open_tasks:
                ended_at[task.key.job] = now
                open_jobs.remove(task.job)
        for job in order(open_jobs, now, learned):
            for waiting in job_tasks.waiting(job, now):
                if waiting.step.cpu_milli <= free:
                    job.begin_task(waiting)
                    waiting.phase, waiting.started_at = state.Phase.RUNNING, now
                    job.status = state.Status.RUNNING
                    free -= waiting.step.cpu_milli
                    sequence += 1
                    key = waiting.key
                    duration_s = by_id[key.job].durations_s[key.step][key.index]
                    running[waiting] = duration_s
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
