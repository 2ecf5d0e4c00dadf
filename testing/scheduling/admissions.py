"""Callers of a queue that refuses jobs by forecast, in simulated time."""

import heapq
import itertools
import math
import typing as t

from bilberrypass.scheduling import (
    admission,
    durations,
    forecast_publishing,
    ordering,
    queue_forecast,
    state,
)
from testing.scheduling import job_tasks, overloads

POOL = queue_forecast.Pool("p", False)
_RETRIES = 4
_INTERVAL_S = 1.5  # between records
EPOCH = 7
_ROOM = ordering.Room(overloads.CORES, overloads.CORES)


class Result(t.NamedTuple):
    """What callers got: by id, the time from the first send to the job's end.

    ``value`` is the share earned of the value owed; ``refused`` holds the ids that were
    refused at least once.
    """

    took_s: dict[str, float]
    refused: set[str]
    value: float
    in_time: int
    late: int
    never: int


class _Leader:
    """The leader's forecasts, from the jobs that are open and whether one waits."""

    def __init__(self, learned):
        self._publisher = forecast_publishing.ForecastPublisher(EPOCH)
        self._learned = learned
        self._by_id: dict[str, state.JobState] = {}

    def write(self, open_jobs, is_full, now):
        self._by_id |= {job.job.id: job for job in open_jobs}

        known = self._learned.known_at(now)

        def rank(job, queue, at):
            return ordering.rank(job, queue, at, 0.0, _ROOM, known)

        found = forecast_publishing.Round(
            [(job, overloads.QUEUES[job.job.queue]) for job in open_jobs],
            {POOL} if is_full else set(),
            {POOL: overloads.CORES},
            rank,
            self._by_id.get,
        )
        self._publisher.observe(found, now)
        return self._publisher.record()


def play(arrivals: list[overloads.Arrival], entries: int = 0) -> Result:
    """Play the jobs until all have ended; with no entries, none is refused."""
    gates = [admission.Admission() for _ in range(entries)]
    by_id = {arrival.job.job.id: arrival for arrival in arrivals}
    sent_at = {arrival.job.job.id: arrival.job.accepted_at for arrival in arrivals}
    sequence = itertools.count()
    events = [(a.job.accepted_at, next(sequence), "send", (a, 0)) for a in arrivals]
    events.append((arrivals[0].job.accepted_at, next(sequence), "write", None))
    heapq.heapify(events)
    free, open_jobs = overloads.CORES * 1_000, []
    learned = durations.Durations({})
    leader = _Leader(learned)
    ended_at: dict[str, float] = {}
    refused, is_full = set(), False
    waited_s: dict[str, float] = {}
    while any(kind != "write" for _, _, kind, _ in events):
        now, number, kind, what = heapq.heappop(events)
        if kind == "write":
            if open_jobs:
                record = leader.write(open_jobs, is_full, now)
                for gate in gates:
                    gate.update(record, now)
            heapq.heappush(events, (now + _INTERVAL_S, next(sequence), "write", None))
            continue
        if kind == "send":
            arrival, attempt = what
            job = arrival.job
            if gates:
                verdict = gates[number % entries].decide(
                    job.job, overloads.QUEUES[job.job.queue], EPOCH, now
                )
                if verdict.is_refused:
                    refused.add(job.job.id)
                    waited_s.setdefault(job.job.id, 0.0)
                    waited_s[job.job.id] += verdict.retry_after_s
                    if attempt < _RETRIES:
                        at = now + math.ceil(verdict.retry_after_s)
                        heapq.heappush(
                            events, (at, next(sequence), "send", (arrival, attempt + 1))
                        )
                    continue
            job.accepted_at = now - waited_s.get(job.job.id, 0.0)
            open_jobs.append(job)
            learned.mean_work.add(job.job)
        else:
            task = what
            free += task.step.cpu_milli
            task.job.finish_task(task)
            if not task.job.occurrences.has_open_tasks:
                task.job.update_status(now)
                ended_at[task.key.job] = now
                open_jobs.remove(task.job)
        is_full = False
        for job in overloads.by_rank(open_jobs, now, learned):
            for task in job_tasks.waiting(job, now):
                if task.step.cpu_milli > free:
                    is_full = True
                    continue
                job.begin_task(task)
                task.phase = state.Phase.RUNNING
                free -= task.step.cpu_milli
                end_at = (
                    now + by_id[job.job.id].durations_s[task.key.step][task.key.index]
                )
                heapq.heappush(events, (end_at, next(sequence), "end", task))
    took_s = {id: at - sent_at[id] for id, at in ended_at.items()}
    return _result(arrivals, took_s, refused)


def _result(arrivals, took_s, refused):
    earned, counts = 0.0, [0, 0, 0]
    for arrival in arrivals:
        share = took_s.get(arrival.job.job.id, math.inf) / arrival.objective_s
        outcome = 0 if share <= 1 else 1 if share <= 3 else 2
        counts[outcome] += 1
        earned += arrival.value * (1.0, 0.15, 0.0)[outcome]
    owed = sum(arrival.value for arrival in arrivals)
    return Result(took_s, refused, earned / max(1e-9, owed), *counts)
