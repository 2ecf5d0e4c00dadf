"""The stand-ins themselves, with their switches to fail."""

import concurrent.futures
import contextlib
import json
import socket
import threading

import urllib3

from testing import collecting, fixtures
from testing.standins import link, serving

_TIMEOUT_S = 10.0


class _Agent:
    """Remembers what endpoints announced."""

    def __init__(self):
        self.seen = []

    def handle(self, req):
        self.seen.append((req.method, req.path, json.loads(req.body)))
        return serving.answer_json({})

    def has_heard(self, leaving):
        return any(body["leaving"] is leaving for _, _, body in self.seen)


def _endpoint(*more):
    args = ["testing.standins.endpoint", "--port", "0", "--id", "ep1", *more]
    return fixtures.process(args)


@contextlib.contextmanager
def _announcing():
    """An endpoint that announces itself; gives it and the agent that listens."""
    agent = _Agent()
    with serving.listening(agent.handle) as address:
        with _endpoint("--announce", f"http://{address}") as endpoint:
            yield endpoint, agent


def _runs(endpoint):
    return fixtures.http("GET", f"{endpoint.url()}/_runs").json()


def _control(endpoint, **switches):
    answer = fixtures.http("PUT", f"{endpoint.url()}/_control", switches)
    assert answer.status == 200, answer


@contextlib.contextmanager
def _raises(kind):
    try:
        yield
    except kind:
        return
    raise AssertionError(f"{kind} was not raised")


def test_endpoint_echoes():
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


def test_endpoint_counts_runs():
    with _endpoint() as endpoint:
        for name in ("r1", "r2"):
            headers = {"Idempotency-Key": "k1", "X-Request-Name": name}
            fixtures.http("POST", f"{endpoint.url()}/a", b"", headers)
        runs = _runs(endpoint)
        assert runs["total"] == 2
        assert runs["by_key"] == {"k1": 2}
        assert runs["by_name"] == {"r1": 1, "r2": 1}


def test_endpoint_holds_sixty_requests_at_once():
    with _endpoint() as endpoint:
        url = f"{endpoint.url()}/a"
        _control(endpoint, delay_s=3.0)
        with concurrent.futures.ThreadPoolExecutor(60) as pool:
            answers = [pool.submit(fixtures.http, "GET", url) for _ in range(60)]
            all_in_progress = lambda: _runs(endpoint)["in_progress"] == 60
            fixtures.wait_until(all_in_progress, _TIMEOUT_S, "60 in progress")
            assert [answer.result().status for answer in answers] == [200] * 60
        assert _runs(endpoint)["highest"] == 60


def test_endpoint_fails_when_told():
    with _endpoint() as endpoint:
        _control(endpoint, fail=True)
        assert fixtures.http("GET", f"{endpoint.url()}/a").status == 500
        _control(endpoint, fail=False)
        assert fixtures.http("GET", f"{endpoint.url()}/a").status == 200


def test_endpoint_dies_in_its_answer_after_the_run():
    with _endpoint() as endpoint:
        _control(endpoint, die_in_answer=True)
        with _raises(urllib3.exceptions.ProtocolError):
            fixtures.http("POST", f"{endpoint.url()}/a", b"", {"X-Size": "5000"})
        assert _runs(endpoint)["total"] == 1


def test_endpoint_that_is_down_or_silent_runs_nothing():
    with _endpoint() as endpoint:
        _control(endpoint, down=True)
        with _raises(urllib3.exceptions.ProtocolError):
            fixtures.http("POST", f"{endpoint.url()}/a")
        _control(endpoint, down=False, silent=True)
        with _raises(urllib3.exceptions.ReadTimeoutError):
            fixtures.http("POST", f"{endpoint.url()}/a", timeout_s=0.2)
        _control(endpoint, silent=False)
        assert _runs(endpoint)["total"] == 0


def test_unknown_switch_is_refused():
    with _endpoint() as endpoint:
        url = f"{endpoint.url()}/_control"
        assert fixtures.http("PUT", url, {"no_such": 1}).status == 400


def test_endpoint_announces_itself_and_its_leaving():
    with _announcing() as (endpoint, agent):
        heard = lambda: len(agent.seen) >= 2
        fixtures.wait_until(heard, _TIMEOUT_S, "two announcements")
        body = {"service": "echo", "address": endpoint.addresses["http"]}
        body |= {"slots": 8, "leaving": False}
        assert agent.seen[0] == ("PUT", "/endpoints/ep1", body)
        endpoint.terminate()
        assert endpoint.wait(_TIMEOUT_S) == 0
    leaving = [body["leaving"] for _, _, body in agent.seen]
    assert leaving[-1] is True
    assert leaving == sorted(leaving)


