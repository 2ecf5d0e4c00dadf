"""Decides whether a new job can still be served, from the leader's forecast."""

import collections.abc as abc
import math
import typing as t

from bilberrypass.scheduling import durations, jobs, queue_forecast

# Estimates are rough, so only a job that is forecast to end far too late is refused.
_MARGIN: t.Final = 1.25
_MIN_RETRY_AFTER_S: t.Final = 1.0
_MAX_RETRY_AFTER_S: t.Final = 60.0

# A step that is wider than this share of the cores runs in waves.
_MAX_STEP_SHARE: t.Final = 0.25

PathS = abc.Callable[[jobs.Job, float], float]


class Verdict(t.NamedTuple):
    """What was decided on a job, and why.

    ``end_s`` is the forecast time until its end, ``ahead_core_s`` the work that goes
    first and ``useful_s`` the time for which it is of use to its caller; all are 0
    without a forecast. ``retry_after_s`` is 0 if the job is accepted. ``forecast``
    names the record by its epoch and sequence.
    """

    why: str
    end_s: float = 0.0
    useful_s: float = 0.0
    ahead_core_s: float = 0.0
    retry_after_s: float = 0.0
    forecast: str = ""

    @property
    def is_refused(self) -> bool:
        """Return whether the job is refused."""
        return self.retry_after_s > 0


def path_s(job: jobs.Job, cores: float) -> float:
    """Return the critical path of a job, in seconds by its own estimates.

    A step that is wider than a quarter of ``cores``, those of its pool, takes several
    times as long.
    """
    widest = max(1.0, _MAX_STEP_SHARE * cores) * jobs.MILLI_PER_CORE
    in_waves = tuple(
        step._replace(
            estimate_s=step.estimate_s
            * max(1, math.ceil(step.count * step.cpu_milli / widest))
        )
        for step in job.steps
    )
    return durations.path_s(in_waves, [step.estimate_s for step in in_waves])


def is_eligible(job: jobs.Job, queue: jobs.Queue) -> bool:
    """Return whether a job may be refused for its forecast.

    Its queue needs an objective; a service is served from its start on, and a
    repetition counts from its own due time.
    """
    has_objective = queue.stretch > 0 and queue.latency_objective_s > 0
    is_service = any(step.is_service for step in job.steps)
    return has_objective and not is_service and not job.repetitions


def useful_s(
    job: jobs.Job, queue: jobs.Queue, cores: float, path: PathS = path_s
) -> float:
    """Return the time after its first send for which a job is of use to its caller."""
    objective_s = queue.stretch * path(job, cores) + queue.latency_objective_s
    return queue_forecast.MAX_LATENESS_FACTOR * objective_s


class _Current(t.NamedTuple):
    """A forecast with the times, on ``clock.now``, between which it may be used."""

    record: queue_forecast.Record
    rows: dict[queue_forecast.Kind, queue_forecast.Row]
    known_since: float
    deadline: float


@t.final
class Admission:
    """The decisions of one entry, which knows what it has admitted itself.

    Handles overloads in which jobs of low rank wait for longer than they are of use.
    Without a valid forecast of the current leader, every job is accepted. Entries do
    not know of each other what they admitted since the forecast: if there is room for
    jobs of a kind with ``r`` core-seconds, each of N entries may admit them, so that
    up to N - 1 times ``r`` and a job more of each entry are admitted beyond the room,
    until the next forecast.

    Parameters
    ----------
    path : callable, optional
        Returns the critical path in seconds of a job, in a pool of so many cores.
    """

    def __init__(self, path: PathS = path_s) -> None:
        self._path = path
        self._current: _Current | None = None
        self._admitted: dict[queue_forecast.Kind, float] = {}
        self._next_return_at: dict[queue_forecast.Kind, float] = {}

    def update(self, record: queue_forecast.Record, known_since: float) -> None:
        """Take in a forecast that was written after ``known_since``, on ``clock.now``.

        One that was seen before, or that an earlier leader wrote, is ignored.
        """
        current = self._current
        if current is not None and record[:2] <= current.record[:2]:
            return
        rows = {row.kind: row for row in record.rows}
        deadline = known_since + record.valid_s
        self._current = _Current(record, rows, known_since, deadline)
        self._admitted.clear()

    def decide(
        self, job: jobs.Job, queue: jobs.Queue, leader_epoch: int, now: float
    ) -> Verdict:
        """Decide on a job that is not known yet; ``now`` is on ``clock.now``.

        An accepted job counts as admitted.
        """
        if not is_eligible(job, queue):
            return Verdict("exempt")
        current = self._current
        if current is None:
            return Verdict("no forecast")
        if current.record.epoch != leader_epoch:
            return Verdict("forecast of another leader")
        if not current.known_since <= now < current.deadline:
            return Verdict("forecast too old")
        work = durations.work_core_s(job.steps, [step.count for step in job.steps])
        is_filler = any(step.is_filler for step in job.steps)
        kind = queue_forecast.Kind(job.queue, queue_forecast.size_of(work), is_filler)
        row = current.rows.get(kind)
        if row is None:
            return Verdict("short wait")
        admitted = self._admitted.get(kind, 0.0)
        wait_s = max(0.0, row.wait_s + current.known_since - now) + admitted / row.rate
        end_s = wait_s + max(self._path(job, row.cores), work / row.rate)
        limit_s = useful_s(job, queue, row.cores, self._path)
        figures = end_s, limit_s, wait_s * row.rate
        if end_s <= _MARGIN * limit_s:
            self._admitted[kind] = admitted + work
            return Verdict("in time", *figures)
        retry_after_s = self._choose_return(kind, end_s - limit_s, work / row.rate, now)
        forecast = f"{current.record.epoch}.{current.record.sequence}"
        return Verdict("too late", *figures, retry_after_s, forecast)

    def _choose_return(
        self, kind: queue_forecast.Kind, excess_s: float, spacing_s: float, now: float
    ) -> float:
        """Return the Retry-After of the next free place among the callers' returns.

        Callers return in the order of their refusals, each after the time in which
        the job before it can be done.
        """
        at = max(
            now + max(_MIN_RETRY_AFTER_S, excess_s), self._next_return_at.get(kind, 0.0)
        )
        at = min(at, now + _MAX_RETRY_AFTER_S)
        self._next_return_at[kind] = at + spacing_s
        return at - now
