"""The settings of a process: read from JSON, checked whole."""

import collections.abc as abc
import difflib
import ipaddress
import json
import pathlib
import typing as t

import pydantic
import typing_extensions as te

from bilberrypass import errors

_STRICT = pydantic.ConfigDict(extra="forbid", strict=True)


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(
            f"{value!r} is no IP number and port; write it like 127.0.0.1:8080"
        ) from None
    if not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{value!r} has no port from 0 to 65535; add one")
    return value


Address = t.Annotated[str, pydantic.AfterValidator(_check_address)]
Name = t.Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Hex = t.Annotated[str, pydantic.Field(pattern=r"^([0-9a-f]{2}){8,64}$")]
Seconds = t.Annotated[float, pydantic.Field(gt=0, le=86_400)]
Count = t.Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
Bytes = t.Annotated[int, pydantic.Field(ge=1, le=1 << 30)]


class Logs(te.TypedDict, total=False):
    """How the process logs."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    level: t.Annotated[
        t.Literal["debug", "info", "warning", "error"], "least level written"
    ]
    json_lines: t.Annotated[bool, "one JSON object a line instead of text"]


class Metrics(te.TypedDict, total=False):
    """Where the process sends its metrics."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    statsd: t.Annotated[Address, "address of a statsd server; left out: no metrics"]
    prefix: t.Annotated[Name, "first part of each metric's name"]


class Traces(te.TypedDict, total=False):
    """How the process exports trace spans."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    exporter: t.Annotated[
        t.Literal["none", "stderr"], "where spans go; none costs nothing"
    ]


class Store(te.TypedDict, total=False):
    """How an entry reaches the platform's store."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    kind: te.Required[
        t.Annotated[t.Literal["etcd", "memory"], "the adapter; memory is for local"]
    ]
    addresses: t.Annotated[list[Address], "addresses of the store's HTTP gateway"]
    prefix: t.Annotated[str, "first part of each key"]


class Worker(te.TypedDict, total=False):
    """How an agent reaches its host's worker."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    kind: te.Required[t.Annotated[t.Literal["http"], "the adapter"]]
    address: te.Required[t.Annotated[Address, "address of the worker"]]


class OperatorToken(te.TypedDict):
    """A bearer token of an operator, kept as a salted hash."""

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
    peers: te.Required[t.Annotated[Address, "address for agents and entries, gRPC"]]
    store: te.Required[Store]
    operator_tokens: t.Annotated[list[OperatorToken], "tokens of the operators"]
    max_body_bytes: t.Annotated[Bytes, "largest body of a request or an answer"]
    max_requests: t.Annotated[Count, "requests in progress at once"]
    request_timeout_s: t.Annotated[Seconds, "deadline of a request that names none"]
    silence_s: t.Annotated[Seconds, "silence after which an agent is left out"]
    shards: t.Annotated[Count, "job page shards; the same at all entries"]
    routing: t.Annotated[
        t.Literal["least_wait", "random", "round_robin"],
        "how endpoints are chosen; the others are baselines for measuring",
    ]
    claim_retention_s: t.Annotated[
        float,
        pydantic.Field(ge=7_200, le=604_800),
        "how long an idempotency key is remembered",
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
    advertised: t.Annotated[Address, "address that entries use, if not that of peers"]
    announcements: te.Required[t.Annotated[Address, "address for endpoints, HTTP"]]
    entries: te.Required[
        t.Annotated[
            list[Address],
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
        "operator_tokens": [],
        "max_body_bytes": 4 << 20,
        "max_requests": 128,
        "request_timeout_s": 30.0,
        "silence_s": 3.0,
        "shards": 8,
        "routing": "least_wait",
        "claim_retention_s": 86_400.0,
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

_ENTRY: t.Final = pydantic.TypeAdapter(Entry)
_AGENT: t.Final = pydantic.TypeAdapter(Agent)


def format_path(loc: abc.Sequence[int | str]) -> str:
    """Write the place of a fault as a JSON path such as ``exceptions[2].reason``."""
    path = ""
    for part in loc:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.lstrip(".") or "(whole)"


def describe_fault(fault: abc.Mapping[str, t.Any], known: abc.Iterable[str]) -> str:
    """Write one fault of a pydantic check with its path and a remedy."""
    path = format_path(fault["loc"])
    if fault["type"] != "extra_forbidden":
        return f"{path}: {fault['msg'].removeprefix('Value error, ')}"
    near = difflib.get_close_matches(str(fault["loc"][-1]), list(known), 1, 0.6)
    hint = f"did you mean {near[0]!r}?" if near else "remove it"
    return f"{path}: unknown key; {hint}"


def check(
    adapter: pydantic.TypeAdapter[t.Any], value: object, kind: errors.Kind
) -> t.Any:
    """Check a value whole.

    Raises
    ------
    errors.Faulty
        Of the given kind, with every fault by its JSON path.
    """
    try:
        return adapter.validate_python(value)
    except pydantic.ValidationError as exc:
        known = _known_keys(adapter)
        faults = [describe_fault(fault, known) for fault in exc.errors()]
        raise errors.Faulty(kind, faults) from None


def _known_keys(adapter: pydantic.TypeAdapter[t.Any]) -> set[str]:
    schema = adapter.json_schema()
    parts = [schema, *schema.get("$defs", {}).values()]
    return {key for part in parts for key in part.get("properties", {})}


def _with_defaults(value: t.Any, defaults: abc.Mapping[str, t.Any]) -> t.Any:
    merged = dict(defaults) | dict(value)
    for part in ("logs", "metrics", "traces"):
        merged[part] = defaults[part] | value.get(part, {})
    return merged


def check_entry(value: object) -> Entry:
    """Check an entry's settings and fill in the defaults."""
    checked = check(_ENTRY, value, errors.Kind.INVALID_SETTINGS)
    if checked["store"]["kind"] == "etcd" and not checked["store"].get("addresses"):
        raise errors.Faulty(
            errors.Kind.INVALID_SETTINGS,
            ["store.addresses: is empty; name the addresses of the store's gateway"],
        )
    return _with_defaults(checked, ENTRY_DEFAULTS)


def check_agent(value: object) -> Agent:
    """Check an agent's settings and fill in the defaults."""
    return _with_defaults(
        check(_AGENT, value, errors.Kind.INVALID_SETTINGS), AGENT_DEFAULTS
    )


def read(path: pathlib.Path) -> object:
    """Read a settings file.

    Raises
    ------
    errors.Faulty
        INVALID_SETTINGS if the file is missing or is not JSON.
    """
    try:
        return json.loads(path.read_text())
    except OSError as exc:
        fault = f"{path}: cannot be read ({exc.strerror}); name an existing file"
    except ValueError as exc:
        fault = f"{path}: is not JSON ({exc}); correct it there"
    raise errors.Faulty(errors.Kind.INVALID_SETTINGS, [fault])


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into its parts."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