def test_leaving_endpoint_finishes_what_is_in_progress():
    with _announcing() as (endpoint, agent):
        url = f"{endpoint.url()}/a"
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            headers = {"X-Delay-S": "3"}
            answer = pool.submit(fixtures.http, "POST", url, b"", headers)
            begun = lambda: _runs(endpoint)["in_progress"] == 1
            fixtures.wait_until(begun, _TIMEOUT_S, "the request's begin")
            endpoint.terminate()
            told = lambda: agent.has_heard(leaving=True)
            fixtures.wait_until(told, _TIMEOUT_S, "the leaving announcement")
            assert not answer.done()
            assert answer.result().status == 200
        assert endpoint.wait(_TIMEOUT_S) == 0


def test_announcing_survives_an_agent_away_and_replaced():
    port = fixtures.free_port()
    with _endpoint("--announce", f"http://127.0.0.1:{port}") as endpoint:
        for _ in range(2):
            failed = endpoint.stderr_text().count("announce:")
            more = lambda before=failed: (
                endpoint.stderr_text().count("announce:") > before
            )
            fixtures.wait_until(more, _TIMEOUT_S, "a failed announcement")
            agent = _Agent()
            with serving.listening(agent.handle, port):
                heard = lambda agent=agent: agent.seen
                fixtures.wait_until(heard, _TIMEOUT_S, "an announcement")


def test_process_reports_why_it_did_not_become_ready():
    try:
        with fixtures.process(["testing.standins.worker", "--no-such-option"]):
            raise AssertionError("it became ready")
    except AssertionError as exc:
        assert "--no-such-option" in str(exc)
        assert "stderr" in str(exc)


def test_frozen_process_answers_after_it_is_thawed():
    with _endpoint() as endpoint:
        endpoint.freeze()
        with _raises(urllib3.exceptions.TimeoutError):
            fixtures.http("GET", f"{endpoint.url()}/a", timeout_s=0.3)
        endpoint.thaw()
        assert fixtures.http("GET", f"{endpoint.url()}/a").status == 200


def test_settings_file_is_there_for_its_context_only():
    with fixtures.settings_file({"id": "e1"}) as path:
        with open(path) as file:
            assert json.load(file) == {"id": "e1"}
    with _raises(FileNotFoundError):
        open(path)


@contextlib.contextmanager
def _echo_server():
    """A TCP server that sends back what it gets; gives its address."""
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
def _linked():
    """A link to an echo server; gives it and an open connection that works."""
    with _echo_server() as target, link.Link(target) as relay:
        with _connect(relay) as conn:
            assert _echoes(conn)
            yield relay, conn


def _connect(relay, timeout_s=_TIMEOUT_S):
    host, port = relay.address.split(":")
    return socket.create_connection((host, int(port)), timeout_s)


def _echoes(conn):
    conn.sendall(b"ping")
    return conn.recv(4) == b"ping"


def _echoes_afresh(relay):
    with _connect(relay) as conn:
        return _echoes(conn)


def _goes_silent(conn):
    conn.settimeout(0.2)
    try:
        conn.sendall(b"ping")
        conn.recv(4)
    except TimeoutError:
        return True
    return False


def test_link_relays_and_passes_on_the_end():
    with _linked() as (relay, conn):
        conn.shutdown(socket.SHUT_WR)
        assert conn.recv(4) == b""


def test_link_cut_drops_open_connections_only():
    with _linked() as (relay, conn):
        relay.cut()
        assert conn.recv(4) == b""
        assert _echoes_afresh(relay)


def test_link_refuse_lasts_until_healed():
    with _linked() as (relay, conn):
        relay.refuse()
        with _raises(ConnectionRefusedError):
            _connect(relay)
        assert _echoes(conn)
        relay.heal()
        assert _echoes_afresh(relay)


def test_link_swallow_is_for_good_on_open_connections():
    with _linked() as (relay, conn):
        relay.swallow()
        assert _goes_silent(conn)
        assert _echoes_afresh(relay)
        relay.heal()
        assert _goes_silent(conn)


def test_link_blackhole_swallows_new_connections_too():
    with _linked() as (relay, conn):
        relay.blackhole()
        assert _goes_silent(conn)
        with _connect(relay) as another:
            assert _goes_silent(another)
        relay.heal()
        assert _echoes_afresh(relay)


def test_link_deafen_swallows_what_comes_back_for_good():
    with _linked() as (relay, conn):
        relay.deafen()
        assert _goes_silent(conn)
        relay.heal()
        assert _goes_silent(conn)
        assert _echoes_afresh(relay)


def test_link_delay_holds_bytes_back():
    with _linked() as (relay, conn):
        relay.delay(0.5)
        assert _goes_silent(conn)
        conn.settimeout(_TIMEOUT_S)
        assert conn.recv(4) == b"ping"
        relay.heal()
        assert _echoes(conn)


load_tests = collecting.hook(__name__)
