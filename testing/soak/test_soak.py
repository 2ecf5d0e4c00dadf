"""Tests of the soak test: one short seed, and the checks of its invariants."""

import contextlib
import json
import math
import random
import types

import urllib3

from bilberrypass.platform import runner as platform_runner
from soak import (
    cancels,
    checker,
    disturbances,
    faults,
    hosts,
    launcher,
    lives,
    seeds,
    submissions,
)
from testing import collecting, fixtures
from testing.standins import link, serving

SHORT = seeds.Size(entries=2, agent_hosts=2, duration_s=6.0)
SEED = 1
_WAIT_TIMEOUT_S = 10.0
_RUNNER_ID = "h1-0"


def _job(**fields):
    step = {"count": 1, "cpu": 1_000}
    return submissions.Job("a" * 16, {"specification": "s", "steps": [step]} | fields)


def _checker(job=None):
    invariants = checker.InvariantChecker(max_attempts=2)
    invariants.add_job(job or _job())
    return invariants


def _task(job="a", step=0, index=0):
    return f"{job * 16}.0.{step}.{index}"


@contextlib.contextmanager
def _restarted_runner(reports):
    """Start a run on a runner, crash it, and yield its address and next life.

    The bodies of the runner's reports are added to ``reports``.
    """

    def receive_report(req):
        reports.append(json.loads(req.body))
        return serving.json_reply({})

    start = lives.Start(_RUNNER_ID, report_delay_s=0.0)
    invariants = _checker()
    first = lives.Life(start, invariants, "h1", "127.0.0.1")
    with (
        _ended_at_exit(first),
        serving.listening(receive_report) as to,
        link.Link(first.address) as relay,
    ):
        first.start_reports(to, relay)
        fixtures.wait_until(lambda: reports, _WAIT_TIMEOUT_S, "a report")
        assert _start_run(relay.address) == 200
        relay.take_target_down()
        first.crash()
        fixtures.error_of(
            urllib3.exceptions.NewConnectionError, _start_run, relay.address
        )
        second = lives.Life(start, invariants, "h1", "127.0.0.1")
        with _ended_at_exit(second):
            relay.bring_target_up(second.address)
            second.start_reports(to, relay)
            yield relay.address, second


@contextlib.contextmanager
def _ended_at_exit(life):
    try:
        yield
    finally:
        if not life.has_ended:
            life.crash()


def _start_run(address):
    """Start a run over a new connection, and return the HTTP status."""
    body = {
        "task": _task(),
        "run": 1,
        "specification": "s",
        "deadline_ms": 5_000,
        "fencing_token": 1,
    }
    return urllib3.request(
        "POST",
        f"http://{address}/api/run-start",
        headers={"Expected-Instance": _RUNNER_ID},
        json=body,
        retries=False,
        timeout=_WAIT_TIMEOUT_S,
    ).status


def _rules(invariants):
    return [violation.rule for violation in invariants.violations]


def test_short_seed_has_no_violations():
    result = seeds.run_seed(SEED, SHORT, launcher.command(""))
    assert not result.violations, result
    assert result.starts > 0 and result.faults


def test_concurrent_runs_of_a_task_are_a_violation():
    invariants = _checker()
    invariants.on_run_started("h1", _task(), 1, "s", "")
    invariants.on_run_started("h2", _task(), 2, "s", "")
    assert _rules(invariants) == ["TWICE"]


def test_run_after_an_end_is_a_violation_only_once_the_end_is_acknowledged():
    """A scheduler that loses an end before it is acknowledged may start a new run."""
    invariants = _checker()
    invariants.on_run_started("h1", _task(), 1, "s", "")
    invariants.on_run_ended("h1", _task(), 1, "done")
    invariants.on_run_started("h1", _task(), 2, "s", "")
    assert not invariants.violations
    invariants.on_end_acknowledged(_task(), 1, "done")
    assert _rules(invariants) == ["TWICE"]


def test_run_that_was_not_submitted_is_a_violation():
    invariants = _checker()
    invariants.on_run_started("h1", _task(job="b"), 1, "s", "")
    invariants.on_run_started("h1", _task(), 1, "another", "")
    assert _rules(invariants) == ["UNASKED", "UNASKED"]


def test_run_before_the_preceding_step_is_done_is_a_violation():
    first, then = {"count": 1, "cpu": 1}, {"count": 1, "cpu": 1, "after": [0]}
    invariants = _checker(_job(steps=[first, then]))
    invariants.on_run_started("h1", _task(step=1), 1, "s", "")
    assert _rules(invariants) == ["ORDER"]


def test_runs_beyond_the_cpu_of_a_host_are_a_violation():
    invariants = _checker(_job(steps=[{"count": 2, "cpu": 40_000}]))
    invariants.on_run_started("h1", _task(), 1, "s", "")
    invariants.on_run_started("h1", _task(index=1), 1, "s", "")
    assert _rules(invariants) == ["LIMIT"]


