"""The HTTP client of the worker, run against a stand-in of the worker."""

import concurrent.futures as futures
import contextlib
import json
import socket
import threading
import time

from bilberrypass import errors, resources
from bilberrypass.connection import http_worker
from bilberrypass.version import work
from testing import collecting, fixtures
from testing.standins import link, serving

_DEADLINE_S = 10.0
_LEASE_S = 30.0
_LONG_RUN_S = 60.0


def _deadline(seconds=_DEADLINE_S):
    return time.monotonic() + seconds


def _spec(index=0, attempt=1, checkpoint="", cpu_milli=1000, **payload):
    task = work.TaskId("planners", "plan-1", index, attempt)
    demand = resources.Demand(cpu_milli, resources.MIB, 0)
    return work.Spec(task, demand, json.dumps(payload), "batch", checkpoint)


def _client(address):
    host, port = address.split(":")
    return http_worker.HttpWorker(host, int(port))


@contextlib.contextmanager
def _attached():
    with fixtures.process(["testing.standins.worker", "--port", "0"]) as standin:
        with contextlib.closing(_client(standin.addresses["http"])) as client:
            client.attach(_deadline())
            yield standin, client


def _control(standin, **switches):
    answer = fixtures.http("PUT", f"{standin.url()}/_control", switches)
    assert answer.status == 200, answer


def _get_record(standin):
    return fixtures.http("GET", f"{standin.url()}/_judge").json()


def _start(client, spec):
    return client.start(spec, _deadline(_LEASE_S), _deadline())


@contextlib.contextmanager
def _running():
    """Yield the stand-in of a worker that runs one long task, a client and the task."""
    with _attached() as (standin, client):
        spec = _spec(run_s=_LONG_RUN_S)
        _start(client, spec)
        yield standin, client, spec


def _run_of(client, spec):
    runs = client.inventory(_deadline()).runs
    return next((run for run in runs if run.spec.task == spec.task), None)


def _wait_for_end(client, spec):
    def ended():
        run = _run_of(client, spec)
        return run if run.state != "running" else None

    return fixtures.wait_until(ended, _DEADLINE_S, f"end of {spec.task}")


@contextlib.contextmanager
def _raises(kind, ran):
    try:
        yield
    except errors.Error as exc:
        assert (exc.kind, exc.ran) == (kind, ran), exc
    else:
        raise AssertionError(f"{kind} was not raised")


def _lost():
    return _raises(errors.Kind.ANSWER_LOST, errors.Ran.UNKNOWN)


def _stale():
    return _raises(errors.Kind.STALE, errors.Ran.NO)


def _unreachable():
    return _raises(errors.Kind.ENDPOINT_UNREACHABLE, errors.Ran.NO)


def test_task_starts_and_finishes():
    with _attached() as (standin, client):
        spec = _spec(run_s=0.1, steps=4)
        run = _start(client, spec)
        assert (run.spec, run.state) == (spec, "running")
        assert _wait_for_end(client, spec).state == "finished"
        (record,) = _get_record(standin)["runs"]
        assert record["steps"] == 4
        assert record["end"] > record["begin"]
        assert record["task"] == spec.task._asdict()


def test_task_that_fails_is_reported_as_failed():
    with _attached() as (_, client):
        spec = _spec(run_s=0.05, fail=True)
        _start(client, spec)
        assert _wait_for_end(client, spec).state == "failed"


def test_same_attempt_starts_once():
    with _attached() as (standin, client):
        spec = _spec(run_s=0.0)
        _start(client, spec)
        _wait_for_end(client, spec)
        assert _start(client, spec).state == "finished"
        assert len(_get_record(standin)["runs"]) == 1


def test_expired_lease_stops_the_task():
    with _attached() as (standin, client):
        spec = _spec(run_s=_LONG_RUN_S)
        client.start(spec, _deadline(0.1), _deadline())
        run = _wait_for_end(client, spec)
        assert run.state == "stopped"
        assert "lease" in run.detail
        client.renew([(spec.task, _deadline(_LEASE_S))], _deadline())
        assert _run_of(client, spec).state == "stopped"
        (record,) = _get_record(standin)["runs"]
        assert record["end"] is not None


