"""Tests of the stand-ins, their failure switches and the shared fixtures."""

import concurrent.futures
import contextlib
import json
import socket
import threading

import urllib3

from testing import collecting, fixtures
from testing.standins import link, runners, serving

_WAIT_TIMEOUT_S = 10.0


class _Agent:
    """Records the announcements that it receives from endpoints."""

    def __init__(self):
        self.announcements = []

    def handle(self, req):
        self.announcements.append((req.method, req.path, json.loads(req.body)))
        return serving.json_reply({})

    def has_received(self, leaving):
        return any(body["leaving"] is leaving for _, _, body in self.announcements)


def _endpoint(*extra_args):
    args = ["testing.standins.endpoint", "--port", "0", "--id", "ep1", *extra_args]
    return fixtures.process(args)


@contextlib.contextmanager
def _announcing():
    """Start an endpoint that announces itself; yield it and the receiving agent."""
    agent = _Agent()
    with serving.listening(agent.handle) as address:
        with _endpoint("--announce", f"http://{address}") as endpoint:
            yield endpoint, agent


def _get_runs(endpoint):
    return fixtures.http("GET", f"{endpoint.url()}/_runs").json()


def _set_switches(endpoint, **switches):
    answer = fixtures.http("PUT", f"{endpoint.url()}/_control", switches)
    assert answer.status == 200, answer


@contextlib.contextmanager
def _raises(kind):
    try:
        yield
    except kind:
        return
    raise AssertionError(f"{kind} was not raised")


def test_endpoint_echoes_the_request():
    with _endpoint() as endpoint:
        headers = {"X-Status": "207", "X-Size": "100000", "X-Delay-S": "0.01"}
        url = f"{endpoint.url()}/fit/check?room=2"
        answer = fixtures.http("PATCH", url, b"sofa", headers)
        assert answer.status == 207
        echo = answer.json()
        assert (echo["service"], echo["endpoint"]) == ("echo", "ep1")
        assert (echo["method"], echo["path"]) == ("PATCH", "/fit/check?room=2")
        assert (echo["body"], len(echo["padding"])) == ("sofa", 100_000)


def test_endpoint_answers_head_and_keeps_the_connection():
    with _endpoint() as endpoint:
        with urllib3.PoolManager(retries=False) as manager:
            for _ in range(3):
                assert manager.request("HEAD", f"{endpoint.url()}/a").data == b""
            pool = manager.connection_from_url(endpoint.url())
            assert pool.num_connections == 1


def test_endpoint_counts_runs_by_key_and_name():
    with _endpoint() as endpoint:
        for name in ("r1", "r2"):
            headers = {"Idempotency-Key": "k1", "X-Request-Name": name}
            fixtures.http("POST", f"{endpoint.url()}/a", b"", headers)
        runs = _get_runs(endpoint)
        assert runs["total"] == 2
        assert runs["by_key"] == {"k1": 2}
        assert runs["by_name"] == {"r1": 1, "r2": 1}


def test_endpoint_runs_sixty_requests_concurrently():
    with _endpoint() as endpoint:
        url = f"{endpoint.url()}/a"
        _set_switches(endpoint, delay_s=3.0)
        with concurrent.futures.ThreadPoolExecutor(60) as pool:
            answers = [pool.submit(fixtures.http, "GET", url) for _ in range(60)]
            all_in_progress = lambda: _get_runs(endpoint)["in_progress"] == 60
            fixtures.wait_until(all_in_progress, _WAIT_TIMEOUT_S, "60 in progress")
            assert [answer.result().status for answer in answers] == [200] * 60
        assert _get_runs(endpoint)["highest"] == 60


def test_endpoint_returns_500_while_fail_is_set():
    with _endpoint() as endpoint:
        _set_switches(endpoint, fail=True)
        assert fixtures.http("GET", f"{endpoint.url()}/a").status == 500
        _set_switches(endpoint, fail=False)
        assert fixtures.http("GET", f"{endpoint.url()}/a").status == 200


def test_die_in_answer_cuts_the_response_after_the_run():
    with _endpoint() as endpoint:
        _set_switches(endpoint, die_in_answer=True)
        with _raises(urllib3.exceptions.ProtocolError):
            fixtures.http("POST", f"{endpoint.url()}/a", b"", {"X-Size": "5000"})
        assert _get_runs(endpoint)["total"] == 1


