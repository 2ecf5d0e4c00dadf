"""One placement pass: assigns the waiting tasks of a shard to hosts."""

import itertools
import time
import typing as t

from bilberrypass import resources
from bilberrypass.batch import (
    budget,
    decisions,
    placement,
    preemption,
    quarantine,
    records,
    suspects,
    tallies,
)
from bilberrypass.execution import states
from bilberrypass.membership import fleet
from bilberrypass.version import configuration, page, work

_MAX_HOST_WAIT_S: t.Final = 1_800.0

WaitingTask = tuple[records.JobKey, int]
ConfigReader = t.Callable[[configuration.Subject], configuration.Values]


class PlacementContext(t.NamedTuple):
    """Shared by all shards of an entry; ``values`` returns the values in force."""

    policy: placement.Policy
    quarantine: quarantine.Quarantine
    budget: budget.EvictionBudget
    values: ConfigReader
    decisions: decisions.DecisionHistory


def make_context(
    policy: placement.Policy, values: ConfigReader | None = None
) -> PlacementContext:
    """Return a new context; ``values`` is by default the built-in configuration."""

    def built_in(subject: configuration.Subject) -> configuration.Values:
        return configuration.resolve(
            configuration.INITIAL, subject, configuration.today()
        )

    read = values or built_in

    def limit() -> int | None:
        found = read(configuration.FLEET_WIDE)
        return found.evictions_per_hour if found.eviction_budget else None

    return PlacementContext(
        policy,
        quarantine.Quarantine(),
        budget.EvictionBudget(limit),
        read,
        decisions.DecisionHistory(),
    )


