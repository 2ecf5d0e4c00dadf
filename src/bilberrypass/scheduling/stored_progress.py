"""The stored form of jobs and of their progress."""

import typing as t

import msgspec

from bilberrypass import crash_limits, decoding
from bilberrypass.scheduling import jobs

# Of a stored task without checkpoint and crashes, with its share of the list of hosts.
MAX_ROW_BYTES: t.Final = 48
_OCCURRENCE_HEADER_BYTES: t.Final = 4  # of a pair, and of a list of up to 64 numbers
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
    next_indices: tuple[int, ...]


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


# Hosts of runs, each with the runner's life, by their number in the rows.
Hosts = dict[tuple[str, int], int]


class Row(t.NamedTuple):
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


# The fields of a Row; a plain tuple is made faster.
RowFields = tuple[int, int, int, int, int, int, int, str, list[crash_limits.Crash], int]
_PHASE: t.Final = Row._fields.index("phase")
_CHECKPOINT: t.Final = Row._fields.index("checkpoint")


class _OpenJob(t.TypedDict):
    """The form of jobs that are not final; a map, where the other form is an array."""

    status: str
    next: int
    open: list[StoredOccurrence]
    hosts: list[tuple[str, int]]
    tasks: list[Row]


_encode = msgspec.msgpack.Encoder().encode
_job_decoder = msgspec.msgpack.Decoder(jobs.Job)
_progress_decoder = msgspec.msgpack.Decoder(_EarlierJob | _OpenJob)


def max_occurrence_bytes(job: jobs.Job) -> int:
    """Return the most bytes that an open occurrence of a job takes, without rows."""
    numbers = [max(1, job.repetitions), *(step.count for step in job.steps)]
    return _OCCURRENCE_HEADER_BYTES + sum(map(_integer_bytes, numbers))


def _integer_bytes(most: int) -> int:
    """Return the bytes of an integer from 0 to ``most``, as msgpack has it."""
    sizes = ((0x7F, 1), (0xFF, 2), (0xFFFF, 3), (0xFFFFFFFF, 5))
    return next((size for limit, size in sizes if most <= limit), 9)


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


def encode_ended(status: str, finished_at: float) -> bytes:
    """Return the progress of an ended job in its stored form."""
    return _encode(_EarlierJob(status, [], finished_at))


def encode_open(
    status: str,
    occurrences: StoredOccurrences,
    hosts: Hosts,
    rows: list[RowFields],
    max_bytes: int,
) -> EncodedProgress:
    """Return the progress of an open job in its stored form.

    Parameters
    ----------
    status : str
        The job's status.
    occurrences : StoredOccurrences
        Its occurrences.
    hosts : Hosts
        The hosts that the rows name, in the order of their numbers.
    rows : list of RowFields
        Its tasks that have begun and are not done.
    max_bytes : int
        A longer value is stored without some checkpoints, first those of tasks with a
        run, whose host reports them again. It is still longer if the rest is.
    """

    def encode(rows: list[RowFields]) -> bytes:
        found = {"status": status, "next": occurrences.next, "open": occurrences.open}
        return _encode(found | {"hosts": list(hosts), "tasks": rows})

    value = encode(rows)
    if len(value) <= max_bytes:
        # A checkpoint has at least as many bytes as characters.
        checkpoints = sum(len(row[_CHECKPOINT]) for row in rows)
        return EncodedProgress(value, len(value) - checkpoints)
    bare_rows = [_without_checkpoint(row) for row in rows]
    bare_bytes = len(encode(bare_rows))
    left = max_bytes - bare_bytes
    kept = bare_rows
    for number, row in sorted(enumerate(rows), key=lambda item: item[1][_PHASE]):
        size = len(row[_CHECKPOINT].encode()) + _STRING_HEADER_BYTES
        if row[_CHECKPOINT] and size <= left:
            left -= size
            kept[number] = row
    return EncodedProgress(encode(kept), bare_bytes)


def _without_checkpoint(row: RowFields) -> RowFields:
    return (*row[:_CHECKPOINT], "", *row[_CHECKPOINT + 1 :])


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
