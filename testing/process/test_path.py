"""One request and one job end to end, with separate processes on real sockets."""

import json

from testing import collecting, fixtures, system


def _get_json(url):
    answer = fixtures.http("GET", url)
    return answer.status, json.loads(answer.body)


def test_request_is_forwarded_to_endpoint_and_answered():
    with system.system() as run:
        url = f"{run.callers()}/services/echo/fit/check?room=3"
        fixtures.wait_ok(url, 10, "an answer")
        answer = fixtures.http("POST", url, body=b"sofa", headers={"X-A": "b"})
        assert answer.status == 200, answer.body
        assert b"sofa" in answer.body, answer.body


def test_submitted_job_runs_once_and_finishes():
    with system.system() as run:
        url = f"{run.callers()}/jobs/plan-1"
        system.put_job(url, 10)
        fixtures.wait_until(
            lambda: _get_json(url)[1]["state"] == "finished", 10, "the finished job"
        )
        record = _get_json(f"http://{run.workers[0].addresses['http']}/_judge")[1]
        assert len(record["runs"]) == 1, record


def test_processes_exit_cleanly_on_sigterm():
    with system.system() as run:
        for proc in (*run.endpoints, *run.agents, *run.entries, run.store):
            proc.terminate()
            assert proc.wait(15) == 0, proc.stderr_text()


load_tests = collecting.hook(__name__)