def test_renewal_can_shorten_the_lease():
    with _running() as (_, client, spec):
        client.renew([(spec.task, _deadline(0.0))], _deadline())
        assert "lease" in _wait_for_end(client, spec).detail


def test_older_generation_is_rejected():
    with _running() as (standin, older, spec):
        newer = _client(standin.addresses["http"])
        inventory = newer.attach(_deadline())
        assert [run.spec for run in inventory.runs] == [spec]
        for command in _commands(older, spec):
            with _stale():
                command()
        assert _run_of(newer, spec).state == "running"
        newer.close()


def _commands(client, spec):
    return [
        lambda: client.inventory(_deadline()),
        lambda: _start(client, _spec(index=1)),
        lambda: client.renew([(spec.task, _deadline(0.0))], _deadline()),
        lambda: client.checkpoint(spec.task, _deadline()),
        lambda: client.throttle(spec.task, 0.5, _deadline()),
        lambda: client.stop(spec.task, _deadline()),
        lambda: client.forget([spec.task], _deadline()),
        lambda: client.usage(_deadline()),
    ]


def test_command_before_attach_is_rejected():
    with _attached() as (standin, _):
        unattached = _client(standin.addresses["http"])
        with _stale():
            _start(unattached, _spec())
        assert _get_record(standin)["runs"] == []


def test_restarted_worker_rejects_an_old_generation():
    port = fixtures.free_port()
    args = ["testing.standins.worker", "--port", str(port)]
    client = _client(f"127.0.0.1:{port}")
    with fixtures.process(args) as first:
        client.attach(_deadline())
        first.kill()
    with fixtures.process(args), _stale():
        _start(client, _spec())
    client.close()


class _HookedLock:
    """A lock that calls ``hook`` before and after each time that it is held."""

    def __init__(self):
        self._lock = threading.Lock()
        self.hook = lambda: None

    def __enter__(self):
        self.hook()
        self._lock.acquire()

    def __exit__(self, *exc_info):
        self._lock.release()
        self.hook()


class _RestartingWorker:
    """A worker whose clock starts anew with each generation."""

    def __init__(self):
        self.generation = 0
        self.started_at = 0.0
        self.lease_times = []

    def handle(self, req):
        now = time.monotonic() - self.started_at
        if req.path == "/attach":
            inventory = [[1, 1, 0], [], now]
            return serving.json_reply([self.generation, inventory])
        if req.headers[http_worker.GENERATION_HEADER.lower()] != str(self.generation):
            return serving.problem_reply(409, "STALE", "attach again")
        body = json.loads(req.body)
        self.lease_times.append(body[1] - now)
        return serving.json_reply([body[0], "running"])

    def restart(self):
        self.generation += 1
        self.started_at = time.monotonic()


@contextlib.contextmanager
def _restarting():
    worker = _RestartingWorker()
    worker.generation = 1
    with serving.listening(worker.handle) as address:
        with contextlib.closing(_client(address)) as client:
            client._lock = _HookedLock()
            client.attach(_deadline())
            worker.restart()
            yield worker, client


def _run_once(call):
    """Return a hook that runs ``call`` the first time, but not within itself."""
    calls = [call]

    def hook():
        if calls:
            calls.pop()()

    return hook


def test_start_during_attach_gets_no_lease_by_the_clock_of_the_earlier_worker():
    with _restarting() as (worker, client):

        def start_with_new_generation():
            client._lock.hook = lambda: None
            with contextlib.suppress(errors.Error):
                _start(client, _spec())
            if not worker.lease_times:
                client._lock.hook = start_with_new_generation

        client._lock.hook = start_with_new_generation
        client.attach(_deadline())
        assert len(worker.lease_times) == 1
        assert worker.lease_times[0] < _LEASE_S + 1.0, worker.lease_times


def test_attach_during_start_gives_no_lease_by_the_clock_of_the_earlier_worker():
    with _restarting() as (worker, client):
        client._lock.hook = _run_once(lambda: client.attach(_deadline()))
        _start(client, _spec())
        assert worker.lease_times[0] < _LEASE_S + 1.0, worker.lease_times


