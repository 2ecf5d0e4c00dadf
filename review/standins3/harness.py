"""Starts a small deployment as processes on loopback, and records what is seen.

The programs are started with the commands of ``deploy/system.toml`` and settings as
DEPLOY.md describes them. Everything that was started is ended by its process id.
"""

import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

import urllib3

ROOT = pathlib.Path(__file__).parents[2]
HOST = "h.example"
PREFIX = "/q/"
SERVICE = "planner"
TIME_LEFT_MS = 3_000

# As on the sheets of the first two installations.
BOUNDS = {
    "contact_ms": 3_000,
    "acknowledge_ms": 4_000,
    "grace_s": 6,
    "hold_max_ms": 6_000,
    "stop_timeout_ms": 900,
    "cancel_ms": 3_000,
    "visible_ms": 3_000,
    "finish_s": 14,
    "status_s": 120,
}


class CannotRun(Exception):
    """The case could not be played; nothing can be said of the rule."""


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def write(self, what, **fields):
        """Write one line with the time."""
        line = json.dumps({"at": round(self.now(), 3), "what": what} | fields)
        with self._lock:
            if not self._file.closed:
                self._file.write(line + "\n")
                self._file.flush()

    def close(self):
        """Close the file; later lines are dropped."""
        with self._lock:
            self._file.close()


def _free_port(ip):
    while True:
        port = random.SystemRandom().randrange(10_000, 32_000)
        with socket.socket() as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                continue
            return port


def _runs_of_roles():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return {name: role["run"].split() for name, role in deploy["roles"].items()}


