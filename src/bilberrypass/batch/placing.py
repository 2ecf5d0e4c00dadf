"""One pass of placement: what waits, the rooms there are, and who goes where."""

import itertools
import time
import typing as t

from bilberrypass import resources
from bilberrypass.batch import (
    budget,
    decisions,
    displacement,
    placement,
    quarantine,
    records,
)
from bilberrypass.connection import messages
from bilberrypass.execution import tasks
from bilberrypass.membership import fleet
from bilberrypass.version import configuration, page, work

_PATIENCE_S: t.Final = 1_800.0

Waiting = tuple[records.JobKey, int]
ValuesOf = t.Callable[[configuration.Subject], configuration.Values]


class Tools(t.NamedTuple):
    """What the shards of an entry share for their decisions."""

    policy: placement.Policy
    quarantine: quarantine.Quarantine
    budget: budget.Budget
    values: ValuesOf
    decisions: decisions.Decisions


def make_tools(policy: placement.Policy, values: ValuesOf | None = None) -> Tools:
    """Return tools by the configuration, or by its built-in values."""

    def built_in(subject: configuration.Subject) -> configuration.Values:
        return configuration.resolve(
            configuration.FIRST, subject, configuration.today()
        )

    read = values or built_in

    def limit() -> int | None:
        found = read(configuration.FLEET)
        return found.evictions_per_hour if found.eviction_budget else None

    return Tools(
        policy,
        quarantine.Quarantine(),
        budget.Budget(limit),
        read,
        decisions.Decisions(),
    )


