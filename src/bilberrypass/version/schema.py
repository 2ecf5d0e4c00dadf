"""The schema of a configuration as operators send it."""

import datetime
import typing as t

import pydantic
import typing_extensions as te

from bilberrypass.version import settings

_STRICT: t.Final = pydantic.ConfigDict(extra="forbid", strict=True)

Share = t.Annotated[float, pydantic.Field(ge=0, le=1)]
Weight = t.Annotated[float, pydantic.Field(ge=0, le=1_000)]


def _check_text(value: str) -> str:
    if not value.strip():
        raise ValueError("is empty; say why this differs from the fleet")
    return value


def _check_date(value: str) -> str:
    try:
        datetime.date.fromisoformat(value)
    except ValueError:
        raise ValueError(f"{value!r} is not a date; write it like 2027-01-31") from None
    return value


Reason = t.Annotated[
    str, pydantic.Field(max_length=500), pydantic.AfterValidator(_check_text)
]
Date = t.Annotated[str, pydantic.AfterValidator(_check_date)]


class Guards(te.TypedDict, total=False):
    """The protections in agents and entries; each can be switched off separately."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    admission_limit: t.Annotated[
        bool, "refuse requests that a full queue cannot serve in time"
    ]
    throttle_on_disturbance: t.Annotated[bool, "throttle batch work that disturbs"]
    set_aside_failing_workers: t.Annotated[bool, "rest a worker that fails everything"]
    eviction_budget: t.Annotated[bool, "bound the number of evictions"]


class Weights(te.TypedDict, total=False):
    """The weights of the goals that placement balances."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    tail_latency: t.Annotated[Weight, "weight of the services' tail latency"]
    throughput: t.Annotated[Weight, "weight of the batch throughput"]
    evictions: t.Annotated[Weight, "weight of each eviction"]


class Limits(te.TypedDict, total=False):
    """Limits and budgets of the system, and the retention of claims."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    retry_budget_share: t.Annotated[Share, "retries, as a share of first attempts"]
    claim_retention_s: t.Annotated[
        float,
        pydantic.Field(ge=7_200, le=604_800),
        "how long an idempotency key is remembered",
    ]
    evictions_per_hour: t.Annotated[
        int, pydantic.Field(ge=0, le=100_000), "budget of evictions of an entry"
    ]
    max_exceptions: t.Annotated[
        int, pydantic.Field(ge=0, le=1_000), "longest list of exceptions"
    ]


class Quota(te.TypedDict, total=False):
    """Resources that a team's tasks may hold at once; a missing key means no limit."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    cpu_milli: t.Annotated[int, pydantic.Field(ge=0, le=1 << 40)]
    memory_bytes: t.Annotated[int, pydantic.Field(ge=0, le=1 << 60)]
    accelerators: t.Annotated[int, pydantic.Field(ge=0, le=1 << 20)]


class Defaults(te.TypedDict, total=False):
    """Values that apply to the whole fleet."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    guards: Guards
    weights: Weights
    limits: Limits
    quotas: t.Annotated[dict[settings.Name, Quota], "by team"]


class Overrides(te.TypedDict, total=False):
    """Values that an exception sets instead of the defaults."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    guards: Guards
    weights: Weights
    limits: Limits
    quotas: t.Annotated[dict[settings.Name, Quota], "by team"]
    drain: t.Annotated[bool, "place nothing new on the host"]


class Match(te.TypedDict, total=False):
    """Where an exception applies; every key that is present must match."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    host: settings.Name
    rack: settings.Name
    failure_domain: settings.Name
    region: settings.Name
    service: settings.Name
    team: settings.Name


class Exemption(te.TypedDict, total=False):
    """An exception to the defaults: its scope, values, reason, author and last day."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    match: te.Required[Match]
    set: te.Required[Overrides]
    reason: te.Required[Reason]
    author: t.Annotated[settings.Name, "left out: the holder of the token"]
    expires: t.Annotated[Date, "last day on which it holds, in UTC"]


class Proposal(te.TypedDict, total=False):
    """A configuration that an operator proposes."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]

    defaults: te.Required[Defaults]
    exceptions: te.Required[list[Exemption]]
    note: t.Annotated[str, pydantic.Field(max_length=500)]