def _crash_under(invariants, runs, by_task=True):
    """Start that many runs of the first task, and crash the runner under each."""
    for run in range(1, runs + 1):
        invariants.on_run_started("h1", _task(), run, _spec(invariants), "")
        invariants.on_runner_crashed("h1", [(_task(), run)], by_task)


def _spec(invariants):
    return invariants.jobs["a" * 16].body["specification"]


def test_start_of_a_task_that_crashes_its_runners_is_a_violation_after_six():
    for spec, rules in ((f"{submissions.DEADLY} s", ["BUDGET"]), ("s", [])):
        invariants = _checker(_job(specification=spec))
        _crash_under(invariants, 5)
        assert not invariants.violations
        invariants.on_run_started("h1", _task(), 6, spec, "")
        assert _rules(invariants) == rules


def test_start_near_a_fault_is_no_violation_of_the_limit_of_crashes():
    spec = f"{submissions.DEADLY} s"
    invariants = _checker(_job(specification=spec))
    _crash_under(invariants, 5)
    invariants.disturbances.begin("h1", "kill")
    invariants.on_run_started("h1", _task(), 6, spec, "")
    assert not invariants.violations


def test_innocent_job_may_fail_only_if_its_runners_also_crashed_by_themselves():
    for spec, crashes, by_task, rules in (
        (f"{submissions.DEADLY} s", 2, True, []),
        (f"{submissions.DEADLY} s", 1, True, ["LOST"]),
        ("s", 3, False, []),
        ("s", 3, True, ["LOST"]),
        ("s", 1, False, ["LOST"]),
    ):
        invariants = _checker(_job(specification=spec))
        _crash_under(invariants, crashes, by_task)
        invariants.on_state_received(invariants.jobs["a" * 16], "failed")
        assert _rules(invariants) == rules, (spec, crashes, by_task)


def test_capacity_that_has_shrunk_counts_some_seconds_later():
    known_after_s = checker._CAPACITY_KNOWN_AFTER_S
    for age_s, rules in ((known_after_s - 0.5, []), (known_after_s + 0.1, ["LIMIT"])):
        invariants = _checker(_job(steps=[{"count": 1, "cpu": 40_000}]))
        invariants._created_at -= age_s
        invariants._capacities["h1"] = [(0.0, 30_000)]
        invariants.on_run_started("h1", _task(), 1, "s", "")
        assert _rules(invariants) == rules, age_s


def test_states_that_contradict_the_observations_are_violations():
    invariants = _checker()
    job = invariants.jobs["a" * 16]
    for state in ("completed", "failed", "cancelled"):
        invariants.on_state_received(job, state)
    job.accepted_at = 1.0
    invariants.on_job_not_found(job)
    assert _rules(invariants) == ["MIXED", "MIXED", "LOST", "MIXED", "LOST", "LOST"]


def test_run_of_a_refused_job_is_a_violation():
    invariants = _checker()
    invariants.jobs["a" * 16].is_refused = True
    invariants.on_run_started("h1", _task(), 1, "s", "")
    assert _rules(invariants) == ["REFUSED"]


def test_run_beyond_the_max_attempts_is_a_violation():
    invariants = _checker()
    for run in (1, 2):
        invariants.on_run_started("h1", _task(), run, "s", "")
        invariants.on_run_ended("h1", _task(), run, "failed")
        invariants.on_end_acknowledged(_task(), run, "failed")
    invariants.on_run_started("h1", _task(), 3, "s", "")
    assert _rules(invariants) == ["BUDGET"]


def _cancelled(age_s):
    """Return a checker whose job was cancelled that many seconds ago."""
    invariants = _checker()
    invariants.jobs["a" * 16].cancel_acked_at = invariants.now() - age_s
    return invariants


def test_start_after_a_cancel_is_a_violation_despite_faults_of_other_hosts():
    invariants = _cancelled(age_s=cancels.CANCEL_S + 0.1)
    invariants.disturbances.begin("h2", "kill")
    invariants.on_run_started("h1", _task(), 1, "s", "")
    assert _rules(invariants) == ["UNASKED"]


def test_start_soon_after_a_cancel_or_a_fault_is_no_violation():
    invariants = _cancelled(age_s=cancels.CANCEL_S - 1.0)
    invariants.on_run_started("h1", _task(), 1, "s", "")
    assert not invariants.violations
    for place in ("h1", disturbances.CORE, disturbances.ALL_HOSTS):
        invariants = _cancelled(age_s=60.0)
        invariants.disturbances.begin(place, "kill")
        invariants.disturbances.end(place, "kill")
        invariants.on_run_started("h1", _task(), 1, "s", "")
        assert not invariants.violations


def test_late_start_after_a_cancel_is_no_violation_by_itself():
    invariants = _cancelled(age_s=60.0)
    invariants.on_run_started("h1", _task(), 1, "s", "", is_late=True)
    assert not invariants.violations


