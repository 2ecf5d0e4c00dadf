"""Entry and agent as processes, with stand-ins for the store and the runner."""

import contextlib
import json
import signal
import tempfile
import threading

import urllib3

from testing import collecting, fixtures, programs
from testing.standins import kvhttp, runhttp

_CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h.example",
            "prefix": "/q/",
            "service": "planner",
            "max_attempts": 2,
        }
    ],
}
_JOB = {"specification": "x", "steps": [{"count": 3, "cpu": 100}]}
_ID = "5c0e7a21d94b36f8"


class System:
    """An entry, an agent, a runner that reports periodically, and the store."""

    def __init__(self, store, entry, agent, runner, address):
        self.store, self.entry, self.agent = store, entry, agent
        self.runner, self.address = runner, address
        self._sequence = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._send_reports, daemon=True)
        self._thread.start()

    def _send_reports(self):
        while not self._stopping.wait(0.3):
            self._sequence += 1
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                runhttp.send_report(
                    self.agent.control, "i-1", self.address, 1_000, self._sequence
                )

    def stop(self):
        """Stop the runner's reports."""
        self._stopping.set()
        self._thread.join(5)

    def state(self, id=_ID):
        """Return the state of a job as a caller reads it, or the HTTP status."""
        found = self.entry.call("GET", f"/q/{id}")
        return found.json().get("state") if found.status == 200 else found.status

    def await_state(self, state, id=_ID):
        """Wait up to 15 s until a caller reads this state of a job."""
        fixtures.wait_until(lambda: self.state(id) == state, 15.0, f"state {state}")

    def await_running(self, count):
        """Wait up to 15 s until the runner has ``count`` runs, and return them."""

        def found():
            running = list(self.runner.running)
            return [running] if len(running) == count else None

        return fixtures.wait_until(found, 15.0, f"{count} runs")[0]


@contextlib.contextmanager
def system():
    """Run an entry and an agent with stand-ins for the store and the runner."""
    with (
        tempfile.TemporaryDirectory() as folder,
        kvhttp.serve() as (kv, store_address),
        runhttp.serve("i-1", programs.loopback_address(3)) as (app, address),
    ):
        kv.store.put("op/config", json.dumps(_CONFIG).encode())
        ip = programs.loopback_address(1)
        entry = programs.Program("entry", ip, store_address, folder).start()
        ip = programs.loopback_address(2)
        agent = programs.Program("agent", ip, store_address, folder).start()
        found = System(kv.store, entry, agent, app.runner, address)
        try:
            fixtures.wait_until(entry.is_ready, 20.0, "the entry")
            yield found
        finally:
            found.stop()
            entry.end()
            agent.end()


def test_submission_runs_and_is_shown_as_completed():
    with system() as found:
        answer = found.entry.call("POST", f"/q/{_ID}", json=_JOB)
        assert answer.status == 200, answer.data
        assert found.entry.call("POST", f"/q/{_ID}", json=_JOB).status == 200
        for task, run in found.await_running(3):
            found.runner.end_run(task, run)
        found.await_state("completed")
        assert len(found.runner.started) == 3
        assert found.entry.call("GET", "/q/").json() == {"waiting": 0}
        (ended,) = fixtures.wait_until(
            lambda: found.entry.decision_log_lines("job.ended"), 5.0, "the line"
        )
        assert ended["job"] == _ID and ended["status"] == "completed"


def test_refusals_have_a_code_and_a_remedy():
    with system() as found:
        entry = found.entry
        assert entry.call("GET", "/none/").status == 404
        assert entry.call("GET", f"/q/{_ID}").status == 410
        assert entry.call("DELETE", f"/q/{_ID}").status == 410
        assert entry.call("POST", "/q/short", json=_JOB).status == 404
        for body in (b"{", b"[" * 50_000, b"\xff", b'{"steps": []}'):
            answer = entry.call("POST", f"/q/{_ID}", body=body)
            assert answer.status == 400, (body[:10], answer.status)
            assert answer.json()["code"] == "BAD_BODY"
            assert answer.json()["ran"] == "no"
        answer = entry.call("POST", f"/q/{_ID}", body=b" " * 300_000)
        assert answer.status == 413
        found.store.is_down = True
        answer = entry.call("POST", f"/q/{_ID}", json=_JOB)
        assert answer.status == 503 and int(answer.headers["Retry-After"]) >= 1
        assert answer.json()["ran"] == "no"


def test_cancelled_submission_is_stopped():
    with system() as found:
        found.entry.call("POST", f"/q/{_ID}", json=_JOB)
        found.await_running(3)
        assert found.entry.call("DELETE", f"/q/{_ID}").status == 200
        found.await_running(0)
        found.await_state("cancelled")


def test_runs_survive_crash_of_agent_and_entry():
    with system() as found:
        found.entry.call("POST", f"/q/{_ID}", json=_JOB)
        runs = found.await_running(3)
        found.agent.end()
        found.agent.start()
        found.entry.end()
        found.entry.start()
        fixtures.wait_until(found.entry.is_ready, 20.0, "the restarted entry")
        for task, run in runs:
            found.runner.end_run(task, run)
        found.await_state("completed")
        assert len(found.runner.started) == 3, found.runner.started


def test_stopping_entry_fails_readiness_but_still_serves():
    with system() as found:
        entry = found.entry
        assert entry.is_ready()
        entry.process.send_signal(signal.SIGTERM)
        fixtures.wait_until(lambda: not entry.is_ready(), 2.0, "the end of readiness")
        answer = entry.call("POST", f"/q/{_ID}", json=_JOB)
        assert answer.status == 200 and answer.headers["Connection"] == "close"
        assert entry.process.wait(8) == 0
        assert entry.decision_log_lines("process.stopped")
        assert f"intake/job/{_ID}" in found.store.items


def test_settings_are_reloaded_and_invalid_ones_refused():
    with system() as found:
        agent = found.agent
        fixtures.wait_until(
            lambda: agent.decision_log_lines("process.started"), 15.0, "the start"
        )
        agent.process.send_signal(signal.SIGHUP)
        fixtures.wait_until(
            lambda: agent.decision_log_lines("settings.read"), 5.0, "the line"
        )
        agent.path.write_text("zone: [")
        agent.process.send_signal(signal.SIGHUP)
        fixtures.wait_until(
            lambda: agent.decision_log_lines("settings.refused"), 5.0, "the refusal"
        )
        assert agent.process.poll() is None


def test_metrics_are_served_as_text():
    with system() as found:
        found.entry.call("POST", f"/q/{_ID}", json=_JOB)
        found.await_running(3)
        text = urllib3.request("GET", f"http://{found.entry.ip}:9464/metrics").data
        assert b"bilberrypass_submissions_total" in text
        assert b"bilberrypass_store_seconds_bucket" in text


def test_invalid_settings_end_process_with_log_line():
    with tempfile.TemporaryDirectory() as folder:
        program = programs.Program(
            "entry", programs.loopback_address(1), "127.0.0.1:1", folder
        )
        program.path.write_text("node_name: 1")
        program.start()
        assert program.process.wait(20) == 2
        assert program.decision_log_lines("process.refused")


load_tests = collecting.hook(__name__)
