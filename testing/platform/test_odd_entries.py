"""Odd entries of another writer, left with the real programs: each field and order.

Such an entry names no runner to use, and the true one works on. Each test fails if a
program ends or if one of its threads fails.
"""

import contextlib
import json
import tempfile
import threading

import msgspec
import urllib3

from bilberrypass.scheduling import jobs
from testing import collecting, fixtures, programs
from testing.standins import kvhttp, runhttp

_RUNNER, _OTHER = "i-1", "i-2"
_LIFE = 1_000
_CONFIG = {
    "version": 3,
    "routes": [
        {"name": "r", "host": "h.example", "prefix": "/q/", "service": "planner"}
    ],
}
_DEEP = b"[" * 100_000 + b"]" * 100_000
_MISSING = object()
_ROUNDS = 5
_DESCRIPTION_AGE_S = 4.0  # an agent starts nothing for a runner that is silent so long
_ODD_VALUES = (
    _MISSING,
    None,
    "",
    "x" * 100_000,
    "\ud800",
    [],
    [[]],
    {},
    True,
    -1,
    0.5,
    10**30,
    1 << 53,
    _DEEP,
)
_ODD_ADDRESSES = (
    *("10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:0", "10.0.0.1", ":80", "10.0.0.1:x"),
    *("no name:80", "[::1:80", "10.0.0.1:80\r\nX: y", "1.2.3:4:5", "127.0.0.1:1"),
)
_ODD_STATES = ("gone", "READY", "ready ")


def _true_report(address, sequence):
    return {
        "service": "planner",
        "address": address,
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 64_000, "task_memory_mb": 256_000, "gpu": 0},
        "labels": ["a", "r1"],
        "clock_ms": 5,
        "sequence": sequence,
        "born": _LIFE,
    }


def _encode(value):
    """Return JSON in which bytes stand for themselves."""
    if isinstance(value, bytes):
        return value
    if isinstance(value, dict):
        parts = [json.dumps(k).encode() + b":" + _encode(v) for k, v in value.items()]
        return b"{" + b",".join(parts) + b"}"
    return json.dumps(value).encode()


def _replace(report, path, value):
    field, *rest = path
    if rest:
        return report | {field: _replace(report[field], rest, value)}
    left = {name: part for name, part in report.items() if name != field}
    return left if value is _MISSING else left | {field: value}


def _odd_reports(address, sequence):
    """Yield the bodies of odd reports, whose sequence numbers rise from the given one.

    Parts of a report stand beside the value at fault as in a true one.
    """
    true = _true_report(address, sequence)
    capacity = [("capacity", name) for name in true["capacity"]]
    for path in [*((name,) for name in true), *capacity, ("remaining_ms",)]:
        odd = list(_ODD_VALUES)
        odd += _ODD_ADDRESSES if path == ("address",) else ()
        odd += _ODD_STATES if path == ("state",) else ()
        odd += ["ghost"] if path == ("service",) else []
        odd += [{"cpu": 1}, {"x": _DEEP}] if path == ("capacity",) else []
        odd += [["a", None], [1], ["x" * 100_000]] if path == ("labels",) else []
        for value in odd:
            true["sequence"] += 1
            yield _encode(_replace(true, path, value))
    yield from (
        b"",
        b"\xff\xfe",
        b"[]",
        b"{",
        _DEEP,
        b'"x"',
        b"null",
        b'{"x":' + _DEEP,
    )


