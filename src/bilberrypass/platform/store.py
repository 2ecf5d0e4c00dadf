"""Client that implements the key-value store on the platform's metadata store."""

import base64
import collections.abc as abc
import typing as t
import urllib.parse

import msgspec
import prometheus_client as prometheus

from bilberrypass import clock, decoding, errors
from bilberrypass.platform import http
from bilberrypass.scheduling import keyvalue

_WATCH_MARGIN_S: t.Final = 0.8  # a watch times out this long after its wait
_MS: t.Final = 1_000
_RETRIED_STATUSES: t.Final = (408, 429)
_MAX_SHOWN_BYTES: t.Final = 120

_calls = prometheus.Counter("bilberrypass_store_calls", "Calls to the store", ["call"])
_failures = prometheus.Counter(
    "bilberrypass_store_failures", "Store calls without a usable answer", ["call"]
)
_call_seconds = prometheus.Histogram(
    "bilberrypass_store_seconds", "Duration of store calls", ["call"]
)


class _Item(msgspec.Struct):
    key: str
    value: bytes = b""
    revision: int = 0
    lease: int = 0
    # "tombstone" marks the removal of the key; such an event has no value.
    tombstone: bool = False


class _KeyAnswer(_Item):
    key: str = ""
    # "at" is the revision of the whole store, "revision" that of the key.
    at: int = 0


class _Range(msgspec.Struct):
    items: list[_Item]
    at: int
    has_more: bool = False


class _Events(msgspec.Struct):
    events: list[_Item]
    at: int


class _Committed(msgspec.Struct):
    revision: int


class _Rejected(msgspec.Struct):
    items: list[_Item]


class _Leased(msgspec.Struct):
    lease: int
    ttl_ms: float


def _convert_item(found: _Item) -> keyvalue.Item:
    return keyvalue.Item(found.key, found.value, found.revision, found.lease)


@t.final
class Store(keyvalue.Store):
    """A client of the platform's store.

    Parameters
    ----------
    address : str
        IP address and port.
    max_value_bytes : int, optional
        Limit of one value.
    """

    def __init__(
        self, address: str, max_value_bytes: int = keyvalue.DEFAULT_MAX_VALUE_BYTES
    ) -> None:
        self.max_value_bytes = max_value_bytes
        self._client = http.Client(address, connections=8)

    def _call(
        self,
        name: str,
        method: str,
        path: str,
        deadline: float,
        body: t.Any = None,
        accepted: tuple[int, ...] = (200,),
    ) -> http.Response:
        _calls.labels(name).inc()
        started_at = clock.now()
        try:
            found = self._client.call(method, path, deadline, body)
        except http.NotSent as exc:
            _failures.labels(name).inc()
            raise errors.Error(errors.Kind.STORE_DOWN, exc.detail) from exc
        except http.NoAnswer as exc:
            _failures.labels(name).inc()
            raise errors.Error(errors.Kind.STORE_UNCERTAIN, exc.detail) from exc
        _call_seconds.labels(name).observe(clock.now() - started_at)
        if found.status in accepted:
            return found
        _failures.labels(name).inc()
        if 400 <= found.status < 500 and found.status not in _RETRIED_STATUSES:
            raise keyvalue.Rejected(
                f"{name} answered {found.status}: {found.body[:_MAX_SHOWN_BYTES]!r}"
            )
        is_rejected = found.status in (429, 503)
        raise errors.Error(
            errors.Kind.STORE_DOWN if is_rejected else errors.Kind.STORE_UNCERTAIN,
            f"{name} answered {found.status}; the store currently rejects requests",
        )

    def get(self, key: str, deadline: float) -> keyvalue.Lookup:
        """Return the current item of a key and the revision to start a watch from."""
        path = f"/api/kv-key?{urllib.parse.urlencode({'key': key})}"
        found = self._call("get", "GET", path, deadline, accepted=(200, 404))
        got = _decode(found, _KeyAnswer)
        item = None if found.status == 404 else _convert_item(got)
        return keyvalue.Lookup(item, got.at)

    def list(self, prefix: str, deadline: float) -> keyvalue.Listing:
        """Return all items under a prefix, read page by page."""
        items: list[keyvalue.Item] = []
        revision, after = 0, ""
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            path = f"/api/kv-range?{urllib.parse.urlencode(query)}"
            page = _decode(self._call("list", "GET", path, deadline), _Range)
            items += map(_convert_item, page.items)
            revision = revision or page.at
            if not page.has_more or not page.items:
                return keyvalue.Listing(items, revision)
            after = page.items[-1].key

    def watch(self, prefix: str, after: int, wait_s: float) -> keyvalue.WatchBatch:
        """Wait for changes under a prefix after a revision, for at most ``wait_s``."""
        query = {"prefix": prefix, "after": after, "wait_ms": int(wait_s * _MS)}
        path = f"/api/kv-watch?{urllib.parse.urlencode(query)}"
        deadline = clock.now() + wait_s + _WATCH_MARGIN_S
        found = self._call("watch", "GET", path, deadline, accepted=(200, 410))
        if found.status == 410:
            raise keyvalue.HistoryLost(prefix)
        page = _decode(found, _Events)
        changes = [
            keyvalue.Change(e.key, None if e.tombstone else e.value, e.revision)
            for e in page.events
        ]
        return keyvalue.WatchBatch(changes, page.at)

    def commit(
        self,
        expected: abc.Mapping[str, int],
        puts: abc.Sequence[keyvalue.Put],
        deadline: float,
        removed: abc.Sequence[str] = (),
    ) -> int:
        """Write and remove keys atomically, and return the new revision."""
        body = {
            "expected_revision": [
                {"key": key, "revision": revision} for key, revision in expected.items()
            ],
            "set_keys": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in puts
            ],
            "remove": list(removed),
        }
        accepted = (200, 404, 412)
        found = self._call(
            "commit", "POST", "/api/kv-txn", deadline, body, accepted=accepted
        )
        if found.status == 412:
            items = _decode(found, _Rejected).items
            raise keyvalue.PreconditionFailed(
                [_convert_item(i) for i in items if i.revision]
            )
        if found.status == 404:
            raise keyvalue.LeaseLost(next(put.lease for put in puts if put.lease))
        return _decode(found, _Committed).revision

    def grant(self, ttl_s: float, deadline: float) -> keyvalue.Lease:
        """Grant a lease with a TTL in seconds."""
        body = {"ttl_ms": int(ttl_s * _MS)}
        found = self._call("grant", "POST", "/api/kv-lease", deadline, body)
        leased = _decode(found, _Leased)
        return keyvalue.Lease(leased.lease, leased.ttl_ms / _MS)

    def renew(self, lease: int, deadline: float) -> None:
        """Renew a lease; raise ``keyvalue.LeaseLost`` if it has ended."""
        path = f"/api/kv-keep/{lease}"
        found = self._call("renew", "POST", path, deadline, accepted=(200, 404))
        if found.status == 404:
            raise keyvalue.LeaseLost(lease)

    def revoke(self, lease: int, deadline: float) -> None:
        """Revoke a lease and remove its keys; a lost lease is no error."""
        path = f"/api/kv-lease-end/{lease}"
        self._call("revoke", "DELETE", path, deadline, accepted=(200, 204, 404))


T = t.TypeVar("T")


def _decode(found: http.Response, kind: type[T]) -> T:
    try:
        return decoding.decode_json(found.body, kind)
    except decoding.UnreadableError as exc:
        raise errors.Error(
            errors.Kind.STORE_UNCERTAIN, f"the answer of the store is unreadable: {exc}"
        ) from exc
