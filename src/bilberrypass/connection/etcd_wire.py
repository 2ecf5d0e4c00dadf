"""The messages of etcd v3's JSON gateway that the store uses.

Fields with their type's default value are left out of responses. Bytes are sent
in Base64 and 64-bit integers as strings.
"""

import typing as t

import msgspec

PUT: t.Final = "PUT"
DELETE: t.Final = "DELETE"

_Response = t.TypeVar("_Response")


class Header(t.TypedDict, total=False):
    """Header of each response; ``revision`` is the store's newest."""

    revision: t.Required[int]


class KeyValue(t.TypedDict, total=False):
    """A key and its value."""

    key: t.Required[bytes]
    value: bytes
    mod_revision: int
    lease: int


class RangeRequest(t.TypedDict, total=False):
    """A read of a key, or of all keys from it up to ``range_end``."""

    key: t.Required[bytes]
    range_end: bytes


class PutRequest(t.TypedDict, total=False):
    """A write of a key."""

    key: t.Required[bytes]
    value: bytes
    lease: int


class Compare(t.TypedDict, total=False):
    """A condition on a key's revision."""

    key: t.Required[bytes]
    target: str
    result: str
    mod_revision: int


class RequestOp(t.TypedDict, total=False):
    """One operation of a transaction."""

    request_range: RangeRequest
    request_put: PutRequest
    request_delete_range: RangeRequest


class TxnRequest(t.TypedDict, total=False):
    """Operations to execute if all conditions hold, and those to execute otherwise."""

    compare: list[Compare]
    success: list[RequestOp]
    failure: list[RequestOp]


class RangeResponse(t.TypedDict, total=False):
    """The items found."""

    header: Header
    kvs: list[KeyValue]
    count: int


class ResponseOp(t.TypedDict, total=False):
    """The response to one operation of a transaction."""

    response_range: RangeResponse


class TxnResponse(t.TypedDict, total=False):
    """Whether the conditions held, and the responses to the operations executed."""

    header: t.Required[Header]
    succeeded: bool
    responses: list[ResponseOp]


class LeaseRequest(t.TypedDict, total=False):
    """A lease to grant, renew or revoke."""

    ID: int
    TTL: int


class LeaseResponse(t.TypedDict, total=False):
    """A lease and its remaining seconds, without ``TTL`` if it has expired."""

    header: Header
    ID: int
    TTL: int


class KeepAliveResponse(t.TypedDict, total=False):
    """The only line of the response stream to a renewal."""

    result: LeaseResponse


class RevokeResponse(t.TypedDict, total=False):
    """The response to a revocation."""

    header: Header


class WatchCreateRequest(t.TypedDict, total=False):
    """The keys to watch, and the first revision wanted."""

    key: t.Required[bytes]
    range_end: bytes
    start_revision: int
    progress_notify: bool


class WatchRequest(t.TypedDict, total=False):
    """The only message of a watch's request stream."""

    create_request: t.Required[WatchCreateRequest]


class Event(t.TypedDict, total=False):
    """A change of a key; a missing type means ``PUT``."""

    type: str
    kv: t.Required[KeyValue]


class WatchResponse(t.TypedDict, total=False):
    """One message of a watch: its creation, events, or if it has neither, progress."""

    header: Header
    created: bool
    canceled: bool
    compact_revision: int
    events: list[Event]


class WatchLine(t.TypedDict, total=False):
    """One line of a watch's response stream."""

    result: WatchResponse
    error: t.Any


def encode(message: t.Any) -> bytes:
    """Return a message as JSON, with integers as strings."""
    return msgspec.json.encode(_integers_to_strings(msgspec.to_builtins(message)))


def decode(data: bytes, kind: type[_Response]) -> _Response:
    """Return a message from JSON; raises ``msgspec.MsgspecError`` if malformed."""
    return msgspec.json.decode(data, type=kind, strict=False)


def range_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with the prefix, a zero byte if none."""
    trimmed = prefix.rstrip(b"\xff")
    if not trimmed:
        return b"\0"
    return trimmed[:-1] + bytes([trimmed[-1] + 1])


def _integers_to_strings(value: t.Any) -> t.Any:
    if isinstance(value, dict):
        return {key: _integers_to_strings(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_integers_to_strings(item) for item in value]
    if isinstance(value, int) and not isinstance(value, bool):
        return str(value)
    return value
