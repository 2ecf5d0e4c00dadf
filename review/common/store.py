"""Stand-in for the platform's store: revisions, transactions, leases and watches.

Each machine reaches the store at an address of its own, so that a case can delay,
refuse or silence the calls of one machine while the others are served.
"""

import base64
import http.server
import json
import socket
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
        self.on_commit = lambda view, body, revision: None

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


class View:
    """The store as one machine reaches it.

    ``mode`` is "ok", "refuse" (503, nothing is done) or "silent" (no answer, nothing
    is done).
    """

    def __init__(self, store, name, ip="127.0.0.1"):
        self.store, self.name = store, name
        self.mode = "ok"
        self.delay_s = ANSWER_S
        handler = type("Handler", (_Handler,), {"view": self})
        self.server = Server((ip, 0), handler)
        self.address = f"{ip}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


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

    def cut(self):
        """End the channel without an answer."""
        self.close_connection = True
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


class _Handler(JsonHandler):
    view = None

    def _serve(self):
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        body = self.read_body()
        if not self._is_served():
            return
        parts = url.path.removeprefix("/api/kv-").split("/")
        store = self.view.store
        calls = {
            "key": lambda: store.get(query),
            "range": lambda: store.range(query),
            "watch": lambda: store.watch(query),
            "txn": lambda: store.txn(body),
            "lease": lambda: store.grant(body),
            "keep": lambda: store.keep(int(parts[1])),
            "lease-end": lambda: store.end(int(parts[1])),
        }
        if parts[0] not in calls:
            self.answer(404, {})
            return
        time.sleep(self.view.delay_s)
        status, content = calls[parts[0]]()
        if parts[0] == "txn" and status == 200:
            store.on_commit(self.view, body, content["revision"])
        if parts[0] == "watch" and not self._is_served():
            return
        self.answer(status, content)

    def _is_served(self):
        mode = self.view.mode
        if mode == "refuse":
            self.answer(503, {})
            return False
        if mode == "silent":
            while self.view.mode == "silent":
                time.sleep(0.05)
            self.cut()
            return False
        return True

    do_GET = do_POST = do_DELETE = _serve  # noqa: N815
