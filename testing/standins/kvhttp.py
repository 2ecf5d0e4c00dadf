"""Stand-in for the platform's store with its HTTP interface."""

import base64
import contextlib
import urllib.parse

from bilberrypass import clock, errors
from bilberrypass.connection import serving
from bilberrypass.scheduling import keyvalue
from testing.standins import jsonhttp, keyvalues


def _item_json(item):
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.revision,
        "lease": item.lease,
    }


class StoreApplication(jsonhttp.JsonApplication):
    """WSGI application over a store in memory.

    An ``error_status`` other than 0 is the status code of every response.
    ``page_size`` is the maximum number of items in one listing.
    """

    def __init__(self, store):
        self.store = store
        self.error_status = 0
        self.page_size = 500

    def _serve(self, environ):
        if self.error_status:
            return self.error_status, {}
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        name = environ["PATH_INFO"].removeprefix("/api/kv-").split("/")
        body = jsonhttp.read_json(environ)
        call = getattr(self, f"_{name[0].replace('-', '_')}")
        try:
            return call(query, body, *name[1:])
        except keyvalue.PreconditionFailed as exc:
            return 412, {"items": [_item_json(i) for i in exc.items.values()]}
        except keyvalue.LeaseLost:
            return 404, {}
        except keyvalue.HistoryLost:
            return 410, {}
        except keyvalue.Rejected as exc:
            return 413, {"error": exc.detail}
        except errors.Error:
            return 503, {}

    def _key(self, query, body):
        found = self.store.get(query["key"], clock.now())
        if found.item is None:
            return 404, {"at": found.revision}
        return 200, _item_json(found.item) | {"at": found.revision}

    def _range(self, query, body):
        found = self.store.list(query["prefix"], clock.now())
        items = [i for i in found.items if i.key > query.get("after", "")]
        return 200, {
            "items": [_item_json(i) for i in items[: self.page_size]],
            "has_more": len(items) > self.page_size,
            "at": found.revision,
        }

    def _watch(self, query, body):
        wait_s = int(query["wait_ms"]) / 1_000
        found = self.store.watch(query["prefix"], int(query["after"]), wait_s)
        events = [
            {"key": c.key, "revision": c.revision, "tombstone": True}
            if c.value is None
            else _item_json(keyvalue.Item(c.key, c.value, c.revision))
            for c in found.changes
        ]
        return 200, {"events": events, "at": found.revision}

    def _txn(self, query, body):
        expected = {row["key"]: row["revision"] for row in body["expected_revision"]}
        puts = [
            keyvalue.Put(p["key"], base64.b64decode(p["value"]), p["lease"])
            for p in body["set_keys"]
        ]
        removed = body["remove"]
        revision = self.store.commit(expected, puts, clock.now(), removed)
        return 200, {"revision": revision}

    def _lease(self, query, body):
        lease = self.store.grant(body["ttl_ms"] / 1_000, clock.now())
        return 200, {"lease": lease.id, "ttl_ms": int(lease.ttl_s * 1_000)}

    def _keep(self, query, body, id):
        self.store.renew(int(id), clock.now())
        return 200, {"ttl_ms": 3_000}

    def _lease_end(self, query, body, id):
        self.store.revoke(int(id), clock.now())
        return 200, {}


@contextlib.contextmanager
def serve():
    """Serve a new store; yield the application and its address."""
    app = StoreApplication(keyvalues.Store())
    listener = serving.Listener("127.0.0.1:0", app, 8, 4 << 20)
    listener.start()
    try:
        yield app, listener.address
    finally:
        listener.stop()
