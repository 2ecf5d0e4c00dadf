"""Run ``bilberrypassd entry`` and ``bilberrypassd agent`` as processes.

The platform tests and the soak use this.
"""

import contextlib
import json
import os
import pathlib
import subprocess
import sys

import urllib3

from testing import fixtures

_ROOT = pathlib.Path(__file__).parents[1]
_CALLER_HEADERS = {"Host": "h.example", "Time-Remaining": "3000"}
DAEMON_COMMAND = ("src/bilberrypassd.py",)


def loopback_address(number):
    """Return a loopback address that no other running test process uses."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 8) % 250}.{pid & 255}.{number}"


class Program:
    """An entry or an agent as a process.

    Parameters
    ----------
    role : str
        ``entry`` or ``agent``.
    ip : str
        IP address of its host.
    store_address : str
        Address at which it reaches the store, ``ip:port``.
    folder : path
        Directory of its settings file and its log.
    command : tuple of str
        Arguments of the Python interpreter, in front of the role.
    zone : str
        Failure domain of its host.
    settings : dict
        Further sections of its settings file; their keys go before the usual ones.
    """

    def __init__(
        self,
        role,
        ip,
        store_address,
        folder,
        command=DAEMON_COMMAND,
        zone="z",
        settings=None,
    ):
        self._command = command
        self._zone, self._further = zone, settings or {}
        self.role, self.ip = role, ip
        self.node_name = f"{role}-{ip}"
        self.front = f"{ip}:{fixtures.free_port()}"
        self.ready = f"{ip}:{fixtures.free_port()}"
        self.control = f"{ip}:{fixtures.free_port()}"
        self._first_internal_port = fixtures.free_port()
        self.path = pathlib.Path(folder) / f"{ip}.yaml"
        self.log = pathlib.Path(folder) / f"{ip}.log"
        self.path.write_text(json.dumps(self._settings(store_address)))
        self.process = None

    def _settings(self, store_address):
        listen = {"control": self.control}
        if self.role == "entry":
            listen = {"front": self.front, "ready": self.ready}
        usual = {
            "node_name": self.node_name,
            "zone": self._zone,
            "ip_address": self.ip,
            "listen_addresses": listen,
            "internal_port_range": [
                self._first_internal_port,
                self._first_internal_port + 15,
            ],
            "bounds": {"hold_max_ms": 6_000, "grace_s": 6},
            "platform": {"address": store_address},
        }
        for section, values in self._further.items():
            usual[section] = usual.get(section, {}) | values
        return usual

    def start(self):
        """Start the process, and return this object without waiting for readiness."""
        env = {**os.environ, "BILBERRYPASS_CONFIG": str(self.path)}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self._command, self.role],
                cwd=_ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        return self

    def decision_log_lines(self, event):
        """Return the decoded lines of its decision log that have this event."""
        matching = []
        for line in self.log.read_text().splitlines():
            if line.startswith("{") and json.loads(line)["event"] == event:
                matching.append(json.loads(line))
        return matching

    def call(self, method, path, **fields):
        """Send a request to the callers' interface; ``fields`` go to urllib3."""
        return urllib3.request(
            method,
            f"http://{self.front}{path}",
            headers=_CALLER_HEADERS,
            retries=False,
            **fields,
        )

    def is_ready(self):
        """Return whether the readiness probe returns status 200."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            url = f"http://{self.ready}/api/readiness"
            return urllib3.request("GET", url, retries=False).status == 200
        return False

    def end(self):
        """Kill the process if it is still running, and wait for its exit."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
