"""Stand-in for a runner with its HTTP interface."""

import contextlib
import threading
import time

import urllib3

from bilberrypass import errors
from bilberrypass.connection import serving
from bilberrypass.hosting import runner
from testing import fixtures
from testing.standins import jsonhttp, link, runners

_THREADS = 8
_CRASH_DELAY_S = 0.01
_MAX_BODY_BYTES = 4 << 20


class RunnerApplication(jsonhttp.JsonApplication):
    """WSGI application over a runner in memory, which ends its own runs.

    Parameters
    ----------
    id : str
        The runner's id.
    found : runners.Runner
        The runner in its current life.
    lost_answer_s : float
        How long the caller of a lost order waits before the channel fails.
    """

    def __init__(self, id, found, lost_answer_s=0.0):
        self.id = id
        self.runner = found
        self._lost_answer_s = lost_answer_s

    def _serve(self, environ):
        if environ.get("HTTP_EXPECTED_INSTANCE") != self.id:
            return 421, {}
        body = jsonhttp.read_json(environ)
        path = environ["PATH_INFO"].removeprefix("/api/")
        try:
            if path == "hold":
                return 200, self._poll(body)
            response = self._execute_order(path, body)
        except errors.Error as exc:
            if exc.kind is errors.Kind.ANSWER_LOST:
                time.sleep(self._lost_answer_s)
            return 500, {}
        content = {"clock_ms": response.clock_ms}
        if response.reason:
            return 409, content | {"reason": response.reason}
        return 200, content

    def _execute_order(self, path, body):
        task, run, epoch = body["task"], body["run"], body["fencing_token"]
        if path == "run-start":
            new_run = runner.RunSpec(
                task, run, body["specification"], body.get("checkpoint", ""), ""
            )
            return self.runner.start(new_run, body["deadline_ms"], epoch, 0.0)
        if path == "run-stop":
            return self.runner.stop(task, run, epoch, 0.0)
        return self.runner.set_pace(task, run, body["percent"], epoch, 0.0)

    def _poll(self, body):
        snapshot = self.runner.poll(
            body["last_seen"],
            body.get("deadline_ms"),
            body["fencing_token"],
            body.get("wait_ms", 0) / 1_000,
        )
        return {
            "clock_ms": snapshot.clock_ms,
            "born": snapshot.life,
            "running": [
                [r.task, r.run, r.checkpoint, r.progress, r.figure]
                for r in snapshot.running
            ],
            "ended_runs": [list(end) for end in snapshot.ended],
        }


def send_report(
    to,
    id,
    address,
    life,
    sequence,
    state="ready",
    remaining_ms=None,
    cpu_milli=64_000,
    **options,
):
    """Send a runner's report to the agent at ``to``, and return the HTTP status.

    ``remaining_ms`` is the time left while it drains. ``options`` go to urllib3.
    """
    body = {
        "service": "planner",
        "address": address,
        "zone": "z",
        "state": state,
        "sequence": sequence,
        "born": life,
        "capacity": {"cpu": cpu_milli, "task_memory_mb": 256_000, "gpu": 0},
        "labels": ["a", "r1"],
    }
    if remaining_ms is not None:
        body["remaining_ms"] = remaining_ms
    resp = urllib3.request(
        "PUT", f"http://{to}/api/instances/{id}", json=body, **options
    )
    return resp.status


def announce_exit(to, id, **options):
    """Announce a runner's exit to the agent at ``to``, and return the HTTP status."""
    return urllib3.request(
        "DELETE", f"http://{to}/api/instances/{id}", **options
    ).status


@contextlib.contextmanager
def serve(id, ip):
    """Serve a new runner; yield the application and its address."""
    app = RunnerApplication(id, runners.Runner())
    listener = serving.Listener(f"{ip}:0", app, _THREADS, _MAX_BODY_BYTES)
    listener.start()
    try:
        yield app, listener.address
    finally:
        listener.stop()


class RunnerProcess:
    """A runner at a fixed address that can crash and start again under its id.

    ``runner`` is its latest life. Each life has a listener of its own, so that a
    request sent to one life is never executed by another. It crashes shortly after the
    start of a task in ``deadly``, which it answers.
    """

    def __init__(self, id, life=1_000):
        self._id = id
        self._port = fixtures.free_port()
        self.address = f"127.0.0.1:{self._port}"
        self._listeners = []
        self._link = None
        self.deadly: set[str] = set()
        self.runner = None
        self.start(life)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.crash()
        for listener in self._listeners:
            listener.stop()

    def start(self, life):
        """Start a life, which knows nothing of earlier ones, and return its runner."""
        self.runner = runners.Runner(life)
        self.runner.on_started = self._crash_if_deadly
        app = RunnerApplication(self._id, self.runner)
        listener = serving.Listener("127.0.0.1:0", app, _THREADS, _MAX_BODY_BYTES)
        listener.start()
        self._listeners.append(listener)
        self._link = link.Link(listener.address, self._port)
        return self.runner

    def _crash_if_deadly(self, task):
        if task in self.deadly:
            threading.Timer(_CRASH_DELAY_S, self.crash).start()

    def crash(self):
        """Close all open connections and refuse new ones."""
        self._link.refuse()
        self._link.cut()

    def restart(self, life):
        """Crash, then start another life, and return its runner."""
        self.crash()
        return self.start(life)
