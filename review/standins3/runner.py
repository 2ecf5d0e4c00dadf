"""A runner at a fixed address: the project's stand-in, with tasks that end.

It reports to its agent each 1.5 s. A crash closes all connections, ends all runs
without a trace and sends nothing; the next life has the same id and another ``born``.
"""

import contextlib
import heapq
import socket
import threading
import time

import urllib3

from bilberrypass.connection import serving
from testing.standins import link, runhttp, runners

_REPORT_INTERVAL_S = 1.5
_END_INTERVAL_S = 0.01
_MAX_LEASE_MS = 6_000  # hold_max_ms
_THREADS = 24
_MAX_BODY_BYTES = 4 << 20


def _free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class _Life(runners.Runner):
    """One life, whose runs make progress and end by themselves.

    ``duration_s`` returns the seconds that a run of a task takes, None if it lasts.
    """

    def __init__(self, born, name, record, duration_s):
        super().__init__(born, max_runs=100_000, max_lease_ms=_MAX_LEASE_MS)
        self._name, self._record, self._task_s = name, record, duration_s
        self._begun_at, self.outcomes, self._due = {}, [], []
        self.is_up = True
        self.on_started = self._on_started
        threading.Thread(target=self._end_due_runs, daemon=True).start()

    def _on_started(self, task):
        _, run = next(reversed(self.running))
        self._begun_at[task, run] = time.monotonic()
        self._record.write("run started", runner=self._name, task=task, run=run)
        duration_s = self._task_s(task)
        if duration_s is not None:
            due = (time.monotonic() + duration_s, task, run)
            heapq.heappush(self._due, due)

    def _end_due_runs(self):
        while self.is_up:
            time.sleep(_END_INTERVAL_S)
            with self._lock:
                while self._due and self._due[0][0] <= time.monotonic():
                    key = heapq.heappop(self._due)[1:]
                    if key in self.running:
                        self._end(key, "done")

    def _end(self, key, outcome):
        if self.is_up:
            self.outcomes.append((*key, outcome))
            self._record.write(
                "run ended", runner=self._name, task=key[0], run=key[1], how=outcome
            )
        super()._end(key, outcome)

    def poll(self, acknowledged_end, lease_end_ms, epoch, wait_s):
        found = super().poll(acknowledged_end, lease_end_ms, epoch, wait_s)
        rows = [row._replace(progress=self._percent(row)) for row in found.running]
        return found._replace(running=rows)

    def _percent(self, row):
        duration_s = self._task_s(row.task)
        if duration_s is None:
            return 100
        age_s = time.monotonic() - self._begun_at[row.task, row.run]
        return min(99, int(100 * age_s / duration_s))


class Runner:
    """A runner and its reports.

    Parameters
    ----------
    record : harness.Record
        Told of each start and end.
    name : str
        The runner's id.
    control : str
        Address at which the agent on its machine takes reports.
    duration_s : callable
        Returns the seconds that a run of a task takes, or None if it lasts.
    cpu_milli : int
        Its capacity.
    labels : sequence of str
        Its kind, its rack and further labels.
    """

    def __init__(
        self, record, name, control, duration_s, cpu_milli=64_000, labels=("a", "r1")
    ):
        self.name, self._record, self._control = name, record, control
        self._duration_s, self._cpu_milli = duration_s, cpu_milli
        self._labels = list(labels)
        self._port = _free_port()
        self.address = f"127.0.0.1:{self._port}"
        self._listeners, self._lives, self._link = [], [], None
        self._born = self._sequence = 0
        self._stopping, self._due = threading.Event(), threading.Event()
        self.life = None
        self.restart()
        self._thread = threading.Thread(target=self._report, daemon=True)
        self._thread.start()

    @property
    def is_up(self):
        """Whether the process runs."""
        return self.life is not None and self.life.is_up

    @property
    def running(self):
        """The runs that are there, as pairs of task and number."""
        return list(self.life.running) if self.is_up else []

    @property
    def outcomes(self):
        """All ends of all lives: task, number and outcome."""
        return [end for life in self._lives for end in life.outcomes]

    def crash(self):
        """End at once; all runs are lost."""
        lost = self.running
        self.life.is_up = False
        self._link.refuse()
        self._link.cut()
        self._record.write(
            "runner crashed", runner=self.name, lost=[list(key) for key in lost]
        )

    def restart(self):
        """Start a life under the same id, and report at once."""
        self._born = max(self._born + 1, int(time.time() * 1_000))
        life = _Life(self._born, self.name, self._record, self._duration_s)
        app = runhttp.RunnerApplication(self.name, life)
        listener = serving.Listener("127.0.0.1:0", app, _THREADS, _MAX_BODY_BYTES)
        listener.start()
        self._listeners.append(listener)
        self._link = link.Link(listener.address, self._port)
        self._sequence, self.life = 0, life
        self._lives.append(life)
        self._record.write("runner started", runner=self.name, born=self._born)
        self._due.set()

    def _report(self):
        while not self._stopping.is_set():
            self._due.clear()
            if self.is_up:
                self._sequence += 1
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    self._send_report()
            self._due.wait(_REPORT_INTERVAL_S)

    def _send_report(self):
        body = {
            "service": "planner",
            "address": self.address,
            "zone": "penang-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {
                "cpu": self._cpu_milli,
                "task_memory_mb": 256_000,
                "gpu": 0,
            },
            "labels": self._labels,
            "born": self._born,
            "sequence": self._sequence,
        }
        url = f"http://{self._control}/api/instances/{self.name}"
        urllib3.request("PUT", url, json=body, timeout=1.0, retries=False)

    def stop(self):
        """Stop the reports, and all lives of the runner."""
        self._stopping.set()
        self._due.set()
        if self.is_up:
            self.crash()
        for listener in self._listeners:
            listener.stop()
