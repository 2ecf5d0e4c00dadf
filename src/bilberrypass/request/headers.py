"""Parsing of the headers by which a caller sets options of a request."""

import math
import re
import time
import typing as t

from bilberrypass import errors

_IDEMPOTENT_METHODS: t.Final = frozenset(
    {"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"}
)
_METHOD: t.Final = re.compile(r"^[A-Z]{1,20}$")
_IDEMPOTENCY_KEY: t.Final = re.compile(r"^[\x21-\x7e]{1,200}$")
_FLAGS: t.Final = {"true": True, "false": False}
_MAX_TIMEOUT_S: t.Final = 3_600.0


class RequestOptions(t.NamedTuple):
    """Options of a request; ``deadline`` is in monotonic seconds.

    ``key`` is the idempotency key, empty if there is none.
    """

    key: str
    idempotent: bool
    deadline: float


def parse(
    method: str, headers: t.Mapping[str, str], default_timeout_s: float
) -> RequestOptions:
    """Parse the option headers of a request.

    Raises
    ------
    errors.Error
        BAD_REQUEST, BAD_HEADER or DEADLINE_PASSED.
    """
    if not _METHOD.fullmatch(method):
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            f"{method[:20]!r} is not an HTTP method; send a standard one",
        )
    return RequestOptions(
        _parse_key(headers.get("idempotency-key", "")),
        _parse_flag(headers.get("bilberrypass-idempotent", ""), method),
        _parse_deadline(headers.get("bilberrypass-deadline", ""), default_timeout_s),
    )


def _parse_key(text: str) -> str:
    if text and not _IDEMPOTENCY_KEY.fullmatch(text):
        raise errors.Error(
            errors.Kind.BAD_HEADER,
            "Idempotency-Key must be 1 to 200 visible ASCII characters; change it",
        )
    return text


def _parse_flag(text: str, method: str) -> bool:
    if not text:
        return method in _IDEMPOTENT_METHODS
    flag = _FLAGS.get(text.strip().lower())
    if flag is None:
        raise errors.Error(
            errors.Kind.BAD_HEADER,
            f"invalid Bilberrypass-Idempotent {text[:20]!r}; send true or false",
        )
    return flag


def _parse_deadline(text: str, default_timeout_s: float) -> float:
    if not text:
        return time.monotonic() + default_timeout_s
    try:
        deadline = float(text)
    except ValueError:
        deadline = math.nan
    if not math.isfinite(deadline):
        raise errors.Error(
            errors.Kind.BAD_HEADER,
            f"invalid Bilberrypass-Deadline {text[:40]!r}; send Unix time in seconds",
        )
    left_s = deadline - time.time()
    if left_s <= 0:
        raise errors.Error(
            errors.Kind.DEADLINE_PASSED,
            f"Bilberrypass-Deadline passed {-left_s:.3f} s ago; send a later deadline",
        )
    return time.monotonic() + min(left_s, _MAX_TIMEOUT_S)
