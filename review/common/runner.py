"""Stand-in for a runner, one process for each life.

It runs tasks for the time that their specification names ("work_ms=1500"), or until
they are stopped ("lasts"). SIGTERM is a planned end: it drains, then leaves. SIGKILL is
a crash. It appends what happens to the record file, a JSON object a line.
"""

import argparse
import http.client
import json
import os
import re
import signal
import sys
import threading
import time
import zlib

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import store  # noqa: E402

TICK_S = 0.02
STARTUP_MS = 300
STOP_MS = 50
CHECKPOINT_MS = 500
LATE_S = 9.0  # kinds: 2 to 12 s later


class Life:
    """The runs, ends and the lease of one life."""

    def __init__(self, args):
        self.args = args
        self.started_at = time.monotonic()
        self.lock = threading.Condition()
        self.running = {}  # (task, run) -> dict
        self.highest = {}  # task -> highest run stopped or ended
        self.ended = []
        self.end_number = 0
        self.noted = 0
        self.epoch = 0
        self.lease_end_ms = 0
        self.state = "ready"
        self.leaves_at = None
        self.starts_to_lose = 0
        self.record_file = open(args.record, "ab", buffering=0)  # noqa: SIM115
        threading.Thread(target=self._tick, daemon=True).start()

    def record(self, event, **fields):
        line = {"at": round(time.time(), 3), "runner": self.args.id, "event": event}
        self.record_file.write((json.dumps(line | fields) + "\n").encode())

    @property
    def clock_ms(self):
        return 1 + int((time.monotonic() - self.started_at) * 1_000)

    def _tick(self):
        while True:
            time.sleep(TICK_S)
            with self.lock:
                self._turn()

    def _turn(self):
        now = self.clock_ms
        if self.running and now > self.lease_end_ms:
            for key in list(self.running):
                self._end(key, "lapsed")
        for key, run in list(self.running.items()):
            if run["stop_at"] is not None and now >= run["stop_at"]:
                self._end(key, "stopped")
            elif run["work_ms"] is not None and now >= run["begun"] + run["work_ms"]:
                self._end(key, run["how"])

    def _end(self, key, how):
        run = self.running.pop(key)
        self.end_number += 1
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.ended.append([self.end_number, key[0], key[1], how, self._saved(run)])
        self.record("end", task=key[0], run=key[1], how=how, n=self.end_number)
        self.lock.notify_all()

    def _saved(self, run):
        """Return the checkpoint of a run, a new value for each interval of work."""
        number = (self.clock_ms - run["begun"]) // CHECKPOINT_MS
        return f"{run['seed'] + number:016x}" if run["saves"] and number else ""

    def _extend(self, deadline_ms):
        most = self.clock_ms + self.args.hold_max_ms
        self.lease_end_ms = max(self.lease_end_ms, min(deadline_ms, most))

    def _is_fenced(self, body):
        epoch = body.get("fencing_token", 0)
        if epoch < self.epoch:
            return True
        self.epoch = epoch
        return False

    def start(self, body):
        task, run = body["task"], body["run"]
        with self.lock:
            self._turn()
            if self._is_fenced(body):
                return 409, {"reason": "fence"}
            key = task, run
            if key in self.running:
                self._extend(body["deadline_ms"])
                return 200, {}
            if run <= self.highest.get(task, 0):
                self._extend(body["deadline_ms"])
                return 409, {"reason": "old"}
            if body["deadline_ms"] <= self.clock_ms:
                return 409, {"reason": "late"}
            self._extend(body["deadline_ms"])
            found = re.search(r"work_ms=(\d+)", body["specification"])
            self.running[key] = {
                "begun": self.clock_ms,
                "work_ms": int(found.group(1)) if found else None,
                "stop_at": None,
                "saves": "saves" in body["specification"],
                "seed": zlib.crc32(task.encode()) << 24,
                "how": "failed" if "fails" in body["specification"] else "done",
            }
            self.record(
                "start",
                task=task,
                run=run,
                state=self.state,
                epoch=self.epoch,
                specification=body["specification"],
            )
            return 200, {}

    def stop(self, body):
        task, run = body["task"], body["run"]
        with self.lock:
            self._turn()
            if self._is_fenced(body):
                return 409, {"reason": "fence"}
            found = self.running.get((task, run))
            self.record("stop", task=task, run=run, there=found is not None)
            if found is None:
                self.highest[task] = max(self.highest.get(task, 0), run)
            elif found["stop_at"] is None:
                found["stop_at"] = self.clock_ms + STOP_MS
            return 200, {}

    def pace(self, body):
        with self.lock:
            return (409, {"reason": "fence"}) if self._is_fenced(body) else (200, {})

    def hold(self, body):
        with self.lock:
            self._turn()
            if self._is_fenced(body):
                return 409, {"reason": "fence"}
            if "deadline_ms" in body:
                self._extend(body["deadline_ms"])
            if body["last_seen"] > self.noted:
                self.noted = body["last_seen"]
                self.record("noted", last_seen=self.noted)
            self.ended = [end for end in self.ended if end[0] > self.noted]
            deadline = time.monotonic() + min(2_000, body.get("wait_ms", 0)) / 1_000
            while not self.ended and (left := deadline - time.monotonic()) > 0:
                self.lock.wait(min(left, 0.05))
            rows = [
                [*key, "", *self._figures(run)] for key, run in self.running.items()
            ]
            return 200, {"running": rows, "ended_runs": self.ended[:500]}

    def _figures(self, run):
        age_ms = self.clock_ms - run["begun"]
        whole = run["work_ms"] or STARTUP_MS
        return min(100 if run["work_ms"] is None else 99, 100 * age_ms // whole), 0

    def describe(self, sequence):
        body = {
            "service": self.args.service,
            "address": f"{self.args.ip}:{self.args.port}",
            "zone": self.args.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.args.cpu, "task_memory_mb": 64_000, "gpu": 0},
            "labels": self.args.labels.split(","),
            "clock_ms": self.clock_ms,
            "born": self.args.born,
            "sequence": sequence,
        }
        if self.leaves_at is not None:
            left_s = self.leaves_at - time.monotonic()
            body["remaining_ms"] = max(0, int(left_s * 1_000))
        return body


