"""The client of the platform's store, over its HTTP interface."""

import contextlib

from bilberrypass import clock, errors
from bilberrypass.platform import store
from bilberrypass.scheduling import keyvalue
from testing import collecting, fixtures
from testing.standins import kvhttp


@contextlib.contextmanager
def _client():
    with kvhttp.serve() as (app, address):
        yield store.Store(address), app


def _soon():
    return clock.now() + 2


def test_a_value_comes_back_as_it_was_written():
    with _client() as (client, _):
        put = keyvalue.Put("a/b c", bytes(range(256)))
        revision = client.commit({"a/b c": 0}, [put], _soon())
        found = client.get("a/b c", _soon())
        assert found.item == keyvalue.Item("a/b c", put.value, revision)
        assert found.revision >= revision


def test_a_missing_key_has_a_revision_to_watch_from():
    with _client() as (client, app):
        found = client.get("none", _soon())
        assert found.item is None and found.revision == app.store.revision


def test_a_failed_precondition_tells_the_present_items():
    with _client() as (client, _):
        client.commit({}, [keyvalue.Put("k", b"1")], _soon())
        exc = fixtures.error_of(
            keyvalue.PreconditionFailed,
            client.commit,
            {"k": 0, "absent": 0},
            [keyvalue.Put("k", b"2")],
            _soon(),
        )
        assert exc.items["k"].value == b"1" and "absent" not in exc.items


def test_a_listing_is_read_page_by_page():
    with _client() as (client, app):
        app.page = 3
        for number in range(8):
            client.commit({}, [keyvalue.Put(f"p/{number}", b"x")], _soon())
        listing = client.list("p/", _soon())
        assert [i.key for i in listing.items] == [f"p/{n}" for n in range(8)]


def test_a_watch_tells_values_and_removals():
    with _client() as (client, app):
        lease = client.grant(3.0, _soon())
        start = app.store.revision
        client.commit({}, [keyvalue.Put("w/1", b"x", lease.id)], _soon())
        first = client.watch("w/", start, 1.0)
        assert [c.value for c in first.changes] == [b"x"]
        client.revoke(lease.id, _soon())
        second = client.watch("w/", first.revision, 1.0)
        assert [c.value for c in second.changes] == [None]


def test_a_gap_in_the_history_is_told():
    with _client() as (client, app):
        start = app.store.revision
        client.commit({}, [keyvalue.Put("w/1", b"x")], _soon())
        app.store.drop_history()
        fixtures.error_of(keyvalue.HistoryLost, client.watch, "w/", start, 0.1)


def test_an_ended_lease_is_told():
    with _client() as (client, _):
        fixtures.error_of(keyvalue.LeaseLost, client.renew, 12345, _soon())
        put = keyvalue.Put("k", b"x", 12345)
        fixtures.error_of(keyvalue.LeaseLost, client.commit, {}, [put], _soon())


def test_a_refusal_is_certain_and_a_closed_port_too():
    with _client() as (client, app):
        for status in (429, 503):
            app.refuse_with = status
            exc = fixtures.error_of(errors.Error, client.get, "k", _soon())
            assert exc.kind is errors.Kind.STORE_DOWN
    closed = store.Store(f"127.0.0.1:{fixtures.free_port()}")
    exc = fixtures.error_of(errors.Error, closed.commit, {}, [], _soon())
    assert exc.kind is errors.Kind.STORE_DOWN


def test_a_call_without_an_answer_is_uncertain():
    with _client() as (client, app):
        app.store.lose_answers = 0
        with app.store._lock:
            exc = fixtures.error_of(errors.Error, client.get, "k", clock.now() + 0.3)
        assert exc.kind is errors.Kind.STORE_UNCERTAIN


load_tests = collecting.hook(__name__)
