"""The configuration: defaults of the whole fleet, and a short list of exceptions.

A document is one accepted revision, kept as one value of the store. What holds for
one host, service or team is resolved from it.
"""

import collections.abc as abc
import datetime
import typing as t

import msgspec
import pydantic

from bilberrypass import errors, resources
from bilberrypass.version import schema, settings

_MAX_DOCUMENT_BYTES: t.Final = 512 << 10
_HISTORY_RECORDS: t.Final = 50
_HISTORY_BYTES: t.Final = 64 << 10
_MAX_VALUE_CHARS: t.Final = 2_000


class Change(t.NamedTuple):
    """One path that a revision changed; None where there was or is nothing."""

    path: str
    old: t.Any
    new: t.Any


class Record(t.NamedTuple):
    """One revision in the history; ``write`` tells its write from any other."""

    revision: int
    author: str
    time: float
    note: str
    write: str
    changes: list[Change]


class Document(t.NamedTuple):
    """One accepted revision.

    ``is_whole`` is false for a part that holds only what concerns some hosts;
    ``places`` are then the places in the list that its exceptions came from.
    """

    revision: int
    author: str
    time: float
    write: str
    defaults: schema.Defaults
    exceptions: list[schema.Exemption]
    history: list[Record] = []
    is_whole: bool = True
    places: list[int] = []


class Subject(t.NamedTuple):
    """What values are asked for; a part left empty agrees with no exception."""

    host: str = ""
    rack: str = ""
    failure_domain: str = ""
    region: str = ""
    service: str = ""
    team: str = ""


FLEET: t.Final = Subject()
"""Nothing in particular: the defaults hold."""


class Values(t.NamedTuple):
    """The values that hold for a subject; ``drain`` is a reason or empty."""

    admission_limit: bool
    throttle_on_disturbance: bool
    set_aside_failing_workers: bool
    eviction_budget: bool
    tail_latency: float
    throughput: float
    evictions: float
    retry_budget_share: float
    claim_retention_s: float
    evictions_per_hour: int
    max_exceptions: int
    quotas: dict[str, resources.Demand]
    drain: str


BUILT_IN: t.Final[schema.Defaults] = {
    "guards": {
        "admission_limit": True,
        "throttle_on_disturbance": True,
        "set_aside_failing_workers": True,
        "eviction_budget": True,
    },
    "weights": {"tail_latency": 1.0, "throughput": 0.3, "evictions": 0.3},
    "limits": {
        "retry_budget_share": 0.2,
        "claim_retention_s": 86_400.0,
        "evictions_per_hour": 60,
        "max_exceptions": 100,
    },
    "quotas": {},
}

FIRST: t.Final = Document(0, "", 0.0, "", BUILT_IN, [])
"""What holds before anyone has written a configuration."""

_PROPOSAL: t.Final = pydantic.TypeAdapter(schema.Proposal)
_UNLIMITED: t.Final = resources.Demand(1 << 40, 1 << 60, 1 << 20)
_PLACE_KEYS: t.Final = ("host", "rack", "failure_domain", "region")


def check(value: object, current: Document, today: datetime.date) -> schema.Proposal:
    """Check a proposal whole, and fill in the defaults that it leaves out.

    Parameters
    ----------
    value : object
        The decoded JSON.
    current : Document
        The revision that it is to replace; what stands there may have expired.
    today : datetime.date
        The day in UTC.

    Raises
    ------
    errors.Invalid
        INVALID_CONFIG with every fault by its JSON path.
    """
    proposal = settings.check(_PROPOSAL, value, errors.Kind.INVALID_CONFIG)
    defaults = _overlay(BUILT_IN, proposal["defaults"])
    faults = list(_find_faults(defaults, proposal["exceptions"], current, today))
    if len(msgspec.json.encode(proposal)) > _MAX_DOCUMENT_BYTES:
        faults.append(f"(whole): is over {_MAX_DOCUMENT_BYTES} bytes; shorten it")
    if faults:
        raise errors.Invalid(errors.Kind.INVALID_CONFIG, faults)
    return t.cast(schema.Proposal, proposal | {"defaults": defaults})


def _find_faults(
    defaults: schema.Defaults,
    exceptions: list[schema.Exemption],
    current: Document,
    today: datetime.date,
) -> abc.Iterator[str]:
    limit = defaults["limits"]["max_exceptions"]
    if len(exceptions) > limit:
        yield (
            f"exceptions: {len(exceptions)} are more than "
            f"defaults.limits.max_exceptions ({limit}); make one a default"
        )
    seen: dict[tuple[t.Any, ...], int] = {}
    for index, exemption in enumerate(exceptions):
        path = f"exceptions[{index}]"
        if not exemption["match"]:
            yield f"{path}.match: is empty; name a host, rack, service or team"
        if not exemption["set"]:
            yield f"{path}.set: is empty; say what differs, or remove it"
        if not is_in_force(exemption, today) and exemption not in current.exceptions:
            yield f"{path}.expires: {exemption['expires']} is over; remove it"
        if "drain" in exemption["set"] and "host" not in exemption["match"]:
            yield f"{path}.set.drain: needs match.host; drain one host at a time"
        for key in _flatten(exemption["set"]):
            place = (*sorted(exemption["match"].items()), key)
            first = seen.setdefault(place, index)
            if first != index:
                yield f"{path}.set.{key}: exceptions[{first}] sets it for the same"


def is_in_force(exemption: schema.Exemption, today: datetime.date) -> bool:
    """Tell whether an exception has not expired."""
    expires = exemption.get("expires")
    return expires is None or today <= datetime.date.fromisoformat(expires)


def today() -> datetime.date:
    """Return the day in UTC, by which exceptions expire."""
    return datetime.datetime.now(datetime.UTC).date()


