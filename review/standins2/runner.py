"""A runner as a process: executes tasks under a lease, as PROTOCOL.md describes.

The specification of a task is JSON: ``work_ms`` is its duration (absent for a task that
lasts) and ``ends`` lists the outcomes of its successive runs (``done`` by default).
What starts and ends is appended to the record.
"""

import argparse
import http.client
import http.server
import json
import signal
import threading
import time

_TICK_S = 0.02
_STOP_S = 0.05
_MAX_LISTED_ENDS = 500


class Record:
    """Appends lines to the record; processes of one test share it."""

    def __init__(self, path, source):
        self._path, self._source = path, source

    def add(self, event, **fields):
        """Append an event with the machine's steady time, in seconds."""
        words = " ".join(f"{key}={value}" for key, value in fields.items())
        with open(self._path, "a") as file:
            file.write(f"{time.monotonic():.3f} {self._source} {event} {words}\n")


class Runner:
    """One life of a runner."""

    def __init__(self, options, record):
        self.id = options.id
        self.hold_max_ms = options.hold_max_ms
        self.capacity = {"cpu": options.cpu, "task_memory_mb": 256_000, "gpu": 0}
        self.guards = not options.unguarded
        self.born = time.time_ns() // 1_000_000
        self._born_at = time.monotonic()
        self._record = record
        self.lock = threading.Condition()
        self._token = 0
        self._lease_end_ms = 0
        self._running = {}
        self._barred = {}
        self._ended = []
        self._end_number = 0
        self._noted = 0

    @property
    def clock_ms(self):
        return 1 + int((time.monotonic() - self._born_at) * 1_000)

    def _take_deadline(self, body):
        if body.get("deadline_ms") is not None:
            most = self.clock_ms + self.hold_max_ms
            self._lease_end_ms = max(self._lease_end_ms, min(body["deadline_ms"], most))

    def _is_fenced(self, body):
        token = body.get("fencing_token", 0)
        if token < self._token:
            self._record.add("fenced", token=token, highest=self._token)
            return True
        self._token = token
        return False

    def _refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms, "reason": reason}

    def start(self, body):
        task, number = body["task"], body["run"]
        if self._is_fenced(body):
            return self._refuse("fence")
        if (task, number) in self._running:
            return 200, {"clock_ms": self.clock_ms}
        if number <= self._barred.get(task, 0):
            self._take_deadline(body)
            return self._refuse("old")
        if body["deadline_ms"] <= self.clock_ms:
            return self._refuse("late")
        self._take_deadline(body)
        spec = json.loads(body["specification"])
        used = sum(run["cpu"] for run in self._running.values())
        if self.guards and used + spec.get("cpu", 0) > self.capacity["cpu"]:
            return self._refuse("room")
        ends = spec.get("ends", [])
        now = time.monotonic()
        self._running[task, number] = {
            "cpu": spec.get("cpu", 0),
            "at": now,
            "until": now + spec["work_ms"] / 1_000 if "work_ms" in spec else None,
            "outcome": ends[number - 1] if number <= len(ends) else "done",
            "work_ms": spec.get("work_ms"),
            "pace": 100,
        }
        self._record.add("start", task=task, run=number, token=body["fencing_token"])
        return 200, {"clock_ms": self.clock_ms}

    def stop(self, body):
        task, number = body["task"], body["run"]
        if self._is_fenced(body):
            return self._refuse("fence")
        self._barred[task] = max(self._barred.get(task, 0), number)
        run = self._running.get((task, number))
        if run is not None:
            run["until"], run["outcome"] = time.monotonic() + _STOP_S, "stopped"
        return 200, {"clock_ms": self.clock_ms}

    def pace(self, body):
        if self._is_fenced(body):
            return self._refuse("fence")
        run = self._running.get((body["task"], body["run"]))
        if run is not None:
            run["pace"] = body["percent"]
        return 200, {"clock_ms": self.clock_ms}

    def hold(self, body):
        if self._is_fenced(body):
            return self._refuse("fence")
        self._take_deadline(body)
        seen = body.get("last_seen", 0)
        if seen > self._noted:
            for end in self._ended:
                if self._noted < end[0] <= seen:
                    self._record.add(
                        "noted", n=end[0], task=end[1], run=end[2], how=end[3]
                    )
            self._noted = seen
        self._ended = [end for end in self._ended if end[0] > seen]
        until = time.monotonic() + body.get("wait_ms", 0) / 1_000
        while not self._ended and time.monotonic() < until:
            self.lock.wait(_TICK_S)
        return 200, {
            "clock_ms": self.clock_ms,
            "born": self.born,
            "running": [
                [*key, "", self._percent(run), run["cpu"]]
                for key, run in self._running.items()
            ],
            "ended_runs": self._ended[:_MAX_LISTED_ENDS],
        }

    def _percent(self, run):
        if run["work_ms"] is None:
            return 100
        return min(99, int(100_000 * (time.monotonic() - run["at"]) / run["work_ms"]))

    def _end(self, key, outcome):
        del self._running[key]
        self._end_number += 1
        self._barred[key[0]] = max(self._barred.get(key[0], 0), key[1])
        self._ended.append([self._end_number, *key, outcome, ""])
        self._record.add(
            "end", n=self._end_number, task=key[0], run=key[1], how=outcome
        )
        self.lock.notify_all()

    def turn(self):
        """End what is due, and everything once the lease has lapsed."""
        with self.lock:
            now = time.monotonic()
            for key, run in list(self._running.items()):
                if run["until"] is not None and now >= run["until"]:
                    self._end(key, run["outcome"])
            if self._running and self.clock_ms > self._lease_end_ms:
                for key in list(self._running):
                    self._end(key, "lapsed")


