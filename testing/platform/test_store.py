"""The client of the platform's store, tested over HTTP."""

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


def _deadline():
    return clock.now() + 2


def test_value_is_read_as_written():
    with _client() as (client, _):
        put = keyvalue.Put("a/b c", bytes(range(256)))
        revision = client.commit({"a/b c": 0}, [put], _deadline())
        found = client.get("a/b c", _deadline())
        assert found.item == keyvalue.Item("a/b c", put.value, revision)
        assert found.revision >= revision


def test_missing_key_has_revision_to_watch_from():
    with _client() as (client, app):
        found = client.get("none", _deadline())
        assert found.item is None and found.revision == app.store.revision


def test_failed_precondition_returns_current_items():
    with _client() as (client, _):
        client.commit({}, [keyvalue.Put("k", b"1")], _deadline())
        exc = fixtures.error_of(
            keyvalue.PreconditionFailed,
            client.commit,
            {"k": 0, "absent": 0},
            [keyvalue.Put("k", b"2")],
            _deadline(),
        )
        assert exc.items["k"].value == b"1" and "absent" not in exc.items


def test_listing_reads_all_pages():
    with _client() as (client, app):
        app.page_size = 3
        for number in range(8):
            client.commit({}, [keyvalue.Put(f"p/{number}", b"x")], _deadline())
        listing = client.list("p/", _deadline())
        assert [i.key for i in listing.items] == [f"p/{n}" for n in range(8)]


def test_watch_returns_values_and_removals():
    with _client() as (client, app):
        lease = client.grant(3.0, _deadline())
        start = app.store.revision
        client.commit({}, [keyvalue.Put("w/1", b"x", lease.id)], _deadline())
        first = client.watch("w/", start, 1.0)
        assert [c.value for c in first.changes] == [b"x"]
        client.revoke(lease.id, _deadline())
        second = client.watch("w/", first.revision, 1.0)
        assert [c.value for c in second.changes] == [None]


def test_watch_after_lost_history_raises():
    with _client() as (client, app):
        start = app.store.revision
        client.commit({}, [keyvalue.Put("w/1", b"x")], _deadline())
        app.store.compact()
        fixtures.error_of(keyvalue.HistoryLost, client.watch, "w/", start, 0.1)


def test_renewal_and_write_with_ended_lease_raise():
    with _client() as (client, _):
        fixtures.error_of(keyvalue.LeaseLost, client.renew, 12345, _deadline())
        put = keyvalue.Put("k", b"x", 12345)
        fixtures.error_of(keyvalue.LeaseLost, client.commit, {}, [put], _deadline())


def test_refusal_and_closed_port_are_certain_failures():
    with _client() as (client, app):
        for status in (429, 503):
            app.error_status = status
            exc = fixtures.error_of(errors.Error, client.get, "k", _deadline())
            assert exc.kind is errors.Kind.STORE_DOWN
    closed = store.Store(f"127.0.0.1:{fixtures.free_port()}")
    exc = fixtures.error_of(errors.Error, closed.commit, {}, [], _deadline())
    assert exc.kind is errors.Kind.STORE_DOWN


def test_unanswered_call_is_uncertain():
    with _client() as (client, app):
        app.store.lose_answers = 0
        with app.store._lock:
            exc = fixtures.error_of(errors.Error, client.get, "k", clock.now() + 0.3)
        assert exc.kind is errors.Kind.STORE_UNCERTAIN


def test_value_that_the_store_refuses_for_good_is_told_from_an_outage():
    """The answer counted as an outage, and the write was repeated without end."""
    with _client() as (client, app):
        put = keyvalue.Put("k", bytes(app.store.max_value_bytes + 1))
        exc = fixtures.error_of(
            keyvalue.Rejected, client.commit, {}, [put], _deadline()
        )
        assert exc.kind is errors.Kind.STORE_REJECTED and exc.ran is errors.Ran.NO
        assert "413" in exc.detail, exc
        for status in (408, 429, 500, 503):
            app.error_status = status
            exc = fixtures.error_of(errors.Error, client.commit, {}, [], _deadline())
            assert not isinstance(exc, keyvalue.Rejected), status


load_tests = collecting.hook(__name__)
