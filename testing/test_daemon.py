"""Start and stop of the daemon."""

import subprocess
import sys
import threading

from testing import collecting, fixtures, system


def test_address_in_use_is_reported_in_one_line():
    with system.store() as kv:
        cfg = system.entry_settings(0, kv.addresses["store"])
        with system.daemon("entry", cfg):
            for key in ("callers", "operators", "peers"):
                other = system.entry_settings(1, kv.addresses["store"])
                other |= {key: cfg[key]}
                with fixtures.settings_file(other) as path:
                    args = [system.DAEMON, "entry", "--settings", path]
                    done = subprocess.run(
                        [sys.executable, "-m", *args],
                        capture_output=True,
                        text=True,
                        timeout=30,
                    )
                assert done.returncode == 1, done
                expected = f"INVALID_SETTINGS: cannot listen on {cfg[key]}"
                assert expected in done.stderr.splitlines()[-1], done


def test_second_sigterm_interrupts_no_request():
    """Guards against a request interrupted by a repeated stop signal.

    The second SIGTERM arrives while the processes wait for a slow request.
    """
    with system.system() as run:
        url = f"{run.callers()}/services/echo/x"
        slow = {"X-Delay-S": "2"}
        answers = []
        fixtures.wait_ok(url, 10, "a successful request")
        caller = threading.Thread(
            target=lambda: answers.append(fixtures.http("GET", url, headers=slow))
        )
        caller.start()
        fixtures.wait_until(
            lambda: _count_slots_in_use(run) == 1,
            10,
            "the request to reach the endpoint",
        )
        for proc in (*run.entries, *run.agents):
            proc.terminate()
            proc.terminate()
        fixtures.wait_until(lambda: "leaves" in _get_readiness(run), 10, "leaving")
        for proc in (*run.entries, *run.agents):
            proc.terminate()
        caller.join()
        assert answers[0].status == 200, answers
        for proc in (*run.entries, *run.agents):
            assert proc.wait() == 0, proc.stderr_text()


def _count_slots_in_use(run):
    hosts = system.operator_request("GET", run.operators() + "/hosts").json()
    return sum(e["in_use"] for host in hosts for e in host["endpoints"])


def _get_readiness(run):
    return fixtures.http("GET", run.operators() + "/readyz").body.decode()


def test_agent_stops_while_its_worker_is_unreachable():
    """Guards against an agent that cannot be stopped while it waits for its worker."""
    cfg = system.agent_settings(0, [system.unused_address()], system.unused_address())
    with fixtures.settings_file(cfg) as path:
        args = ["bilberrypass.daemon", "agent", "--settings", path]
        proc = fixtures.Process([sys.executable, "-m", *args])
        try:
            fixtures.wait_until(
                lambda: "worker not reached" in proc.stderr_text(),
                15,
                "an attempt to reach the worker",
            )
            proc.terminate()
            assert proc.wait() == 0, proc.stderr_text()
        finally:
            proc.end()


load_tests = collecting.hook(__name__)
