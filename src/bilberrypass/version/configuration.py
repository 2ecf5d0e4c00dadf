"""The configuration: defaults of the whole fleet, and a short list of exceptions.

A document is one accepted revision, stored as one value. The values that apply to
one host, service or team are resolved from it.
"""

import collections.abc as abc
import datetime
import typing as t

import msgspec
import pydantic

from bilberrypass import errors, resources
from bilberrypass.version import schema, settings

_MAX_DOCUMENT_BYTES: t.Final = 512 << 10
_MAX_HISTORY_RECORDS: t.Final = 50
_MAX_HISTORY_BYTES: t.Final = 64 << 10
_MAX_CHANGE_BYTES: t.Final = 2_000


class Change(t.NamedTuple):
    """One path that a revision changed; None stands for a missing value."""

    path: str
    old: t.Any
    new: t.Any


class Record(t.NamedTuple):
    """One revision in the history; ``write`` identifies its write uniquely."""

    revision: int
    author: str
    time: float
    note: str
    write: str
    changes: list[Change]


class Document(t.NamedTuple):
    """One accepted revision.

    ``is_whole`` is false for a part that holds only the exceptions for some hosts;
    ``places`` are then the indexes of these exceptions in the whole list.
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
    """What values are resolved for.

    An exception that matches on a field does not apply while that field is empty.
    """

    host: str = ""
    rack: str = ""
    failure_domain: str = ""
    region: str = ""
    service: str = ""
    team: str = ""


FLEET_WIDE: t.Final = Subject()
"""The subject without any field set, for which the defaults apply."""


class Values(t.NamedTuple):
    """The values that apply to a subject; ``drain`` is a reason or empty."""

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


BUILT_IN_DEFAULTS: t.Final[schema.Defaults] = {
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

INITIAL: t.Final = Document(0, "", 0.0, "", BUILT_IN_DEFAULTS, [])
"""The document in force before the first configuration is written."""

_PROPOSAL: t.Final = pydantic.TypeAdapter(schema.Proposal)
UNLIMITED: t.Final = resources.Demand(1 << 40, 1 << 60, 1 << 20)
_HOST_MATCH_KEYS: t.Final = ("host", "rack", "failure_domain", "region")


def check(value: object, current: Document, today: datetime.date) -> schema.Proposal:
    """Validate a whole proposal, and return it with missing defaults filled in.

    Parameters
    ----------
    value : object
        The decoded JSON.
    current : Document
        The revision to replace; exceptions that it holds already may have expired.
    today : datetime.date
        The current date in UTC.

    Raises
    ------
    errors.Invalid
        INVALID_CONFIG with all faults by JSON path.
    """
    proposal = settings.check(_PROPOSAL, value, errors.Kind.INVALID_CONFIG)
    defaults = fill_in(proposal["defaults"])
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
            yield f"{path}.expires: {exemption['expires']} is in the past; remove it"
        if "drain" in exemption["set"] and "host" not in exemption["match"]:
            yield f"{path}.set.drain: needs match.host; drain one host at a time"
        for key in flatten(exemption["set"]):
            match_and_key = (*sorted(exemption["match"].items()), key)
            first = seen.setdefault(match_and_key, index)
            if first != index:
                yield f"{path}.set.{key}: set by exceptions[{first}] for the same match"


def is_in_force(exemption: schema.Exemption, today: datetime.date) -> bool:
    """Return whether an exception has not expired; the last day is included."""
    expires = exemption.get("expires")
    return expires is None or today <= datetime.date.fromisoformat(expires)


def today() -> datetime.date:
    """Return the current date in UTC, which decides the expiry of exceptions."""
    return datetime.datetime.now(datetime.UTC).date()


def build_next_revision(
    current: Document, proposal: schema.Proposal, author: str, now: float, write: str
) -> Document:
    """Return the document of the next revision, with its record in the history.

    Parameters
    ----------
    current : Document
        The revision to replace.
    proposal : schema.Proposal
        A validated proposal.
    author : str
        The author of the proposal.
    now : float
        Unix time in seconds.
    write : str
        Unique identifier of this write.
    """
    exceptions = [{"author": author} | e for e in proposal["exceptions"]]
    document = Document(
        current.revision + 1,
        author,
        now,
        write,
        proposal["defaults"],
        t.cast("list[schema.Exemption]", exceptions),
    )
    note = proposal.get("note", "")
    changes = [_shorten(change) for change in diff(current, document)]
    record = Record(document.revision, author, now, note, write, changes)
    return document._replace(history=_limit_history([record, *current.history]))


def _shorten(change: Change) -> Change:
    size = len(msgspec.json.encode(change))
    return change if size <= _MAX_CHANGE_BYTES else Change(change.path, "...", "...")


def _limit_history(history: list[Record]) -> list[Record]:
    """Return the newest records that fit the limits of the history, at least one."""
    kept: list[Record] = []
    size = 0
    for record in history[:_MAX_HISTORY_RECORDS]:
        size += len(msgspec.json.encode(record))
        if kept and size > _MAX_HISTORY_BYTES:
            break
        kept.append(record)
    return kept


def diff(old: Document, new: Document) -> list[Change]:
    """Return the differences between two documents, by path."""
    before, after = flatten(old.defaults), flatten(new.defaults)
    changes = [
        Change(f"defaults.{path}", before.get(path), after.get(path))
        for path in sorted(before.keys() | after.keys())
        if before.get(path) != after.get(path)
    ]
    removed = [e for e in old.exceptions if e not in new.exceptions]
    added = [e for e in new.exceptions if e not in old.exceptions]
    changes += [
        Change(f"exceptions[{old.exceptions.index(e)}]", e, None) for e in removed
    ]
    changes += [
        Change(f"exceptions[{new.exceptions.index(e)}]", None, e) for e in added
    ]
    if not changes and old.exceptions != new.exceptions:
        changes.append(Change("exceptions", "another order", "this order"))
    return changes


def flatten(value: abc.Mapping[str, t.Any], path: str = "") -> dict[str, t.Any]:
    """Return the leaves of nested mappings by their dotted paths."""
    flat: dict[str, t.Any] = {}
    for key, part in value.items():
        if isinstance(part, dict):
            flat |= flatten(part, f"{path}{key}.")
        else:
            flat[f"{path}{key}"] = part
    return flat


def _overlay(base: abc.Mapping[str, t.Any], top: abc.Mapping[str, t.Any]) -> t.Any:
    merged = dict(base)
    for key, part in top.items():
        under = merged.get(key)
        are_mappings = isinstance(part, dict) and isinstance(under, dict)
        merged[key] = _overlay(under, part) if are_mappings else part
    return merged


def fill_in(defaults: schema.Defaults) -> schema.Defaults:
    """Return defaults with the built-in values for what they leave out."""
    return t.cast(schema.Defaults, _overlay(BUILT_IN_DEFAULTS, defaults))


def resolve(document: Document, subject: Subject, today: datetime.date) -> Values:
    """Return the values that apply to a subject; later exceptions take precedence."""
    merged: t.Any = _overlay(BUILT_IN_DEFAULTS, document.defaults)
    drain = ""
    for exemption in document.exceptions:
        if not is_in_force(exemption, today):
            continue
        if not _matches(exemption["match"], subject):
            continue
        merged = _overlay(merged, exemption["set"])
        if "drain" in exemption["set"]:
            drain = exemption["reason"] if exemption["set"]["drain"] else ""
    quotas = {team: _make_quota(quota) for team, quota in merged["quotas"].items()}
    return Values(
        **merged["guards"],
        **merged["weights"],
        **merged["limits"],
        quotas=quotas,
        drain=drain,
    )


def _make_quota(quota: schema.Quota) -> resources.Demand:
    return resources.Demand(**(UNLIMITED._asdict() | quota))


def _matches(match: schema.Match, subject: Subject) -> bool:
    return all(getattr(subject, key) == value for key, value in match.items())


def extract_part(document: Document, host: Subject) -> Document:
    """Return the part of a document with the exceptions that may apply to a host."""
    chosen = [
        (place, exemption)
        for place, exemption in enumerate(document.exceptions)
        if _may_apply(exemption["match"], host)
    ]
    return document._replace(
        exceptions=[exemption for _, exemption in chosen],
        history=[],
        is_whole=False,
        places=[place for place, _ in chosen],
    )


def _may_apply(match: schema.Match, host: Subject) -> bool:
    return all(
        getattr(host, key) == value
        for key, value in match.items()
        if key in _HOST_MATCH_KEYS
    )


def merge_parts(one: Document, other: Document) -> Document:
    """Merge two parts of the same revision; a whole document is returned unchanged."""
    if one.is_whole or other.is_whole:
        return one if one.is_whole else other
    merged = dict(zip(other.places, other.exceptions, strict=True))
    merged |= zip(one.places, one.exceptions, strict=True)
    places = sorted(merged)
    return one._replace(exceptions=[merged[p] for p in places], places=places)


def encode(document: Document) -> bytes:
    """Encode a document as JSON."""
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
    """Decode a document from JSON.

    Raises
    ------
    errors.Error
        INVALID_CONFIG if the bytes do not hold a document.
    """
    try:
        return Document(*t.cast(t.Any, _DECODER.decode(value)))
    except msgspec.MsgspecError as exc:
        raise errors.Error(
            errors.Kind.INVALID_CONFIG,
            f"the stored configuration cannot be decoded ({exc}); upgrade this process",
        ) from None
