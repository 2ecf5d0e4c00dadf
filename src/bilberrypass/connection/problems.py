"""Error responses to callers and operators: problem+json as in RFC 9457."""

import math
import random
import typing as t

import msgspec

from bilberrypass import errors
from bilberrypass.observing import metrics

CONTENT_TYPE: t.Final = "application/problem+json"
_DEFAULT_RETRY_AFTER_S: t.Final = 1.0
_RETRY_AFTER_JITTER: t.Final = 0.5
_BODY_UNREAD_KINDS: t.Final = (errors.Kind.BAD_BODY, errors.Kind.BODY_TOO_LARGE)


class Problem(t.NamedTuple):
    """A complete HTTP response: status, headers and body."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


def build_problem(exc: errors.Error) -> Problem:
    """Return the HTTP response to an error, and count it in the metrics.

    ``Retry-After`` has random jitter, so that callers do not retry together, unless it
    was assigned to this caller.
    """
    metrics.count(metrics.Name.REFUSALS, exc.kind)
    response = errors.RESPONSES[exc.kind]
    content: dict[str, t.Any] = {
        "type": "about:blank",
        "title": response.title,
        "status": response.status,
        "code": exc.kind,
        "ran": exc.ran,
        "detail": exc.detail,
    }
    if isinstance(exc, errors.Invalid):
        content["faults"] = exc.faults
    if isinstance(exc, errors.Conflict):
        content["changed"] = exc.changed
    headers = [("Content-Type", CONTENT_TYPE)]
    if exc.retry_helps:
        headers.append(("Retry-After", _retry_after(exc)))
    if exc.kind in _BODY_UNREAD_KINDS:
        # The unread part of the body would be read as the next request.
        headers.append(("Connection", "close"))
    if response.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    body = msgspec.json.encode(content)
    headers.append(("Content-Length", str(len(body))))
    return Problem(response.status, headers, body)


def _retry_after(exc: errors.Error) -> str:
    base_s = exc.retry_after_s
    base_s = _DEFAULT_RETRY_AFTER_S if base_s is None else base_s
    if not isinstance(exc, errors.Deferred):
        base_s *= 1.0 + _RETRY_AFTER_JITTER * random.random()
    return str(max(1, math.ceil(base_s)))
