"""Jobs during the handover of their shards between entries."""

import collections
import contextlib
import itertools
import threading

from testing import collecting, fixtures, system
from testing.batch import fleets

_TEAMS = 5
_SUBMIT_INTERVAL_S = 0.1
_JOB_TIMEOUT_S = 30.0
_LONG_TTL_S = 60


class _Callers:
    """Submits jobs, with retries until accepted, and queries their states."""

    def __init__(self, urls):
        self.urls = urls
        self.jobs = []

    def submit_until(self, stopping):
        for number in itertools.count():
            if stopping.wait(_SUBMIT_INTERVAL_S):
                return
            self._submit(f"job-{number}", f"team-{number % _TEAMS}")

    def _submit(self, job, team):
        body = system.job_body(team=team)
        fixtures.wait_until(
            lambda: self._put(job, body), _JOB_TIMEOUT_S, f"{job} accepted"
        )
        self.jobs.append(job)

    def _put(self, job, body):
        return any(
            self._call("PUT", f"{url}/jobs/{job}", body) in (200, 201)
            for url in list(self.urls)
        )

    @staticmethod
    def _call(method, url, body):
        with contextlib.suppress(*fixtures.HTTP_ERRORS):
            return fixtures.http(method, url, body).status
        return None

    def unfinished(self):
        states = {}
        for job in self.jobs:
            answer = fixtures.http("GET", f"{self.urls[0]}/jobs/{job}")
            state = answer.json().get("state") if answer.status == 200 else "?"
            if state != "finished":
                states[job] = state
        return states


def _settings(number, kv):
    return system.entry_settings(
        number, kv.addresses["store"], shards=4, member_ttl_s=_LONG_TTL_S
    )


def test_jobs_run_once_across_shard_handovers():
    """Guards against a job lost or run twice during a planned handover.

    Each of two entries in turn is stopped and replaced while jobs are submitted.
    """
    with contextlib.ExitStack() as stack:
        kv = stack.enter_context(system.store())
        worker = stack.enter_context(system.worker())
        entries = fleets.start_all(stack, "entry", [_settings(n, kv) for n in (0, 1)])
        peers = [entry.addresses["peers"] for entry in entries]
        cfg = system.agent_settings(0, peers, worker.addresses["http"])
        fleets.start_all(stack, "agent", [cfg])
        operators = [entry.url("operators") for entry in entries]
        callers = _Callers([entry.url("callers") for entry in entries])
        stopping = threading.Event()
        thread = threading.Thread(target=callers.submit_until, args=(stopping,))
        thread.start()
        for number in (0, 1):
            fleets.wait_members(operators[number], 2)
            entries[number].terminate()
            assert entries[number].wait() == 0
            (replacement,) = fleets.start_all(stack, "entry", [_settings(number, kv)])
            operators[number] = replacement.url("operators")
            callers.urls[number] = replacement.url("callers")
            fleets.wait_members(operators[number], 2)
            fleets.wait_hosts(operators[number], 1)
        fixtures.wait_until(
            lambda: len(callers.jobs) > 20, _JOB_TIMEOUT_S, "enough jobs"
        )
        stopping.set()
        thread.join()
        fixtures.wait_until(
            lambda: not callers.unfinished(), _JOB_TIMEOUT_S, "the jobs' ends"
        )
        record = fixtures.http("GET", f"{worker.url()}/_judge").json()
        runs = collections.Counter(run["task"]["job"] for run in record["runs"])
        repeated = [run for run in record["runs"] if runs[run["task"]["job"]] > 1]
        assert runs == dict.fromkeys(callers.jobs, 1), repeated


load_tests = collecting.hook(__name__)
