"""The configuration in force: only newer versions, soon, and through outages."""

import contextlib
import json

from bilberrypass.platform import operator
from bilberrypass.scheduling import queues
from testing import collecting, fixtures
from testing.standins import keyvalues


def _value(version, *prefixes):
    routes = [
        {"name": p, "host": "h.example", "prefix": p, "service": "s"} for p in prefixes
    ]
    return json.dumps({"version": version, "routes": routes}).encode()


@contextlib.contextmanager
def _follower():
    store = keyvalues.Store()
    way = keyvalues.Way(store)
    found = queues.Follower(way, operator.CONFIG_KEY, operator.read_config)
    found.start()
    try:
        yield found, store, way
    finally:
        found.stop()


def _await_version(found, version):
    fixtures.wait_until(
        lambda: found.table and found.table.config.version == version,
        5.0,
        f"version {version}",
    )


def test_a_new_version_is_taken_up_and_an_older_one_is_not():
    with _follower() as (found, store, _):
        assert found.table is None
        store.put(operator.CONFIG_KEY, _value(5, "/a/"))
        _await_version(found, 5)
        store.put(operator.CONFIG_KEY, _value(4, "/b/"))
        store.put(operator.CONFIG_KEY, _value(9, "/c/"))
        _await_version(found, 9)
        assert found.table.find("h.example", "/a/x") is None


def test_an_unreadable_version_leaves_the_last_in_force():
    with _follower() as (found, store, _):
        store.put(operator.CONFIG_KEY, _value(1, "/a/"))
        _await_version(found, 1)
        store.put(operator.CONFIG_KEY, b"\xff{")
        store.put(operator.CONFIG_KEY, _value(2, "/a/"))
        _await_version(found, 2)


def test_a_gap_in_the_history_and_an_outage_are_got_over():
    with _follower() as (found, store, way):
        store.put(operator.CONFIG_KEY, _value(1, "/a/"))
        _await_version(found, 1)
        way.is_cut = True
        store.put(operator.CONFIG_KEY, _value(2, "/a/"))
        store.drop_history()
        way.is_cut = False
        _await_version(found, 2)


def test_an_old_key_is_no_busy_loop():
    # Seen on ringkas-bilberry quiet-1: 19,200 calls, once the key was older than
    # the store's history.
    with _follower() as (found, store, _):
        store.put(operator.CONFIG_KEY, _value(1, "/a/"))
        _await_version(found, 1)
        for number in range(50):
            store.put(f"other/{number}", b"x")
        store.drop_history()
        store.calls.clear()
        for _ in fixtures.polls(1.5):
            pass
        assert len(store.calls) < 15, len(store.calls)


def test_the_longest_prefix_wins_and_a_port_is_left_out():
    config = operator.read_config(_value(1, "/a/", "/a/b/"))
    table = queues.Table(config)
    assert table.find("H.example:80", "/a/b/c").prefix == "/a/b/"
    assert table.find("h.example", "/a/c").prefix == "/a/"
    assert table.find("h.example", "/x") is None
    assert table.find("other", "/a/c") is None


load_tests = collecting.hook(__name__)
