"""The two programs of the platform as processes, for tests and for the soak."""

import contextlib
import json
import os
import pathlib
import subprocess
import sys

import urllib3

from testing import fixtures

_ROOT = pathlib.Path(__file__).parents[1]
_HEADERS = {"Host": "h.example", "Time-Remaining": "3000"}
COMMAND = ("src/bilberrypassd.py",)


def loopback(number):
    """Return an address of the loopback that only this test process uses."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 8) % 250}.{pid & 255}.{number}"


class Program:
    """One of the two programs as a process.

    Parameters
    ----------
    role : str
        ``entry`` or ``agent``.
    ip : str
        Its host's address.
    store_address : str
        Its way to the store.
    folder : path
        Where its settings and its log go.
    command : tuple of str
        What the interpreter runs, before the role.
    """

    def __init__(self, role, ip, store_address, folder, command=COMMAND):
        self._command = command
        self.role, self.ip = role, ip
        self.front = f"{ip}:{fixtures.free_port()}"
        self.ready = f"{ip}:{fixtures.free_port()}"
        self.control = f"{ip}:{fixtures.free_port()}"
        self._inner = fixtures.free_port()
        self.path = pathlib.Path(folder) / f"{ip}.yaml"
        self.log = pathlib.Path(folder) / f"{ip}.log"
        self.path.write_text(json.dumps(self._settings(store_address)))
        self.process = None

    def _settings(self, store_address):
        listen = {"control": self.control}
        if self.role == "entry":
            listen = {"front": self.front, "ready": self.ready}
        return {
            "node_name": f"{self.role}-{self.ip}",
            "zone": "z",
            "ip_address": self.ip,
            "listen_addresses": listen,
            "internal_port_range": [self._inner, self._inner + 15],
            "bounds": {"hold_max_ms": 6_000, "grace_s": 6},
            "platform": {"address": store_address},
        }

    def start(self):
        """Start the process."""
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

    def lines(self, event):
        """Return the lines of its decision log with an event."""
        found = []
        for line in self.log.read_text().splitlines():
            if line.startswith("{") and json.loads(line)["event"] == event:
                found.append(json.loads(line))
        return found

    def call(self, method, path, **fields):
        """Call the callers' interface."""
        return urllib3.request(
            method,
            f"http://{self.front}{path}",
            headers=_HEADERS,
            retries=False,
            **fields,
        )

    def is_ready(self):
        """Tell whether the readiness probe is answered with 200."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            url = f"http://{self.ready}/api/readiness"
            return urllib3.request("GET", url, retries=False).status == 200
        return False

    def end(self):
        """End the process that this test started."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
