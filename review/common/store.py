"""Stand-in for the platform's store: revisions, transactions, leases and watches."""

import base64
import http.server
import json
import threading
import time
import urllib.parse

ANSWER_S = 0.004  # SYSTEM.md: 4 ms an answer
HISTORY_S = 20.0


class Store:
    """The keys, their history and the leases."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items = {}  # key -> (value, revision, created, lease)
        self.revision = 100
        self.leases = {}  # id -> [ttl_s, deadline]
        self.history = []  # (time, revision, key, value or None, created, lease)
        self.dropped_up_to = 0

    def _expire(self):
        now = time.monotonic()
        for lease, (_, deadline) in list(self.leases.items()):
            if now > deadline:
                self._end_lease(lease)
        while self.history and self.history[0][0] < now - HISTORY_S:
            self.dropped_up_to = self.history.pop(0)[1]

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [key for key, item in self.items.items() if item[3] == lease]
        if gone:
            self.revision += 1
            for key in gone:
                self._change(key, None, 0)

    def _change(self, key, value, lease):
        old = self.items.pop(key, None)
        created = old[2] if old else self.revision
        if value is not None:
            self.items[key] = (value, self.revision, created, lease)
        row = (time.monotonic(), self.revision, key, value, created, lease)
        self.history.append(row)
        self.changed.notify_all()

    def put(self, key, value):
        """Write a key as the operator does."""
        with self.changed:
            self.revision += 1
            self._change(key, value, 0)

    def read(self, key):
        """Return the value of a key, or None."""
        with self.changed:
            self._expire()
            return self.items[key][0] if key in self.items else None

    def get(self, query):
        with self.changed:
            self._expire()
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at": self.revision}
            return 200, _item(query["key"], item) | {"at": self.revision}

    def range(self, query):
        prefix, after = query["prefix"], query.get("after", "")
        with self.changed:
            self._expire()
            found = [
                _item(key, self.items[key])
                for key in sorted(self.items)
                if key.startswith(prefix) and key > after
            ]
            return 200, {
                "items": found[:500],
                "has_more": len(found) > 500,
                "at": self.revision,
            }

    def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1_000
        with self.changed:
            while True:
                self._expire()
                if after < self.dropped_up_to:
                    return 410, {}
                found = [
                    {"key": key, "revision": revision, "tombstone": True}
                    if value is None
                    else _item(key, (value, revision, created, lease))
                    for _, revision, key, value, created, lease in self.history
                    if revision > after and key.startswith(prefix)
                ]
                left = deadline - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "at": self.revision}
                self.changed.wait(min(left, 0.1))

    def txn(self, body):
        with self.changed:
            self._expire()
            rows = body.get("expected_revision", [])
            puts, removed = body.get("set_keys", []), body.get("remove", [])
            if len(rows) + len(puts) + len(removed) > 32:
                return 400, {"error": "too many entries"}
            names = [put["key"] for put in puts] + removed
            if any(name.startswith(("op/", "servers/")) for name in names):
                return 403, {}
            for row in rows:
                item = self.items.get(row["key"])
                if (item[1] if item else 0) != row["revision"]:
                    keys = [r["key"] for r in rows if r["key"] in self.items]
                    return 412, {"items": [_item(k, self.items[k]) for k in keys]}
            if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
                return 404, {}
            values = [base64.b64decode(put["value"]) for put in puts]
            if any(len(value) > 1_048_576 for value in values):
                return 413, {"error": "value_bytes exceeded"}
            self.revision += 1
            for put, value in zip(puts, values, strict=True):
                self._change(put["key"], value, put.get("lease", 0))
            for key in removed:
                if key in self.items:
                    self._change(key, None, 0)
            return 200, {"revision": self.revision}

    def grant(self, body):
        ttl_s = min(600.0, max(1.0, body["ttl_ms"] / 1_000))
        with self.changed:
            self._expire()
            self.revision += 1
            self.leases[self.revision] = [ttl_s, time.monotonic() + ttl_s]
            return 200, {"lease": self.revision, "ttl_ms": int(ttl_s * 1_000)}

    def keep(self, lease):
        with self.changed:
            self._expire()
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + ttl_s
            return 200, {"ttl_ms": int(ttl_s * 1_000)}

    def end(self, lease):
        with self.changed:
            self._end_lease(lease)
            return 200, {}


def _item(key, item):
    value, revision, created, lease = item
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": revision,
        "created": created,
        "lease": lease,
    }


def serve(store):
    """Serve a store on a free loopback port, and return its address."""
    handler = type("Handler", (_Handler,), {"store": store})
    server = Server(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return f"127.0.0.1:{server.server_address[1]}"


class Server(http.server.ThreadingHTTPServer):
    """A server whose threads end with the process."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore channels that their peer has reset."""


class JsonHandler(http.server.BaseHTTPRequestHandler):
    """Answers requests with JSON, one write each."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        """Log nothing."""

    def read_body(self):
        size = int(self.headers.get("Content-Length") or 0)
        data = self.rfile.read(size)
        return json.loads(data) if data else {}

    def answer(self, status, content):
        body = json.dumps(content).encode()
        head = (
            f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.wfile.write(head.encode() + body)


class _Handler(JsonHandler):
    store = None

    def _serve(self):
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        body = self.read_body()
        parts = url.path.removeprefix("/api/kv-").split("/")
        calls = {
            "key": lambda: self.store.get(query),
            "range": lambda: self.store.range(query),
            "watch": lambda: self.store.watch(query),
            "txn": lambda: self.store.txn(body),
            "lease": lambda: self.store.grant(body),
            "keep": lambda: self.store.keep(int(parts[1])),
            "lease-end": lambda: self.store.end(int(parts[1])),
        }
        if parts[0] not in calls:
            self.answer(404, {})
            return
        time.sleep(ANSWER_S)
        self.answer(*calls[parts[0]]())

    do_GET = do_POST = do_DELETE = _serve  # noqa: N815
