"""The choice of a host for a task: scores, quotas, quarantine and preemption."""

import json
import time
import typing as t

from bilberrypass import errors, resources
from bilberrypass.batch import interference, placement, placer, quarantine, records
from bilberrypass.connection import messages
from bilberrypass.membership import fleet
from bilberrypass.version import configuration, page
from testing import collecting, fakes, fixtures

_CAPACITY = resources.Demand(8_000, 16 << 30, 0)


def _candidate(host, free=8_000, rack="r0", domain="fd0", accelerators=0, services=()):
    capacity = _CAPACITY._replace(accelerators=accelerators)
    return placement.CandidateHost(
        host, domain, rack, capacity, capacity._replace(cpu_milli=free), services
    )


def _requirements(cpu_milli=1_000, **changes):
    return placement.TaskRequirements(resources.Demand(cpu_milli, 1 << 30), **changes)


def _choose(requirements, *candidates, model=None):
    policy = placement.Weighted(model or interference.Model())
    ranking = placement.Ranking(
        policy, requirements, {candidate.host: candidate for candidate in candidates}
    )
    choice = ranking.choose(requirements)
    return choice.candidate.host if choice.candidate else choice.reasons


def test_fullest_host_that_fits_is_chosen():
    assert (
        _choose(_requirements(), _candidate("empty"), _candidate("fuller", free=2_000))
        == "fuller"
    )


def test_task_without_accelerators_avoids_hosts_that_have_them():
    candidates = (_candidate("gpu", free=1_000, accelerators=2), _candidate("plain"))
    assert _choose(_requirements(), *candidates) == "plain"


def test_tasks_of_a_job_spread_over_racks_and_failure_domains():
    requirements = _requirements(tasks=4, domains={"fd0": 2}, racks={"r0": 2})
    candidates = (_candidate("near"), _candidate("far", rack="r1", domain="fd1"))
    assert _choose(requirements, *candidates) == "far"


def test_only_free_host_of_a_large_fleet_is_found():
    """The ranking samples large fleets; the free host may not be in the sample."""
    full = [_candidate(f"h{number}", free=0) for number in range(1_000)]
    assert _choose(_requirements(), *full, _candidate("last")) == "last"
    assert _choose(_requirements(), *full) == {"no room now": 1_000}


def test_rules_exclude_hosts():
    requirements = _requirements(rules=page.Rules(racks=["r1"]))
    assert _choose(requirements, _candidate("h0"), _candidate("h1", rack="r1")) == "h1"
    assert _choose(requirements, _candidate("h0")) == {
        "the job's rules leave it out": 1
    }


def test_class_with_high_interference_is_placed_away_from_the_service():
    model = interference.Model()
    for _ in range(50):
        model.update("front", 2.0, {"noisy": 0.25})
        model.update("front", 1.0, {"quiet": 0.25})
    candidates = (
        _candidate("front", free=2_000, services=("front",)),
        _candidate("back"),
    )
    assert (
        _choose(_requirements(task_class="noisy"), *candidates, model=model) == "back"
    )
    assert (
        _choose(_requirements(task_class="quiet"), *candidates, model=model) == "front"
    )


def test_task_that_may_wait_does_not_slow_down_a_service():
    model = interference.Model()
    for _ in range(50):
        model.update("front", 3.0, {"noisy": 0.25})
        model.update("front", 1.0, {"quiet": 0.25})
    candidate = _candidate("front", services=("front",))._replace(loads={"noisy": 0.1})
    requirements = _requirements(task_class="noisy", may_wait=True)
    reasons = {"a service there would be disturbed too much": 1}
    assert _choose(requirements, candidate, model=model) == reasons
    assert (
        _choose(requirements._replace(may_wait=False), candidate, model=model)
        == "front"
    )
    assert (
        _choose(requirements._replace(task_class="quiet"), candidate, model=model)
        == "front"
    )


def test_interference_is_estimated_from_mixed_classes():
    model = interference.Model()
    for turn in range(400):
        noisy, quiet = (0.4, 0.1) if turn % 2 else (0.1, 0.5)
        inflation = 1 + 5.0 * noisy + 0.2 * quiet
        model.update("front", inflation, {"noisy": noisy, "quiet": quiet})
    assert abs(model.predict("front", "noisy") - 5.0) < 0.3
    assert abs(model.predict("front", "quiet") - 0.2) < 0.3


def test_host_where_all_tasks_fail_is_quarantined_and_probed():
    quarantined = quarantine.Quarantine()
    for number in range(4):
        quarantined.record_failure("h0", ("t", f"j{number % 2}"))
    assert quarantined.unavailable_reason("h0")
    assert not quarantined.unavailable_reason("h1")
    record = quarantined._records["h0"]
    quarantined._records["h0"] = record._replace(paused_until=time.monotonic() - 1)
    assert not quarantined.unavailable_reason("h0"), "the pause is over"
    quarantined.record_placement("h0")
    assert "probe" in quarantined.unavailable_reason("h0"), "one probe at a time"
    quarantined.record_failure("h0", ("t", "j9"))
    assert quarantined._records["h0"].pause_s > record.pause_s
    quarantined.record_success("h0")
    assert not quarantined.unavailable_reason("h0")


