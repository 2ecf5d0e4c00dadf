"""Tasks as hosts and workers are told of them."""

import functools
import typing as t
import zlib

from bilberrypass import resources

_KNOWN_TEAMS: t.Final = 4_096


class TaskId(t.NamedTuple):
    """One task of a job, and which attempt at it."""

    team: str
    job: str
    index: int
    attempt: int


@functools.lru_cache(_KNOWN_TEAMS)
def shard_of(team: str, shards: int) -> int:
    """Return the shard whose pages hold all jobs of a team."""
    return zlib.crc32(team.encode()) % shards


class Spec(t.NamedTuple):
    """What a worker needs to run a task; ``checkpoint`` is where to resume.

    The demand is the limit that the worker enforces. ``payload`` is the job's
    own, handed on as it came.
    """

    task: TaskId
    demand: resources.Demand
    payload: str
    task_class: str = ""
    checkpoint: str = ""
    traceparent: str = ""
