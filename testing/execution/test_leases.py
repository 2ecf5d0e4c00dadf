"""Pauses, crashes and partitions: no task runs twice at a time, and none is lost."""

from testing import collecting, fixtures, run_checks, system

_LONG = '{"run_s": 6.0, "steps": 60}'


def _state(url):
    answer = fixtures.http("GET", url)
    return answer.json().get("state")


def _wait_finished(url, timeout_s=40):
    fixtures.wait_until(
        lambda: _state(url) == "finished", timeout_s, f"the end of {url}"
    )


def _running(workers):
    return [run for run in run_checks.list_runs(workers) if run["end"] is None]


def test_tasks_of_partitioned_host_restart_elsewhere():
    with system.system(entry_changes={"silence_s": 0.6}) as run:
        url = f"{run.callers()}/jobs/cut"
        system.put_job(url, tasks=6, payload=_LONG, max_attempts=1)
        fixtures.wait_until(
            lambda: len(_running(run.workers)) == 6, 15, "the starts on the first host"
        )
        with system.worker() as other:
            cfg = system.agent_settings(
                1, [run.entries[0].addresses["peers"]], other.addresses["http"]
            )
            with system.daemon("agent", cfg):
                workers = [*run.workers, other]
                run.agents[0].freeze()
                fixtures.wait_until(
                    lambda: _running([other]), 15, "a start on the other host"
                )
                run.agents[0].thaw()
                _wait_finished(url)
                found = run_checks.check_runs(workers, 6)
                assert {r["worker"] for r in found} == {0, 1}, found


def test_owner_paused_past_its_lease_is_replaced():
    with system.system(entries=2, hosts=2) as run:
        url = f"{run.callers(1)}/jobs/frozen"
        system.put_job(url, tasks=20, payload='{"run_s": 1.0}')
        fixtures.wait_until(lambda: _running(run.workers), 15, "a start")
        run.entries[0].freeze()
        fixtures.wait_until(
            lambda: all(s["owned"] for s in _shards(run, 1)), 20, "the takeover"
        )
        run.entries[0].thaw()
        _wait_finished(url)
        run_checks.check_runs(run.workers, 20)


def _shards(run, entry):
    return system.operator_request("GET", f"{run.operators(entry)}/status").json()[
        "shards"
    ]


def test_entry_killed_during_placement():
    with system.system(entries=2, hosts=2) as run:
        url = f"{run.callers(1)}/jobs/killed"
        system.put_job(url, tasks=30, payload='{"run_s": 0.5}')
        run.entries[0].kill()
        _wait_finished(url)
        run_checks.check_runs(run.workers, 30)


def test_lost_store_answers_cause_no_duplicate_runs():
    with system.system(entries=2, hosts=2) as run:
        control = f"http://{run.store.addresses['store']}/_control"
        urls = [f"{run.callers()}/jobs/lost-{n}" for n in range(6)]
        for url in urls:
            fixtures.http("PUT", control, body={"lose_answers": 1})
            system.put_job(url, tasks=5, team=f"team-{url[-1]}")
        for url in urls:
            fixtures.http("PUT", control, body={"lose_answers": 1})
            _wait_finished(url)
        run_checks.check_runs(run.workers, 30)


def test_running_tasks_survive_store_outage():
    # The leases are longer than the outage, so running tasks continue.
    with system.system(entry_changes={"task_lease_s": 60.0}) as run:
        control = f"http://{run.store.addresses['store']}/_control"
        url = f"{run.callers()}/jobs/outage"
        system.put_job(url, tasks=4, payload=_LONG)
        fixtures.wait_until(lambda: len(_running(run.workers)) == 4, 15, "the starts")
        fixtures.http("PUT", control, body={"down": True})
        fixtures.wait_until(
            lambda: all(
                r["state"] == "finished" for r in run_checks.list_runs(run.workers)
            ),
            20,
            "the ends during the outage",
        )
        answer = fixtures.http("PUT", f"{run.callers()}/jobs/late", system.job_body())
        assert answer.status == 503, answer
        fixtures.http("PUT", control, body={"down": False})
        _wait_finished(url)
        found = run_checks.check_runs(run.workers, 4)
        assert len(found) == 4, found


def test_tasks_survive_replacement_of_all_entries():
    with system.system(entries=1, hosts=2) as run:
        url = f"{run.callers()}/jobs/replaced"
        system.put_job(url, tasks=10, payload=_LONG)
        fixtures.wait_until(lambda: _running(run.workers), 15, "a start")
        old = run.entries[0]
        old.kill()
        cfg = system.entry_settings(
            7, run.store.addresses["store"], peers=old.addresses["peers"]
        )
        with system.daemon("entry", cfg) as new:
            url = f"http://{new.addresses['callers']}/jobs/replaced"
            fixtures.wait_ok(url, 15, "the job")
            _wait_finished(url)
            run_checks.check_runs(run.workers, 10)


load_tests = collecting.hook(__name__)