@t.final
class Placer:
    """Places the waiting tasks of a shard.

    Parameters
    ----------
    hosts : fleet.Fleet
        The hosts known from their reports.
    context : PlacementContext
        Shared with the other shards of the entry.
    """

    def __init__(self, hosts: fleet.Fleet, context: PlacementContext) -> None:
        self._hosts = hosts
        self._context = context
        self._full_signatures: set[t.Any] = set()
        self._suspects = suspects.Suspects({}, {})

    def place(self, jobs: records.Jobs) -> dict[str, list[work.Spec]]:
        """Place waiting tasks and return their specs by host; ``jobs`` is changed."""
        placed: dict[str, list[work.Spec]] = {}
        waiting = _sorted_waiting(jobs)
        if not waiting:
            return placed
        on_host = records.tasks_by_host(jobs)
        candidates = self._candidates(jobs, on_host)
        used = tallies.used_by_team(jobs, on_host)
        self._suspects = suspects.Suspects(jobs, on_host)
        self._full_signatures = set()
        for key, group in itertools.groupby(waiting, key=lambda w: w[0]):
            indexes = [index for _, index in group]
            if not jobs[key].urgent and _signature(jobs[key]) in self._full_signatures:
                continue
            for spec, host in self._place_job(jobs, key, indexes, candidates, used):
                placed.setdefault(host, []).append(spec)
        return placed

    def _place_job(
        self,
        jobs: records.Jobs,
        key: records.JobKey,
        indexes: list[int],
        candidates: dict[str, placement.CandidateHost],
        used: dict[str, resources.Demand],
    ) -> t.Iterator[tuple[work.Spec, str]]:
        job = jobs[key]
        quota = self._quota(job.team)
        domains, racks = tallies.spread(job, candidates)
        ranking: placement.Ranking | None = None
        for count, index in enumerate(indexes):
            team_demand = used.get(job.team, resources.Demand()).plus(job.demand)
            if quota is not None and not team_demand.fits_in(quota):
                over = team_demand.describe_shortage(quota)
                self._record(
                    job, f"waits: the quota of team {job.team} is used: {over}"
                )
                return
            requirements = _requirements(job, index, domains, racks)
            record = job.tasks[index]
            if ranking is None or requirements.failed_on or record.crashes:
                ranking = placement.Ranking(
                    self._context.policy,
                    requirements,
                    self._suspects.restrict(candidates, record),
                )
            choice = ranking.choose(requirements)
            if choice.candidate is None:
                self._record_no_host(job, choice)
                self._preempt(jobs, key, len(indexes) - count, candidates)
                return
            candidate = choice.candidate
            candidates[candidate.host] = self._reserve(candidates[candidate.host], job)
            self._suspects.add(candidate.host, record)
            used[job.team] = team_demand
            tallies.count_task(candidate, domains, racks)
            self._record_placed(job, index, choice)
            yield records.place(jobs, key, index, candidate.host), candidate.host

    def _preempt(
        self,
        jobs: records.Jobs,
        key: records.JobKey,
        waiting: int,
        candidates: dict[str, placement.CandidateHost],
    ) -> None:
        """Evict batch tasks for the ``waiting`` remaining tasks of an urgent job.

        For any other job, mark its signature as full; the pass skips equal jobs.
        """
        if not jobs[key].urgent:
            self._full_signatures.add(_signature(jobs[key]))
            return
        # An evicted task holds its resources until the host confirms the stop.
        on_host = records.tasks_by_host(jobs)
        for _ in range(waiting):
            self._preempt_for_task(jobs, key, candidates, on_host)

    def _quota(self, team: str) -> resources.Demand | None:
        return self._context.values(configuration.Subject(team=team)).quotas.get(team)

    def _reserve(
        self, candidate: placement.CandidateHost, job: page.JobRecord
    ) -> placement.CandidateHost:
        self._context.quarantine.record_placement(candidate.host)
        share = job.demand.cpu_milli / max(1, candidate.capacity.cpu_milli)
        load = candidate.loads.get(job.task_class, 0.0) + share
        return candidate._replace(
            free=candidate.free.minus(job.demand),
            loads={**candidate.loads, job.task_class: load},
            unavailable_reason=self._context.quarantine.unavailable_reason(
                candidate.host
            ),
        )

    def _preempt_for_task(
        self,
        jobs: records.Jobs,
        key: records.JobKey,
        candidates: dict[str, placement.CandidateHost],
        on_host: dict[str, list[work.TaskId]],
    ) -> None:
        """Evict batch tasks of this shard for one urgent task, within the budget."""
        demand = jobs[key].demand
        requirements = placement.TaskRequirements(demand, rules=jobs[key].rules)
        options = []
        for candidate in candidates.values():
            if candidate.unavailable_reason or placement.infeasibility_reason(
                requirements, candidate
            ):
                continue
            stopping = self._stopping_demand(jobs, candidate.host, on_host)
            preemptible = preemption.find_preemptible(
                jobs, on_host.get(candidate.host, [])
            )
            if demand.fits_in(candidate.free.plus(stopping)):
                # Stops in progress free enough there; reserve it for this task.
                candidates[candidate.host] = candidate._replace(
                    free=candidate.free.minus(demand)
                )
                return
            chosen = preemption.choose_victims(
                jobs, demand, candidate.free.plus(stopping), preemptible
            )
            if chosen:
                options.append((len(chosen), candidate.host, chosen))
        if not options:
            return
        _, host, chosen = min(options)
        if self._evict(jobs, key, host, chosen):
            candidate = candidates[host]
            candidates[host] = candidate._replace(free=candidate.free.minus(demand))

    def _stopping_demand(
        self,
        jobs: records.Jobs,
        host_id: str,
        on_host: dict[str, list[work.TaskId]],
    ) -> resources.Demand:
        """Return the committed resources of tasks that are being stopped on a host."""
        host = self._hosts.get(host_id)
        listed = {s.task for s in host.report.tasks if s.state in states.LIVE_STATES}
        stopping = set()
        for task in listed | set(on_host.get(host_id, [])):
            job = jobs.get((task.team, task.job))
            if job is None:
                continue
            record = records.find(jobs, task)
            is_kept = record is not None and record.state in (page.PLACED, page.RUNNING)
            if not is_kept:
                stopping.add(task)
        return resources.sum_demands(
            jobs[task.team, task.job].demand for task in stopping
        )

    def _evict(
        self,
        jobs: records.Jobs,
        key: records.JobKey,
        host: str,
        chosen: list[work.TaskId],
    ) -> bool:
        if not self._context.budget.try_spend(len(chosen)):
            self._record(jobs[key], "waits: the budget of evictions is spent")
            return False
        for task in chosen:
            detail = f"made room on {host} for urgent job {key[1]}"
            records.evict(jobs, task, detail)
            self._record(jobs[task.team, task.job], f"task {task.index} {detail}")
        self._record(jobs[key], f"{len(chosen)} batch tasks on {host} make room")
        return True

    def _candidates(
        self, jobs: records.Jobs, on_host: dict[str, list[work.TaskId]]
    ) -> dict[str, placement.CandidateHost]:
        candidates = {}
        for host in self._hosts.available():
            report = host.report
            if not report.is_current:
                continue
            reported = {state.task for state in report.tasks}
            unreported = [
                jobs[task.team, task.job].demand
                for task in on_host.get(report.host, [])
                if task not in reported
            ]
            free = report.capacity.minus(report.committed)
            candidates[report.host] = placement.CandidateHost(
                report.host,
                report.failure_domain,
                report.rack,
                report.capacity,
                free.minus(resources.sum_demands(unreported)),
                tuple({e.service for e in report.endpoints if not e.leaving}),
                self._unavailable_reason(report.host),
                tallies.loads(report),
            )
        return candidates

    def _unavailable_reason(self, host: str) -> str:
        values = self._context.values(configuration.Subject(host=host))
        if not values.set_aside_failing_workers:
            return ""
        return self._context.quarantine.unavailable_reason(host)

    def infeasibility_reason(self, job: page.JobRecord) -> str:
        """Return why no known host could ever hold a job; empty if one could."""
        known = self._hosts.all()
        requirements = placement.TaskRequirements(job.demand, rules=job.rules)
        reasons = []
        for host in known:
            report = host.report
            candidate = placement.CandidateHost(
                report.host,
                report.failure_domain,
                report.rack,
                report.capacity,
                report.capacity,
            )
            reason = placement.infeasibility_reason(requirements, candidate)
            if not reason:
                return ""
            reasons.append(f"{report.host} {reason}")
        return "; ".join(reasons[:3])

    def _record(self, job: page.JobRecord, text: str) -> None:
        self._context.decisions.add(_subject(job), text)

    def _record_no_host(self, job: page.JobRecord, choice: placement.Choice) -> None:
        reason = self.infeasibility_reason(job)
        text = f"waits: no known host could ever hold it: {reason}"
        if not reason:
            text = "waits: no host can take it now"
        self._context.decisions.add_choice(_subject(job), text, choice)

    def _record_placed(
        self, job: page.JobRecord, index: int, choice: placement.Choice
    ) -> None:
        assert choice.candidate is not None
        text = f"task {index} placed on {choice.candidate.host}"
        self._context.decisions.add_choice(_subject(job), text, choice)
        subject = f"host {choice.candidate.host}"
        self._context.decisions.add(subject, f"took {job.team}/{job.id} task {index}")