def succeed(
    current: Document, proposal: schema.Proposal, author: str, now: float, write: str
) -> Document:
    """Return the document that follows the current one.

    Parameters
    ----------
    current : Document
        The revision to replace.
    proposal : schema.Proposal
        A checked proposal.
    author : str
        Who made it.
    now : float
        Unix time.
    write : str
        Identity of this write.
    """
    exceptions = [{"author": author} | e for e in proposal["exceptions"]]
    found = Document(
        current.revision + 1,
        author,
        now,
        write,
        proposal["defaults"],
        t.cast("list[schema.Exemption]", exceptions),
    )
    note = proposal.get("note", "")
    changes = [_shorten(change) for change in diff(current, found)]
    record = Record(found.revision, author, now, note, write, changes)
    return found._replace(history=_bound([record, *current.history]))


def _shorten(change: Change) -> Change:
    size = len(msgspec.json.encode(change))
    return change if size <= _MAX_VALUE_CHARS else Change(change.path, "...", "...")


def _bound(history: list[Record]) -> list[Record]:
    """Return the newest records that fit the room of the history."""
    kept: list[Record] = []
    size = 0
    for record in history[:_HISTORY_RECORDS]:
        size += len(msgspec.json.encode(record))
        if kept and size > _HISTORY_BYTES:
            break
        kept.append(record)
    return kept


def diff(old: Document, new: Document) -> list[Change]:
    """Return what differs between two documents, by path."""
    before, after = _flatten(old.defaults), _flatten(new.defaults)
    changes = [
        Change(f"defaults.{path}", before.get(path), after.get(path))
        for path in sorted(before.keys() | after.keys())
        if before.get(path) != after.get(path)
    ]
    gone = [e for e in old.exceptions if e not in new.exceptions]
    come = [e for e in new.exceptions if e not in old.exceptions]
    changes += [Change(f"exceptions[{old.exceptions.index(e)}]", e, None) for e in gone]
    changes += [Change(f"exceptions[{new.exceptions.index(e)}]", None, e) for e in come]
    if not changes and old.exceptions != new.exceptions:
        changes.append(Change("exceptions", "another order", "this order"))
    return changes


def _flatten(value: abc.Mapping[str, t.Any], path: str = "") -> dict[str, t.Any]:
    flat: dict[str, t.Any] = {}
    for key, part in value.items():
        if isinstance(part, dict):
            flat |= _flatten(part, f"{path}{key}.")
        else:
            flat[f"{path}{key}"] = part
    return flat


def _overlay(base: abc.Mapping[str, t.Any], top: abc.Mapping[str, t.Any]) -> t.Any:
    merged = dict(base)
    for key, part in top.items():
        under = merged.get(key)
        both = isinstance(part, dict) and isinstance(under, dict)
        merged[key] = _overlay(under, part) if both else part
    return merged


def resolve(document: Document, subject: Subject, today: datetime.date) -> Values:
    """Return the values that hold for a subject; a later exception wins."""
    merged: t.Any = _overlay(BUILT_IN, document.defaults)
    drain = ""
    for exemption in document.exceptions:
        if not is_in_force(exemption, today):
            continue
        if not _agrees(exemption["match"], subject):
            continue
        merged = _overlay(merged, exemption["set"])
        if "drain" in exemption["set"]:
            drain = exemption["reason"] if exemption["set"]["drain"] else ""
    quotas = {team: _quota(quota) for team, quota in merged["quotas"].items()}
    return Values(
        **merged["guards"],
        **merged["weights"],
        **merged["limits"],
        quotas=quotas,
        drain=drain,
    )


def _quota(quota: schema.Quota) -> resources.Demand:
    return resources.Demand(**(_UNLIMITED._asdict() | quota))


def _agrees(match: schema.Match, subject: Subject) -> bool:
    return all(getattr(subject, key) == value for key, value in match.items())


def part_for(document: Document, host: Subject) -> Document:
    """Return the part of a document that concerns one host."""
    chosen = [
        (place, exemption)
        for place, exemption in enumerate(document.exceptions)
        if _concerns(exemption["match"], host)
    ]
    return document._replace(
        exceptions=[exemption for _, exemption in chosen],
        history=[],
        is_whole=False,
        places=[place for place, _ in chosen],
    )


def _concerns(match: schema.Match, host: Subject) -> bool:
    return all(
        getattr(host, key) == value
        for key, value in match.items()
        if key in _PLACE_KEYS
    )


def join(one: Document, other: Document) -> Document:
    """Join two parts of the same revision; a whole document needs no other."""
    if one.is_whole or other.is_whole:
        return one if one.is_whole else other
    joined = dict(zip(other.places, other.exceptions, strict=True))
    joined |= zip(one.places, one.exceptions, strict=True)
    places = sorted(joined)
    return one._replace(exceptions=[joined[p] for p in places], places=places)


def encode(document: Document) -> bytes:
    """Write a document as bytes."""
    return msgspec.json.encode(document)


_DECODER: t.Final = msgspec.json.Decoder(
    tuple[
        int,
        str,
        float,
        str,
        dict[str, t.Any],
        list[dict[str, t.Any]],
        list[Record],
        bool,
        list[int],
    ]
)


def decode(value: bytes) -> Document:
    """Read a document from bytes.

    Raises
    ------
    errors.Error
        INVALID_CONFIG if the bytes are none.
    """
    try:
        return Document(*t.cast(t.Any, _DECODER.decode(value)))
    except msgspec.MsgspecError as exc:
        raise errors.Error(
            errors.Kind.INVALID_CONFIG,
            f"the stored configuration cannot be read ({exc}); upgrade this process",
        ) from None
