"""The configuration in force: only newer versions apply, also after outages."""

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
def _running_watcher():
    store = keyvalues.Store()
    connection = keyvalues.StoreProxy(store)
    watcher = queues.ConfigWatcher(
        connection, operator.CONFIG_KEY, operator.read_config
    )
    watcher.start()
    try:
        yield watcher, store, connection
    finally:
        watcher.stop()


def _await_version(watcher, version):
    fixtures.wait_until(
        lambda: watcher.table and watcher.table.config.version == version,
        5.0,
        f"version {version}",
    )


def test_newer_version_is_applied_and_older_one_is_ignored():
    with _running_watcher() as (watcher, store, _):
        assert watcher.table is None
        store.put(operator.CONFIG_KEY, _value(5, "/a/"))
        _await_version(watcher, 5)
        store.put(operator.CONFIG_KEY, _value(4, "/b/"))
        store.put(operator.CONFIG_KEY, _value(9, "/c/"))
        _await_version(watcher, 9)
        assert watcher.table.find_route("h.example", "/a/x") is None


def test_unreadable_version_leaves_the_last_in_force():
    with _running_watcher() as (watcher, store, _):
        store.put(operator.CONFIG_KEY, _value(1, "/a/"))
        _await_version(watcher, 1)
        store.put(operator.CONFIG_KEY, b"\xff{")
        store.put(operator.CONFIG_KEY, _value(2, "/a/"))
        _await_version(watcher, 2)


def test_new_version_is_applied_after_outage_and_lost_history():
    with _running_watcher() as (watcher, store, connection):
        store.put(operator.CONFIG_KEY, _value(1, "/a/"))
        _await_version(watcher, 1)
        connection.is_cut = True
        store.put(operator.CONFIG_KEY, _value(2, "/a/"))
        store.compact()
        connection.is_cut = False
        _await_version(watcher, 2)


def test_key_older_than_the_history_causes_no_busy_loop():
    """Guards against reading and watching in a loop without a pause.

    On ringkas-bilberry quiet-1 this caused 19,200 store calls once the key was older
    than the store's history.
    """
    with _running_watcher() as (watcher, store, _):
        store.put(operator.CONFIG_KEY, _value(1, "/a/"))
        _await_version(watcher, 1)
        for number in range(50):
            store.put(f"other/{number}", b"x")
        store.compact()
        store.calls.clear()
        for _ in fixtures.polls(1.5):
            pass
        assert len(store.calls) < 15, len(store.calls)


def test_longest_prefix_wins_and_port_is_ignored():
    config = operator.read_config(_value(1, "/a/", "/a/b/"))
    table = queues.RouteTable(config)
    assert table.find_route("H.example:80", "/a/b/c").prefix == "/a/b/"
    assert table.find_route("h.example", "/a/c").prefix == "/a/"
    assert table.find_route("h.example", "/x") is None
    assert table.find_route("other", "/a/c") is None


load_tests = collecting.hook(__name__)
