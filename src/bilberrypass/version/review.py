"""Review of a proposed configuration: what is wrong with it, and what it changes."""

import collections.abc as abc
import datetime
import enum
import typing as t

from bilberrypass import errors
from bilberrypass.version import configuration, schema

_FLEET_WIDE_KEYS: t.Final = ("limits.max_exceptions",)
_PLACE_KEYS: t.Final = ("host", "rack", "failure_domain", "region")
_WEIGHTS: t.Final = ("tail_latency", "throughput", "evictions")


class Kind(enum.StrEnum):
    """What a finding is about."""

    ERROR = "error"
    NEVER_MATCHES = "never matches"
    CONTRADICTION = "contradiction"
    CHANGE = "change"


class Finding(t.NamedTuple):
    """One finding; ``path`` is the JSON path that it is about."""

    kind: Kind
    path: str
    detail: str


class Host(t.NamedTuple):
    """What the review knows of a host; ``tasks`` is the number that run there."""

    id: str
    rack: str
    failure_domain: str
    region: str
    cpu_milli: int
    memory_bytes: int
    accelerators: int
    tasks: int


def review(
    value: object,
    current: configuration.Document,
    today: datetime.date,
    fleet: abc.Sequence[Host] = (),
) -> list[Finding]:
    """Return what operators should know of a proposal before they send it.

    Parameters
    ----------
    value : object
        The decoded JSON of the proposal.
    current : configuration.Document
        The revision in force, or another one to compare with.
    today : datetime.date
        The current date in UTC.
    fleet : sequence of Host
        The known hosts; without any, nothing is said about them.
    """
    try:
        proposal = configuration.check(value, current, today)
    except errors.Invalid as exc:
        return [_read_fault(fault) for fault in exc.faults]
    proposed = configuration.build_next_revision(current, proposal, "", 0.0, "")
    return [
        *_find_unmatched(proposal["exceptions"], today, fleet),
        *_find_contradictions(proposed, today, fleet),
        *_find_changes(current, proposed, today, fleet),
    ]


def _read_fault(fault: str) -> Finding:
    path, _, detail = fault.partition(": ")
    return Finding(Kind.ERROR, path, detail)


def _find_unmatched(
    exceptions: abc.Sequence[schema.Exemption],
    today: datetime.date,
    fleet: abc.Sequence[Host],
) -> abc.Iterator[Finding]:
    """Yield the exceptions, or parts of them, that can never take effect."""
    for index, exemption in enumerate(exceptions):
        path = f"exceptions[{index}]"
        match, keys = exemption["match"], set(configuration.flatten(exemption["set"]))
        if not configuration.is_in_force(exemption, today):
            detail = f"expired on {exemption['expires']}; remove it"
            yield Finding(Kind.NEVER_MATCHES, path, detail)
            continue
        places = {key: match[key] for key in _PLACE_KEYS if key in match}
        if places and fleet and not any(_is_at(host, places) for host in fleet):
            wanted = ", ".join(f"{key} {name}" for key, name in places.items())
            detail = f"no host has {wanted}; correct the match"
            yield Finding(Kind.NEVER_MATCHES, f"{path}.match", detail)
        for key in sorted(keys.intersection(_FLEET_WIDE_KEYS)):
            detail = "holds for the whole fleet; set it in defaults"
            yield Finding(Kind.NEVER_MATCHES, f"{path}.set.{key}", detail)
        for later, other in enumerate(exceptions[index + 1 :], index + 1):
            is_wider = other["match"].items() <= match.items()
            is_kept = configuration.is_in_force(other, today)
            if (
                is_wider
                and is_kept
                and keys <= set(configuration.flatten(other["set"]))
            ):
                detail = f"exceptions[{later}] sets the same wherever this one matches"
                yield Finding(Kind.NEVER_MATCHES, path, detail)
                break


def _is_at(host: Host, places: abc.Mapping[str, str]) -> bool:
    names = host._asdict() | {"host": host.id}
    return all(names[key] == name for key, name in places.items())


