"""Evicted tasks resume from their checkpoint exactly once.

This holds when the owner or the agent is killed during the eviction.
"""

import time

from testing import collecting, fixtures, run_checks, system

_BATCH_TASKS = 4
_BATCH = {
    "tasks": _BATCH_TASKS,
    "demand": {"cpu_milli": 2000, "memory_bytes": 1 << 20},
    "payload": '{"run_s": 7.0, "steps": 700}',
    "max_attempts": 1,
}
_URGENT = {
    "urgent": True,
    "demand": {"cpu_milli": 3000, "memory_bytes": 1 << 20},
    "payload": '{"run_s": 0.5}',
}
_URGENT_START_S = 9.5


def _job(url):
    return fixtures.http("GET", url).json()


def _states(url):
    return [task["state"] for task in _job(url).get("tasks", [])]


def _wait_state(url, state):
    fixtures.wait_until(lambda: _job(url).get("state") == state, 40, f"{url} {state}")


def _set_worker_delay(run, delay_s):
    fixtures.http("PUT", f"{run.workers[0].url()}/_control", {"delay_s": delay_s})


def _fill_and_preempt(run, entry):
    """Fill the host with batch tasks, then submit an urgent job; return both URLs."""
    root = f"{run.callers(entry)}/jobs"
    system.put_job(f"{root}/batch", **_BATCH)
    fixtures.wait_until(
        lambda: _states(f"{root}/batch") == ["running"] * _BATCH_TASKS, 15, "the starts"
    )
    # Batch tasks are preempted only after a minimum run time.
    fixtures.wait_until(
        lambda: all(r["steps"] > 200 for r in run_checks.list_runs(run.workers)),
        15,
        "progress",
    )
    system.put_job(f"{root}/urgent", **_URGENT)
    return f"{root}/batch", f"{root}/urgent"


def _wait_evicting(url):
    fixtures.wait_until(
        lambda: any(task["evictions"] for task in _job(url)["tasks"]), 10, "an eviction"
    )


def _check_runs(run):
    found = run_checks.check_runs(run.workers, _BATCH_TASKS + 1)
    run_checks.check_resumed(found)
    return found


def test_batch_tasks_preempted_by_an_urgent_job_resume_once():
    with system.system() as run:
        batch, urgent = _fill_and_preempt(run, 0)
        submitted_at = time.time()
        _wait_state(urgent, "finished")
        _wait_state(batch, "finished")
        found = _check_runs(run)
        (first,) = [r for r in found if r["task"]["job"] == "urgent"]
        assert first["begin"] - submitted_at < _URGENT_START_S, first
        resumed = [r for r in found if r["resumed_from"]]
        assert len(resumed) == 2, found
        explanation = fixtures.http("GET", f"{batch}/explain").json()
        texts = [decision["text"] for decision in explanation["decisions"]]
        assert any("made room on h0 for urgent job urgent" in x for x in texts), texts


def test_eviction_completes_when_the_owner_is_killed_midway():
    """The new owner must complete an eviction that its predecessor began.

    Otherwise the evicted task would be lost or would run twice.
    """
    with system.system(entries=2) as run:
        batch, urgent = _fill_and_preempt(run, 1)
        _set_worker_delay(run, 0.4)
        _wait_evicting(batch)
        run.entries[0].kill()
        _set_worker_delay(run, 0.0)
        _wait_state(urgent, "finished")
        _wait_state(batch, "finished")
        _check_runs(run)


def test_eviction_completes_when_the_agent_is_killed_midway():
    """A restarted agent must report the runs that it finds on its worker.

    Otherwise the evicted task would be lost or would run twice.
    """
    with system.system() as run:
        batch, urgent = _fill_and_preempt(run, 0)
        _set_worker_delay(run, 0.4)
        _wait_evicting(batch)
        run.agents[0].kill()
        _set_worker_delay(run, 0.0)
        peers = [front.addresses["peers"] for front in run.entries]
        cfg = system.agent_settings(0, peers, run.workers[0].addresses["http"])
        with system.daemon("agent", cfg):
            _wait_state(urgent, "finished")
            _wait_state(batch, "finished")
            _check_runs(run)


def test_job_cancelled_during_an_eviction_ends_cancelled():
    """A task that is being evicted must not be requeued once its job is cancelled."""
    with system.system() as run:
        batch, urgent = _fill_and_preempt(run, 0)
        _set_worker_delay(run, 0.2)
        _wait_evicting(batch)
        assert fixtures.http("DELETE", batch).status == 200
        _set_worker_delay(run, 0.0)
        _wait_state(batch, "cancelled")
        _wait_state(urgent, "finished")
        found = run_checks.list_runs(run.workers)
        run_checks.check_never_twice_at_once(found)
        run_checks.check_capacity(run.workers)
        batch_runs = [r for r in found if r["task"]["job"] == "batch"]
        assert len(batch_runs) == _BATCH_TASKS, batch_runs
        assert all(r["end"] is not None for r in batch_runs), batch_runs


load_tests = collecting.hook(__name__)