class _System:
    """An entry and an agent as processes, and a runner that reports when asked to."""

    def __init__(self, store, entry, agent, app, address):
        self.store, self.entry, self.agent = store, entry, agent
        self.runner, self.address = app.runner, address
        self._sequence = 0
        self._pids = [program.process.pid for program in (entry, agent)]
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._send_reports, daemon=True)

    def begin_reports(self):
        """Let the true runner report from now on."""
        self._thread.start()

    def _send_reports(self):
        while not self._stopping.wait(0.2):
            self._sequence += 1
            body = _true_report(self.address, self._sequence)
            self.put_report(_RUNNER, json.dumps(body).encode())

    def put_report(self, id, body):
        """Send a report to the agent; return the status, 0 without an answer."""
        url = f"http://{self.agent.control}/api/instances/{id}"
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            response = urllib3.request(
                "PUT", url, body=body, retries=False, timeout=5.0
            )
            return response.status
        return 0

    def stop(self):
        """End the reports of the true runner."""
        self._stopping.set()
        if self._thread.ident is not None:
            self._thread.join(5)

    def run_job(self, id, count=2, timeout_s=15.0):
        """Let a job run to its end."""
        body = {"specification": "x", "steps": [{"count": count, "cpu": 100}]}
        assert self.entry.call("POST", f"/q/{id}", json=body).status == 200
        self.end_runs(id, timeout_s)

    def end_runs(self, id, timeout_s=15.0):
        """End the runs of a job until it is completed."""

        def is_completed():
            for task, run in list(self.runner.running):
                if task.startswith(id):
                    self.runner.end_run(task, run)
            return self.state(id) == "completed"

        fixtures.wait_until(is_completed, timeout_s, f"the end of {id}")

    def state(self, id):
        found = self.entry.call("GET", f"/q/{id}")
        return found.json().get("state") if found.status == 200 else found.status

    def assert_sound(self):
        """Check that no program has ended and none of their threads has failed."""
        for program, pid in zip((self.entry, self.agent), self._pids, strict=True):
            assert program.process.poll() is None and program.process.pid == pid
            failures = [
                line
                for part in ("supervision", "scheduler", "commit", "channels", "front")
                for line in program.decision_log_lines(f"log.{part}")
            ]
            assert not failures, (program.role, failures[:3])


@contextlib.contextmanager
def _system():
    with (
        tempfile.TemporaryDirectory() as folder,
        kvhttp.serve() as (kv, store_address),
        runhttp.serve(_RUNNER, programs.loopback_address(3)) as (app, address),
    ):
        kv.store.put("op/config", json.dumps(_CONFIG).encode())
        ip = programs.loopback_address(1)
        entry = programs.Program("entry", ip, store_address, folder).start()
        ip = programs.loopback_address(2)
        agent = programs.Program("agent", ip, store_address, folder).start()
        app.runner.life = _LIFE
        found = _System(kv.store, entry, agent, app, address)
        try:
            fixtures.wait_until(entry.is_ready, 20.0, "the entry")
            yield found
        finally:
            found.stop()
            entry.end()
            agent.end()


def test_odd_reports_before_the_first_true_one_name_no_runner():
    with _system() as found:
        fixtures.wait_until(
            lambda: found.put_report(_RUNNER, b"{") == 400, 20.0, "the agent"
        )
        for id in (_OTHER, _RUNNER):
            for body in _odd_reports(found.address, 1):
                found.put_report(id, body)
        found.begin_reports()
        found.run_job("a" * 16)
        found.assert_sound()


def test_odd_reports_between_true_ones_change_nothing():
    with _system() as found:
        found.begin_reports()
        body = {"specification": "x", "steps": [{"count": 3, "cpu": 100}]}
        assert found.entry.call("POST", f"/q/{'a' * 16}", json=body).status == 200
        fixtures.wait_until(lambda: len(found.runner.running) == 3, 15.0, "the runs")
        for id in (_OTHER, _RUNNER):
            for body in _odd_reports(found.address, 1 << 30):
                found.put_report(id, body)
        for _ in fixtures.polls(_DESCRIPTION_AGE_S):
            assert len(found.runner.running) == 3
        found.run_job("b" * 16)
        found.end_runs("a" * 16)
        found.assert_sound()
        assert len(found.runner.started) == 5, found.runner.started
        assert len(found.agent.decision_log_lines("runner.new_life")) == 1


_STORE_KEYS = (
    *("leader", "leader/forecast", "interference", "refused/{}", "intake/other"),
    *("intake/job/{}", "intake/cancel/{}", "progress/{}", "op/evacuate/elsewhere"),
)


def _job_value(**fields):
    job = jobs.Job("c" * 16, "h.example/q/", "x", (jobs.Step(1, 100),), 0.0)
    return msgspec.msgpack.encode(job._replace(**fields))


