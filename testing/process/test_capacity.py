"""No host is overcommitted by concurrent placement or by a failed process."""

import concurrent.futures as futures
import contextlib

from bilberrypass.version import work
from testing import collecting, fixtures, run_checks, system

_TASKS_PER_JOB = 24
_TEAMS = ("plans", "grants")


def _submit(run, id, entry=0, **changes):
    url = f"{run.callers(entry)}/jobs/{id}"
    system.put_job(url, 10, **changes)
    return url


def _submit_filling_job(run, team):
    payload = '{"run_s": 1.0}'
    return _submit(
        run, f"fill-{team}", team=team, tasks=_TASKS_PER_JOB, payload=payload
    )


def _wait_finished(url, timeout_s=30):
    fixtures.wait_until(
        lambda: fixtures.http("GET", url).json()["state"] == "finished",
        timeout_s,
        f"finished job at {url}",
    )


def _active_runs_condition(run):
    return lambda: [r for r in run_checks.list_runs(run.workers) if r["end"] is None]


@contextlib.contextmanager
def _second_agent(run, **changes):
    """Run another agent of host h0 next to the first."""
    peers = [entry.addresses["peers"] for entry in run.entries]
    cfg = system.agent_settings(0, peers, run.workers[0].addresses["http"], **changes)
    with system.daemon("agent", cfg) as agent:
        yield agent


def test_concurrent_placement_by_two_entries_never_overcommits_host():
    """Guards against overcommitment between two reports of a host.

    Neither owner can know in that time what the other has placed on the host, so
    only the agent's admission keeps the sum within the capacity.
    """
    with system.system(entries=2, agent_changes={"report_interval_s": 1.0}) as run:
        fixtures.wait_ok(f"{run.callers()}/jobs", 15, "owners of all shards")
        shards = {work.shard_of(team, 2) for team in _TEAMS}
        assert len(shards) == 2, "the two teams must belong to different shards"
        with futures.ThreadPoolExecutor() as pool:
            urls = list(pool.map(lambda team: _submit_filling_job(run, team), _TEAMS))
        for url in urls:
            _wait_finished(url)
        run_checks.check_runs(run.workers, 2 * _TASKS_PER_JOB)


def test_agent_killed_before_start_never_overcommits_host():
    """Guards against tasks started twice or beyond capacity after an agent's death.

    The agent dies while its worker delays the starts, and a second agent of the host
    takes over tasks that may or may not have been started.
    """
    with system.system() as run:
        control = f"{run.workers[0].url()}/_control"
        fixtures.http("PUT", control, body={"delay_s": 0.2})
        url = _submit(run, "long", tasks=_TASKS_PER_JOB, payload='{"run_s": 1.5}')
        fixtures.wait_until(_active_runs_condition(run), 10, "a start")
        run.agents[0].kill()
        fixtures.http("PUT", control, body={"delay_s": 0.0})
        with _second_agent(run):
            _wait_finished(url)
            run_checks.check_runs(run.workers, _TASKS_PER_JOB)


def test_resumed_old_agent_starts_no_task_twice():
    """Guards against an agent that resumes after a newer one attached to its worker.

    The older agent is paused, so it cannot know that it was replaced.
    """
    with system.system() as run:
        url = _submit(run, "long", tasks=_TASKS_PER_JOB, payload='{"run_s": 1.5}')
        fixtures.wait_until(_active_runs_condition(run), 10, "a start")
        run.agents[0].freeze()
        with _second_agent(run):
            fixtures.wait_until(
                lambda: any(
                    r["generation"] > found[0]["generation"]
                    for found in [run_checks.list_runs(run.workers)]
                    for r in found
                ),
                15,
                "a start by the newer agent",
            )
            run.agents[0].thaw()
            _wait_finished(url)
            run_checks.check_runs(run.workers, _TASKS_PER_JOB)


def test_tasks_of_replaced_worker_finish_once():
    """Guards against tasks lost or finished twice when their worker is replaced.

    A new worker without runs takes the address of the killed one.
    """
    with system.system() as run:
        url = _submit(run, "long", tasks=4, payload='{"run_s": 2.0}')
        fixtures.wait_until(_active_runs_condition(run), 10, "a start")
        old = run.workers[0]
        address = old.addresses["http"]
        old.kill()
        port = address.rpartition(":")[2]
        args = ["testing.standins.worker", "--port", port, "--cpu-milli", "8000"]
        with fixtures.process(args) as new:
            _wait_finished(url)
            run_checks.check_finished_once(run_checks.list_runs([new]), 4)
            run_checks.check_capacity([new])


load_tests = collecting.hook(__name__)
