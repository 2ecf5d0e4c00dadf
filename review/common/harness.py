"""A small deployment on loopback addresses: programs, store, runners and clients."""

import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

import store

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[1]
HOST = "plans.example"
PREFIX = "/q1/"
SERVICE = "planner"
HELD, BROKEN, NOT_RUN = 0, 10, 2  # run.sh turns 10 into 1


_started = []  # processes, to be ended


def start_process(command, **options):
    """Start a process that is ended with this one."""
    process = subprocess.Popen(command, **options)
    _started.append(process)
    return process


def end_processes():
    """Kill all processes that were started and still run."""
    for process in list(_started):
        if process.poll() is None:
            process.kill()
            process.wait()


class CannotRunError(Exception):
    """The case could not be brought about."""


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.path.write_text("")

    def add(self, event, **fields):
        line = {"at": round(time.time(), 3), "event": event} | fields
        with open(self.path, "ab", buffering=0) as file:
            file.write((json.dumps(line) + "\n").encode())
        return line["at"]

    def lines(self, event=None):
        found = [json.loads(line) for line in self.path.read_text().splitlines()]
        found.sort(key=lambda line: line["at"])
        return [line for line in found if event in (None, line["event"])]


class Program:
    """An entry or an agent, started with the run command of the deploy file."""

    def __init__(self, deployment, role, number, zone):
        self.deployment, self.role, self.zone = deployment, role, zone
        self.ip = deployment.ip(number)
        kind = "front" if role == "entry" else "side"
        self.name = f"{kind}-zone-{zone}-{number}"
        self.front, self.ready, self.control = (
            f"{self.ip}:{free_port(self.ip)}" for _ in range(3)
        )
        self.settings = deployment.folder / f"{self.name}.yaml"
        self.log = deployment.folder / f"{self.name}.log"
        self.settings.write_text(json.dumps(self._settings()))
        self.memory_mb = deployment.limits[role]["memory_mb"]
        self.process = None

    def _settings(self):
        is_entry = self.role == "entry"
        listen = {"control": self.control}
        if is_entry:
            listen = {"front": self.front, "ready": self.ready}
        first = free_port(self.ip)
        return {
            "node_name": self.name,
            "role": self.role,
            "machine_class": "front" if is_entry else "side",
            "serves": ["front"] if is_entry else ["side"],
            "ip_address": self.ip,
            "zone": self.zone,
            "region": "r",
            "zones": {"a": "r", "b": "r", "c": "r"},
            "listen_addresses": listen,
            "internal_port_range": [first, first + 15],
            "seeds": [],
            "bootstrap": True,
            "counts_toward_tolerance": False,
            "limits": self.deployment.limits[self.role],
            "data_directory": None,
            "discovery": "local",
            "entry": "virtual_ip",
            "heartbeat_interval_ms": 1_500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched"],
            "bounds": self.deployment.bounds,
            "orders": "call",
            "platform": {
                "address": self.deployment.store_address,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2_000,
                "history_s": 20,
                "value_bytes": 1_048_576,
                "min_ttl_ms": 1_000,
            },
        }

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BILBERRYPASS_CONFIG"] = str(self.settings)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"][self.role]["run"].split()
        with open(self.log, "ab") as log:
            self.process = start_process(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.deployment.record.add("program_started", name=self.name)
        return self

    def signal(self, number):
        self.deployment.record.add(
            "signal", name=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    def kill(self):
        """SIGKILL the process, and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        try:
            conn = http.client.HTTPConnection(self.ready, timeout=1.0)
            conn.request("GET", "/api/readiness")
            return conn.getresponse().status == 200
        except OSError:
            return False
        finally:
            conn.close()

    def resident_mb(self):
        """Return the resident memory of the process, 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found.group(1)) // 1_024 if found else 0

    def call(self, method, path, body=None, wait_s=3.0):
        """Send a client's request; return status and content, (0, None) without one."""
        conn = http.client.HTTPConnection(self.front, timeout=wait_s + 0.2)
        status, content = 0, None
        sent_at = time.time()
        try:
            headers = {
                "Host": HOST,
                "Content-Type": "application/json",
                "Time-Remaining": str(int(wait_s * 1_000)),
            }
            data = None if body is None else json.dumps(body)
            conn.request(method, path, data, headers)
            resp = conn.getresponse()
            status, content = resp.status, resp.read().decode()
        except (OSError, http.client.HTTPException) as exc:
            content = repr(exc)
        finally:
            conn.close()
        self.deployment.record.add(
            "call",
            method=method,
            path=path,
            node=self.name,
            sent_at=round(sent_at, 3),
            status=status,
            answer=(content or "")[:200],
        )
        try:
            return status, json.loads(content) if status else None
        except (TypeError, ValueError):
            return status, None


class Runner:
    """The runner beside an agent, a process for each life."""

    def __init__(self, agent, labels, cpu):
        self.agent, self.labels, self.cpu = agent, labels, cpu
        self.port = free_port(agent.ip)
        self.lives = 0
        self.id = ""
        self.process = None

    def start(self):
        self.lives += 1
        self.id = f"i-{self.agent.name}-{self.lives}"
        deployment = self.agent.deployment
        command = [
            sys.executable,
            str(HERE / "runner.py"),
            *("--id", self.id, "--ip", self.agent.ip, "--port", str(self.port)),
            *("--control", self.agent.control, "--zone", self.agent.zone),
            *("--record", str(deployment.record.path), "--service", SERVICE),
            *("--labels", ",".join(self.labels), "--cpu", str(self.cpu)),
            *("--hold-max-ms", str(deployment.bounds["hold_max_ms"])),
        ]
        self.process = start_process(command)
        return self

    def crash(self):
        self.agent.deployment.record.add("crash", runner=self.id)
        self.process.kill()
        self.process.wait()

    def drain(self):
        self.agent.deployment.record.add("drain", runner=self.id)
        self.process.terminate()


class Deployment:
    """A store, entries, agents and runners; ends all of its processes at exit."""

    def __init__(self, record_path, entries=3, hosts=3, labels=None, cpu=None):
        self.record = Record(record_path)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.store = store.Store()
        self.store_address = store.serve(self.store)
        self.bounds = {
            "contact_ms": 3_000,
            "acknowledge_ms": 4_000,
            "drain_ms": 2_000,
            "grace_s": 6,
            "config_apply_ms": 2_000,
            "hold_max_ms": 6_000,
            "stop_timeout_ms": 900,
            "cancel_ms": 3_000,
            "visible_ms": 3_000,
            "finish_s": 14,
            "status_s": 120,
        }
        front = {"cpu_share": 0.537, "cores": 2, "memory_mb": 300}
        side = {"cpu_share": 0.645, "cores": 1, "memory_mb": 168}
        more = {"file_descriptors": 4_100, "link_mbps": 1_000.0, "disk_mb": 0}
        self.limits = {"entry": front | more, "agent": side | more}
        self.max_attempts = 3
        self.is_closing = False
        zones = "abc"
        self.entries = [
            Program(self, "entry", 1 + n, zones[n % 3]) for n in range(entries)
        ]
        self.agents = [
            Program(self, "agent", 101 + n, zones[n % 3]) for n in range(hosts)
        ]
        labels = labels or (lambda n: ["a", f"r1-{n // 3}"])
        cpu = cpu or (lambda n: 64_000)
        self.runners = [
            Runner(agent, labels(n), cpu(n)) for n, agent in enumerate(self.agents)
        ]

    def ip(self, number):
        pid = os.getpid()
        return f"127.{1 + (pid >> 8) % 250}.{pid & 255}.{number}"

    def __enter__(self):
        self.write_config(1)
        for program in self.entries + self.agents:
            program.start()
        for runner in self.runners:
            runner.start()
        self.wait_until(lambda: all(e.is_ready() for e in self.entries), 20, "entries")
        self.wait_until(lambda: self.leader() is not None, 10, "a leader")
        time.sleep(2.5)
        return self

    def __exit__(self, *_):
        self.is_closing = True
        time.sleep(0.7)  # for a restart in progress
        end_processes()
        self._temporary.cleanup()

    def write_config(self, version):
        route = {
            "name": "q1",
            "host": HOST,
            "prefix": PREFIX,
            "service": SERVICE,
            "priority": 0,
            "max_attempts": self.max_attempts,
            "stretch": 2.0,
            "target_latency_ms": 1_000,
        }
        limits = {"max_header_bytes": 16_384, "max_body_bytes": 262_144}
        limits |= {"header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}
        config = {
            "version": version,
            "routes": [route],
            "services": [{"name": SERVICE, "rejects_overload": True}],
            "limits": limits,
        }
        self.store.put("op/config", json.dumps(config).encode())
        self.record.add("config_acked", version=version)

    def leader(self):
        """Return the entry that the election's key names, or None."""
        value = self.store.read("leader")
        if value is None:
            return None
        name = json.loads(value)[0]
        return next((entry for entry in self.entries if entry.name == name), None)

    def enforce_memory(self, restart_s=0.5):
        """Kill and restart programs over their memory limit until the process ends.

        DEPLOY.md: "A process that exceeds `memory_mb` is killed", and "a process that
        exits or is killed is restarted after a short delay".
        """

        def watch():
            while not self.is_closing:
                for program in self.entries + self.agents:
                    used, limit = program.resident_mb(), program.memory_mb
                    if used > limit and not self.is_closing:
                        self.record.add(
                            "over_memory", name=program.name, used=used, limit=limit
                        )
                        program.kill()
                        time.sleep(restart_s)
                        if not self.is_closing:
                            program.start()
                time.sleep(0.05)

        threading.Thread(target=watch, daemon=True).start()

    def wait_until(self, is_true, within_s, what):
        deadline = time.monotonic() + within_s
        while not is_true():
            if time.monotonic() > deadline:
                raise CannotRunError(f"no {what} within {within_s} s")
            time.sleep(0.05)

    def submit(self, id, steps, node=None, specification="", **fields):
        body = {"specification": specification, "steps": steps} | fields
        node = node or self.entries[0]
        status, _ = node.call("POST", PREFIX + id, body)
        return status

    def state(self, id, node=None):
        """Return the state that a node answers, "gone" for 410 or "" without one."""
        node = node or self.entries[0]
        status, content = node.call("GET", PREFIX + id)
        if status == 410:
            return "gone"
        return content["state"] if status == 200 and content else ""

    def starts(self, id):
        return [s for s in self.record.lines("start") if s["task"].startswith(id)]

    def ends(self, id):
        return [s for s in self.record.lines("end") if s["task"].startswith(id)]


def is_troubled():
    """Return whether the case is to bring its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case):
    """Run a case, which returns why the rule was broken, or ""; exit with its code."""

    def give_up(*_):
        end_processes()
        os._exit(NOT_RUN)

    watchdog = threading.Timer(118.0, give_up)
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, give_up)
    try:
        why = case()
    except CannotRunError as exc:
        print(f"could not run: {exc}")
        sys.exit(NOT_RUN)
    finally:
        end_processes()
    print(f"broken: {why}" if why else "held")
    sys.exit(BROKEN if why else HELD)