def test_start_admitted_under_an_older_generation_is_not_sent():
    with _attached() as (standin, client):
        admitted = client.generation
        client.attach(_deadline())
        with _stale():
            client.start(_spec(), _deadline(_LEASE_S), _deadline(), admitted)
        assert _get_record(standin)["runs"] == []


def test_lost_response_is_unknown_and_not_retried():
    with _attached() as (standin, client):
        spec = _spec(run_s=_LONG_RUN_S)
        _control(standin, lose_answers=1)
        with _lost():
            _start(client, spec)
        assert len(_get_record(standin)["runs"]) == 1
        assert _start(client, spec).state == "running"
        assert len(_get_record(standin)["runs"]) == 1


def _check_attach_is_lost(handle):
    with serving.listening(handle) as address:
        with contextlib.closing(_client(address)) as client, _lost():
            client.attach(_deadline())


def test_command_is_sent_once_if_every_response_is_lost():
    seen = []
    _check_attach_is_lost(lambda req: seen.append(req.path))
    assert seen == ["/attach"]


def test_truncated_response_is_lost():
    reply = serving.json_reply([1, [[1, 1, 0], []]])._replace(cut_after=5)
    _check_attach_is_lost(lambda req: reply)


def test_malformed_response_is_lost():
    reply = serving.json_reply({"no": "generation"})
    _check_attach_is_lost(lambda req: reply)


def test_refused_connection_certainly_had_no_effect():
    address = f"127.0.0.1:{fixtures.free_port()}"
    with contextlib.closing(_client(address)) as client, _unreachable():
        client.attach(_deadline())


def test_connect_timeout_certainly_had_no_effect():
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        # A listener with a full queue drops further attempts to connect.
        for _ in range(4):
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        client = _client(f"127.0.0.1:{listener.getsockname()[1]}")
        with _unreachable():
            client.attach(_deadline(0.5))
        client.close()


def test_slow_response_ends_at_the_deadline():
    finished_sending = threading.Event()

    def drip(conn):
        with conn, contextlib.suppress(OSError):
            conn.recv(65_536)
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
            for _ in range(500):
                conn.sendall(b" ")
                finished_sending.wait(0.02)
        finished_sending.set()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = threading.Thread(target=lambda: drip(listener.accept()[0]))
        server.start()
        client = _client(f"127.0.0.1:{listener.getsockname()[1]}")
        with _lost():
            client.inventory(_deadline(0.5))
        assert not finished_sending.is_set()
        server.join()
        client.close()


def test_nothing_is_sent_after_the_deadline():
    with _attached() as (standin, client):
        with _unreachable():
            client.start(_spec(), _deadline(_LEASE_S), _deadline(-1.0))
        assert _get_record(standin)["runs"] == []


def test_silent_worker_ends_the_call_by_its_deadline():
    with _attached() as (standin, client):
        _control(standin, silent=True)
        with _lost():
            client.inventory(_deadline(0.3))
        _control(standin, silent=False)
        client.inventory(_deadline())


def test_silent_connection_is_replaced_by_a_new_one():
    with _attached() as (standin, _), link.Link(standin.addresses["http"]) as relay:
        client = _client(relay.address)
        client.attach(_deadline())
        relay.discard_open()
        with _lost():
            client.inventory(_deadline(0.3))
        assert client.inventory(_deadline()).runs == []
        client.close()


def test_one_silent_connection_replaces_the_idle_ones_too():
    both_here = threading.Barrier(2)

    def answer(req):
        if req.path == "/usage":
            both_here.wait(_DEADLINE_S)
            return serving.json_reply([0, 0, [], []])
        return serving.json_reply(None)

    with serving.listening(answer) as address, link.Link(address) as relay:
        client = _client(relay.address)
        _call_twice_at_once(client)
        relay.discard_open()
        with _lost():
            client.renew([], _deadline(0.3))
        _call_twice_at_once(client)
        client.close()


