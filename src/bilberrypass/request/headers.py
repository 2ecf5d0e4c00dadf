"""The headers that callers steer a request by."""

import math
import re
import time
import typing as t

from bilberrypass import errors

_IDEMPOTENT_METHODS: t.Final = frozenset(
    {"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"}
)
_METHOD: t.Final = re.compile(r"^[A-Z]{1,20}$")
_KEY: t.Final = re.compile(r"^[\x21-\x7e]{1,200}$")
_FLAGS: t.Final = {"true": True, "false": False}
_LONGEST_S: t.Final = 3_600.0


class Steering(t.NamedTuple):
    """How a request wants to be treated; the deadline is monotonic."""

    key: str
    idempotent: bool
    deadline: float


def parse(
    method: str, headers: t.Mapping[str, str], default_timeout_s: float
) -> Steering:
    """Read the steering headers of a request.

    Raises
    ------
    errors.Error
        BAD_HEADER or DEADLINE_PASSED.
    """
    if not _METHOD.fullmatch(method):
        raise errors.Error(
            errors.Kind.BAD_REQUEST, f"{method[:20]!r} is no method; send a usual one"
        )
    return Steering(
        _parse_key(headers.get("idempotency-key", "")),
        _parse_flag(headers.get("bilberrypass-idempotent", ""), method),
        _parse_deadline(headers.get("bilberrypass-deadline", ""), default_timeout_s),
    )


def _parse_key(text: str) -> str:
    if text and not _KEY.fullmatch(text):
        raise errors.Error(
            errors.Kind.BAD_HEADER,
            "Idempotency-Key must have 1 to 200 visible ASCII characters; shorten it",
        )
    return text


def _parse_flag(text: str, method: str) -> bool:
    if not text:
        return method in _IDEMPOTENT_METHODS
    flag = _FLAGS.get(text.strip().lower())
    if flag is None:
        raise errors.Error(
            errors.Kind.BAD_HEADER,
            f"Bilberrypass-Idempotent is {text[:20]!r}; send true or false",
        )
    return flag


def _parse_deadline(text: str, default_timeout_s: float) -> float:
    if not text:
        return time.monotonic() + default_timeout_s
    try:
        at = float(text)
    except ValueError:
        at = math.nan
    if not math.isfinite(at):
        raise errors.Error(
            errors.Kind.BAD_HEADER,
            f"Bilberrypass-Deadline is {text[:40]!r}; send Unix time in seconds",
        )
    left_s = at - time.time()
    if left_s <= 0:
        raise errors.Error(
            errors.Kind.DEADLINE_PASSED,
            f"Bilberrypass-Deadline passed {-left_s:.3f} s ago; send a later one",
        )
    return time.monotonic() + min(left_s, _LONGEST_S)