@t.final
class Placing:
    """Places the waiting tasks of a shard.

    Parameters
    ----------
    hosts : fleet.Fleet
        The hosts known by reports.
    tools : Tools
        Shared with the other shards of the entry.
    """

    def __init__(self, hosts: fleet.Fleet, tools: Tools) -> None:
        self._hosts = hosts
        self._tools = tools
        self._full: set[t.Any] = set()

    def place(self, jobs: records.Jobs) -> dict[str, list[work.Spec]]:
        """Give waiting tasks to hosts, and return what is placed by host."""
        placed: dict[str, list[work.Spec]] = {}
        waiting = _waiting(jobs)
        if not waiting:
            return placed
        on_host = records.on_host(jobs)
        rooms = self._rooms(jobs, on_host)
        used = _used_by_team(jobs, on_host)
        self._full = set()
        for key, group in itertools.groupby(waiting, key=lambda w: w[0]):
            indexes = [index for _, index in group]
            if not jobs[key].urgent and _signature(jobs[key]) in self._full:
                continue
            for spec, host in self._place_job(jobs, key, indexes, rooms, used):
                placed.setdefault(host, []).append(spec)
        return placed

    def _place_job(
        self,
        jobs: records.Jobs,
        key: records.JobKey,
        indexes: list[int],
        rooms: dict[str, placement.Room],
        used: dict[str, resources.Demand],
    ) -> t.Iterator[tuple[work.Spec, str]]:
        job = jobs[key]
        quota = self._quota(job.team)
        domains, racks = _spread(job, rooms)
        ranking: placement.Ranking | None = None
        for count, index in enumerate(indexes):
            after = used.get(job.team, resources.Demand()).plus(job.demand)
            if quota is not None and not after.fits(quota):
                over = after.shortage(quota)
                self._note(job, f"waits: the quota of team {job.team} is used: {over}")
                return
            ask = _ask(job, index, domains, racks)
            if ranking is None or ask.failed_on:
                ranking = placement.Ranking(self._tools.policy, ask, rooms)
            choice = ranking.choose(ask)
            if choice.room is None:
                self._note_no_room(job, choice)
                self._make_way(jobs, key, len(indexes) - count, rooms)
                return
            room = choice.room
            rooms[room.host] = self._take(room, job)
            used[job.team] = after
            _count(room, domains, racks)
            self._note_placed(job, index, choice)
            yield records.place(jobs, key, index, room.host), room.host

    def _make_way(
        self,
        jobs: records.Jobs,
        key: records.JobKey,
        waiting: int,
        rooms: dict[str, placement.Room],
    ) -> None:
        """Displace batch work for an urgent job's tasks; others find no room now."""
        if not jobs[key].urgent:
            self._full.add(_signature(jobs[key]))
            return
        # An evicted task stays on its host until its stop is confirmed.
        on_host = records.on_host(jobs)
        for _ in range(waiting):
            self._displace(jobs, key, rooms, on_host)

    def _quota(self, team: str) -> resources.Demand | None:
        return self._tools.values(configuration.Subject(team=team)).quotas.get(team)

    def _take(self, room: placement.Room, job: page.JobRecord) -> placement.Room:
        self._tools.quarantine.placed(room.host)
        share = job.demand.cpu_milli / max(1, room.capacity.cpu_milli)
        load = room.loads.get(job.task_class, 0.0) + share
        return room._replace(
            free=room.free.minus(job.demand),
            loads={**room.loads, job.task_class: load},
            resting=self._tools.quarantine.why_resting(room.host),
        )

    def _displace(
        self,
        jobs: records.Jobs,
        key: records.JobKey,
        rooms: dict[str, placement.Room],
        on_host: dict[str, list[work.TaskId]],
    ) -> None:
        """Evict batch tasks of this shard for an urgent one, within the budget."""
        demand = jobs[key].demand
        ask = placement.Ask(demand, rules=jobs[key].rules)
        options = []
        for room in rooms.values():
            if room.resting or placement.why_never(ask, room):
                continue
            leaving = self._leaving(jobs, room.host, on_host)
            victims = displacement.find_movable(jobs, on_host.get(room.host, []))
            if demand.fits(room.free.plus(leaving)):
                # Room comes free there already; it is taken for this task.
                rooms[room.host] = room._replace(free=room.free.minus(demand))
                return
            chosen = displacement.choose(jobs, demand, room.free.plus(leaving), victims)
            if chosen:
                options.append((len(chosen), room.host, chosen))
        if not options:
            return
        _, host, chosen = min(options)
        if self._evict(jobs, key, host, chosen):
            room = rooms[host]
            rooms[host] = room._replace(free=room.free.minus(demand))

    def _leaving(
        self,
        jobs: records.Jobs,
        name: str,
        on_host: dict[str, list[work.TaskId]],
    ) -> resources.Demand:
        """Return what counts as taken on a host but is on its way out."""
        host = self._hosts.get(name)
        listed = {s.task for s in host.report.tasks if s.state in tasks.LIVE}
        leaving = set()
        for task in listed | set(on_host.get(name, [])):
            job = jobs.get((task.team, task.job))
            if job is None:
                continue
            record = records.find(jobs, task)
            stays = record is not None and record.state in (page.PLACED, page.RUNNING)
            if not stays:
                leaving.add(task)
        return resources.total(jobs[task.team, task.job].demand for task in leaving)

    def _evict(
        self,
        jobs: records.Jobs,
        key: records.JobKey,
        host: str,
        chosen: list[work.TaskId],
    ) -> bool:
        if not self._tools.budget.spend(len(chosen)):
            self._note(jobs[key], "waits: the budget of evictions is spent")
            return False
        for task in chosen:
            detail = f"made room on {host} for urgent job {key[1]}"
            records.evict(jobs, task, detail)
            self._note(jobs[task.team, task.job], f"task {task.index} {detail}")
        self._note(jobs[key], f"{len(chosen)} batch tasks on {host} make room")
        return True

    def _rooms(
        self, jobs: records.Jobs, on_host: dict[str, list[work.TaskId]]
    ) -> dict[str, placement.Room]:
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
                tuple({e.service for e in report.endpoints if not e.leaving}),
                self._why_resting(report.host),
                _loads(report),
            )
        return rooms

    def _why_resting(self, host: str) -> str:
        values = self._tools.values(configuration.Subject(host=host))
        if not values.set_aside_failing_workers:
            return ""
        return self._tools.quarantine.why_resting(host)

    def why_never(self, job: page.JobRecord) -> str:
        """Tell why no known host could ever hold a job; empty if one could."""
        known = self._hosts.all()
        ask = placement.Ask(job.demand, rules=job.rules)
        reasons = []
        for host in known:
            report = host.report
            room = placement.Room(
                report.host,
                report.failure_domain,
                report.rack,
                report.capacity,
                report.capacity,
            )
            reason = placement.why_never(ask, room)
            if not reason:
                return ""
            reasons.append(f"{report.host} {reason}")
        return "; ".join(reasons[:3])

    def _note(self, job: page.JobRecord, text: str) -> None:
        self._tools.decisions.note(_subject(job), text)

    def _note_no_room(self, job: page.JobRecord, choice: placement.Choice) -> None:
        never = self.why_never(job)
        text = f"waits: no known host could ever hold it: {never}"
        if not never:
            text = "waits: no host can take it now"
        self._tools.decisions.note_choice(_subject(job), text, choice)

    def _note_placed(
        self, job: page.JobRecord, index: int, choice: placement.Choice
    ) -> None:
        assert choice.room is not None
        text = f"task {index} placed on {choice.room.host}"
        self._tools.decisions.note_choice(_subject(job), text, choice)
        subject = f"host {choice.room.host}"
        self._tools.decisions.note(subject, f"took {job.team}/{job.id} task {index}")


