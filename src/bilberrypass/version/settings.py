"""The settings of a process: read from JSON, and validated as a whole."""

import collections.abc as abc
import functools
import ipaddress
import json
import pathlib
import typing as t

import pydantic
import typing_extensions as te

from bilberrypass import errors
from bilberrypass.version import validation

NAME_PATTERN: t.Final = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
_STRICT = pydantic.ConfigDict(extra="forbid", strict=True)


def check_address(value: str) -> str:
    """Return the address if it is an IP number and port; else raise ValueError."""
    host, _, port = value.rpartition(":")
    try:
        number = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError(
            f"{value!r} is no IP number and port; write it like 127.0.0.1:8080"
        ) from None
    if (number.version == 6) != host.startswith("["):
        raise ValueError(f"{value!r} is ambiguous; write IPv6 like [::1]:8080")
    if not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ValueError(f"{value!r} has no port from 0 to 65535; add one")
    return value


def _check_remote(value: str) -> str:
    check_address(value)
    if split_address(value)[1] == 0:
        raise ValueError(f"{value!r} has port 0; name the port of its listener")
    return value


def _is_unspecified(address: str) -> bool:
    return ipaddress.ip_address(split_address(address)[0]).is_unspecified


def _check_advertised(value: str) -> str:
    check_address(value)
    if _is_unspecified(value):
        raise ValueError(
            f"{value!r} is sent to other processes; write this host's own IP number"
        )
    return value


Address = t.Annotated[str, pydantic.AfterValidator(check_address)]
RemoteAddress = t.Annotated[str, pydantic.AfterValidator(_check_remote)]
AdvertisedAddress = t.Annotated[str, pydantic.AfterValidator(_check_advertised)]
Name = t.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Hex = t.Annotated[str, pydantic.Field(pattern=r"^([0-9a-f]{2}){8,64}$")]
Seconds = t.Annotated[float, pydantic.Field(gt=0, le=86_400)]
Count = t.Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
Threads = t.Annotated[int, pydantic.Field(ge=1, le=2_000)]
Shards = t.Annotated[int, pydantic.Field(ge=1, le=1_000)]
# A body is only a part of a message between processes, which is limited to 64 MB.
Bytes = t.Annotated[int, pydantic.Field(ge=1, le=32 << 20)]


class Logs(te.TypedDict, total=False):
    """The level and format of the log."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    level: t.Annotated[
        t.Literal["debug", "info", "warning", "error"], "least level written"
    ]
    json_lines: t.Annotated[bool, "one JSON object a line instead of text"]


class Metrics(te.TypedDict, total=False):
    """The destination and the name prefix of metrics."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    statsd: t.Annotated[
        RemoteAddress, "address of a statsd server; left out: no metrics"
    ]
    prefix: t.Annotated[Name, "first part of each metric's name"]


class Traces(te.TypedDict, total=False):
    """The exporter of trace spans."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    exporter: t.Annotated[
        t.Literal["none", "stderr"], "where spans go; none costs nothing"
    ]


class Store(te.TypedDict, total=False):
    """The adapter for the platform's store, and its addresses and key prefix."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    kind: te.Required[
        t.Annotated[t.Literal["etcd", "memory"], "the adapter; memory is for local"]
    ]
    addresses: t.Annotated[list[RemoteAddress], "addresses of the store's HTTP gateway"]
    prefix: t.Annotated[str, "first part of each key"]


class Worker(te.TypedDict, total=False):
    """The adapter for the host's worker, and its address."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    kind: te.Required[
        t.Annotated[
            t.Literal["http"],
            "the adapter; without `worker` the host runs no tasks",
        ]
    ]
    address: te.Required[t.Annotated[RemoteAddress, "address of the worker"]]


class OperatorToken(te.TypedDict):
    """A bearer token of an operator, stored as a salted hash."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    name: t.Annotated[Name, "who holds the token"]
    role: t.Annotated[t.Literal["read", "write"], "what it may do"]
    salt: t.Annotated[Hex, "random salt, hexadecimal"]
    hash: t.Annotated[Hex, "scrypt hash of the token, hexadecimal"]


