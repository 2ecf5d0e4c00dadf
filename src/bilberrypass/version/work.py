"""Tasks as hosts and workers receive them."""

import functools
import typing as t
import zlib

from bilberrypass import resources

_MAX_CACHED_TEAMS: t.Final = 4_096


class TaskId(t.NamedTuple):
    """One attempt at one task of a job."""

    team: str
    job: str
    index: int
    attempt: int


@functools.lru_cache(_MAX_CACHED_TEAMS)
def shard_of(team: str, shards: int) -> int:
    """Return the number of the shard whose page holds all jobs of a team."""
    return zlib.crc32(team.encode()) % shards


class Spec(t.NamedTuple):
    """What a worker needs to run a task; ``checkpoint`` is where to resume.

    The worker enforces the demand as a limit. ``payload`` belongs to the job and
    is passed on unchanged.
    """

    task: TaskId
    demand: resources.Demand
    payload: str
    task_class: str = ""
    checkpoint: str = ""
    traceparent: str = ""