def _call_twice_at_once(client):
    with futures.ThreadPoolExecutor(2) as pool:
        calls = [pool.submit(client.usage, _deadline()) for _ in range(2)]
    for call in calls:
        call.result()


def test_stop_of_a_running_task_ends_it():
    with _running() as (_, client, spec):
        assert client.stop(spec.task, _deadline()).state == "stopped"
        assert client.stop(spec.task, _deadline()).state == "stopped"


def test_stop_of_an_unknown_task_prevents_its_start():
    with _attached() as (standin, client):
        spec = _spec(run_s=_LONG_RUN_S)
        assert client.stop(spec.task, _deadline()) is None
        assert _start(client, spec).state == "stopped"
        assert _get_record(standin)["runs"] == []
        next_attempt = _spec(attempt=2, run_s=_LONG_RUN_S)
        assert _start(client, next_attempt).state == "running"


def test_forgotten_run_does_not_start_again():
    with _attached() as (standin, client):
        spec = _spec(run_s=0.0)
        _start(client, spec)
        _wait_for_end(client, spec)
        client.forget([spec.task], _deadline())
        assert _run_of(client, spec) is None
        assert _start(client, spec).state == "stopped"
        assert len(_get_record(standin)["runs"]) == 1


def test_running_task_is_not_forgotten():
    with _running() as (_, client, spec):
        client.forget([spec.task], _deadline())
        assert _run_of(client, spec).state == "running"


def test_next_attempt_resumes_from_the_checkpoint():
    with _attached() as (standin, client):
        long = {"run_s": _LONG_RUN_S, "steps": 12_000}
        first = _spec(**long)
        _start(client, first)
        has_progress = lambda: client.checkpoint(first.task, _deadline()) != "step:0"
        fixtures.wait_until(has_progress, _DEADLINE_S, "a first step")
        end = client.stop(first.task, _deadline())
        step = int(end.checkpoint.removeprefix("step:"))
        assert 0 < step < 12_000
        _start(client, _spec(attempt=2, checkpoint=end.checkpoint, **long))
        _, record = _get_record(standin)["runs"]
        assert record["resumed_from"] == end.checkpoint
        assert record["steps"] >= step


def test_run_resumed_near_its_end_finishes_soon():
    with _attached() as (standin, client):
        spec = _spec(checkpoint="step:11990", run_s=_LONG_RUN_S, steps=12_000)
        _start(client, spec)
        assert _wait_for_end(client, spec).state == "finished"
        (record,) = _get_record(standin)["runs"]
        assert record["steps"] == 12_000


def test_lease_expires_while_the_worker_is_frozen():
    with _attached() as (standin, client):
        spec = _spec(run_s=_LONG_RUN_S)
        client.start(spec, _deadline(1.0), _deadline())
        standin.freeze()
        thaw_at = time.time() + 2.0
        fixtures.wait_until(
            lambda: time.time() > thaw_at, _DEADLINE_S, "the lease to expire"
        )
        standin.thaw()
        with contextlib.suppress(errors.Error):
            client.renew([(spec.task, _deadline(_LEASE_S))], _deadline())
        assert _run_of(client, spec).state == "stopped"
        (record,) = _get_record(standin)["runs"]
        assert record["end"] < thaw_at


def test_throttle_is_reported_in_the_inventory():
    with _running() as (_, client, spec):
        client.throttle(spec.task, 0.5, _deadline())
        assert _run_of(client, spec).throttle == 0.5


def test_throttle_to_zero_can_be_raised_again():
    with _attached() as (_, client):
        spec = _spec(run_s=0.5)
        _start(client, spec)
        client.throttle(spec.task, 0.0, _deadline())
        client.throttle(spec.task, 1.0, _deadline())
        assert _wait_for_end(client, spec).state == "finished"


def test_checkpoint_of_a_task_without_checkpoints_is_rejected():
    with _attached() as (_, client):
        spec = _spec(run_s=_LONG_RUN_S, checkpointable=False)
        _start(client, spec)
        with _raises(errors.Kind.BAD_REQUEST, errors.Ran.NO):
            client.checkpoint(spec.task, _deadline())
        unknown = work.TaskId("planners", "plan-1", 7, 1)
        with _raises(errors.Kind.NOT_FOUND, errors.Ran.NO):
            client.checkpoint(unknown, _deadline())