def _signature(job: page.JobRecord) -> t.Any:
    """Return a key that is equal for batch jobs that fit on the same hosts."""
    return job.demand, job.task_class, _may_wait(job), tuple(map(tuple, job.rules))


def _may_wait(job: page.JobRecord) -> bool:
    """Return whether a job may wait for hosts whose services it slows down less."""
    return not job.urgent and time.time() < job.submitted_at + _MAX_HOST_WAIT_S


def _subject(job: page.JobRecord) -> str:
    return f"job {job.team}/{job.id}"


def _requirements(
    job: page.JobRecord, index: int, domains: dict[str, int], racks: dict[str, int]
) -> placement.TaskRequirements:
    return placement.TaskRequirements(
        job.demand,
        job.task_class,
        job.rules,
        job.tasks[index].failed_on,
        len(job.tasks),
        domains,
        racks,
        _may_wait(job),
    )


def _sorted_waiting(jobs: records.Jobs) -> list[WaitingTask]:
    """Return the waiting tasks: urgent jobs first, then by time of submission."""
    waiting = [
        (key, index)
        for key, job in jobs.items()
        for index, record in enumerate(job.tasks)
        if record.state == page.WAITING
    ]
    waiting.sort(key=lambda w: (not jobs[w[0]].urgent, jobs[w[0]].submitted_at, w[0]))
    return waiting