def test_down_or_silent_endpoint_runs_no_request():
    with _endpoint() as endpoint:
        _set_switches(endpoint, down=True)
        with _raises(urllib3.exceptions.ProtocolError):
            fixtures.http("POST", f"{endpoint.url()}/a")
        _set_switches(endpoint, down=False, silent=True)
        with _raises(urllib3.exceptions.ReadTimeoutError):
            fixtures.http("POST", f"{endpoint.url()}/a", timeout_s=0.2)
        _set_switches(endpoint, silent=False)
        assert _get_runs(endpoint)["total"] == 0


def test_unknown_switch_is_rejected():
    with _endpoint() as endpoint:
        url = f"{endpoint.url()}/_control"
        assert fixtures.http("PUT", url, {"no_such": 1}).status == 400


def test_endpoint_announces_its_start_and_its_leaving():
    with _announcing() as (endpoint, agent):
        has_two = lambda: len(agent.announcements) >= 2
        fixtures.wait_until(has_two, _WAIT_TIMEOUT_S, "two announcements")
        body = {"service": "echo", "address": endpoint.addresses["http"]}
        body |= {"slots": 8, "leaving": False}
        assert agent.announcements[0] == ("PUT", "/endpoints/ep1", body)
        endpoint.terminate()
        assert endpoint.wait(_WAIT_TIMEOUT_S) == 0
    leaving = [body["leaving"] for _, _, body in agent.announcements]
    assert leaving[-1] is True
    assert leaving == sorted(leaving)


def test_leaving_endpoint_finishes_requests_in_progress():
    with _announcing() as (endpoint, agent):
        url = f"{endpoint.url()}/a"
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            headers = {"X-Delay-S": "3"}
            answer = pool.submit(fixtures.http, "POST", url, b"", headers)
            has_begun = lambda: _get_runs(endpoint)["in_progress"] == 1
            fixtures.wait_until(has_begun, _WAIT_TIMEOUT_S, "the request to begin")
            endpoint.terminate()
            is_announced = lambda: agent.has_received(leaving=True)
            fixtures.wait_until(
                is_announced, _WAIT_TIMEOUT_S, "the leaving announcement"
            )
            assert not answer.done()
            assert answer.result().status == 200
        assert endpoint.wait(_WAIT_TIMEOUT_S) == 0


def test_announcements_resume_after_the_agent_was_down_or_replaced():
    port = fixtures.free_port()
    with _endpoint("--announce", f"http://127.0.0.1:{port}") as endpoint:
        for _ in range(2):
            failed = endpoint.stderr_text().count("announce:")
            has_failed = lambda before=failed: (
                endpoint.stderr_text().count("announce:") > before
            )
            fixtures.wait_until(has_failed, _WAIT_TIMEOUT_S, "a failed announcement")
            agent = _Agent()
            with serving.listening(agent.handle, port):
                has_announced = lambda agent=agent: agent.announcements
                fixtures.wait_until(has_announced, _WAIT_TIMEOUT_S, "an announcement")


def test_process_that_exits_before_ready_reports_its_stderr():
    try:
        with fixtures.process(["testing.standins.worker", "--no-such-option"]):
            raise AssertionError("the process became ready")
    except AssertionError as exc:
        assert "--no-such-option" in str(exc)
        assert "stderr" in str(exc)


def test_frozen_process_responds_after_thaw():
    with _endpoint() as endpoint:
        endpoint.freeze()
        with _raises(urllib3.exceptions.TimeoutError):
            fixtures.http("GET", f"{endpoint.url()}/a", timeout_s=0.3)
        endpoint.thaw()
        assert fixtures.http("GET", f"{endpoint.url()}/a").status == 200


def test_settings_file_is_removed_at_context_exit():
    with fixtures.settings_file({"id": "e1"}) as path:
        with open(path) as file:
            assert json.load(file) == {"id": "e1"}
    with _raises(FileNotFoundError):
        open(path)