def _find_contradictions(
    document: configuration.Document,
    today: datetime.date,
    fleet: abc.Sequence[Host],
) -> abc.Iterator[Finding]:
    """Yield values that contradict each other, in the defaults and each exception."""
    scopes = [("defaults", configuration.FLEET_WIDE)]
    for index, exemption in enumerate(document.exceptions):
        if configuration.is_in_force(exemption, today):
            subject = configuration.Subject(**exemption["match"])
            scopes.append((f"exceptions[{index}].set", subject))
    for path, subject in scopes:
        values = configuration.resolve(document, subject, today)
        for finding in _find_conflicts(path, values, fleet):
            if path == "defaults" or _is_new(finding, document, today, fleet):
                yield finding


def _is_new(
    finding: Finding,
    document: configuration.Document,
    today: datetime.date,
    fleet: abc.Sequence[Host],
) -> bool:
    """Return whether an exception causes a conflict that the defaults don't have."""
    values = configuration.resolve(document, configuration.FLEET_WIDE, today)
    found = _find_conflicts("defaults", values, fleet)
    return finding.detail not in {other.detail for other in found}


def _find_conflicts(
    path: str, values: configuration.Values, fleet: abc.Sequence[Host]
) -> abc.Iterator[Finding]:
    def conflict(key: str, detail: str) -> Finding:
        return Finding(Kind.CONTRADICTION, f"{path}.{key}", detail)

    may_evict = values.evictions_per_hour > 0 or not values.eviction_budget
    if not may_evict and not values.throttle_on_disturbance:
        yield conflict(
            "limits.evictions_per_hour",
            "is 0 and guards.throttle_on_disturbance is off: nothing protects "
            "services from batch work",
        )
    if not may_evict and values.evictions == 0:
        yield conflict(
            "weights.evictions",
            "is 0, as if evictions cost nothing, but limits.evictions_per_hour "
            "allows none",
        )
    if not any(getattr(values, weight) for weight in _WEIGHTS):
        yield conflict("weights", "are all 0: placement has nothing to balance")
    total, unlimited = _total_capacity(fleet), configuration.UNLIMITED._asdict()
    for team, quota in sorted(values.quotas.items()):
        for key, amount in quota._asdict().items():
            if amount == 0 and key in ("cpu_milli", "memory_bytes"):
                yield conflict(
                    f"quotas.{team}.{key}", "is 0: no task of the team can ever run"
                )
            elif fleet and total[key] < amount < unlimited[key]:
                yield conflict(
                    f"quotas.{team}.{key}",
                    f"is {amount}, more than all hosts hold ({total[key]}): it "
                    "limits nothing",
                )


def _total_capacity(fleet: abc.Sequence[Host]) -> dict[str, int]:
    keys = ("cpu_milli", "memory_bytes", "accelerators")
    return {key: sum(getattr(host, key) for host in fleet) for key in keys}


def _find_changes(
    current: configuration.Document,
    proposed: configuration.Document,
    today: datetime.date,
    fleet: abc.Sequence[Host],
) -> abc.Iterator[Finding]:
    """Yield the differences, and what they do to hosts that are drained or returned."""
    for change in configuration.diff(current, proposed):
        detail = f"{_describe(change.old)} -> {_describe(change.new)}"
        yield Finding(Kind.CHANGE, change.path, detail)
    for host in fleet:
        subject = configuration.Subject(
            host.id, host.rack, host.failure_domain, host.region
        )
        was, becomes = (
            configuration.resolve(document, subject, today).drain
            for document in (current, proposed)
        )
        if becomes and not was:
            detail = f"is drained: {host.tasks} tasks run there, and no new one starts"
            yield Finding(Kind.CHANGE, f"host {host.id}", detail)
        elif was and not becomes:
            yield Finding(Kind.CHANGE, f"host {host.id}", "is no longer drained")


def _describe(value: object) -> str:
    if value is None:
        return "not set"
    if isinstance(value, dict) and "match" in value:
        return f"{value['match']} sets {configuration.flatten(value['set'])}"
    return str(value)
