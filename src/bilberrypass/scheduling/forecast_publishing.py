"""Writes the leader's forecasts for entries to the store while jobs lack room."""

import collections.abc as abc
import functools
import math
import typing as t

import prometheus_client as prometheus

from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    admission,
    committing,
    durations,
    hosts,
    jobs,
    keyvalue,
    leader_gauges,
    ordering,
    queue_forecast,
    state,
)

_INTERVAL_S: t.Final = 1.5  # several records within queue_forecast.VALID_S
_MAX_KINDS: t.Final = 2 * queue_forecast.MAX_ROWS
_MAX_RANKED: t.Final = 96  # jobs of a pool, since ranks take time
_TENTHS: t.Final = 10

_ended_jobs = prometheus.Counter(
    "bilberrypass_forecast_jobs",
    "Completed jobs by forecast end, in tenths of the time of use, and by outcome",
    ["tenth", "outcome"],
)
_rows_metric = leader_gauges.create(
    "bilberrypass_forecast_rows", "Kinds of jobs with a forecast wait"
)

RankOf = abc.Callable[[state.JobState, jobs.Queue, float], t.Any]
Rooms = abc.Mapping[queue_forecast.Pool, float]
LeftOf = abc.Callable[[state.JobState], float]


class Round(t.NamedTuple):
    """What a round of placement knows of the load.

    ``open_jobs`` have their queues; ``waiting`` holds the pools in which a task found
    no room, and ``rooms`` the cores of each pool. ``rank_of`` returns the rank of a job
    at a time on ``clock.now``, ``job_of`` a job that was open before, or None.
    """

    open_jobs: list[tuple[state.JobState, jobs.Queue]]
    waiting: set[queue_forecast.Pool]
    rooms: Rooms
    rank_of: RankOf
    job_of: abc.Callable[[str], state.JobState | None]


class _Expected(t.NamedTuple):
    """The forecast of a job when it was first seen, and its objective, in seconds."""

    tenth: int
    objective_s: float


def work_left_core_s(job: state.JobState) -> float:
    """Return the work of a job that is not done, in core-seconds by its estimates."""
    found = job.occurrences
    occurrence = found.first_open()
    counts = [found.open_count(occurrence, n) for n in range(len(job.job.steps))]
    return durations.work_core_s(job.job.steps, counts)


def kind_of(job: jobs.Job) -> queue_forecast.Kind:
    """Return the kind of a job, by its queue and its work."""
    work = durations.work_core_s(job.steps, [step.count for step in job.steps])
    is_filler = any(step.is_filler for step in job.steps)
    return queue_forecast.Kind(job.queue, queue_forecast.size_of(work), is_filler)