class Entry(te.TypedDict, total=False):
    """The settings of ``bilberrypassd entry``."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    id: te.Required[t.Annotated[Name, "name of this entry, unlike all others"]]
    region: t.Annotated[Name, "region that it stands in"]
    failure_domain: te.Required[t.Annotated[Name, "failure domain that it stands in"]]
    callers: te.Required[t.Annotated[Address, "address for callers, HTTP"]]
    operators: te.Required[t.Annotated[Address, "address for operators, HTTP"]]
    peers: te.Required[
        t.Annotated[AdvertisedAddress, "address for agents and entries, gRPC"]
    ]
    store: te.Required[Store]
    operator_tokens: t.Annotated[list[OperatorToken], "tokens of the operators"]
    max_body_bytes: t.Annotated[Bytes, "largest body of a request or an answer"]
    max_requests: t.Annotated[Threads, "requests in progress at once"]
    request_timeout_s: t.Annotated[Seconds, "deadline of a request that names none"]
    silence_s: t.Annotated[Seconds, "silence after which an agent is left out"]
    shards: t.Annotated[Shards, "job page shards; the same at all entries"]
    routing: t.Annotated[
        t.Literal["least_wait", "random", "round_robin"],
        "how endpoints are chosen; the others are baselines for measuring",
    ]
    member_ttl_s: t.Annotated[Count, "life of the entry's lease in the store"]
    task_lease_s: t.Annotated[Seconds, "life of a task's lease without renewal"]
    leave_wait_s: t.Annotated[Seconds, "wait before a leaving entry stops listening"]
    logs: Logs
    metrics: Metrics
    traces: Traces


class Agent(te.TypedDict, total=False):
    """The settings of ``bilberrypassd agent``."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    id: te.Required[t.Annotated[Name, "name of the host, unlike all others"]]
    region: t.Annotated[Name, "region that it stands in"]
    failure_domain: te.Required[t.Annotated[Name, "failure domain that it stands in"]]
    rack: t.Annotated[Name, "rack that it stands in"]
    peers: te.Required[t.Annotated[Address, "address for entries, gRPC"]]
    advertised: t.Annotated[
        RemoteAddress, "address that entries use, if not that of peers"
    ]
    announcements: te.Required[t.Annotated[Address, "address for endpoints, HTTP"]]
    entries: te.Required[
        t.Annotated[
            list[RemoteAddress],
            pydantic.Field(min_length=1),
            "peer addresses of entries to begin with",
        ]
    ]
    worker: Worker
    max_body_bytes: t.Annotated[Bytes, "largest body of a request or an answer"]
    report_interval_s: t.Annotated[Seconds, "time between two reports to an entry"]
    silence_s: t.Annotated[Seconds, "silence after which an endpoint is left out"]
    max_queued: t.Annotated[Count, "requests that wait for a slot at an endpoint"]
    leave_wait_s: t.Annotated[Seconds, "wait before a leaving agent stops listening"]
    logs: Logs
    metrics: Metrics
    traces: Traces


ENTRY_DEFAULTS: t.Final[Entry] = t.cast(
    Entry,
    {
        "region": "default",
        "store": {"prefix": "/bilberrypass/"},
        "operator_tokens": [],
        "max_body_bytes": 4 << 20,
        "max_requests": 128,
        "request_timeout_s": 30.0,
        "silence_s": 3.0,
        "shards": 8,
        "routing": "least_wait",
        "member_ttl_s": 10,
        "task_lease_s": 300.0,
        "leave_wait_s": 2.0,
        "logs": {"level": "info", "json_lines": False},
        "metrics": {"prefix": "bilberrypass"},
        "traces": {"exporter": "none"},
    },
)

AGENT_DEFAULTS: t.Final[Agent] = t.cast(
    Agent,
    {
        "region": "default",
        "rack": "default",
        "max_body_bytes": 4 << 20,
        "report_interval_s": 1.0,
        "silence_s": 3.0,
        "max_queued": 64,
        "leave_wait_s": 3.0,
        "logs": {"level": "info", "json_lines": False},
        "metrics": {"prefix": "bilberrypass"},
        "traces": {"exporter": "none"},
    },
)

check = validation.check


@functools.cache
def _adapter(role: type) -> pydantic.TypeAdapter[t.Any]:
    """Create an adapter on first use, since each takes about a megabyte of memory."""
    return pydantic.TypeAdapter(role)


def _with_defaults(value: t.Any, defaults: abc.Mapping[str, t.Any]) -> t.Any:
    merged = dict(defaults) | dict(value)
    for part, default in defaults.items():
        if isinstance(default, dict):
            merged[part] = default | value.get(part, {})
    return merged


