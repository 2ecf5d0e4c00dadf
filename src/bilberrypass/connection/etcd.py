"""A store that is reached through etcd v3's published JSON gateway."""

import collections.abc as abc
import threading
import time
import typing as t

import msgspec
import urllib3

from bilberrypass import errors
from bilberrypass.connection import etcd_watch, etcd_wire, store

_CONNECT_TIMEOUT_S: t.Final = 2.0
_IDLE_CONNECTIONS: t.Final = 16
_CHUNK_BYTES: t.Final = 1 << 16
_OK: t.Final = 200
_NOT_FOUND: t.Final = 404
_FIRST_SERVER_ERROR: t.Final = 500

_NOT_SENT_ERRORS: t.Final = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)

_Response = t.TypeVar("_Response")


class _Address(t.NamedTuple):
    host: str
    port: int


class _Reply(t.NamedTuple):
    status: int
    body: bytes


@t.final
class EtcdStore(store.Store):
    """A store reached over HTTP at one of several addresses.

    Parameters
    ----------
    addresses : abc.Sequence[str]
        Each as ``ip:port``; the next one is used when one fails.
    """

    def __init__(self, addresses: abc.Sequence[str]) -> None:
        self._addresses = [_parse_address(address) for address in addresses]
        self._lock = threading.Lock()
        self._address_index = 0
        self._pool = self._open_pool()
        self._watches: set[etcd_watch.Watch] = set()
        self._closed = False

    def get(self, key: str, deadline: float) -> store.Item | None:
        """Return the key's item, or None if the key is absent."""
        request = etcd_wire.RangeRequest(key=key.encode())
        return _first_item(self._read_range(request, deadline))

    def list(self, prefix: str, deadline: float) -> store.Listing:
        """Return all items whose keys begin with the prefix, sorted by key."""
        start = prefix.encode()
        request = etcd_wire.RangeRequest(
            key=start or b"\0", range_end=etcd_wire.range_end(start)
        )
        response = self._read_range(request, deadline)
        items = [_to_item(found) for found in response.get("kvs", [])]
        return store.Listing(items, response["header"]["revision"])

    def swap(
        self,
        key: str,
        value: bytes,
        expected: int,
        deadline: float,
        lease: int = store.NO_LEASE,
    ) -> store.Swap:
        """Write the key if its revision is the expected one."""
        put = etcd_wire.PutRequest(key=key.encode(), value=value, lease=lease)
        return self._write_if_unchanged(
            key, expected, etcd_wire.RequestOp(request_put=put), deadline
        )

    def delete(self, key: str, expected: int, deadline: float) -> store.Swap:
        """Delete the key if its revision is the expected one."""
        keys = etcd_wire.RangeRequest(key=key.encode())
        operation = etcd_wire.RequestOp(request_delete_range=keys)
        return self._write_if_unchanged(key, expected, operation, deadline)

    def grant(self, ttl_s: int, deadline: float) -> int:
        """Return the id of a new lease that lasts ``ttl_s`` seconds without renewal."""
        request = etcd_wire.LeaseRequest(TTL=ttl_s)
        response = self._write(
            "/v3/lease/grant", request, etcd_wire.LeaseResponse, deadline
        )
        if not response.get("ID"):
            raise _outcome_error(
                "the store's response contains no lease id", is_write=True
            )
        return response["ID"]

    def renew(self, lease: int, deadline: float) -> bool:
        """Renew a lease and return True, or return False if it has expired."""
        request = etcd_wire.LeaseRequest(ID=lease)
        response = self._write(
            "/v3/lease/keepalive", request, etcd_wire.KeepAliveResponse, deadline
        )
        if "result" not in response:
            raise _outcome_error(
                "the store's response contains no renewal", is_write=True
            )
        return response["result"].get("TTL", 0) > 0

    def revoke(self, lease: int, deadline: float) -> None:
        """End a lease and delete its keys; does nothing if it has ended already."""
        request = etcd_wire.encode(etcd_wire.LeaseRequest(ID=lease))
        reply = self._post("/v3/lease/revoke", request, deadline, is_write=True)
        # A lease that is not found has already ended.
        if reply.status != _NOT_FOUND:
            _decode(reply, etcd_wire.RevokeResponse, is_write=True)

    def watch(
        self, prefix: str, after: int, deadline: float
    ) -> abc.Iterator[store.Events]:
        """Yield changes of keys with the prefix after a store revision."""
        with self._lock:
            if self._closed:
                return
            pool = self._pool
            watch = etcd_watch.Watch(pool.host, pool.port, prefix, after, deadline)
            self._watches.add(watch)
        try:
            yield from watch.events()
        except errors.Error:
            self._replace(pool)
            raise
        finally:
            with self._lock:
                self._watches.discard(watch)

    def close(self) -> None:
        """Close the connections and end the watches; later calls raise STORE_DOWN."""
        with self._lock:
            self._closed = True
            watches = list(self._watches)
            pool = self._pool
        for watch in watches:
            watch.stop()
        pool.close()

    def _write_if_unchanged(
        self, key: str, expected: int, operation: etcd_wire.RequestOp, deadline: float
    ) -> store.Swap:
        name = key.encode()
        compare = etcd_wire.Compare(
            key=name, target="MOD", result="EQUAL", mod_revision=expected
        )
        otherwise = etcd_wire.RequestOp(request_range=etcd_wire.RangeRequest(key=name))
        request = etcd_wire.TxnRequest(
            compare=[compare], success=[operation], failure=[otherwise]
        )
        response = self._write("/v3/kv/txn", request, etcd_wire.TxnResponse, deadline)
        revision = response["header"]["revision"]
        if response.get("succeeded"):
            return store.Swap(done=True, revision=revision, current=None)
        responses = response.get("responses", [])
        if len(responses) != 1 or "response_range" not in responses[0]:
            raise _outcome_error(
                "the store's response does not contain the key's item", is_write=True
            )
        current = _first_item(responses[0]["response_range"])
        return store.Swap(done=False, revision=revision, current=current)

    def _read_range(
        self, request: etcd_wire.RangeRequest, deadline: float
    ) -> etcd_wire.RangeResponse:
        body = etcd_wire.encode(request)
        reply = self._post("/v3/kv/range", body, deadline, is_write=False)
        response = _decode(reply, etcd_wire.RangeResponse, is_write=False)
        if "header" not in response:
            raise _outcome_error("the store's response has no header", is_write=False)
        return response

    def _write(
        self, path: str, request: t.Any, kind: type[_Response], deadline: float
    ) -> _Response:
        reply = self._post(path, etcd_wire.encode(request), deadline, is_write=True)
        return _decode(reply, kind, is_write=True)

    def _post(
        self, path: str, body: bytes, deadline: float, *, is_write: bool
    ) -> _Reply:
        """Send a request to the first address that accepts a connection."""
        reason = "no address"
        for _ in self._addresses:
            with self._lock:
                self._check_open()
                pool = self._pool
            if time.monotonic() >= deadline:
                raise errors.Error(
                    errors.Kind.STORE_DOWN,
                    f"the deadline passed before the store was called; {reason}",
                )
            try:
                return _exchange(pool, path, body, deadline)
            except _NOT_SENT_ERRORS as exc:
                self._replace(pool)
                reason = _describe_failure(pool, "does not accept connections", exc)
            except (urllib3.exceptions.HTTPError, OSError) as exc:
                # Other idle connections to the address may be broken as well.
                self._replace(pool)
                reason = _describe_failure(pool, "sent no complete response", exc)
                raise _outcome_error(reason, is_write=is_write) from exc
        raise errors.Error(errors.Kind.STORE_DOWN, reason)

    def _check_open(self) -> None:
        if self._closed:
            raise errors.Error(errors.Kind.STORE_DOWN, "the store is closed")

    def _open_pool(self) -> urllib3.HTTPConnectionPool:
        address = self._addresses[self._address_index]
        return urllib3.HTTPConnectionPool(
            address.host, address.port, maxsize=_IDLE_CONNECTIONS, retries=False
        )

    def _replace(self, pool: urllib3.HTTPConnectionPool) -> None:
        """Use new connections, to the next address."""
        with self._lock:
            if self._pool is not pool or self._closed:
                return
            self._address_index = (self._address_index + 1) % len(self._addresses)
            self._pool = self._open_pool()