@contextlib.contextmanager
def _echo_server():
    """Run a TCP server that echoes all bytes; yield its address."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(target=_accept_all, args=(listener,), daemon=True).start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        listener.shutdown(socket.SHUT_RDWR)


def _accept_all(listener):
    with contextlib.suppress(OSError):
        while True:
            conn, _ = listener.accept()
            threading.Thread(target=_echo, args=(conn,), daemon=True).start()


def _echo(conn):
    with conn, contextlib.suppress(OSError):
        while chunk := conn.recv(4096):
            conn.sendall(chunk)


@contextlib.contextmanager
def _link_to_echo_server():
    """Run a link to an echo server; yield it and an open, working connection."""
    with _echo_server() as target, link.Link(target) as relay:
        with _connect(relay) as conn:
            assert _echoes(conn)
            yield relay, conn


def _connect(relay, timeout_s=_WAIT_TIMEOUT_S):
    host, port = relay.address.split(":")
    return socket.create_connection((host, int(port)), timeout_s)


def _echoes(conn):
    conn.sendall(b"ping")
    return conn.recv(4) == b"ping"


def _new_connection_echoes(relay):
    with _connect(relay) as conn:
        return _echoes(conn)


def _gets_no_echo(conn):
    conn.settimeout(0.2)
    try:
        conn.sendall(b"ping")
        conn.recv(4)
    except TimeoutError:
        return True
    return False


def test_link_relays_bytes_and_end_of_stream():
    with _link_to_echo_server() as (relay, conn):
        conn.shutdown(socket.SHUT_WR)
        assert conn.recv(4) == b""


def test_link_cut_closes_only_open_connections():
    with _link_to_echo_server() as (relay, conn):
        relay.cut()
        assert conn.recv(4) == b""
        assert _new_connection_echoes(relay)


def test_link_refuses_new_connections_until_healed():
    with _link_to_echo_server() as (relay, conn):
        relay.refuse()
        with _raises(ConnectionRefusedError):
            _connect(relay)
        assert _echoes(conn)
        relay.heal()
        assert _new_connection_echoes(relay)


def test_link_to_a_target_that_is_down_closes_and_refuses_connections():
    with _link_to_echo_server() as (relay, conn), _echo_server() as another:
        relay.take_target_down()
        assert conn.recv(4) == b""
        relay.heal()
        with _raises(ConnectionRefusedError):
            _connect(relay)
        relay.bring_target_up(another)
        assert _new_connection_echoes(relay)


def test_link_refuses_until_healed_although_its_target_is_back():
    with _link_to_echo_server() as (relay, _), _echo_server() as another:
        relay.refuse()
        relay.take_target_down()
        relay.bring_target_up(another)
        with _raises(ConnectionRefusedError):
            _connect(relay)
        relay.heal()
        assert _new_connection_echoes(relay)


def test_runner_shortens_a_lease_that_is_too_long():
    """The end of a lease on an earlier life's clock may be hours away on a new one."""
    standin = runners.Runner(max_lease_ms=6_000)
    standin.poll(0, 3_600_000, 1, 0.0)
    assert standin.lease_end_ms <= standin.clock_ms + 6_000


def test_link_swallow_is_permanent_for_open_connections():
    with _link_to_echo_server() as (relay, conn):
        relay.discard_open()
        assert _gets_no_echo(conn)
        assert _new_connection_echoes(relay)
        relay.heal()
        assert _gets_no_echo(conn)


def test_link_blackhole_also_discards_bytes_of_new_connections():
    with _link_to_echo_server() as (relay, conn):
        relay.blackhole()
        assert _gets_no_echo(conn)
        with _connect(relay) as another:
            assert _gets_no_echo(another)
        relay.heal()
        assert _new_connection_echoes(relay)


def test_link_deafen_is_permanent_for_affected_connections():
    with _link_to_echo_server() as (relay, conn):
        relay.discard_responses()
        assert _gets_no_echo(conn)
        relay.heal()
        assert _gets_no_echo(conn)
        assert _new_connection_echoes(relay)


def test_link_delay_delays_bytes():
    with _link_to_echo_server() as (relay, conn):
        relay.delay(0.5)
        assert _gets_no_echo(conn)
        conn.settimeout(_WAIT_TIMEOUT_S)
        assert conn.recv(4) == b"ping"
        relay.heal()
        assert _echoes(conn)


load_tests = collecting.hook(__name__)