def _make_handler(runner, hangs):
    """Return the handler; no start is answered or executed while ``hangs`` is set."""
    calls = {
        "/api/run-start": runner.start,
        "/api/run-stop": runner.stop,
        "/api/pace": runner.pace,
        "/api/hold": runner.hold,
    }

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_POST(self):
            length = int(self.headers.get("Content-Length", 0))
            body = json.loads(self.rfile.read(length) or b"{}")
            if self.headers.get("Expected-Instance") != runner.id:
                self._answer(421, {})
            elif self.path not in calls:
                self._answer(404, {})
            elif hangs.is_set() and self.path == "/api/run-start":
                threading.Event().wait()  # neither executed nor answered
            else:
                with runner.lock:
                    status, content = calls[self.path](body)
                self._answer(status, content)

        def _answer(self, status, content):
            payload = json.dumps(content).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(payload)))
            self.end_headers()
            self.wfile.write(payload)

        def log_message(self, *_):
            pass

    return Handler


def _report(runner, options, address):
    sequence = 0
    while True:
        sequence += 1
        body = {
            "service": options.service,
            "address": address,
            "zone": options.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": runner.capacity,
            "labels": ["a", f"r-{options.zone}", *options.label],
            "clock_ms": runner.clock_ms,
            "sequence": sequence,
            "born": runner.born,
        }
        conn = http.client.HTTPConnection(options.control, timeout=1.0)
        try:
            conn.request(
                "PUT",
                f"/api/instances/{runner.id}",
                json.dumps(body),
                {"Content-Type": "application/json"},
            )
            conn.getresponse().read()
            pause_s = 1.5
        except (OSError, http.client.HTTPException):
            pause_s = 0.5
        finally:
            conn.close()
        time.sleep(pause_s)


def main():
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--control", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", default="planner")
    parser.add_argument("--zone", default="penang-a")
    parser.add_argument("--cpu", type=int, default=64_000)
    parser.add_argument("--hold-max-ms", type=int, default=6_000)
    parser.add_argument("--unguarded", action="store_true")
    parser.add_argument("--label", action="append", default=[])
    parser.add_argument("--hangs", action="store_true", help="as after SIGUSR1")
    options = parser.parse_args()
    record = Record(options.record, options.name)
    runner = Runner(options, record)
    host, _, port = options.listen.rpartition(":")
    http.server.ThreadingHTTPServer.request_queue_size = 128
    hangs = threading.Event()
    if options.hangs:
        hangs.set()
    signal.signal(signal.SIGUSR1, lambda *_: hangs.set())
    handler = _make_handler(runner, hangs)
    server = http.server.ThreadingHTTPServer((host, int(port)), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    record.add("up", id=runner.id, born=runner.born)
    threading.Thread(
        target=_report, args=(runner, options, options.listen), daemon=True
    ).start()
    while True:
        runner.turn()
        time.sleep(_TICK_S / 2)


if __name__ == "__main__":
    main()
