"""The daemon's start and its way out."""

import subprocess
import sys
import threading

from testing import collecting, fixtures, system


def test_address_in_use_is_told_in_one_line():
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


def test_second_sigterm_cuts_nothing():
    with system.system() as run:
        url = f"{run.callers()}/services/echo/x"
        slow = {"X-Delay-S": "2"}
        answers = []
        fixtures.wait_ok(url, 10, "the path")
        caller = threading.Thread(
            target=lambda: answers.append(fixtures.http("GET", url, headers=slow))
        )
        caller.start()
        fixtures.wait_until(
            lambda: _in_use(run) == 1, 10, "the request to reach the endpoint"
        )
        for proc in (*run.entries, *run.agents):
            proc.terminate()
            proc.terminate()
        fixtures.wait_until(lambda: "leaves" in _ready(run), 10, "leaving")
        for proc in (*run.entries, *run.agents):
            proc.terminate()
        caller.join()
        assert answers[0].status == 200, answers
        for proc in (*run.entries, *run.agents):
            assert proc.wait() == 0, proc.stderr_text()


def _in_use(run):
    hosts = system.operate("GET", run.operators() + "/hosts").json()
    return sum(e["in_use"] for host in hosts for e in host["endpoints"])


def _ready(run):
    return fixtures.http("GET", run.operators() + "/readyz").body.decode()


def test_agent_leaves_also_while_its_worker_is_away():
    cfg = system.agent_settings(0, [system.address()], system.address())
    with fixtures.settings_file(cfg) as path:
        args = ["bilberrypass.daemon", "agent", "--settings", path]
        proc = fixtures.Process([sys.executable, "-m", *args])
        try:
            fixtures.wait_until(
                lambda: "worker not reached" in proc.stderr_text(), 15, "a try"
            )
            proc.terminate()
            assert proc.wait() == 0, proc.stderr_text()
        finally:
            proc.end()


load_tests = collecting.hook(__name__)