@t.final
class ForecastPublisher:
    """Keeps the forecasts of one scheduler, and decides when they are written.

    Parameters
    ----------
    epoch : int
        Epoch of the scheduler.
    left_of : callable, optional
        Returns the work left of a job in core-seconds.
    """

    def __init__(self, epoch: int, left_of: LeftOf = work_left_core_s) -> None:
        self._epoch = epoch
        self._left_of = left_of
        self._forecaster = queue_forecast.Forecaster()
        self._samples: dict[queue_forecast.Kind, state.JobState] = {}
        self._kinds: dict[str, queue_forecast.Kind] = {}
        self._expected: dict[str, _Expected] = {}
        self._rows: dict[queue_forecast.Kind, queue_forecast.Row] = {}
        self._sequence = 0
        self._due_at = 0.0
        self._is_written = True
        self._was_pressed = False

    def is_due(self, now: float) -> bool:
        """Return whether ``observe`` is to be called."""
        return now >= self._due_at

    def observe(self, found: Round, now: float) -> None:
        """Renew the forecasts after a round of placement; ``now`` as ``clock.now``."""
        self._due_at = now + _INTERVAL_S
        by_id: dict[str, tuple[state.JobState, jobs.Queue]] = {}
        open_jobs = []
        for job, queue in found.open_jobs:
            id = job.job.id
            if not any(step.is_service for step in job.job.steps):
                if id not in self._kinds:
                    self._kinds[id] = kind_of(job.job)
                pool = queue_forecast.Pool(queue.service, self._kinds[id].is_filler)
                open_jobs.append(queue_forecast.OpenJob(id, pool, self._left_of(job)))
                by_id[id] = job, queue
        self._kinds = {id: self._kinds[id] for id in by_id}
        self._forecaster.update(
            now,
            open_jobs,
            found.waiting,
            found.rooms,
            lambda id: _is_completed(found.job_of(id)),
        )
        self._count_ended(by_id, found.job_of)
        queue_by_kind: dict[queue_forecast.Kind, jobs.Queue] = {}
        for id, (job, queue) in by_id.items():
            if admission.is_eligible(job.job, queue):
                queue_by_kind[self._kinds[id]] = queue
                if id not in self._expected:
                    self._expect(job, queue, found.rooms)
                    self._choose_sample(job, queue, found.rank_of, now)

        @functools.cache
        def ahead_in(pool: queue_forecast.Pool, after_s: float) -> queue_forecast.Ahead:
            return _order(open_jobs, pool, by_id, found.rank_of, now + after_s)

        self._renew_rows(ahead_in, queue_by_kind, found, now)

    def _expect(self, job: state.JobState, queue: jobs.Queue, rooms: Rooms) -> None:
        """Note the forecast with which a job was accepted."""
        kind = self._kinds[job.job.id]
        row = self._rows.get(kind)
        cores = rooms.get(queue_forecast.Pool(queue.service, kind.is_filler), 0.0)
        useful_s = admission.useful_s(job.job, queue, cores)
        end_s = admission.path_s(job.job, cores) + (0.0 if row is None else row.wait_s)
        tenth = min(_TENTHS, int(_TENTHS * end_s / useful_s))
        objective_s = useful_s / queue_forecast.MAX_LATENESS_FACTOR
        self._expected[job.job.id] = _Expected(tenth, objective_s)

    def _count_ended(
        self,
        by_id: abc.Container[str],
        job_of: abc.Callable[[str], state.JobState | None],
    ) -> None:
        for id in [id for id in self._expected if id not in by_id]:
            expected, job = self._expected.pop(id), job_of(id)
            if job is not None and _is_completed(job):
                took = (job.final_since - job.accepted_at) / expected.objective_s
                is_useful = took <= queue_forecast.MAX_LATENESS_FACTOR
                outcome = "in_time" if took <= 1 else "late" if is_useful else "useless"
                _ended_jobs.labels(str(expected.tenth), outcome).inc()

    def _choose_sample(
        self, job: state.JobState, queue: jobs.Queue, rank_of: RankOf, now: float
    ) -> None:
        """Keep the job if it ranks best of its kind, so that waits are not too long."""
        kind = self._kinds[job.job.id]
        sample = state.JobState(job.job, now)
        known = self._samples.get(kind)
        if known is not None:
            known.accepted_at = now
            if rank_of(known, queue, now) <= rank_of(sample, queue, now):
                return
        elif len(self._samples) >= _MAX_KINDS:
            del self._samples[next(iter(self._samples))]
        self._samples[kind] = sample

    def _renew_rows(
        self,
        ahead_in: abc.Callable[[queue_forecast.Pool, float], queue_forecast.Ahead],
        queue_by_kind: dict[queue_forecast.Kind, jobs.Queue],
        found: Round,
        now: float,
    ) -> None:
        probes = {
            kind: _make_probe(self._samples[kind], queue, found, now)
            for kind, queue in queue_by_kind.items()
            if kind in self._samples
            and len(kind.queue.encode()) <= queue_forecast.MAX_NAME_BYTES
        }
        rows = self._forecaster.rows(ahead_in, probes)
        self._rows = {row.kind: row for row in rows}
        _rows_metric.set(len(rows))
        if bool(rows) != self._was_pressed:
            decisions.record(
                "forecast.pressure" if rows else "forecast.relief",
                kinds=len(rows),
                longest_s=max((row.wait_s for row in rows), default=0.0),
            )
        if rows or self._was_pressed:
            self._is_written = False
        self._was_pressed = bool(rows)

    def record(self) -> queue_forecast.Record:
        """Return the next record, with the forecasts of now."""
        self._sequence += 1
        rows = list(self._rows.values())
        valid_s = queue_forecast.VALID_S
        return queue_forecast.Record(self._epoch, self._sequence, valid_s, rows)

    def put_if_due(self) -> keyvalue.Put | None:
        """Return the write of a record unless the newest forecasts were written.

        Nothing is written while no kind of jobs waits for long.
        """
        if self._is_written:
            return None
        self._is_written = True
        return keyvalue.Put(
            committing.FORECAST_KEY, queue_forecast.encode(self.record())
        )


def _order(
    open_jobs: list[queue_forecast.OpenJob],
    pool: queue_forecast.Pool,
    by_id: abc.Mapping[str, tuple[state.JobState, jobs.Queue]],
    rank_of: RankOf,
    at: float,
) -> queue_forecast.Ahead:
    """Return the order of a pool's jobs at a time; some stand for all of many."""
    pooled = [job for job in open_jobs if job.pool == pool]
    spacing = max(1, math.ceil(len(pooled) / _MAX_RANKED))
    return queue_forecast.Ahead.of(
        (rank_of(*by_id[job.id], at), job.left * spacing) for job in pooled[::spacing]
    )


def _is_completed(job: state.JobState | None) -> bool:
    return job is not None and job.status is state.Status.COMPLETED


def _make_probe(
    sample: state.JobState, queue: jobs.Queue, found: Round, now: float
) -> queue_forecast.Probe:
    sample.accepted_at = now

    pool = queue_forecast.Pool(queue.service, kind_of(sample.job).is_filler)
    useful_s = admission.useful_s(sample.job, queue, found.rooms.get(pool, 0.0))
    return queue_forecast.Probe(
        pool, useful_s, lambda after_s: found.rank_of(sample, queue, now + after_s)
    )


def measure_rooms(usable: abc.Iterable[hosts.Host]) -> dict[queue_forecast.Pool, float]:
    """Return the cores of the hosts of each service, for batch tasks and fillers."""
    by_service: dict[str, list[hosts.Host]] = {}
    for host in usable:
        if host.runner is not None:
            by_service.setdefault(host.runner.service, []).append(host)
    rooms = {}
    for service, found in by_service.items():
        room = ordering.measure_room(found)
        rooms[queue_forecast.Pool(service, False)] = room.batch
        rooms[queue_forecast.Pool(service, True)] = room.fillers
    return rooms
