"""The jobs API on a running system: refusals, failing hosts, throttling, cancelling."""

import itertools

import msgspec

from bilberrypass.connection import worker
from testing import collecting, fixtures, run_checks, system


def _put(url, **changes):
    return fixtures.http("PUT", url, body=system.job_body(**changes))


def _wait_for_state(url, state):
    fixtures.wait_until(
        lambda: fixtures.http("GET", url).json().get("state") == state,
        30,
        f"{url} {state}",
    )


def test_job_larger_than_every_host_is_refused_with_reason():
    """A job that fits on no host must be refused at once instead of waiting forever."""
    with system.system() as run:
        root = f"{run.callers()}/jobs"
        system.put_job(f"{root}/small")
        demand = {"cpu_milli": 9_000, "memory_bytes": 1}

        numbers = itertools.count()

        def get_refusal():
            # Until the hosts have reported, the entry accepts any job.
            answer = _put(f"{root}/huge-{next(numbers)}", demand=demand)
            return answer if answer.status == 422 else None

        answer = fixtures.wait_until(get_refusal, 15, "a refusal")
        body = answer.json()
        assert (body["code"], body["ran"]) == ("NEVER_FITS", "no"), body
        assert "needs 9000, has 8000" in body["detail"], body


def test_failing_worker_is_set_aside_until_probe_succeeds():
    """A host on which every task fails must not receive, and fail, all further jobs.

    Once its worker recovers, a probe must bring the host back.
    """
    with system.system() as run:
        control = f"{run.workers[0].url()}/_control"
        fixtures.http("PUT", control, {"fail_all": True})
        root = f"{run.callers()}/jobs"
        for name in ("first", "second"):
            system.put_job(f"{root}/{name}", max_attempts=2)
        for name in ("first", "second"):
            _wait_for_state(f"{root}/{name}", "failed")
        system.put_job(f"{root}/third")

        def get_reasons():
            explanation = fixtures.http("GET", f"{root}/third/explain").json()
            return [r for d in explanation["decisions"] for r in d["left_out"]]

        fixtures.wait_until(
            lambda: "set aside: everything failed there" in get_reasons(),
            10,
            "the reason",
        )
        fixtures.http("PUT", control, {"fail_all": False})
        _wait_for_state(f"{root}/third", "finished")
        run_checks.check_never_twice_at_once(run_checks.list_runs(run.workers))


def test_disturbing_task_is_throttled_and_host_explain_names_it():
    """A batch task that slows a service down must be throttled on its host.

    The host's explanation must name the task that was placed there.
    """
    with system.system() as run:
        url = f"{run.callers()}/jobs/noisy"
        system.put_job(url, payload='{"run_s": 60.0}')
        fixtures.wait_until(lambda: run_checks.list_runs(run.workers), 15, "a start")
        control = f"{run.workers[0].url()}/_control"
        fixtures.http("PUT", control, {"slowdown": {"echo": 2.0}})

        def get_throttles():
            answer = fixtures.http("GET", f"{run.workers[0].url()}/inventory")
            inventory = msgspec.json.decode(answer.body, type=worker.Inventory)
            return [task_run.throttle for task_run in inventory.runs]

        fixtures.wait_until(lambda: get_throttles() == [0.25], 15, "the throttle")
        decisions = system.operator_request(
            "GET", f"{run.operators()}/hosts/h0/explain"
        ).json()
        assert decisions[-1]["text"] == "took plans/noisy task 0", decisions


def test_cancelled_job_stops_all_its_tasks():
    """Cancelling must also end the tasks that already run on a worker."""
    with system.system() as run:
        url = f"{run.callers()}/jobs/long"
        system.put_job(url, tasks=30, payload='{"run_s": 60.0}')
        fixtures.wait_until(lambda: run_checks.list_runs(run.workers), 15, "a start")
        assert fixtures.http("DELETE", url).status == 200
        _wait_for_state(url, "cancelled")
        fixtures.wait_until(
            lambda: all(
                r["end"] is not None for r in run_checks.list_runs(run.workers)
            ),
            10,
            "the stops",
        )


load_tests = collecting.hook(__name__)
