"""The leader's forecast of how long new jobs wait for room, queue by queue."""

import bisect
import collections
import collections.abc as abc
import math
import typing as t

import msgspec

from bilberrypass import decoding

MAX_ROWS: t.Final = 64  # of a record; jobs of the others are accepted
MAX_RECORD_BYTES: t.Final = 16_384
MAX_NAME_BYTES: t.Final = 160  # of a queue; the jobs of longer ones are accepted
VALID_S: t.Final = 6.0  # several intervals between records and between reads
MAX_LATENESS_FACTOR: t.Final = 3.0  # objectives; later, an answer is of no use
_MAX_SIZE: t.Final = 30
_MIN_RATE: t.Final = 0.01  # core-seconds a second; hosts that do less are failing
_SMOOTHING_S: t.Final = 10.0  # several tasks of each host
# Of the time for which a job is of use, the shortest wait worth publishing. Below it,
# no entry would refuse the job.
_MIN_WAIT_SHARE: t.Final = 0.25
# Seconds from now at which the order is looked at: jobs that have become useless by
# then no longer go first, and one that was passed over for long may.
LOOKAHEADS_S: t.Final = (0.0, 4.0, 8.0, 12.0, 18.0, 27.0, 40.0, 60.0, 90.0)


class Pool(t.NamedTuple):
    """Jobs that compete for the same cores: those of a service, fillers apart."""

    service: str
    is_filler: bool


class OpenJob(t.NamedTuple):
    """An open job; ``left`` is its work not done, in core-seconds by estimates."""

    id: str
    pool: Pool
    left: float


class Ahead(t.NamedTuple):
    """Work in the order in which it will be placed, some seconds from now.

    ``ranks`` are sorted; ``work`` has one item more: the core-seconds before each.
    """

    ranks: list[t.Any]
    work: list[float]

    @classmethod
    def of(cls, ranked: abc.Iterable[tuple[t.Any, float]]) -> t.Self:
        """Return the order of jobs, given the rank and the work left of each."""
        ranks, work = [], [0.0]
        for rank, left in sorted(ranked, key=lambda item: item[0]):
            ranks.append(rank)
            work.append(work[-1] + left)
        return cls(ranks, work)

    def before(self, rank: t.Any) -> float:
        """Return the work before a job with this rank, in core-seconds."""
        return self.work[bisect.bisect_left(self.ranks, rank)]


class Kind(t.NamedTuple):
    """Jobs that share a forecast: those of a queue of about the same work."""

    queue: str
    size: int
    is_filler: bool


class Row(t.NamedTuple):
    """The forecast for one kind of jobs.

    ``wait_s`` is the time until there is room for a job that is accepted now; ``rate``
    is the work done in its pool, in core-seconds by estimates for each second, and
    ``cores`` are those of the pool.
    """

    queue: str
    size: int
    is_filler: bool
    wait_s: float
    rate: float
    cores: float

    @property
    def kind(self) -> Kind:
        """The kind of jobs that the row is for."""
        return Kind(self.queue, self.size, self.is_filler)


class Record(t.NamedTuple):
    """The stored forecast of the leader with an epoch; rows of busy queues only.

    ``valid_s`` is the time for which it may be used after it was written.
    """

    epoch: int
    sequence: int
    valid_s: float
    rows: list[Row]


class Probe(t.NamedTuple):
    """A job of a kind, as if it were accepted now.

    ``rank_in`` returns its rank after a number of seconds; ``useful_s`` is the time
    for which it is of use to its caller.
    """

    pool: Pool
    useful_s: float
    rank_in: abc.Callable[[float], t.Any]


_decoder = msgspec.msgpack.Decoder(Record)


def decode(value: bytes) -> Record:
    """Decode a stored record.

    Raises
    ------
    ValueError
        It cannot be read, or holds figures that no leader writes.
    """
    if len(value) > MAX_RECORD_BYTES:
        raise ValueError(f"the record has {len(value)} bytes")
    record = decoding.decode_msgpack(value, _decoder)
    for row in record.rows:
        if not (math.isfinite(row.wait_s) and row.wait_s >= 0 and row.rate > 0):
            raise ValueError(f"the row of {row.queue} has impossible figures")
    if not 0 < record.valid_s <= VALID_S:
        raise ValueError(f"the record is valid for {record.valid_s} s")
    return record


