"""The operators' interface: tokens, revisions, drains and malformed input."""

import contextlib
import json
import pathlib
import socket
import time

from bilberrypass.configuration import tokens
from testing import collecting, fixtures, system

_RESPONSE_TIMEOUT_S = 10.0


def _get(url, path):
    answer = system.operator_request("GET", f"{url}{path}")
    assert answer.status == 200, answer.body
    return answer.json()


def _change(url, revision, defaults=None, exceptions=(), token=system.OPERATOR.token):
    body = {"defaults": defaults or {}, "exceptions": list(exceptions)}
    etag = {"If_Match": f'"{revision}"'}
    return system.operator_request("PUT", f"{url}/config", body, token, **etag)


def _exemption(host, reason="a test", **set_):
    return {"match": {"host": host}, "set": set_, "reason": reason}


@contextlib.contextmanager
def _run_entry(**changes):
    with system.system(hosts=1, entry_changes=changes) as run:
        url = run.operators()
        _wait_for_hosts(url, 1)
        yield run, url


def _wait_for_hosts(url, count):
    fixtures.wait_until(
        lambda: len(_get(url, "/hosts")) == count,
        _RESPONSE_TIMEOUT_S,
        "the hosts' reports",
    )


def test_accepted_change_is_shown_and_kept_in_history():
    """A change must be readable with its author, in the history and by its revision."""
    with _run_entry() as (_, url):
        first = _change(url, 0, {"weights": {"evictions": 2}})
        assert (first.status, first.headers["ETag"]) == (200, '"1"'), first.body
        shown = _get(url, "/config")
        assert shown["revision"] == 1 and shown["author"] == "operator", shown
        assert shown["defaults"]["weights"]["evictions"] == 2, shown
        assert shown["defaults"]["guards"]["admission_limit"] is True, shown
        second = _change(url, 1, exceptions=[_exemption("h0", drain=True)])
        assert second.json()["exceptions"][0]["author"] == "operator", second.body
        history = _get(url, "/config/history")
        assert [r["revision"] for r in history] == [2, 1], history
        change = {"path": "defaults.weights.evictions", "old": 0.3, "new": 2}
        assert history[1]["changes"] == [change], history
        is_readable = lambda: (
            system.operator_request("GET", f"{url}/config/1").status == 200
        )
        fixtures.wait_until(is_readable, _RESPONSE_TIMEOUT_S, "the older revision")
        assert _get(url, "/config/1")["defaults"] == shown["defaults"]


def test_refused_change_reports_every_fault():
    """Refusals: no If-Match, an outdated revision, and a body with several faults.

    All faults must be reported at once, and none of the changes may be stored.
    """
    with _run_entry() as (_, url):
        assert system.operator_request("PUT", f"{url}/config", {}).status == 428
        assert _change(url, 0, {"weights": {"evictions": 2}}).status == 200
        stale = _change(url, 0, {"weights": {"evictions": 3}})
        assert (stale.status, stale.json()["code"]) == (412, "CONFLICT"), stale.body
        (changed,) = stale.json()["changed"]
        assert changed["changes"][0]["path"] == "defaults.weights.evictions", changed
        weights = {"weights": {"eviction": 1, "throughput": "x"}}
        invalid = _change(url, 1, weights, [_exemption("h0", " ", drain=True)])
        assert (invalid.status, invalid.json()["code"]) == (422, "INVALID_CONFIG")
        paths = sorted(f.partition(":")[0] for f in invalid.json()["faults"])
        assert paths == [
            "defaults.weights.eviction",
            "defaults.weights.throughput",
            "exceptions[0].reason",
        ], invalid.body
        assert _get(url, "/config")["revision"] == 1


def test_drained_host_accepts_no_new_work_until_resumed():
    """Repeating a drain must return the same answer and add no revision."""
    with _run_entry() as (run, url):
        call = f"{run.callers()}/services/echo/a"
        fixtures.wait_ok(call, _RESPONSE_TIMEOUT_S, "an answer")
        drained = system.operator_request(
            "POST", f"{url}/hosts/h0/drain", {"reason": "disks"}
        )
        assert drained.json()["drain"]["reason"] == "disks", drained.body
        is_leaving = lambda: _get(url, "/hosts")[0]["leaving"]
        fixtures.wait_until(is_leaving, _RESPONSE_TIMEOUT_S, "the drain")
        assert _get(url, "/hosts")[0]["drain"] == "disks"
        assert fixtures.http("GET", call).status == 503
        again = system.operator_request(
            "POST", f"{url}/hosts/h0/drain", {"reason": "disks"}
        )
        assert again.json() == drained.json(), again.body
        resumed = system.operator_request("DELETE", f"{url}/hosts/h0/drain")
        assert resumed.json() == {"host": "h0", "drain": None, "revision": 2}
        fixtures.wait_ok(call, _RESPONSE_TIMEOUT_S, "the return")


def test_drain_applies_to_host_that_joins_later():
    """A host may be drained before its agent first reports."""
    with system.system(hosts=1) as run:
        url = run.operators()
        body = {"reason": "not yet"}
        assert (
            system.operator_request("POST", f"{url}/hosts/h9/drain", body).status == 200
        )
        entry = run.entries[0].addresses["peers"]
        worker = run.workers[0].addresses["http"]
        with system.daemon("agent", system.agent_settings(9, [entry], worker)):
            find_host = lambda: [h for h in _get(url, "/hosts") if h["id"] == "h9"]
            hosts = fixtures.wait_until(
                find_host, _RESPONSE_TIMEOUT_S, "the agent's report"
            )
            assert hosts[0]["leaving"], hosts