def test_failures_of_a_single_job_do_not_quarantine_a_host():
    """The cause of such failures is the job and not the host."""
    quarantined = quarantine.Quarantine()
    for _ in range(20):
        quarantined.record_failure("h0", ("t", "j"))
    assert not quarantined.unavailable_reason("h0")


class _Hosts(t.NamedTuple):
    reports: list

    def available(self):
        return [fleet.Host(report, 0.0, None) for report in self.reports]

    all = available

    def get(self, name):
        return next(host for host in self.available() if host.report.host == name)


def _report(number):
    where = {"failure_domain": f"fd{number}", "rack": f"r{number}"}
    return fakes.make_report(host=f"h{number}", capacity=_CAPACITY, **where)


def _hosts(count=2):
    return _Hosts([_report(number) for number in range(count)])


def _submit(jobs, id, cpu_milli=1_000, tasks=1, **more):
    demand = {"cpu_milli": cpu_milli, "memory_bytes": 1 << 30}
    body = {"team": "t", "tasks": tasks, "demand": demand} | more
    job = page.parse_job(id, json.dumps(body).encode(), time.time(), "")
    records.put(jobs, job)
    return job


def _make_placer(hosts, quota=None, budget=60):
    values = configuration.resolve(
        configuration.INITIAL, configuration.FLEET_WIDE, configuration.today()
    )._replace(evictions_per_hour=budget)
    if quota is not None:
        values = values._replace(
            quotas={"t": resources.Demand(quota, 1 << 60, 1 << 20)}
        )
    context = placer.make_context(placement.FirstFit(), lambda subject: values)
    return placer.Placer(hosts, context), context


def test_team_quota_is_used_fully_and_not_exceeded():
    jobs: records.Jobs = {}
    _submit(jobs, "a", tasks=3)
    _submit(jobs, "b", tasks=3)
    placer, context = _make_placer(_hosts(), quota=4_500)
    placed = placer.place(jobs)
    assert sum(map(len, placed.values())) == 4, placed
    assert not placer.place(jobs)
    texts = [decision.text for decision in context.decisions.find("job t/b")]
    assert "the quota of team t is used" in texts[-1], texts


def _fill(jobs, placer):
    _submit(jobs, "batch", cpu_milli=4_000, tasks=4)
    for specs in placer.place(jobs).values():
        for spec in specs:
            records.apply_report(
                jobs, messages.TaskState(spec.task, "running", spec.demand)
            )
    job = jobs["t", "batch"]
    aged = [record._replace(changed_at=0.0) for record in job.tasks]
    jobs["t", "batch"] = job._replace(tasks=aged)


def _evicting(jobs):
    states = [record.state for record in jobs["t", "batch"].tasks]
    return states.count(page.EVICTING)


def test_urgent_task_preempts_only_as_much_as_it_needs():
    jobs: records.Jobs = {}
    placer, _ = _make_placer(_hosts())
    _fill(jobs, placer)
    _submit(jobs, "urgent", cpu_milli=3_000, urgent=True)
    placer.place(jobs)
    assert _evicting(jobs) == 1
    placer.place(jobs)
    assert _evicting(jobs) == 1, "resources of tasks being stopped are counted as free"


def test_preemption_respects_the_eviction_budget():
    jobs: records.Jobs = {}
    placer, context = _make_placer(_hosts(), budget=0)
    _fill(jobs, placer)
    _submit(jobs, "urgent", cpu_milli=3_000, urgent=True)
    placer.place(jobs)
    assert _evicting(jobs) == 0
    texts = [decision.text for decision in context.decisions.find("job t/urgent")]
    assert "budget" in texts[-1], texts


def test_urgent_task_does_not_preempt_urgent_tasks():
    jobs: records.Jobs = {}
    placer, _ = _make_placer(_hosts(count=1))
    _submit(jobs, "first", cpu_milli=8_000, urgent=True)
    placer.place(jobs)
    _submit(jobs, "second", cpu_milli=8_000, urgent=True)
    assert not placer.place(jobs)
    assert jobs["t", "first"].tasks[0].state == page.PLACED


def test_job_that_fits_no_host_is_explained_with_the_reason():
    placer, _ = _make_placer(_hosts())
    job = _submit({}, "huge", cpu_milli=9_000)
    assert "cpu_milli (needs 9000, has 8000)" in placer.infeasibility_reason(job)
    assert placer.infeasibility_reason(_submit({}, "small")) == ""
    elsewhere = _submit({}, "far", rules={"hosts": ["h9"]})
    assert "rules" in placer.infeasibility_reason(elsewhere)


def test_reused_job_id_with_a_different_body_is_refused():
    jobs: records.Jobs = {}
    _submit(jobs, "a")
    exc = fixtures.error_of(errors.Refused, _submit, jobs, "a", 2_000)
    assert exc.kind is errors.Kind.KEY_REUSED, exc


load_tests = collecting.hook(__name__)
