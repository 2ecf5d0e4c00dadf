"""Stand-in for the platform's store, which speaks etcd v3's JSON gateway.

``PUT /_control`` sets the failure switches; ``GET /_calls`` returns the numbers of
calls by kind. The switch ``silent_watches`` silences the watches that are open at
that time; they stay silent.
"""

import argparse
import collections
import contextlib
import http.client
import itertools
import json
import math
import select
import socket
import threading
import typing as t

import msgspec
from cheroot import wsgi

from bilberrypass import errors
from bilberrypass.connection import etcd_wire, memory, store
from testing.standins import serving

_THREADS = 128
_KEEP_ALIVE_CONNECTIONS = 1000
_BACKLOG = 512
_STOP_TIMEOUT_S = 1
_POLL_INTERVAL_S = 0.1
_GRPC_NOT_FOUND = 5
_FOREVER = math.inf


class _Control(t.TypedDict, total=False):
    """The failure switches that ``PUT /_control`` sets."""

    delay_s: float
    down: bool
    lose_answers: int
    silent: bool
    silent_watches: bool
    drop_leases: list[int] | str


class _ErrorResponse(Exception):
    """A response with a status other than 200."""

    def __init__(self, status: int, code: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.body = {"code": code, "message": message, "error": message}


class _Gateway(wsgi.Gateway_10):
    """Passes the request to the application, so that it can cut the connection."""

    def get_environ(self):
        environ = super().get_environ()
        environ["standin.request"] = self.req
        return environ


class EtcdGateway:
    """WSGI application for store calls, failure switches and call counts."""

    def __init__(self, history_events: int) -> None:
        self._store = memory.MemoryStore(history_events)
        self._lock = threading.Lock()
        self._calls: collections.Counter[str] = collections.Counter()
        self._leases: set[int] = set()
        self._delay_s = 0.0
        self._down = self._silent = False
        self._lose_answers = 0
        self._watch_ids = itertools.count(1)
        self._silent_below_watch_id = 0
        self._stopping = threading.Event()
        self._handlers = {
            "/v3/kv/range": ("range", self._range),
            "/v3/kv/put": ("put", self._put),
            "/v3/kv/txn": ("txn", self._txn),
            "/v3/lease/grant": ("lease_grant", self._grant),
            "/v3/lease/keepalive": ("lease_keepalive", self._keep_alive),
            "/v3/lease/revoke": ("lease_revoke", self._revoke),
        }

    def stop(self) -> None:
        self._stopping.set()
        self._store.close()

    def __call__(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        path = environ["PATH_INFO"]
        try:
            if path == "/_control":
                return _answer(start_response, self._set_control(body))
            if path == "/_calls":
                return _answer(start_response, dict(self._calls))
            return self._serve(path, body, environ["standin.request"], start_response)
        except _ErrorResponse as exc:
            return _answer(start_response, exc.body, exc.status)
        except msgspec.MsgspecError as exc:
            return _answer(start_response, {"code": 3, "message": str(exc)}, 400)

    def _set_control(self, body: bytes):
        control = msgspec.json.decode(body, type=_Control)
        unknown = set(json.loads(body)) - set(_Control.__annotations__)
        if unknown:
            raise _ErrorResponse(400, 3, f"unknown switches in body: {sorted(unknown)}")
        self._delay_s = control.get("delay_s", self._delay_s)
        self._down = control.get("down", self._down)
        self._silent = control.get("silent", self._silent)
        with self._lock:
            self._lose_answers = control.get("lose_answers", self._lose_answers)
        if control.get("silent_watches"):
            self._silent_below_watch_id = next(self._watch_ids)
        self._drop_leases(control.get("drop_leases", []))
        return {}

    def _drop_leases(self, chosen: list[int] | str) -> None:
        with self._lock:
            leases = list(self._leases) if chosen == "all" else list(chosen)
            self._leases.difference_update(leases)
        for lease in leases:
            self._store.revoke(lease, _FOREVER)

    def _serve(self, path, body, req, start_response):
        if path != "/v3/watch" and path not in self._handlers:
            raise _ErrorResponse(404, _GRPC_NOT_FOUND, f"unknown path {path}")
        kind, handler = self._handlers.get(path, ("watch", None))
        with self._lock:
            self._calls[kind] += 1
        self._stopping.wait(self._delay_s)
        if self._silent:
            self._block_until_peer_closes(req)
            return _cut(req, start_response)
        if self._down or self._stopping.is_set():
            return _cut(req, start_response)
        if handler is None:
            return self._watch(body, req, start_response)
        reply = handler(body)
        if self._must_lose_answer(kind, reply):
            return _cut(req, start_response)
        return _answer(start_response, reply)

    def _block_until_peer_closes(self, req) -> None:
        """Block without a response until the peer closes the connection."""
        while not self._stopping.is_set() and not _is_closed_by_peer(req.conn.socket):
            self._stopping.wait(_POLL_INTERVAL_S)

    def _must_lose_answer(self, kind: str, reply) -> bool:
        has_written = kind == "put" or (kind == "txn" and reply.get("succeeded"))
        with self._lock:
            if not has_written or not self._lose_answers:
                return False
            self._lose_answers -= 1
            return True

    def _range(self, body: bytes):
        return self._list_items(etcd_wire.decode(body, etcd_wire.RangeRequest))

    def _list_items(self, request: etcd_wire.RangeRequest) -> etcd_wire.RangeResponse:
        listing = self._store.list(_prefix(request), _FOREVER)
        exact = "range_end" not in request
        key = request["key"].decode()
        items = [item for item in listing.items if not exact or item.key == key]
        found = [_key_value(*item) for item in items]
        answer = etcd_wire.RangeResponse(header=_header(listing.revision))
        return answer | {"kvs": found, "count": len(found)} if found else answer

    def _put(self, body: bytes):
        request = etcd_wire.decode(body, etcd_wire.PutRequest)
        key = request["key"].decode()
        while True:
            current = self._store.get(key, _FOREVER)
            expected = store.ABSENT if current is None else current.revision
            swap = self._swap(request, expected)
            if swap.done:
                return {"header": _header(swap.revision)}

    def _swap(self, request: etcd_wire.PutRequest, expected: int) -> store.Swap:
        key, value = request["key"].decode(), request.get("value", b"")
        lease = request.get("lease", store.NO_LEASE)
        try:
            return self._store.swap(key, value, expected, _FOREVER, lease)
        except errors.Error as exc:
            raise _ErrorResponse(
                404, _GRPC_NOT_FOUND, "requested lease not found"
            ) from exc

    def _txn(self, body: bytes):
        request = etcd_wire.decode(body, etcd_wire.TxnRequest)
        (compare,) = request["compare"]
        (step,) = request["success"]
        if (compare.get("target"), compare.get("result")) != ("MOD", "EQUAL"):
            raise _ErrorResponse(400, 3, "unsupported compare: need MOD and EQUAL")
        expected = compare.get("mod_revision", store.ABSENT)
        if "request_put" in step:
            swap = self._swap(step["request_put"], expected)
        else:
            key = step["request_delete_range"]["key"].decode()
            swap = self._store.delete(key, expected, _FOREVER)
        answer = etcd_wire.TxnResponse(header=_header(swap.revision))
        if swap.done:
            return answer | {"succeeded": True, "responses": [{}]}
        found = etcd_wire.RangeResponse()
        if swap.current is not None:
            found["kvs"] = [_key_value(*swap.current)]
        return answer | {"responses": [{"response_range": found}]}

    def _grant(self, body: bytes):
        ttl_s = etcd_wire.decode(body, etcd_wire.LeaseRequest)["TTL"]
        lease = self._store.grant(ttl_s, _FOREVER)
        with self._lock:
            self._leases.add(lease)
        return {"ID": lease, "TTL": ttl_s}

    def _keep_alive(self, body: bytes):
        lease = etcd_wire.decode(body, etcd_wire.LeaseRequest)["ID"]
        answer = etcd_wire.LeaseResponse(ID=lease)
        if self._store.renew(lease, _FOREVER):
            answer["TTL"] = 1
        return {"result": answer}

    def _revoke(self, body: bytes):
        lease = etcd_wire.decode(body, etcd_wire.LeaseRequest)["ID"]
        with self._lock:
            is_known = lease in self._leases
            self._leases.discard(lease)
        if not is_known:
            raise _ErrorResponse(404, _GRPC_NOT_FOUND, "requested lease not found")
        self._store.revoke(lease, _FOREVER)
        return {"header": _header(self._store.revision())}

    def _watch(self, body: bytes, req, start_response):
        create = etcd_wire.decode(body, etcd_wire.WatchRequest)["create_request"]
        start_response("200 OK", [("Content-Type", "application/json")])
        return self._stream(create, req)

    def _stream(self, create: etcd_wire.WatchCreateRequest, req):
        watch_id = next(self._watch_ids)
        yield _line({"header": _header(self._store.revision()), "created": True})
        prefix, after = _prefix(create), create.get("start_revision", 0) - 1
        if after < 0:
            after = self._store.revision()
        batches = self._store.watch(prefix, after, _FOREVER)
        while True:
            # If the next batch is empty, all events up to this revision have been sent.
            revision = self._store.revision()
            try:
                events = next(batches, None)
            except errors.Error:
                yield _line({"canceled": True, "compact_revision": revision})
                return
            if self._silent or watch_id < self._silent_below_watch_id:
                self._block_until_peer_closes(req)
            if events is None or self._down or _is_closed_by_peer(req.conn.socket):
                _cut_connection(req)
                return
            if events:
                yield _line({"header": _header(events[-1].revision)} | _events(events))
            elif create.get("progress_notify"):
                yield _line({"header": _header(revision)})


def _prefix(request) -> str:
    return "" if request["key"] == b"\0" else request["key"].decode()


def _header(revision: int) -> etcd_wire.Header:
    return etcd_wire.Header(revision=revision)


def _key_value(key: str, value: bytes, revision: int) -> etcd_wire.KeyValue:
    found = etcd_wire.KeyValue(key=key.encode(), mod_revision=revision)
    return found | {"value": value} if value else found


def _events(events: list[store.Event]):
    return {"events": [_event(event) for event in events]}


def _event(event: store.Event) -> etcd_wire.Event:
    if event.value is None:
        kv = _key_value(event.key, b"", event.revision)
        return etcd_wire.Event(type=etcd_wire.DELETE, kv=kv)
    return etcd_wire.Event(kv=_key_value(*event))


def _line(result) -> bytes:
    return etcd_wire.encode({"result": result}) + b"\n"


def _answer(start_response, reply, status: int = 200):
    body = etcd_wire.encode(reply)
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(f"{status} {http.client.responses[status]}", headers)
    return [body]


def _cut(req, start_response):
    _cut_connection(req)
    start_response("200 OK", [])
    return []


def _cut_connection(req) -> None:
    """Close the connection; whatever cheroot writes afterwards is discarded."""
    req.close_connection = True
    # The peer may have closed the connection already.
    with contextlib.suppress(OSError):
        req.conn.socket.shutdown(socket.SHUT_RDWR)


def _is_closed_by_peer(sock) -> bool:
    """Return whether the peer has closed the connection."""
    try:
        readable, _, _ = select.select([sock], [], [], 0)
        return bool(readable) and not sock.recv(1, socket.MSG_PEEK)
    except (OSError, ValueError):
        return True


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--history", type=int, default=4096)
    args = parser.parse_args()
    platform = EtcdGateway(args.history)
    server = wsgi.Server(
        (args.host, args.port),
        platform,
        numthreads=_THREADS,
        request_queue_size=_BACKLOG,
        shutdown_timeout=_STOP_TIMEOUT_S,
    )
    server.gateway = _Gateway
    server.keep_alive_conn_limit = _KEEP_ALIVE_CONNECTIONS
    server.prepare()
    terminated = serving.start_server("store", "store", server, name="store")
    terminated.wait()
    platform.stop()
    server.stop()


if __name__ == "__main__":
    main()