def test_status_lists_entries_shards_and_outdated_hosts():
    """After a change, all entries and hosts must converge on the new revision."""
    with system.system(entries=2, hosts=1) as run:
        url = run.operators(1)
        assert fixtures.http("GET", f"{url}/healthz").status == 200
        _wait_for_hosts(url, 1)
        assert _change(url, 0, {"weights": {"evictions": 2}}).status == 200
        fixtures.wait_until(
            lambda: _is_settled(url), _RESPONSE_TIMEOUT_S, "one revision"
        )
        status = _get(url, "/status")
        assert all(e["ready"] and e["current"] for e in status["entries"]), status
        assert {s["kind"] for s in status["shards"]} >= {"jobs"}, status


def _is_settled(url):
    status = _get(url, "/status")
    revisions = [entry.get("revision") for entry in status["entries"]]
    owners = [shard["owner"] for shard in status["shards"]]
    return revisions == [1, 1] and all(owners) and status["hosts"]["behind"] == []


def test_requests_need_a_known_token_and_writes_a_write_token():
    """Requests without a valid token get 401; changes with a read token get 403."""
    with _run_entry() as (_, url):
        for path in ("/config", "/config/history", "/status", "/hosts"):
            assert fixtures.http("GET", f"{url}{path}").status == 401, path
            read = system.operator_request(
                "GET", f"{url}{path}", token=system.READER.token
            )
            assert read.status == 200, (path, read.body)
        denied = _change(url, 0, token=system.READER.token)
        assert (denied.status, denied.json()["code"]) == (403, "FORBIDDEN")
        drain = f"{url}/hosts/h0/drain"
        body = {"reason": "a try"}
        assert (
            system.operator_request("POST", drain, body, system.READER.token).status
            == 403
        )
        assert fixtures.http("POST", drain, body).status == 401
        assert (
            system.operator_request("DELETE", drain, token="operator:x").status == 401
        )
        assert _get(url, "/config")["revision"] == 0


def test_wrong_tokens_are_rate_limited_and_valid_ones_still_work():
    """Guessing tokens must be limited without locking out the operators.

    Neither the token nor its hash may appear in the log.
    """
    with _run_entry() as (run, url):
        _get(url, "/config")
        guesses = [f"operator:{n}" for n in range(12)]
        answers = [
            system.operator_request("GET", f"{url}/config", token=x) for x in guesses
        ]
        statuses = [answer.status for answer in answers]
        assert statuses == [401] * 10 + [429] * 2, statuses
        assert int(answers[-1].headers["Retry-After"]) >= 1
        _get(url, "/config")
        text = run.entries[0].stderr_text()
        assert system.OPERATOR.token not in text
        assert system.OPERATOR.kept["hash"] not in text


def test_tokens_are_reloaded_without_a_restart():
    """With a broken settings file the tokens stay; a valid file replaces them."""
    fresh = tokens.create_token("fresh", tokens.WRITE)
    with system.store() as kv:
        cfg = system.entry_settings(0, kv.addresses["store"])
        with fixtures.settings_file(cfg) as path:
            args = [system.DAEMON, "entry", "--settings", path]
            with fixtures.process(args) as proc:
                url = proc.url("operators")
                _get(url, "/config")
                pathlib.Path(path).write_text("{")
                changed = json.dumps(cfg | {"operator_tokens": [fresh.kept]})
                fixtures.wait_until(
                    lambda: "tokens: kept" in proc.stderr_text(),
                    _RESPONSE_TIMEOUT_S,
                    "a warning",
                )
                _get(url, "/config")
                pathlib.Path(path).write_text(changed)
                fixtures.wait_until(
                    lambda: (
                        system.operator_request("GET", f"{url}/config").status == 401
                    ),
                    _RESPONSE_TIMEOUT_S,
                    "the withdrawal",
                )
                assert _change(url, 0, token=fresh.token).status == 200


def test_oversized_and_malformed_input_is_refused():
    """Bodies and headers that are too large, truncated or deeply nested are refused.

    No such request may change the configuration or fail with status 500.
    """
    with _run_entry() as (_, url):
        etag = {"If_Match": '"0"'}
        for body, status in (
            (b"x" * (1 << 21), 413),
            (b"{", 400),
            (b"[" * 100_000, 400),
            (b"\xff\xfe", 400),
            (b"null", 422),
        ):
            answer = system.operator_request("PUT", f"{url}/config", body, **etag)
            assert answer.status == status, (body[:8], answer.status, answer.body)
        large = {"X_Large": "x" * (1 << 17)}
        assert system.operator_request("GET", f"{url}/config", **large).status in (
            400,
            413,
        )
        unquoted = system.operator_request("PUT", f"{url}/config", {}, If_Match="7")
        assert unquoted.status == 400, unquoted.body
        assert _get(url, "/config")["revision"] == 0


def test_slow_clients_do_not_block_operators():
    """40 connections that never finish their headers must not use up all threads."""
    with _run_entry() as (run, url), contextlib.ExitStack() as stack:
        host, port = run.entries[0].addresses["operators"].split(":")
        for _ in range(40):
            conn = socket.create_connection((host, int(port)), _RESPONSE_TIMEOUT_S)
            stack.enter_context(conn)
            conn.sendall(b"PUT /config HTTP/1.1\r\nHost: a\r\nX-Slow: ")
        began = time.monotonic()
        answer = system.operator_request("GET", f"{url}/config")
        assert answer.status == 200, answer.body
        assert time.monotonic() - began < _RESPONSE_TIMEOUT_S


load_tests = collecting.hook(__name__)