def _signature(job: page.JobRecord) -> t.Any:
    """Return what two batch jobs have in common that find room, or none, alike."""
    return job.demand, job.task_class, _is_patient(job), tuple(map(tuple, job.rules))


def _is_patient(job: page.JobRecord) -> bool:
    """Tell whether a job may wait for hosts whose services it disturbs less."""
    return not job.urgent and time.time() < job.submitted_at + _PATIENCE_S


def _loads(report: messages.Report) -> dict[str, float]:
    """Return the share of a host's processors that each batch class holds."""
    loads: dict[str, float] = {}
    for state in report.tasks:
        if state.state in tasks.LIVE:
            share = state.demand.cpu_milli / max(1, report.capacity.cpu_milli)
            loads[state.task_class] = loads.get(state.task_class, 0.0) + share
    return loads


def _subject(job: page.JobRecord) -> str:
    return f"job {job.team}/{job.id}"


def _ask(
    job: page.JobRecord, index: int, domains: dict[str, int], racks: dict[str, int]
) -> placement.Ask:
    return placement.Ask(
        job.demand,
        job.task_class,
        job.rules,
        job.tasks[index].failed_on,
        len(job.tasks),
        domains,
        racks,
        _is_patient(job),
    )


def _spread(
    job: page.JobRecord, rooms: dict[str, placement.Room]
) -> tuple[dict[str, int], dict[str, int]]:
    """Count the job's tasks on hosts by failure domain and by rack."""
    domains: dict[str, int] = {}
    racks: dict[str, int] = {}
    for record in job.tasks:
        room = rooms.get(record.host)
        if room is not None and record.state in page.ON_HOST:
            _count(room, domains, racks)
    return domains, racks


def _count(
    room: placement.Room, domains: dict[str, int], racks: dict[str, int]
) -> None:
    """Count one more task of a job on a host."""
    domains[room.failure_domain] = domains.get(room.failure_domain, 0) + 1
    racks[room.rack] = racks.get(room.rack, 0) + 1


def _used_by_team(
    jobs: records.Jobs, on_host: dict[str, list[work.TaskId]]
) -> dict[str, resources.Demand]:
    used: dict[str, resources.Demand] = {}
    for found in on_host.values():
        for task in found:
            demand = jobs[task.team, task.job].demand
            used[task.team] = used.get(task.team, resources.Demand()).plus(demand)
    return used


def _waiting(jobs: records.Jobs) -> list[Waiting]:
    """Return the waiting tasks, urgent and older jobs first."""
    waiting = [
        (key, index)
        for key, job in jobs.items()
        for index, record in enumerate(job.tasks)
        if record.state == page.WAITING
    ]
    waiting.sort(key=lambda w: (not jobs[w[0]].urgent, jobs[w[0]].submitted_at, w[0]))
    return waiting
