"""Sums over tasks and hosts that a placement pass needs."""

from bilberrypass import resources
from bilberrypass.batch import placement, records
from bilberrypass.connection import messages
from bilberrypass.execution import states
from bilberrypass.version import page, work


def loads(report: messages.Report) -> dict[str, float]:
    """Return the share of a host's processors held by each batch class, in [0, 1]."""
    loads: dict[str, float] = {}
    for state in report.tasks:
        if state.state in states.LIVE_STATES:
            share = state.demand.cpu_milli / max(1, report.capacity.cpu_milli)
            loads[state.task_class] = loads.get(state.task_class, 0.0) + share
    return loads


def spread(
    job: page.JobRecord, candidates: dict[str, placement.CandidateHost]
) -> tuple[dict[str, int], dict[str, int]]:
    """Return the job's tasks on hosts, counted by failure domain and by rack."""
    domains: dict[str, int] = {}
    racks: dict[str, int] = {}
    for record in job.tasks:
        candidate = candidates.get(record.host)
        if candidate is not None and record.state in page.ON_HOST:
            count_task(candidate, domains, racks)
    return domains, racks


def count_task(
    candidate: placement.CandidateHost, domains: dict[str, int], racks: dict[str, int]
) -> None:
    """Add one task on a host to the counts."""
    domains[candidate.failure_domain] = domains.get(candidate.failure_domain, 0) + 1
    racks[candidate.rack] = racks.get(candidate.rack, 0) + 1


def used_by_team(
    jobs: records.Jobs, on_host: dict[str, list[work.TaskId]]
) -> dict[str, resources.Demand]:
    """Return the demand of the tasks on hosts, by team."""
    used: dict[str, resources.Demand] = {}
    for found in on_host.values():
        for task in found:
            demand = jobs[task.team, task.job].demand
            used[task.team] = used.get(task.team, resources.Demand()).plus(demand)
    return used
