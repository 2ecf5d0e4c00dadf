"""Tests of the soak test: one short seed, and the checks of its invariants."""

from soak import book, seeds
from testing import collecting, programs

SHORT = seeds.Size(entries=2, sides=2, duration_s=6.0)
SEED = 1


def _job(**fields):
    step = {"count": 1, "cpu": 1_000}
    return book.Job("a" * 16, {"specification": "s", "steps": [step]} | fields)


def _book(job=None):
    found = book.Book(max_attempts=2)
    found.add(job or _job())
    return found


def _task(job="a", step=0, index=0):
    return f"{job * 16}.0.{step}.{index}"


def _rules(found):
    return [broken.rule for broken in found.broken]


def test_short_seed_has_no_violations():
    verdict = seeds.play(SEED, SHORT, programs.COMMAND)
    assert not verdict.broken, verdict
    assert verdict.starts > 0 and verdict.faults


def test_concurrent_runs_of_a_task_are_a_violation():
    found = _book()
    found.started("h1", _task(), 1, "s", "")
    found.started("h2", _task(), 2, "s", "")
    assert _rules(found) == ["TWICE"]


def test_run_after_an_end_is_a_violation_only_once_the_end_is_acknowledged():
    """A scheduler that loses an end before it is acknowledged may start a new run."""
    found = _book()
    found.started("h1", _task(), 1, "s", "")
    found.ended("h1", _task(), 1, "done")
    found.started("h1", _task(), 2, "s", "")
    assert not found.broken
    found.noted(_task(), 1, "done")
    assert _rules(found) == ["TWICE"]


def test_run_that_was_not_submitted_is_a_violation():
    found = _book()
    found.started("h1", _task(job="b"), 1, "s", "")
    found.started("h1", _task(), 1, "another", "")
    assert _rules(found) == ["UNASKED", "UNASKED"]


def test_run_before_the_preceding_step_is_done_is_a_violation():
    first, then = {"count": 1, "cpu": 1}, {"count": 1, "cpu": 1, "after": [0]}
    found = _book(_job(steps=[first, then]))
    found.started("h1", _task(step=1), 1, "s", "")
    assert _rules(found) == ["ORDER"]


def test_runs_beyond_the_cpu_of_a_host_are_a_violation():
    found = _book(_job(steps=[{"count": 2, "cpu": 40_000}]))
    found.started("h1", _task(), 1, "s", "")
    found.started("h1", _task(index=1), 1, "s", "")
    assert _rules(found) == ["LIMIT"]


def test_states_that_contradict_the_observations_are_violations():
    found = _book()
    job = found.jobs["a" * 16]
    for state in ("completed", "failed", "cancelled"):
        found.shown(job, state)
    job.accepted_at = 1.0
    found.unknown(job)
    assert _rules(found) == ["MIXED", "MIXED", "LOST", "MIXED", "LOST", "LOST"]


def test_run_of_a_rejected_job_is_a_violation():
    found = _book()
    found.jobs["a" * 16].is_refused = True
    found.started("h1", _task(), 1, "s", "")
    assert _rules(found) == ["REFUSED"]


def test_run_beyond_the_max_attempts_is_a_violation():
    found = _book()
    for run in (1, 2):
        found.started("h1", _task(), run, "s", "")
        found.ended("h1", _task(), run, "failed")
        found.noted(_task(), run, "failed")
    found.started("h1", _task(), 3, "s", "")
    assert _rules(found) == ["BUDGET"]


load_tests = collecting.hook(__name__)
