"""Context managers and helpers shared by all tests."""

import collections.abc as abc
import contextlib
import fcntl
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import typing as t
from unittest import mock

import urllib3

_ROOT = pathlib.Path(__file__).parent.parent
_POLL_INTERVAL_S = 0.02
_PORT_RANGE = (10_000, 32_000)
_SIGNAL_TIMEOUT_S = 10.0
_EXIT_TIMEOUT_S = 15.0

_port_lock_file = open(pathlib.Path(tempfile.gettempdir()) / "bilberrypass-ports", "ab")
_reservation_lock = threading.Lock()
_reserved_ports: set[int] = set()

HTTP_ERRORS = (urllib3.exceptions.HTTPError,)


def free_port() -> int:
    """Return a TCP port that no other test process uses while this process runs.

    The port lies below the range of ports for outgoing connections. A lock on one
    byte of a shared file reserves it among the test processes of this machine.
    """
    while True:
        port = random.SystemRandom().randrange(*_PORT_RANGE)
        with _reservation_lock, contextlib.suppress(OSError):
            if port in _reserved_ports:
                continue
            fcntl.lockf(_port_lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", port))
            _reserved_ports.add(port)
            return port


def wait_until(condition: abc.Callable[[], t.Any], timeout_s: float, what: str):
    """Poll until the condition returns a true value, and return that value."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= deadline:
            raise AssertionError(
                f"{what}: timed out after {timeout_s} s (last: {value!r})"
            )
        time.sleep(_POLL_INTERVAL_S)


def stepped_time_of_day(step_s: float):
    """Let the time of day of this process jump by a step while the context is open."""
    real = time.time
    return mock.patch("time.time", lambda: real() + step_s)


def error_of(kind: type[Exception], call: abc.Callable, *args: t.Any) -> t.Any:
    """Make a call that must raise an exception of type ``kind``, and return it."""
    try:
        value = call(*args)
    except kind as exc:
        return exc
    raise AssertionError(f"no {kind.__name__} was raised; returned: {value!r}")


def polls(duration_s: float):
    """Yield once per polling interval until ``duration_s`` has passed."""
    deadline = time.monotonic() + duration_s
    while time.monotonic() < deadline:
        yield
        time.sleep(_POLL_INTERVAL_S)


@contextlib.contextmanager
def settings_file(settings: abc.Mapping[str, t.Any]):
    """Write settings to a temporary JSON file and yield its path."""
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "settings.json"
        path.write_text(json.dumps(settings))
        yield str(path)


class HttpResponse(t.NamedTuple):
    status: int
    headers: abc.Mapping[str, str]
    body: bytes

    def json(self):
        return json.loads(self.body)


def http(
    method: str,
    url: str,
    body: t.Any = None,
    headers: abc.Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> HttpResponse:
    """Send one request on a new connection; a body other than bytes is sent as JSON."""
    all_headers = dict(headers or {})
    content = body
    if body is not None and not isinstance(body, bytes):
        all_headers.setdefault("Content-Type", "application/json")
        content = json.dumps(body)
    with urllib3.PoolManager(retries=False) as manager:
        resp = manager.request(
            method,
            url,
            body=content,
            headers=all_headers,
            timeout=urllib3.Timeout(total=timeout_s),
            redirect=False,
        )
        return HttpResponse(resp.status, resp.headers, resp.data)


def wait_ok(url: str, timeout_s: float, what: str) -> None:
    """Poll until a GET of the URL returns status 200."""
    wait_until(lambda: http("GET", url).status == 200, timeout_s, what)


class Process:
    """A started process with its ready line and its output."""

    def __init__(self, args: list[str]) -> None:
        self._args = args
        self._popen = subprocess.Popen(
            args,
            cwd=_ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            errors="replace",
        )
        self._out: list[str] = []
        self._err: list[str] = []
        self._readers = [
            self._start_reader(self._popen.stdout, self._out),
            self._start_reader(self._popen.stderr, self._err),
        ]
        self.ready: dict[str, t.Any] = {}

    @property
    def pid(self) -> int:
        return self._popen.pid

    @property
    def addresses(self) -> dict[str, str]:
        return self.ready["addresses"]

    def url(self, name: str = "http") -> str:
        return f"http://{self.addresses[name]}"

    def wait_ready(self, timeout_s: float) -> None:
        deadline = time.monotonic() + timeout_s
        while not self._find_ready_line():
            if self._popen.poll() is not None:
                raise AssertionError(self._describe("exited before it was ready"))
            if time.monotonic() >= deadline:
                raise AssertionError(
                    self._describe(f"was not ready within {timeout_s} s")
                )
            time.sleep(_POLL_INTERVAL_S)

    def kill(self) -> None:
        self._popen.kill()
        self.wait(_SIGNAL_TIMEOUT_S)

    def terminate(self) -> None:
        self._popen.terminate()

    def freeze(self) -> None:
        """Send SIGSTOP, and return once all threads have stopped."""
        os.kill(self.pid, signal.SIGSTOP)
        wait_until(self._is_frozen, _SIGNAL_TIMEOUT_S, f"freeze of {self.pid}")

    def _is_frozen(self) -> bool:
        stats = pathlib.Path(f"/proc/{self.pid}/task").glob("*/stat")
        return all(s.read_text().rpartition(")")[2].split()[0] == "T" for s in stats)

    def thaw(self) -> None:
        os.kill(self.pid, signal.SIGCONT)

    def poll(self) -> int | None:
        return self._popen.poll()

    def wait(self, timeout_s: float = _EXIT_TIMEOUT_S) -> int:
        """Wait until the process exits, and return its exit code."""
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired as exc:
            raise AssertionError(
                self._describe(f"did not exit within {timeout_s} s")
            ) from exc

    def stdout_text(self) -> str:
        return "".join(self._out)

    def stderr_text(self) -> str:
        return "".join(self._err)

    def end(self) -> None:
        """Kill the process if it is still running, and close its pipes."""
        if self._popen.poll() is None:
            self.kill()
        for reader in self._readers:
            reader.join()
        self._popen.stdout.close()
        self._popen.stderr.close()

    def _find_ready_line(self) -> bool:
        for line in list(self._out):
            with contextlib.suppress(json.JSONDecodeError):
                value = json.loads(line)
                if isinstance(value, dict) and value.get("ready"):
                    self.ready = value
                    return True
        return False

    def _start_reader(self, stream, lines: list[str]) -> threading.Thread:
        def read() -> None:
            for line in stream:
                lines.append(line)

        reader = threading.Thread(target=read, daemon=True)
        reader.start()
        return reader

    def _describe(self, what: str) -> str:
        return (
            f"{' '.join(self._args)} {what}\n"
            f"stdout:\n{self.stdout_text()}\nstderr:\n{self.stderr_text()}"
        )


@contextlib.contextmanager
def process(module_or_program: list[str], ready_timeout_s: float = 15.0):
    """Run a module, or a program given by its path, and yield it once it is ready.

    Its arguments follow the module or the path.
    """
    is_path = os.sep in module_or_program[0]
    interpreter = [] if is_path else [sys.executable, "-m"]
    started = Process([*interpreter, *module_or_program])
    try:
        started.wait_ready(ready_timeout_s)
        yield started
    finally:
        started.end()
