"""Jobs that can never run, hosts that fail everything, and what is told of them."""

import itertools

import msgspec

from bilberrypass.connection import worker
from testing import collecting, fixtures, judge, system


def _put(url, **changes):
    return fixtures.http("PUT", url, body=system.job_body(**changes))


def _wait_state(url, state):
    fixtures.wait_until(
        lambda: fixtures.http("GET", url).json().get("state") == state,
        30,
        f"{url} {state}",
    )


def test_job_that_no_host_could_hold_is_refused_with_the_reason():
    with system.system() as run:
        root = f"{run.callers()}/jobs"
        system.put_job(f"{root}/small")
        demand = {"cpu_milli": 9_000, "memory_bytes": 1}

        numbers = itertools.count()

        def refusal():
            # While the entry waits for hosts to report, it takes any job.
            answer = _put(f"{root}/huge-{next(numbers)}", demand=demand)
            return answer if answer.status == 422 else None

        answer = fixtures.wait_until(refusal, 15, "a refusal")
        body = answer.json()
        assert (body["code"], body["ran"]) == ("NEVER_FITS", "no"), body
        assert "needs 9000, has 8000" in body["detail"], body


def test_worker_that_fails_everything_is_set_aside_and_probed():
    with system.system() as run:
        control = f"{run.workers[0].url()}/_control"
        fixtures.http("PUT", control, {"fail_all": True})
        root = f"{run.callers()}/jobs"
        for name in ("first", "second"):
            system.put_job(f"{root}/{name}", max_attempts=2)
        for name in ("first", "second"):
            _wait_state(f"{root}/{name}", "failed")
        system.put_job(f"{root}/third")

        def reasons():
            told = fixtures.http("GET", f"{root}/third/explain").json()
            return [r for d in told["decisions"] for r in d["left_out"]]

        fixtures.wait_until(
            lambda: "set aside: everything failed there" in reasons(), 10, "the reason"
        )
        fixtures.http("PUT", control, {"fail_all": False})
        _wait_state(f"{root}/third", "finished")
        judge.check_never_twice_at_once(judge.runs(run.workers))


def test_disturbing_tasks_are_throttled_and_the_host_is_explained():
    with system.system() as run:
        url = f"{run.callers()}/jobs/noisy"
        system.put_job(url, payload='{"run_s": 60.0}')
        fixtures.wait_until(lambda: judge.runs(run.workers), 15, "a start")
        control = f"{run.workers[0].url()}/_control"
        fixtures.http("PUT", control, {"slowdown": {"echo": 2.0}})

        def throttles():
            answer = fixtures.http("GET", f"{run.workers[0].url()}/inventory")
            found = msgspec.json.decode(answer.body, type=worker.Inventory)
            return [each.throttle for each in found.runs]

        fixtures.wait_until(lambda: throttles() == [0.25], 15, "the throttle")
        told = system.operate("GET", f"{run.operators()}/hosts/h0/explain").json()
        assert told[-1]["text"] == "took plans/noisy task 0", told


def test_cancelled_job_stops_and_stays_so():
    with system.system() as run:
        url = f"{run.callers()}/jobs/long"
        system.put_job(url, tasks=30, payload='{"run_s": 60.0}')
        fixtures.wait_until(lambda: judge.runs(run.workers), 15, "a start")
        assert fixtures.http("DELETE", url).status == 200
        _wait_state(url, "cancelled")
        fixtures.wait_until(
            lambda: all(r["end"] is not None for r in judge.runs(run.workers)),
            10,
            "the stops",
        )


load_tests = collecting.hook(__name__)