def _odd_values(key):
    """Return values that no program writes, by the form of the others under the key."""
    step, nan = jobs.Step(1, 100), float("nan")
    pack, deep = msgspec.msgpack.encode, b"\x91" * 100_000 + b"\x00"
    values = [b"", b"\xc1", b"\xff" * 300, _DEEP, deep, b"\x81\xa1x" + deep, b"null"]
    values += [b"x" * 1_000_000, pack({"x": 1}), pack([]), pack(1 << 63), pack(nan)]
    if key == "leader":
        values += [b'["n","10.0.0.1:99999",5]', b'["n","a",1e99]', b'["n","",9]']
        values += [b'["n","127.0.0.1:1",5]', b'["n","unix:/x\\u0000",5]']
    if key == "leader/forecast":
        row = ["h.example/q/", 1, False, 1e300, 1e-300, 1.0]
        values += [pack([1 << 62, 1 << 62, 3.0, [row]]), pack([1, 1, nan, []])]
    if key == "interference":
        rows = (["s", "f", nan, 1.0], ["s", "f", 1e300, -1.0], ["s", "f", -1.0, nan])
        values += [pack({"margin_losses": [row]}) for row in rows]
    if key.startswith("intake/job/"):
        odd_steps = (
            *(step._replace(count=-1), step._replace(cpu_milli=-(1 << 40))),
            *(step._replace(estimate_s=nan), step._replace(after=(7,))),
            *(step._replace(count=1 << 63), step._replace(estimate_s=-1.0)),
        )
        values += [_job_value(steps=(odd,)) for odd in odd_steps]
        values += [_job_value(steps=()), _job_value(id="d" * 16), _job_value(id="")]
        times = ("accepted_at", "first_run_at", "interval_s", "waited_s")
        values += [_job_value(repetitions=3, **{name: nan}) for name in times]
        values += [_job_value(repetitions=3, interval_s=-1e300)]
    if key.startswith("progress/"):
        host, row = ["h", 5], [0, 0, 0, 1, 1, 0, 0, "", [], 0]
        base = {"status": "running", "next": 1, "open": [[0, [1]]], "hosts": [host]}
        for fields in (
            {"tasks": [[9, *row[1:]]]},
            {"tasks": [[0, 9, *row[2:]]]},
            {"tasks": [[0, 0, 9, *row[3:]]]},
            {"tasks": [[0, 0, 0, 9, *row[4:]]]},
            {"tasks": [], "next": -1},
            {"tasks": [], "next": 1 << 62},
            {"tasks": [], "open": [[0, [-1]]]},
            {"tasks": [], "open": [[0, [1 << 62]]]},
            {"tasks": [], "open": [[5, [0]]]},
            {"tasks": [], "status": "odd"},
        ):
            values.append(pack(base | fields))
        values.append(pack(["running", [[0, 0, 1 << 40, 1, 1, "h", 5, 0, ""]], 0.0]))
    return values


def _put_odd_values(store, only=None):
    """Leave odd values under one or all of the keys that the programs read."""
    for number, pattern in enumerate(_STORE_KEYS):
        for count, value in enumerate(_odd_values(pattern)):
            id = f"{number:08x}{count:08x}"
            if only in (None, number):
                if pattern.startswith("progress/"):
                    store.put("intake/job/" + id, _job_value(id=id))
                store.put(pattern.format(id), value)


def test_odd_values_in_the_store_hold_up_no_job():
    """Each key that the programs read, while they run and when they are elected."""
    with _system() as found:
        found.begin_reports()
        found.run_job("a" * 16)
        for number in range(len(_STORE_KEYS)):
            _put_odd_values(found.store, number)
            found.run_job(f"{number:016x}"[::-1])
        found.assert_sound()


def test_odd_values_in_the_store_hold_up_no_new_leader():
    """One unreadable value ended each process that was elected, one after the other."""
    with _system() as found:
        found.begin_reports()
        _put_odd_values(found.store)
        for number in range(_ROUNDS):
            for key in _STORE_KEYS:
                if "{}" not in key:
                    values = _odd_values(key)
                    found.store.put(key, values[-1 - number * len(values) // _ROUNDS])
            found.entry.end()
            found.entry.start()
            fixtures.wait_until(found.entry.is_ready, 20.0, "the entry")
            found.run_job(f"{number:016x}"[::-1])


load_tests = collecting.hook(__name__)