def test_worker_that_is_down_starts_nothing():
    with _attached() as (standin, client):
        _control(standin, down=True)
        with _lost():
            _start(client, _spec())
        _control(standin, down=False)
        assert client.inventory(_deadline()).runs == []


def test_delayed_command_can_take_effect_after_its_deadline():
    with _attached() as (standin, client):
        _control(standin, delay_s=0.5)
        with _lost():
            client.start(_spec(run_s=_LONG_RUN_S), _deadline(_LEASE_S), _deadline(0.1))
        started = lambda: _get_record(standin)["runs"]
        fixtures.wait_until(started, _DEADLINE_S, "the late start")


def test_unknown_switch_and_path_are_rejected():
    with _attached() as (standin, _):
        control = fixtures.http("PUT", f"{standin.url()}/_control", {"bad": 1})
        assert control.status == 400
        assert fixtures.http("GET", f"{standin.url()}/none").status == 404


def test_stand_in_can_fail_all_tasks():
    with _attached() as (standin, client):
        _control(standin, fail_all=True)
        assert _start(client, _spec(run_s=_LONG_RUN_S)).state == "failed"


def test_usage_lags_and_describes_what_ran_then():
    with _attached() as (standin, client):
        _control(standin, slowdown={"echo": 1.5})
        spec = _spec(run_s=_LONG_RUN_S, cpu_milli=900, memory_bytes=7)
        _start(client, spec)

        def used():
            usage = client.usage(_deadline())
            return usage if usage.tasks and usage.tasks[0][1] > 0 else None

        usage = fixtures.wait_until(used, _DEADLINE_S, "usage")
        assert (usage.tasks[0][0], usage.tasks[0][2]) == (spec.task, 7)
        assert usage.slowdown == [("echo", 1.5)]
        _control(standin, usage_lag_s=_LONG_RUN_S)
        late = client.usage(_deadline())
        assert late.end_ago_s >= _LONG_RUN_S
        assert (late.tasks, late.slowdown) == ([], [])


def test_stand_in_records_commitment_beyond_capacity():
    with _attached() as (standin, client):
        _start(client, _spec(0, cpu_milli=40_000, run_s=60))
        assert not _get_record(standin)["exceeded"]
        _start(client, _spec(1, cpu_milli=40_000, run_s=60))
        client.stop(_spec(1).task, _deadline())
        record = _get_record(standin)
        assert record["exceeded"]
        assert record["highest"]["cpu_milli"] == 80_000


def test_threads_share_a_client():
    with _attached() as (standin, client):

        def start_some(first):
            for index in range(first, first + 10):
                _start(client, _spec(index, run_s=60))

        with futures.ThreadPoolExecutor(8) as pool:
            starts = [pool.submit(start_some, first) for first in range(0, 80, 10)]
        assert [start.exception() for start in starts] == [None] * 8
        assert len(_get_record(standin)["runs"]) == 80


def test_late_start_does_not_extend_the_lease():
    with fixtures.process(["testing.standins.worker", "--port", "0"]) as standin:
        with link.Link(standin.addresses["http"]) as slow:
            client = _client(slow.address)
            client.attach(_deadline())
            slow.delay(0.5)
            spec = _spec(run_s=_LONG_RUN_S)
            client.start(spec, _deadline(0.2), _deadline())
            (record,) = _get_record(standin)["runs"]
            assert record["state"] == "stopped", record
            assert record["end"] - record["begin"] < 0.01, record
            client.close()


def test_older_agent_cannot_attach_after_a_newer_one():
    with _attached() as (standin, client):
        newer = _client(standin.addresses["http"])
        newer.attach(_deadline(), 7)
        exc = fixtures.error_of(errors.Refused, client.attach, _deadline(), 6)
        assert exc.kind is errors.Kind.STALE, exc
        _start(newer, _spec())


load_tests = collecting.hook(__name__)