def _parse_address(address: str) -> _Address:
    host, _, port = address.rpartition(":")
    return _Address(host.strip("[]"), int(port))


def _exchange(
    pool: urllib3.HTTPConnectionPool, path: str, body: bytes, deadline: float
) -> _Reply:
    left_s = max(0.001, deadline - time.monotonic())
    connect_s = min(_CONNECT_TIMEOUT_S, left_s)
    response = pool.urlopen(
        "POST",
        path,
        body=body,
        headers={"Content-Type": "application/json"},
        timeout=urllib3.Timeout(connect=connect_s, read=left_s, total=left_s),
        retries=False,
        redirect=False,
        preload_content=False,
    )
    try:
        return _Reply(response.status, _read_body(response, deadline))
    except BaseException:
        response.close()
        raise


def _read_body(response: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    parts = []
    while True:
        _limit_next_read(response, deadline)
        part = response.read1(_CHUNK_BYTES)
        if not part:
            return b"".join(parts)
        parts.append(part)


def _limit_next_read(response: urllib3.BaseHTTPResponse, deadline: float) -> None:
    """Limit the next read to the time left before the deadline."""
    left_s = deadline - time.monotonic()
    if left_s <= 0:
        raise TimeoutError("the deadline passed before the response was complete")
    conn = response.connection
    if conn is not None and conn.sock is not None:
        conn.sock.settimeout(left_s)


def _decode(reply: _Reply, kind: type[_Response], *, is_write: bool) -> _Response:
    if reply.status >= _FIRST_SERVER_ERROR:
        raise _outcome_error(
            f"the store responded with {_summary(reply)}", is_write=is_write
        )
    if reply.status != _OK:
        raise errors.Error(
            errors.Kind.STORE_DOWN,
            f"the store rejected the request with {_summary(reply)}",
        )
    try:
        return etcd_wire.decode(reply.body, kind)
    except msgspec.MsgspecError as exc:
        raise _outcome_error(
            f"the store's response is malformed: {exc}", is_write=is_write
        ) from exc


def _summary(reply: _Reply) -> str:
    return f"{reply.status}: {reply.body[:200].decode(errors='replace')}"


def _describe_failure(
    pool: urllib3.HTTPConnectionPool, fault: str, exc: Exception
) -> str:
    error = type(exc).__name__
    return f"the store at {pool.host}:{pool.port} {fault} ({error}); retry later"


def _outcome_error(reason: str, *, is_write: bool) -> errors.Error:
    kind = errors.Kind.STORE_UNCERTAIN if is_write else errors.Kind.STORE_DOWN
    return errors.Error(kind, reason)


def _first_item(response: etcd_wire.RangeResponse) -> store.Item | None:
    found = response.get("kvs", [])
    return _to_item(found[0]) if found else None


def _to_item(found: etcd_wire.KeyValue) -> store.Item:
    key = found["key"].decode()
    return store.Item(key, found.get("value", b""), found.get("mod_revision", 0))
