"""Bounds how long batch jobs are passed over by jobs of higher value density."""

import collections.abc as abc
import math
import typing as t

import prometheus_client as prometheus

from bilberrypass.observing import decisions
from bilberrypass.scheduling import jobs, ordering, state

# In the worst case all waiting jobs are endangered. Four fifths of the room still go by
# value, so that callers who are in time lose at most a fifth of what they get.
_MAX_RESCUE_SHARE: t.Final = 0.2
_ROOM_WAIT_S: t.Final = 2.0  # until tasks end and leave room for the first in order
_MIN_REMEMBERED: t.Final = 1_000

_rescued = prometheus.Counter(
    "bilberrypass_jobs_rescued", "Jobs placed first so that they still end in time"
)
_hopeless = prometheus.Counter(
    "bilberrypass_jobs_hopeless", "Jobs that can no longer end while they are of use"
)

Ranked = tuple[ordering.Rank, state.JobState, jobs.Queue]


@t.final
class Rescuer:
    """Sorts jobs by rank, with those first that are about to be passed over for good.

    Handles loads that exceed the capacity of the hosts for longer than callers wait. By
    rank alone, a job of low density may never run. A job whose time left comes down to
    what it still needs, with the error of that, is endangered: it goes first within its
    priority, so that its caller gets one answer. Were all endangered jobs to go first,
    the order would become the earliest deadline, by which all are begun and most finish
    too late. So rescued jobs use a limited share of the room, and those that need least
    are rescued; a job that would need more than the share by itself is not. Jobs that
    cannot make it any more go last, in what room is left.

    All but the log is derived anew in each round from jobs and durations.
    """

    def __init__(self) -> None:
        self._logged: dict[str, set[str]] = {"rescued": set(), "hopeless": set()}

    def sort(
        self, ranked: abc.Iterable[Ranked], room: ordering.Room, now: float
    ) -> list[Ranked]:
        """Return jobs in the order in which to place them.

        Parameters
        ----------
        ranked : iterable of (ordering.Rank, state.JobState, jobs.Queue)
            The open jobs with their ranks, in any order.
        room : ordering.Room
            Cores for which jobs compete, also those that are in use.
        now : float
            Time on ``clock.now``, for the log.
        """
        found = list(ranked)
        endangered = [
            (rank.priority, rank.chance.left, number)
            for number, (rank, _, _) in enumerate(found)
            if rank.chance is not None
            and rank.group is ordering.Group.BY_VALUE
            and is_endangered(rank.chance)
        ]
        shares = [room.batch * _MAX_RESCUE_SHARE, room.fillers * _MAX_RESCUE_SHARE]
        used = [0.0, 0.0]
        for *_, number in sorted(endangered):
            rank, job, queue = found[number]
            assert rank.chance is not None
            kind = rank.chance.is_filler
            cores = rank.chance.left / max(_ROOM_WAIT_S, rank.chance.needed_s)
            if used[kind] + cores <= shares[kind]:
                used[kind] += cores
                rank = rank._replace(group=ordering.Group.RESCUED)
                found[number] = rank, job, queue
        found.sort(key=lambda item: item[0])
        self._record(found, now)
        return found

    def _record(self, found: list[Ranked], now: float) -> None:
        """Log and count each job once that is rescued, or has become hopeless."""
        for rank, job, _ in found:
            if rank.group is ordering.Group.RESCUED:
                self._record_once("rescued", _rescued, rank, job, now)
            elif rank.group is ordering.Group.HOPELESS:
                self._record_once("hopeless", _hopeless, rank, job, now)
        if max(map(len, self._logged.values())) > len(found) + _MIN_REMEMBERED:
            present = {job.job.id for _, job, _ in found}
            for logged in self._logged.values():
                logged &= present

    def _record_once(
        self,
        verdict: str,
        metric: prometheus.Counter,
        rank: ordering.Rank,
        job: state.JobState,
        now: float,
    ) -> None:
        id = job.job.id
        chance = rank.chance
        if id in self._logged[verdict] or chance is None:
            return
        self._logged[verdict].add(id)
        metric.inc()
        decisions.record(
            "job.passed_over",
            job=id,
            verdict=verdict,
            waited_s=round(now - job.accepted_at, 2),
            time_left_s=round(chance.time_left_s, 2),
            needed_s=round(chance.needed_s, 2),
            left_core_s=round(chance.left, 1),
            open_tasks=job.occurrences.count_open_tasks(),
        )


def is_endangered(chance: ordering.Chance) -> bool:
    """Return whether a job has to go first now to end while it is of use."""
    likely_s = chance.needed_s * math.exp(chance.error) + _ROOM_WAIT_S
    return chance.needed_s <= chance.time_left_s < likely_s
