"""A job page: the jobs of some teams, stored as one value."""

import collections.abc as abc
import functools
import hashlib
import typing as t
import zlib

import msgspec
import pydantic
import typing_extensions as te

from bilberrypass import crash_limits, errors, resources
from bilberrypass.version import settings, work

WAITING: t.Final = "waiting"
PLACED: t.Final = "placed"
RUNNING: t.Final = "running"
EVICTING: t.Final = "evicting"
STOPPING: t.Final = "stopping"
FINISHED: t.Final = "finished"
FAILED: t.Final = "failed"
CANCELLED: t.Final = "cancelled"

ON_HOST: t.Final = frozenset({PLACED, RUNNING, EVICTING, STOPPING})
ENDED: t.Final = frozenset({FINISHED, FAILED, CANCELLED})

MAX_BYTES: t.Final = 900_000
"""Size above which a page accepts no new jobs; the store's limit is a megabyte."""

_ENDED_JOB_RETENTION_S: t.Final = 3_600.0
_MAX_ENDED_TASKS: t.Final = 8_000
_MAX_TASKS_PER_JOB: t.Final = 2_000
_MAX_ATTEMPTS: t.Final = 20
_COMPRESSION_LEVEL: t.Final = 1


class DemandBody(te.TypedDict, total=False):
    """A task's demand as submitted by a client."""

    __pydantic_config__ = pydantic.ConfigDict(  # type: ignore[misc]
        extra="forbid", strict=True
    )

    cpu_milli: te.Required[t.Annotated[int, pydantic.Field(ge=1, le=10_000_000)]]
    memory_bytes: te.Required[t.Annotated[int, pydantic.Field(ge=1, le=1 << 50)]]
    accelerators: t.Annotated[int, pydantic.Field(ge=0, le=1_000)]


class RulesBody(te.TypedDict, total=False):
    """Where a job's tasks may run, as submitted; a missing key allows all."""

    __pydantic_config__ = pydantic.ConfigDict(  # type: ignore[misc]
        extra="forbid", strict=True
    )

    failure_domains: list[settings.Name]
    racks: list[settings.Name]
    hosts: list[settings.Name]


class JobBody(te.TypedDict, total=False):
    """A job as submitted by a client."""

    __pydantic_config__ = pydantic.ConfigDict(  # type: ignore[misc]
        extra="forbid", strict=True
    )

    team: te.Required[settings.Name]
    demand: te.Required[DemandBody]
    tasks: t.Annotated[int, pydantic.Field(ge=1, le=_MAX_TASKS_PER_JOB)]
    payload: t.Annotated[str, pydantic.Field(max_length=4096)]
    task_class: settings.Name
    urgent: bool
    max_attempts: t.Annotated[int, pydantic.Field(ge=1, le=_MAX_ATTEMPTS)]
    rules: RulesBody


@functools.cache
def _adapter() -> pydantic.TypeAdapter[t.Any]:
    return pydantic.TypeAdapter(JobBody)


class Rules(t.NamedTuple):
    """Where a job's tasks may run; an empty list allows all places."""

    failure_domains: list[str] = []
    racks: list[str] = []
    hosts: list[str] = []


class TaskRecord(t.NamedTuple):
    """One task: its state, host, attempt and last checkpoint.

    ``attempt`` increases with each placement. ``failures`` counts only the runs that
    failed by themselves, most recently on host ``failed_on``. ``changed_at`` is the
    time of the last change of state, in Unix seconds. ``crashes`` holds the crashes of
    workers under its runs that had made no progress since the start.
    """

    state: str = WAITING
    attempt: int = 0
    host: str = ""
    checkpoint: str = ""
    detail: str = ""
    failures: int = 0
    evictions: int = 0
    failed_on: str = ""
    changed_at: float = 0.0
    crashes: list[crash_limits.Crash] = []


