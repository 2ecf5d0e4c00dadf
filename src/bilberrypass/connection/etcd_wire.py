"""The messages of etcd v3's JSON gateway that the store uses.

Fields that hold their type's default are left out of answers. Bytes travel in
Base64 and 64-bit integers as strings.
"""

import typing as t

import msgspec

PUT: t.Final = "PUT"
DELETE: t.Final = "DELETE"

_Answer = t.TypeVar("_Answer")


class Header(t.TypedDict, total=False):
    """What each answer begins with; ``revision`` is the store's newest."""

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
    """One step of a transaction."""

    request_range: RangeRequest
    request_put: PutRequest
    request_delete_range: RangeRequest


class TxnRequest(t.TypedDict, total=False):
    """Steps to take where the conditions hold, and where they don't."""

    compare: list[Compare]
    success: list[RequestOp]
    failure: list[RequestOp]


class RangeAnswer(t.TypedDict, total=False):
    """The items found."""

    header: Header
    kvs: list[KeyValue]
    count: int


class ResponseOp(t.TypedDict, total=False):
    """The answer to one step of a transaction."""

    response_range: RangeAnswer


class TxnAnswer(t.TypedDict, total=False):
    """Whether the conditions held, and the answers to the steps taken."""

    header: t.Required[Header]
    succeeded: bool
    responses: list[ResponseOp]


class LeaseRequest(t.TypedDict, total=False):
    """A lease to grant, renew or revoke."""

    ID: int
    TTL: int


class LeaseAnswer(t.TypedDict, total=False):
    """A lease with its seconds left, none if it has lapsed."""

    header: Header
    ID: int
    TTL: int


class KeepAliveAnswer(t.TypedDict, total=False):
    """The one line of a renewal's stream."""

    result: LeaseAnswer


class RevokeAnswer(t.TypedDict, total=False):
    """The answer to a revocation."""

    header: Header


class WatchCreate(t.TypedDict, total=False):
    """The keys to watch, and the first revision wanted."""

    key: t.Required[bytes]
    range_end: bytes
    start_revision: int
    progress_notify: bool


class WatchRequest(t.TypedDict, total=False):
    """The one message that opens a watch."""

    create_request: t.Required[WatchCreate]


class Event(t.TypedDict, total=False):
    """A change; a missing type is ``PUT``."""

    type: str
    kv: t.Required[KeyValue]


class WatchResult(t.TypedDict, total=False):
    """One message of a watch; neither created nor with events: progress."""

    header: Header
    created: bool
    canceled: bool
    compact_revision: int
    events: list[Event]


class WatchLine(t.TypedDict, total=False):
    """One line of a watch's stream."""

    result: WatchResult
    error: t.Any


def encode(message: t.Any) -> bytes:
    """Return a message as JSON."""
    return msgspec.json.encode(_with_text_integers(msgspec.to_builtins(message)))


def decode(data: bytes, answer: type[_Answer]) -> _Answer:
    """Return an answer from JSON; raises ``msgspec.MsgspecError``."""
    return msgspec.json.decode(data, type=answer, strict=False)


def range_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with the prefix."""
    head = prefix.rstrip(b"\xff")
    if not head:
        return b"\0"
    return head[:-1] + bytes([head[-1] + 1])


def _with_text_integers(value: t.Any) -> t.Any:
    if isinstance(value, dict):
        return {key: _with_text_integers(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_with_text_integers(item) for item in value]
    if isinstance(value, int) and not isinstance(value, bool):
        return str(value)
    return value