def check_entry(value: object, *, is_local: bool = False) -> Entry:
    """Validate an entry's settings, and return them with defaults filled in.

    Parameters
    ----------
    value : object
        Settings as read from JSON.
    is_local : bool, optional
        Whether the in-memory store is allowed.

    Raises
    ------
    errors.Invalid
        INVALID_SETTINGS with all faults by JSON path.
    """
    faults = _find_address_clashes(value) + _find_store_faults(value, is_local)
    return _with_defaults(_check_settings(Entry, value, faults), ENTRY_DEFAULTS)


def check_agent(value: object) -> Agent:
    """Validate an agent's settings, and return them with defaults filled in."""
    faults = _find_address_clashes(value) + _find_agent_address_faults(value)
    return _with_defaults(_check_settings(Agent, value, faults), AGENT_DEFAULTS)


def _check_settings(role: type, value: object, other_faults: list[str]) -> t.Any:
    """Validate settings, and report faults between keys along with those found here."""
    kind = errors.Kind.INVALID_SETTINGS
    try:
        checked = validation.check(_adapter(role), value, kind)
    except errors.Invalid as exc:
        raise errors.Invalid(kind, exc.faults + other_faults) from None
    if other_faults:
        raise errors.Invalid(kind, other_faults)
    return checked


def _find_address_clashes(value: object) -> list[str]:
    if not isinstance(value, dict):
        return []
    faults = []
    taken: dict[object, str] = {}
    for key in ("callers", "operators", "peers", "announcements"):
        address = value.get(key)
        if not isinstance(address, str) or address.endswith(":0"):
            continue
        if address in taken:
            faults.append(f"{key}: is the same as {taken[address]}; use another port")
        taken.setdefault(address, key)
    return faults


def _find_agent_address_faults(value: object) -> list[str]:
    """Return a fault if entries cannot use the address that is sent to them."""
    if not isinstance(value, dict):
        return []
    key = "advertised" if "advertised" in value else "peers"
    try:
        is_usable = not _is_unspecified(check_address(value[key]))
    except (ValueError, KeyError, AttributeError):
        # The validation of the key itself reports this fault.
        return []
    if is_usable:
        return []
    return [
        f"{key}: {value[key]!r} is sent to the entries; "
        "set advertised to an address that they can reach"
    ]


def _find_store_faults(value: object, is_local: bool) -> list[str]:
    store = value.get("store") if isinstance(value, dict) else None
    if not isinstance(store, dict):
        return []
    if store.get("kind") == "etcd" and store.get("addresses", []) == []:
        return ["store.addresses: is empty; name the addresses of the store's gateway"]
    if store.get("kind") == "memory" and not is_local:
        return ["store.kind: 'memory' is for `bilberrypassd local`; write 'etcd'"]
    return []


def find_role(value: object) -> t.Literal["entry", "agent"]:
    """Return the role that settings are for, by the keys that only one role has.

    Raises
    ------
    errors.Invalid
        INVALID_SETTINGS if the value is not an object, or if its keys fit neither
        role or both equally.
    """
    if not isinstance(value, dict):
        raise errors.Invalid(
            errors.Kind.INVALID_SETTINGS,
            ["(whole): is not a JSON object; write the settings as {...}"],
        )
    entry_keys, agent_keys = set(Entry.__annotations__), set(Agent.__annotations__)
    entry_matches = len(value.keys() & (entry_keys - agent_keys))
    agent_matches = len(value.keys() & (agent_keys - entry_keys))
    if entry_matches == agent_matches:
        raise errors.Invalid(
            errors.Kind.INVALID_SETTINGS,
            ["(whole): the keys fit no role, or both; name the role with --role"],
        )
    return "entry" if entry_matches > agent_matches else "agent"


def read(path: pathlib.Path) -> object:
    """Read a settings file, and return the decoded JSON without validation.

    Raises
    ------
    errors.Invalid
        INVALID_SETTINGS if the file cannot be read, is not JSON or repeats a key.
    """
    try:
        return json.loads(
            path.read_text(),
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
        )
    except OSError as exc:
        fault = f"{path}: cannot be read ({exc.strerror}); name an existing file"
    except (ValueError, RecursionError) as exc:
        fault = f"{path}: is not JSON ({exc}); correct it there"
    raise errors.Invalid(errors.Kind.INVALID_SETTINGS, [fault])


def _reject_duplicate_keys(pairs: list[tuple[str, t.Any]]) -> dict[str, t.Any]:
    found: dict[str, t.Any] = {}
    for key, value in pairs:
        if key in found:
            raise ValueError(f"key {key!r} is duplicated")
        found[key] = value
    return found


def _reject_constant(text: str) -> t.NoReturn:
    raise ValueError(f"{text} is not a JSON number")


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into the IP number, without brackets, and the port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
