"""Tests of the soak test: one short seed, and the checks of its invariants."""

from soak import checker, seeds
from testing import collecting, programs

SHORT = seeds.Size(entries=2, agent_hosts=2, duration_s=6.0)
SEED = 1


def _job(**fields):
    step = {"count": 1, "cpu": 1_000}
    return checker.Job("a" * 16, {"specification": "s", "steps": [step]} | fields)


def _checker(job=None):
    invariants = checker.InvariantChecker(max_attempts=2)
    invariants.add_job(job or _job())
    return invariants


def _task(job="a", step=0, index=0):
    return f"{job * 16}.0.{step}.{index}"


def _rules(invariants):
    return [violation.rule for violation in invariants.violations]


def test_short_seed_has_no_violations():
    result = seeds.run_seed(SEED, SHORT, programs.DAEMON_COMMAND)
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


load_tests = collecting.hook(__name__)