def size_of(work: float) -> int:
    """Return the class of a job's work in core-seconds; each is twice the one before.

    Jobs of a class have similar ranks, since rank depends on the value of the work.
    """
    return min(_MAX_SIZE, max(0, int(math.log2(max(1.0, work)))))


class _PoolState:
    """The measured throughput of a pool, in core-seconds done each second."""

    def __init__(self) -> None:
        self.cores = 0.0
        self.rate = 0.0
        self.done = 0.0
        self.is_waiting = False

    def update(self, cores: float, elapsed_s: float, is_waiting: bool) -> None:
        """Take in what was done; unless tasks waited, it does not show the room."""
        if self.is_waiting and self.rate:
            share = min(1.0, elapsed_s / _SMOOTHING_S)
            self.rate += share * (self.done / elapsed_s - self.rate)
        else:
            self.rate = cores
        self.cores = cores
        self.done = 0.0
        self.is_waiting = is_waiting


@t.final
class Forecaster:
    """Forecasts the wait for room from the jobs in rank order.

    Handles overloads in which more work ranks ahead of a new job than the hosts do in
    the time for which the job is of use. Work that may still arrive does not count,
    since it may stay away: what is forecast is the shortest wait. Throughput is in the
    same estimates as the work ahead, so a common error of them cancels out.
    """

    def __init__(self) -> None:
        self._pools: dict[Pool, _PoolState] = collections.defaultdict(_PoolState)
        self._left: dict[str, tuple[Pool, float]] = {}
        self._updated_at = 0.0

    def update(
        self,
        now: float,
        open_jobs: abc.Sequence[OpenJob],
        waiting: abc.Set[Pool],
        rooms: abc.Mapping[Pool, float],
        is_completed: abc.Callable[[str], bool],
    ) -> None:
        """Take in the open jobs, some time after the last update.

        Parameters
        ----------
        now : float
            Time on ``clock.now``.
        open_jobs : sequence of OpenJob
            The open jobs.
        waiting : set of Pool
            The pools in which a task found no room.
        rooms : mapping of Pool to float
            Cores of the usable hosts.
        is_completed : callable
            Returns whether a job that is no longer open was completed.
        """
        elapsed_s, self._updated_at = now - self._updated_at, now
        self._count_done(open_jobs, is_completed)
        for pool, cores in rooms.items():
            self._pools[pool].update(cores, elapsed_s, pool in waiting)

    def _count_done(
        self, open_jobs: abc.Sequence[OpenJob], is_completed: abc.Callable[[str], bool]
    ) -> None:
        before, self._left = (
            self._left,
            {job.id: (job.pool, job.left) for job in open_jobs},
        )
        for id, (pool, left) in before.items():
            if id in self._left:
                self._pools[pool].done += max(0.0, left - self._left[id][1])
            elif is_completed(id):
                self._pools[pool].done += left

    def rows(
        self,
        ahead_in: abc.Callable[[Pool, float], Ahead],
        probes: abc.Mapping[Kind, Probe],
    ) -> list[Row]:
        """Return the forecasts for kinds of jobs that wait for long; at most MAX_ROWS.

        Parameters
        ----------
        ahead_in : callable
            Returns the order of a pool's open jobs after one of LOOKAHEADS_S.
        probes : mapping of Kind to Probe
            A job of each kind that is to have a forecast.
        """
        found = []
        for kind, probe in probes.items():
            pool = self._pools.get(probe.pool)
            if pool is None or not pool.is_waiting or pool.rate < _MIN_RATE:
                continue
            wait_s, least_s = math.inf, _MIN_WAIT_SHARE * probe.useful_s
            for after_s in LOOKAHEADS_S:
                if after_s > probe.useful_s or wait_s <= least_s:
                    break
                work = ahead_in(probe.pool, after_s).before(probe.rank_in(after_s))
                wait_s = min(wait_s, max(after_s, work / pool.rate))
            if wait_s > least_s:
                found.append(Row(*kind, round(wait_s, 2), pool.rate, pool.cores))
        found.sort(key=lambda row: -row.wait_s)
        return found[:MAX_ROWS]


def encode(record: Record) -> bytes:
    """Return a record in its stored form, of at most ``MAX_RECORD_BYTES``."""
    return msgspec.msgpack.encode(record)
