"""One pass of placement: what waits, the rooms there are, and who goes where."""

import typing as t

from bilberrypass import resources
from bilberrypass.connection import worker
from bilberrypass.process import fleet, placement, records
from bilberrypass.version import page

Waiting = tuple[records.JobKey, int]


@t.final
class Placing:
    """Places the waiting tasks of a shard.

    Parameters
    ----------
    hosts : fleet.Fleet
        The hosts known by reports.
    policy : placement.Policy
        Chooses among them.
    """

    def __init__(self, hosts: fleet.Fleet, policy: placement.Policy) -> None:
        self._hosts = hosts
        self._policy = policy

    def place(self, jobs: records.Jobs) -> dict[str, list[worker.Spec]]:
        """Give waiting tasks to hosts, and return what is placed by host."""
        placed: dict[str, list[worker.Spec]] = {}
        waiting = _waiting(jobs)
        if not waiting:
            return placed
        rooms = self._rooms(jobs)
        for key, index in waiting:
            job = jobs[key]
            room = self._policy.choose(job.demand, list(rooms.values()))
            if room is None:
                continue
            rooms[room.host] = room._replace(free=room.free.minus(job.demand))
            spec = records.place(jobs, key, index, room.host)
            placed.setdefault(room.host, []).append(spec)
        return placed

    def _rooms(self, jobs: records.Jobs) -> dict[str, placement.Room]:
        on_host = records.on_host(jobs)
        rooms = {}
        for host in self._hosts.live():
            report = host.report
            if not report.is_current:
                continue
            reported = {state.task for state in report.tasks}
            unseen = [
                jobs[task.team, task.job].demand
                for task in on_host.get(report.host, [])
                if task not in reported
            ]
            free = report.capacity.minus(report.committed)
            rooms[report.host] = placement.Room(
                report.host,
                report.failure_domain,
                report.rack,
                report.capacity,
                free.minus(resources.total(unseen)),
            )
        return rooms


def _waiting(jobs: records.Jobs) -> list[Waiting]:
    """Return the waiting tasks, urgent and older jobs first."""
    waiting = [
        (key, index)
        for key, job in jobs.items()
        for index, record in enumerate(job.tasks)
        if record.state == page.WAITING
    ]
    waiting.sort(key=lambda w: (not jobs[w[0]].urgent, jobs[w[0]].submitted_at))
    return waiting
