"""The stored form of jobs and of their progress."""

import typing as t

import msgspec

from bilberrypass import crash_limits, decoding
from bilberrypass.scheduling import jobs

# Of a stored task without checkpoint and crashes, with its share of the occurrence.
MAX_ROW_BYTES: t.Final = 48
_STRING_HEADER_BYTES: t.Final = 5


class StoredTask(t.NamedTuple):
    """The stored record of a task that has begun and is not done."""

    occurrence: int
    step: int
    index: int
    phase: int
    run: int
    host: str
    life: int
    failures: int
    checkpoint: str
    crashes: list[crash_limits.Crash] = []  # noqa: RUF012
    cleared_run: int = 0


class StoredOccurrence(t.NamedTuple):
    """An occurrence that has begun and is not done.

    ``next_indices`` has for each step the first index that has not begun: the tasks
    before it that have no ``StoredTask`` are done.
    """

    number: int
    next_indices: list[int]


class StoredOccurrences(t.NamedTuple):
    """The occurrences of a job: those before ``next`` that are not ``open`` are done.

    Those from ``next`` on have not begun.
    """

    next: int
    open: list[StoredOccurrence]


class StoredJob(t.NamedTuple):
    """The stored progress of a job; ``finished_at`` is Unix time, 0 before the end.

    Without ``occurrences``, ``tasks`` has a record for each task that ever ran, with
    those that are done: so earlier releases stored it.
    """

    status: str
    tasks: list[StoredTask]
    finished_at: float = 0.0
    occurrences: StoredOccurrences | None = None


class EncodedProgress(t.NamedTuple):
    """A stored value, and how many of its bytes do not belong to checkpoints."""

    value: bytes
    bare_bytes: int


class _EarlierJob(t.NamedTuple):
    """The form of earlier releases, and that of ended jobs."""

    status: str
    tasks: list[StoredTask]
    finished_at: float = 0.0


class _Row(t.NamedTuple):
    """A ``StoredTask`` whose host and life stand in a list of their own."""

    occurrence: int
    step: int
    index: int
    phase: int
    run: int
    host: int
    failures: int
    checkpoint: str
    crashes: list[crash_limits.Crash]
    cleared_run: int


class _OpenJob(t.TypedDict):
    """The form of jobs that are not final; a map, where the other form is an array."""

    status: str
    next: int
    open: list[StoredOccurrence]
    hosts: list[tuple[str, int]]
    tasks: list[_Row]


_encode = msgspec.msgpack.Encoder().encode
_job_decoder = msgspec.msgpack.Decoder(jobs.Job)
_progress_decoder = msgspec.msgpack.Decoder(_EarlierJob | _OpenJob)


def encode_job(job: jobs.Job) -> bytes:
    """Return a job in its stored form."""
    return _encode(job)


def decode_job(value: bytes) -> jobs.Job:
    """Decode a job from its stored form.

    Raises
    ------
    decoding.UnreadableError
        The value has another form.
    """
    return decoding.decode_msgpack(value, _job_decoder)


def encode(stored: StoredJob, max_bytes: int | None = None) -> EncodedProgress:
    """Return the progress of a job in its stored form.

    Parameters
    ----------
    stored : StoredJob
        The progress; only that of an ended job has no ``occurrences``.
    max_bytes : int, optional
        A longer value is stored without some checkpoints, first those of tasks with a
        run, whose host reports them again. It is still longer if the rest is.
    """
    if stored.occurrences is None:
        value = _encode(_EarlierJob(*stored[:3]))
        return EncodedProgress(value, len(value))
    value = _encode(_make_open_job(stored, stored.occurrences))
    if max_bytes is None or len(value) <= max_bytes:
        checkpoints = sum(len(task.checkpoint.encode()) for task in stored.tasks)
        return EncodedProgress(value, len(value) - checkpoints)
    tasks = [task._replace(checkpoint="") for task in stored.tasks]
    bare = _encode(_make_open_job(stored._replace(tasks=tasks), stored.occurrences))
    left = max_bytes - len(bare)
    by_need = sorted(enumerate(stored.tasks), key=lambda item: item[1].phase)
    for number, task in by_need:
        size = len(task.checkpoint.encode()) + _STRING_HEADER_BYTES
        if task.checkpoint and size <= left:
            left -= size
            tasks[number] = task
    value = _encode(_make_open_job(stored._replace(tasks=tasks), stored.occurrences))
    return EncodedProgress(value, len(bare))


def _make_open_job(stored: StoredJob, occurrences: StoredOccurrences) -> _OpenJob:
    hosts: dict[tuple[str, int], int] = {}
    rows = [
        _Row(
            *task[:5],
            hosts.setdefault((task.host, task.life), len(hosts)),
            task.failures,
            task.checkpoint,
            task.crashes,
            task.cleared_run,
        )
        for task in stored.tasks
    ]
    return _OpenJob(
        status=stored.status,
        next=occurrences.next,
        open=occurrences.open,
        hosts=list(hosts),
        tasks=rows,
    )


def decode(value: bytes) -> StoredJob:
    """Decode the progress of a job from its stored form, or that of earlier releases.

    Raises
    ------
    decoding.UnreadableError
        The value has neither form.
    """
    found = decoding.decode_msgpack(value, _progress_decoder)
    if isinstance(found, tuple):
        return StoredJob(*found)
    hosts = found["hosts"]
    try:
        tasks = [
            StoredTask(*row[:5], *hosts[row.host], *row[6:]) for row in found["tasks"]
        ]
    except IndexError as exc:
        raise decoding.UnreadableError("a task is on a host not listed") from exc
    occurrences = StoredOccurrences(found["next"], found["open"])
    return StoredJob(found["status"], tasks, occurrences=occurrences)