class Handler(store.JsonHandler):
    """The runner's interface for its agent."""

    life = None

    def do_GET(self):  # noqa: N802
        self.answer(200, {})

    def do_POST(self):  # noqa: N802
        life, body = self.life, self.read_body()
        if self.headers.get("Expected-Instance") != life.args.id:
            self.answer(421, {})
            return
        calls = {
            "/api/run-start": life.start,
            "/api/run-stop": life.stop,
            "/api/pace": life.pace,
            "/api/hold": life.hold,
        }
        if self.path not in calls:
            self.answer(404, {})
            return
        if self.path == "/api/run-start" and life.starts_to_lose:
            life.starts_to_lose -= 1
            life.record("start_unanswered", task=body["task"], run=body["run"])
            # It is carried out late, and the channel returns nothing further.
            threading.Timer(LATE_S, life.start, [body]).start()
            while self.connection.recv(4_096):
                pass
            self.close_connection = True
            return
        status, content = calls[self.path](body)
        content |= {"clock_ms": life.clock_ms, "born": life.args.born}
        self.answer(status, content)


def send(control, method, id, body):
    """Send a report or an exit to the agent; return whether it was acknowledged."""
    host, port = control.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=1.0)
    try:
        headers = {"Content-Type": "application/json"}
        data = json.dumps(body) if body is not None else None
        conn.request(method, f"/api/instances/{id}", data, headers)
        resp = conn.getresponse()
        resp.read()
        return 200 <= resp.status < 300
    except OSError:
        return False
    finally:
        conn.close()


def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "ip", "control", "record", "service", "labels", "zone"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--born", type=int, default=0)
    parser.add_argument("--cpu", type=int, default=64_000)
    parser.add_argument("--hold-max-ms", type=int, default=6_000)
    parser.add_argument("--beat-s", type=float, default=1.5)
    parser.add_argument("--drain-s", type=float, default=6.0)
    parser.add_argument("--lost-starts", type=int, default=3)
    args = parser.parse_args()
    args.born = args.born or int(time.time() * 1_000)
    life = Life(args)
    handler = type("BoundHandler", (Handler,), {"life": life})
    server = store.Server((args.ip, args.port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    wake = threading.Event()

    def drain(*_):
        with life.lock:
            if life.state == "ready":
                life.state = "draining"
                life.leaves_at = time.monotonic() + args.drain_s
        wake.set()

    signal.signal(signal.SIGTERM, lambda *_: threading.Thread(target=drain).start())

    def lose_starts(*_):
        life.starts_to_lose = args.lost_starts

    signal.signal(signal.SIGUSR1, lose_starts)
    life.record("up", born=args.born)
    sequence, is_acked = 0, False
    while life.leaves_at is None or time.monotonic() < life.leaves_at:
        sequence += 1
        state = life.state
        body = life.describe(sequence)
        is_told = send(args.control, "PUT", args.id, body)
        life.record("beat", sequence=sequence, is_acked=is_told, body=body)
        if is_told and state == "draining" and not is_acked:
            is_acked = True
            life.record("drain_acked")
        wake.wait(args.beat_s if is_told or state == "ready" else 0.3)
        wake.clear()
    send(args.control, "DELETE", args.id, None)
    life.record("left")
    os._exit(0)


if __name__ == "__main__":
    main()