def _is_overdue(calm_since, started_at, now, is_late=False):
    faults_seen = types.SimpleNamespace(calm_since=lambda *places: calm_since)
    check = cancels.CancelCheck(faults_seen)
    check.on_run_started(cancels.ActiveRun("t", 1, "h", started_at, is_late), 0.0)
    return bool(check.find_overdue(now, lambda task: 100.0))


def test_run_that_goes_on_after_a_cancel_is_a_violation_once_it_is_calm():
    bound_s = cancels.CANCEL_S + cancels.STOP_TIMEOUT_S
    assert not _is_overdue(0.0, 99.0, 100.0 + bound_s - 0.1)
    assert _is_overdue(0.0, 99.0, 100.0 + bound_s + 0.1)
    assert not _is_overdue(102.0, 99.0, 102.0 + bound_s - 0.1)
    assert _is_overdue(102.0, 99.0, 102.0 + bound_s + 0.1)
    assert not _is_overdue(math.inf, 99.0, 200.0)


def test_run_that_started_late_is_a_violation_counted_from_its_start():
    bound_s = cancels.CONTACT_S + cancels.STOP_TIMEOUT_S
    assert not _is_overdue(0.0, 110.0, 110.0 + bound_s - 0.1, is_late=True)
    assert _is_overdue(0.0, 110.0, 110.0 + bound_s + 0.1, is_late=True)


def test_active_fault_is_near_and_an_ended_one_counts_from_its_end():
    faults_seen = disturbances.Disturbances()
    assert faults_seen.calm_since() == 0.0
    faults_seen.begin("h1", "kill")
    assert faults_seen.calm_since() == faults_seen.calm_since("h1") == math.inf
    assert faults_seen.calm_since("h2") == 0.0
    faults_seen.end("h1", "kill")
    assert 0.0 < faults_seen.calm_since() < math.inf


def test_restarted_runner_knows_nothing_of_its_earlier_life():
    """A runner that kept its state would not play the restart of the platform's."""
    reports = []
    with _restarted_runner(reports) as (address, life):
        client = platform_runner.Runner(_RUNNER_ID, life.born, address)
        snapshot = client.poll(0, None, 1, 0.0)
        assert not snapshot.running and not snapshot.ended
        has_reported = lambda: reports[-1]["born"] == snapshot.life
        fixtures.wait_until(has_reported, _WAIT_TIMEOUT_S, "a report")
    first, last = reports[0], reports[-1]
    assert first["address"] == last["address"]
    assert first["born"] < last["born"]
    assert [report["sequence"] for report in (first, last)] == [1, 1]


def test_restarted_runner_accepts_calls_for_its_id():
    """Only ``born`` tells two lives under one id apart."""
    with _restarted_runner([]) as (address, _):
        assert _start_run(address) == 200


@contextlib.contextmanager
def _draining_life(receive_report):
    life = lives.Life(lives.Start(_RUNNER_ID, 0.0), _checker(), "h1", "127.0.0.1")
    with _ended_at_exit(life), serving.listening(receive_report) as to:
        life.start_reports(to, types.SimpleNamespace(address=life.address))
        life.drain(2.0)
        yield life, to


def test_leaving_runner_drains_until_its_exit_is_announced():
    requests = []

    def receive_report(req):
        requests.append(req)
        return serving.json_reply({})

    with _draining_life(receive_report) as (life, to):
        assert life.drain_acknowledged.wait(_WAIT_TIMEOUT_S)
        assert life.announce_exit(to)
    report = json.loads(requests[-2].body)
    assert report["state"] == "draining" and 0 < report["remaining_ms"] <= 2_000
    assert requests[-1].method == "DELETE"


def test_crashes_depend_only_on_the_seed():
    agent_hosts = [
        types.SimpleNamespace(
            name=name, crash_runner=1, restart_runner=2, kill=3, restart=4
        )
        for name in ("agent1", "agent2")
    ]
    fleet = hosts.Fleet(None, [], agent_hosts)
    mix = faults.CrashMix(interval_s=1.0, agent_kill_share=0.5)
    first, second = (
        faults.draw_crashes(fleet, random.Random(1), 20.0, mix) for _ in range(2)
    )
    assert first == second and first


def test_lasting_job_that_is_reported_as_completed_breaks_lost():
    step = {"count": 1, "cpu": 1_000, "long_running": True}
    job = _job(steps=[step])
    invariants = _checker(job)
    invariants.on_run_started("h1", _task(), 1, "s", "")
    invariants.on_run_ended("h1", _task(), 1, "done")
    invariants.on_run_started("h2", _task(), 2, "s", "")
    assert not invariants.violations
    invariants.on_state_received(job, "completed")
    assert [found.rule for found in invariants.violations] == ["LOST"]


load_tests = collecting.hook(__name__)