class Program:
    """An entry or an agent as a process."""

    def __init__(self, deployment, role, ip, name):
        self._deployment, self.role, self.ip, self.name = deployment, role, ip, name
        listen = {
            kind: f"{ip}:{_free_port(ip)}"
            for kind in (("front", "ready") if role == "entry" else ("control",))
        }
        self.front, self.ready = listen.get("front"), listen.get("ready")
        self.control = listen.get("control")
        first_port = _free_port(ip)
        settings = {
            "node_name": name,
            "role": role,
            "ip_address": ip,
            "zone": "penang-a",
            "listen_addresses": listen,
            "internal_port_range": [first_port, first_port + 15],
            "bounds": BOUNDS,
            "orders": "call",
            "heartbeat_interval_ms": 1_500,
            "platform": {"address": deployment.store_address, "form": "kv"},
        }
        folder = deployment.folder
        self._path = folder / f"{name}.yaml"
        self._path.write_text(json.dumps(settings))
        self.log = folder / f"{name}.log"
        self.process = None
        self.started_at = 0.0

    def start(self):
        """Start the process with the command of the deploy file."""
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BILBERRYPASS_CONFIG"] = str(self._path)
        command = self._deployment.commands[self.role]
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.started_at = self._deployment.record.now()
        self._deployment.record.write("started", program=self.name)
        return self

    def kill(self):
        """End the process with SIGKILL."""
        self.process.kill()
        self.process.wait()
        self._deployment.record.write("killed", program=self.name)

    def is_ready(self):
        """Return whether the readiness probe is answered with 200."""
        try:
            url = f"http://{self.ready}/api/readiness"
            return urllib3.request("GET", url, retries=False, timeout=1).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def events(self, name):
        """Return the lines of the program's own log with this event."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if f'"event":"{name}"' in line:
                found.append(json.loads(line))
        return found


class Client:
    """A client with connections of its own to the front address of one entry."""

    def __init__(self, deployment, entry):
        self._record, self.entry = deployment.record, entry
        ip, port = entry.front.split(":")
        self._pool = urllib3.HTTPConnectionPool(ip, int(port), maxsize=4, retries=False)

    def call(self, method, id="", body=None, is_recorded=True):
        """Return the status and the decoded body; status 0 without an answer."""
        headers = {"Host": HOST, "Time-Remaining": str(TIME_LEFT_MS)}
        sent_at = self._record.now()
        try:
            response = self._pool.request(
                method,
                PREFIX + id,
                json=body,
                headers=headers,
                timeout=TIME_LEFT_MS / 1_000,
            )
            status, content = response.status, response.data
        except urllib3.exceptions.HTTPError:
            status, content = 0, b""
        try:
            decoded = json.loads(content) if content else {}
        except ValueError:
            decoded = {}
        if is_recorded:
            self._record.write(
                "call",
                method=method,
                id=id,
                entry=self.entry.name,
                sent_at=round(sent_at, 3),
                status=status,
                answer=decoded if status == 200 else None,
            )
        return status, decoded


class Deployment:
    """The store and the programs of a case; a context manager.

    ``route`` holds fields of the only queue that differ from the usual ones.
    """

    def __init__(self, record, entries, agents, **route):
        self.record, self._route = record, route
        self.commands = _runs_of_roles()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._base = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}"
        self._entries, self._agents = entries, agents
        self.entries, self.agents = [], []
        self._store = None
        self.store_address = ""

    def ip(self, number):
        """Return a loopback address of this deployment."""
        return f"{self._base}.{number}"

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def _start(self):
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        self._start_store()
        self.put_config(3, **self._route)
        for number in range(self._entries):
            entry = Program(self, "entry", self.ip(10 + number), f"front-{number + 1}")
            self.entries.append(entry)
        for number in range(self._agents):
            agent = Program(self, "agent", self.ip(40 + number), f"side-{number + 1}")
            self.agents.append(agent)
        for program in (*self.entries, *self.agents):
            program.start()
        await_true(lambda: all(e.is_ready() for e in self.entries), 40, "the entries")

    def __exit__(self, *_):
        for program in (*self.entries, *self.agents):
            if program.process is not None and program.process.poll() is None:
                # A stopped process is killed all the same.
                program.process.kill()
                program.process.wait()
        if self._store is not None:
            self._store.kill()
            self._store.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _start_store(self):
        path = pathlib.Path(__file__).parent / "store_process.py"
        self._store = subprocess.Popen(
            [sys.executable, str(path), self.ip(2)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.store_address = self._store.stdout.readline().strip()
        if not self.store_address:
            raise CannotRun("the stand-in of the store did not start")

    def put_config(self, version, **route):
        """Write the configuration with one queue, as the operator does."""
        queue = {
            "name": "r",
            "host": HOST,
            "prefix": PREFIX,
            "service": SERVICE,
            "priority": 0,
            "max_attempts": 4,
            "stretch": 2.0,
            "target_latency_ms": 1_000,
        }
        config = {"version": version, "routes": [queue | route]}
        value = base64.b64encode(json.dumps(config).encode()).decode()
        body = {
            "expected_revision": [],
            "set_keys": [{"key": "op/config", "value": value, "lease": 0}],
            "remove": [],
        }
        url = f"http://{self.store_address}/api/kv-txn"
        if urllib3.request("POST", url, json=body).status != 200:
            raise CannotRun("the store took no configuration")

    def find_leader(self):
        """Return the entry that holds the election's key, or None.

        It is the one that last wrote to the store under a condition.
        """
        url = f"http://{self.store_address}/api/kv-key?key=leader"
        found = urllib3.request("GET", url)
        if found.status != 200:
            return None
        value = json.loads(base64.b64decode(found.json()["value"]))
        by_name = {entry.name: entry for entry in self.entries}
        name = value["name"] if isinstance(value, dict) else value[0]
        return by_name.get(name)


def await_true(condition, timeout_s, what):
    """Return a true value of the condition, or raise ``CannotRun``."""
    deadline = time.monotonic() + timeout_s
    while not (value := condition()):
        if time.monotonic() > deadline:
            raise CannotRun(f"{what}: not within {timeout_s} s")
        time.sleep(0.05)
    return value


def has_trouble():
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(folder, play):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if unplayed."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    try:
        broken = play(record)
    except CannotRun as exc:
        record.write("cannot run", why=str(exc))
        print(f"cannot run: {exc}")
        sys.exit(2)
    except Exception as exc:
        record.write("cannot run", why=repr(exc))
        print(f"cannot run: {exc!r}")
        sys.exit(2)
    for what in broken:
        record.write("broken", detail=what)
    print("\n".join(broken[:5]) or "the rule held")
    print(f"{len(broken)} findings")
    record.close()
    sys.exit(1 if broken else 0)
