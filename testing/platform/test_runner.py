"""The client of a runner: calls for one life are never executed by another."""

import contextlib
import http.server
import json
import threading

from bilberrypass import clock, errors
from bilberrypass.hosting import runner
from bilberrypass.platform import runner as runner_client
from testing import collecting, fixtures
from testing.standins import runhttp

_ID = "i-1"
_LIFE, _NEXT_LIFE = 1_000, 2_000
_TASK = "a" * 16 + ".0.0.0"
_RUN = runner.RunSpec(_TASK, 1, "spec", "", "")
_EPOCH = 7
_LEASE_END_MS = 1_006_000
_NO_WAIT_S = 0.0


def _client(process, life):
    return runner_client.Runner(_ID, life, process.address)


def _deadline():
    return clock.now() + 2.0


def _start(client, run=_RUN):
    return client.start(run, _LEASE_END_MS, _EPOCH, _deadline())


def _poll(client, acknowledged_end=0, lease_end_ms=None):
    return client.poll(acknowledged_end, lease_end_ms, _EPOCH, _NO_WAIT_S)


def _assert_not_executed(call, *args):
    exc = fixtures.error_of(errors.Error, call, *args)
    assert exc.ran is errors.Ran.NO, exc


def test_start_for_an_earlier_life_is_not_executed_by_the_next_one():
    with runhttp.RunnerProcess(_ID, _LIFE) as process:
        client = _client(process, _LIFE)
        process.crash()
        _assert_not_executed(_start, client)
        current = process.start(_NEXT_LIFE)
        _assert_not_executed(_start, client)
        assert not current.started, current.started


def test_start_on_connections_of_an_earlier_life_is_not_executed_by_the_next_one():
    with runhttp.RunnerProcess(_ID, _LIFE) as process:
        client = _client(process, _LIFE)
        assert _poll(client).life == _LIFE
        assert not _start(client).reason
        process.crash()
        second_run = _RUN._replace(run=2)
        _assert_not_executed(_start, client, second_run)
        current = process.start(_NEXT_LIFE)
        _assert_not_executed(_start, client, second_run)
        assert not current.started, current.started


def test_stop_for_an_earlier_life_is_not_executed_by_the_next_one():
    with runhttp.RunnerProcess(_ID, _LIFE) as process:
        client = _client(process, _LIFE)
        assert not _start(client).reason
        current = process.restart(_NEXT_LIFE)
        _assert_not_executed(client.stop, _TASK, 1, _EPOCH, _deadline())
        assert not current.highest_ended, current.highest_ended


def test_pace_for_an_earlier_life_is_not_set_by_the_next_one():
    with runhttp.RunnerProcess(_ID, _LIFE) as process:
        client = _client(process, _LIFE)
        assert not _start(client).reason
        current = process.restart(_NEXT_LIFE)
        _assert_not_executed(client.set_pace, _TASK, 1, 50, _EPOCH, _deadline())
        assert not current.paces, current.paces


def test_acknowledged_end_of_an_earlier_life_discards_no_end_of_the_next_one():
    with runhttp.RunnerProcess(_ID, _LIFE) as process:
        client = _client(process, _LIFE)
        assert _poll(client).life == _LIFE
        current = process.restart(_NEXT_LIFE)
        next_client = _client(process, _NEXT_LIFE)
        assert not _start(next_client).reason
        current.end_run(_TASK, 1)
        with contextlib.suppress(errors.Error):
            _poll(client, acknowledged_end=17)
        ended = _poll(next_client).ended
        assert [(end.number, end.task) for end in ended] == [(1, _TASK)], ended


def test_lease_of_an_earlier_life_is_not_taken_by_the_next_one():
    with runhttp.RunnerProcess(_ID, _LIFE) as process:
        client = _client(process, _LIFE)
        assert _poll(client, lease_end_ms=_LEASE_END_MS).life == _LIFE
        current = process.restart(_NEXT_LIFE)
        with contextlib.suppress(errors.Error):
            _poll(client, lease_end_ms=_LEASE_END_MS)
        assert current.lease_end_ms == 0, current.lease_end_ms


def test_client_of_the_next_life_reaches_it_at_the_same_address():
    with runhttp.RunnerProcess(_ID, _LIFE) as process:
        assert not _start(_client(process, _LIFE)).reason
        current = process.restart(_NEXT_LIFE)
        client = _client(process, _NEXT_LIFE)
        assert not _start(client).reason
        assert _poll(client).life == _NEXT_LIFE
        assert current.started == [(_TASK, 1)]


def test_full_page_of_ends_is_no_complete_list():
    with runhttp.RunnerProcess(_ID, _LIFE) as process:
        client = _client(process, _LIFE)
        process.runner.ended = [
            runner.EndedRun(n, f"{n:016x}.0.0.0", 1, "done", "") for n in range(1, 501)
        ]
        assert not _poll(client).has_all_ends
        assert _poll(client, acknowledged_end=1).has_all_ends


def test_client_of_a_life_that_is_not_known_does_not_reach_one_that_is_stated():
    with runhttp.RunnerProcess(_ID, _LIFE) as process:
        _assert_not_executed(_start, _client(process, 0))
        assert not process.runner.started


def test_runner_that_states_no_life_is_reached():
    with runhttp.RunnerProcess(_ID, 0) as process:
        assert not _start(_client(process, 0)).reason


class _ClosingHandler(http.server.BaseHTTPRequestHandler):
    """A runner that closes each connection after its response."""

    paths: list[str] = []  # noqa: RUF012

    def do_POST(self):
        self.paths.append(self.path)
        self.rfile.read(int(self.headers["Content-Length"]))
        lists = {"running": [], "ended_runs": [], "clock_ms": 1, "born": _LIFE}
        body = json.dumps(lists).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


def test_runner_that_closes_each_connection_is_reached_after_the_check():
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _ClosingHandler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        client = runner_client.Runner(_ID, _LIFE, f"127.0.0.1:{server.server_port}")
        assert not _start(client).reason
        assert _ClosingHandler.paths == ["/api/hold", "/api/run-start"]
        other = runner_client.Runner(_ID, _NEXT_LIFE, f"127.0.0.1:{server.server_port}")
        _assert_not_executed(_start, other)
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


load_tests = collecting.hook(__name__)