class JobRecord(t.NamedTuple):
    """One job and its tasks; ``submitted_at`` is Unix time in seconds."""

    team: str
    id: str
    demand: resources.Demand
    payload: str
    task_class: str
    urgent: bool
    max_attempts: int
    digest: str
    submitted_at: float
    traceparent: str
    tasks: list[TaskRecord]
    rules: Rules = Rules()

    @property
    def state(self) -> str:
        """The state of the whole job, derived from the states of its tasks."""
        states = {task.state for task in self.tasks}
        if states <= ENDED:
            for state in (CANCELLED, FAILED):
                if state in states:
                    return state
            return FINISHED
        return RUNNING if states & (ON_HOST | {FINISHED}) else WAITING

    def with_task(self, index: int, record: TaskRecord) -> "JobRecord":
        """Return a copy of the job with one task's record replaced."""
        tasks = list(self.tasks)
        tasks[index] = record
        return self._replace(tasks=tasks)

    def spec(self, index: int) -> work.Spec:
        """Return what a worker needs for the current attempt at a task."""
        record = self.tasks[index]
        task = self.task_id(index)
        return work.Spec(
            task,
            self.demand,
            self.payload,
            self.task_class,
            record.checkpoint,
            self.traceparent,
        )

    def task_id(self, index: int) -> work.TaskId:
        """Return the identity of the current attempt at a task."""
        return work.TaskId(self.team, self.id, index, self.tasks[index].attempt)


def find_expired_jobs(jobs: abc.Iterable[JobRecord], now: float) -> list[JobRecord]:
    """Return the ended jobs that are past their retention.

    Parameters
    ----------
    jobs : iterable of JobRecord
        All jobs of a page.
    now : float
        Unix time in seconds.

    Returns
    -------
    list of JobRecord
        Jobs that ended more than an hour ago, and the oldest beyond 8,000 ended tasks.
    """
    ended = [job for job in jobs if job.state in ENDED]
    ended.sort(key=_ended_at, reverse=True)
    expired = []
    tasks = 0
    for job in ended:
        tasks += len(job.tasks)
        if tasks > _MAX_ENDED_TASKS or now > _ended_at(job) + _ENDED_JOB_RETENTION_S:
            expired.append(job)
    return expired


def _ended_at(job: JobRecord) -> float:
    return max(record.changed_at for record in job.tasks)


class Page(t.NamedTuple):
    """The jobs of a shard, written by one owner at a time.

    ``write`` identifies this value uniquely, so that the outcome of a write whose
    answer was lost can be determined by reading the value back.
    """

    shard: int
    epoch: int
    write: str
    jobs: list[JobRecord]


def encode(page: Page) -> bytes:
    """Encode a page as a value for the store."""
    return zlib.compress(msgspec.msgpack.encode(page), _COMPRESSION_LEVEL)


def decode(value: bytes) -> Page:
    """Decode a page from a value of the store."""
    return msgspec.msgpack.decode(zlib.decompress(value), type=Page)


def parse_job(id: str, body: bytes, now: float, traceparent: str) -> JobRecord:
    """Validate the whole body of a job, and return its record.

    Raises
    ------
    errors.Error
        BAD_BODY with all faults by JSON path.
    """
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as exc:
        raise errors.Error(
            errors.Kind.BAD_BODY, f"the body is not JSON ({exc}); correct it"
        ) from None
    checked = settings.check(_adapter(), value, errors.Kind.BAD_BODY)
    return JobRecord(
        team=checked["team"],
        id=id,
        demand=resources.Demand(**checked["demand"]),
        payload=checked.get("payload", ""),
        task_class=checked.get("task_class", ""),
        urgent=checked.get("urgent", False),
        max_attempts=checked.get("max_attempts", 3),
        digest=_digest(checked),
        submitted_at=now,
        traceparent=traceparent,
        tasks=[TaskRecord(changed_at=now)] * checked.get("tasks", 1),
        rules=Rules(**checked.get("rules", {})),
    )


def _digest(value: abc.Mapping[str, t.Any]) -> str:
    ordered = msgspec.json.encode(value, order="sorted")
    return hashlib.blake2b(ordered, digest_size=16).hexdigest()


def describe(job: JobRecord) -> dict[str, t.Any]:
    """Return a job as it is shown to callers."""
    return {
        "id": job.id,
        "team": job.team,
        "state": job.state,
        "urgent": job.urgent,
        "submitted_at": job.submitted_at,
        "tasks": [record._asdict() for record in job.tasks],
    }
