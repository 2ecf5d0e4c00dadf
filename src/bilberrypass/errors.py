"""The fixed set of error kinds, with the HTTP status and title of each."""

import enum
import typing as t


class Ran(enum.StrEnum):
    """Whether the work of a failed request was executed."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Kind(enum.StrEnum):
    """Codes of all errors that a process reports to others."""

    BAD_REQUEST = "BAD_REQUEST"
    BAD_HEADER = "BAD_HEADER"
    BAD_BODY = "BAD_BODY"
    BODY_TOO_LARGE = "BODY_TOO_LARGE"
    NOT_FOUND = "NOT_FOUND"
    METHOD_NOT_ALLOWED = "METHOD_NOT_ALLOWED"
    UNAUTHORIZED = "UNAUTHORIZED"
    FORBIDDEN = "FORBIDDEN"
    UNKNOWN_SERVICE = "UNKNOWN_SERVICE"
    DEADLINE_PASSED = "DEADLINE_PASSED"
    OVERLOADED = "OVERLOADED"
    NO_ENDPOINT = "NO_ENDPOINT"
    NO_ROOM = "NO_ROOM"
    LEAVING = "LEAVING"
    STALE = "STALE"
    PEER_UNREACHABLE = "PEER_UNREACHABLE"
    ENDPOINT_UNREACHABLE = "ENDPOINT_UNREACHABLE"
    ANSWER_LOST = "ANSWER_LOST"
    ANSWER_TOO_LARGE = "ANSWER_TOO_LARGE"
    ALREADY_RAN = "ALREADY_RAN"
    KEY_IN_USE = "KEY_IN_USE"
    KEY_REUSED = "KEY_REUSED"
    STORE_DOWN = "STORE_DOWN"
    STORE_UNCERTAIN = "STORE_UNCERTAIN"
    STORE_REJECTED = "STORE_REJECTED"
    CONFLICT = "CONFLICT"
    PRECONDITION_REQUIRED = "PRECONDITION_REQUIRED"
    NEVER_FITS = "NEVER_FITS"
    QUOTA_EXCEEDED = "QUOTA_EXCEEDED"
    TOO_MANY_ATTEMPTS = "TOO_MANY_ATTEMPTS"
    INVALID_SETTINGS = "INVALID_SETTINGS"
    INVALID_CONFIG = "INVALID_CONFIG"
    NOT_READY = "NOT_READY"
    INTERNAL = "INTERNAL"


class ErrorResponse(t.NamedTuple):
    """HTTP status and title of an error kind, and what it says about the work.

    ``ran`` holds for an error that was raised before any work could begin; an
    error raised later carries its own value. ``retry_helps`` is True if the same
    request can succeed later.
    """

    status: int
    title: str
    ran: Ran
    retry_helps: bool


_NO, _YES, _UNKNOWN = Ran.NO, Ran.YES, Ran.UNKNOWN

RESPONSES: t.Final[dict[Kind, ErrorResponse]] = {
    Kind.BAD_REQUEST: ErrorResponse(400, "The request is malformed", _NO, False),
    Kind.BAD_HEADER: ErrorResponse(400, "A header is malformed", _NO, False),
    Kind.BAD_BODY: ErrorResponse(400, "The body is malformed", _NO, False),
    Kind.BODY_TOO_LARGE: ErrorResponse(413, "The body is too large", _NO, False),
    Kind.NOT_FOUND: ErrorResponse(404, "There is no such thing", _NO, False),
    Kind.METHOD_NOT_ALLOWED: ErrorResponse(
        405, "The method is not allowed", _NO, False
    ),
    Kind.UNAUTHORIZED: ErrorResponse(401, "The token is missing or wrong", _NO, False),
    Kind.FORBIDDEN: ErrorResponse(403, "The token may not do this", _NO, False),
    Kind.UNKNOWN_SERVICE: ErrorResponse(404, "The service is unknown", _NO, True),
    Kind.DEADLINE_PASSED: ErrorResponse(504, "The deadline has passed", _NO, False),
    Kind.OVERLOADED: ErrorResponse(503, "There is more work than room", _NO, True),
    Kind.NO_ENDPOINT: ErrorResponse(503, "No endpoint can take the request", _NO, True),
    Kind.NO_ROOM: ErrorResponse(503, "The host has no room", _NO, True),
    Kind.LEAVING: ErrorResponse(503, "The process is leaving", _NO, True),
    Kind.STALE: ErrorResponse(409, "The sender's knowledge is out of date", _NO, True),
    Kind.PEER_UNREACHABLE: ErrorResponse(502, "A peer is out of reach", _UNKNOWN, True),
    Kind.ENDPOINT_UNREACHABLE: ErrorResponse(
        502, "The endpoint is unreachable", _NO, True
    ),
    Kind.ANSWER_LOST: ErrorResponse(502, "The answer was lost", _UNKNOWN, True),
    Kind.ANSWER_TOO_LARGE: ErrorResponse(502, "The answer is too large", _YES, False),
    Kind.ALREADY_RAN: ErrorResponse(409, "The request ran before", _YES, False),
    Kind.KEY_IN_USE: ErrorResponse(
        409, "The key's request is in progress", _UNKNOWN, True
    ),
    Kind.KEY_REUSED: ErrorResponse(
        422, "The key belongs to another request", _NO, False
    ),
    Kind.STORE_DOWN: ErrorResponse(503, "The store is out of reach", _NO, True),
    Kind.STORE_UNCERTAIN: ErrorResponse(503, "The store's answer was lost", _NO, True),
    Kind.STORE_REJECTED: ErrorResponse(503, "The store refuses the value", _NO, False),
    Kind.CONFLICT: ErrorResponse(412, "Somebody else changed it first", _NO, False),
    Kind.PRECONDITION_REQUIRED: ErrorResponse(428, "If-Match is missing", _NO, False),
    Kind.NEVER_FITS: ErrorResponse(422, "No host could ever hold it", _NO, False),
    Kind.QUOTA_EXCEEDED: ErrorResponse(403, "The team's quota is spent", _NO, True),
    Kind.TOO_MANY_ATTEMPTS: ErrorResponse(429, "Too many failed attempts", _NO, True),
    Kind.INVALID_SETTINGS: ErrorResponse(422, "The settings are invalid", _NO, False),
    Kind.INVALID_CONFIG: ErrorResponse(422, "The configuration is invalid", _NO, False),
    Kind.NOT_READY: ErrorResponse(503, "The process is not ready", _NO, True),
    Kind.INTERNAL: ErrorResponse(500, "The process failed", _UNKNOWN, True),
}


class Error(Exception):
    """An error that is reported to callers and other processes by its kind.

    Parameters
    ----------
    kind : Kind
        The error's code.
    detail : str
        Names the cause and the remedy.
    ran : Ran, optional
        Whether the work was executed; by default the value of the kind.
    retry_after_s : float, optional
        Seconds after which a retry can succeed.
    """

    def __init__(
        self,
        kind: Kind,
        detail: str,
        *,
        ran: Ran | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        self.ran = RESPONSES[kind].ran if ran is None else ran
        self.retry_after_s = retry_after_s
        self.retry_helps = RESPONSES[kind].retry_helps

    def __str__(self) -> str:
        return f"{self.kind}: {self.detail}"


class Refused(Error):
    """The receiver rejected the request without any effect; ``detail`` says why."""


class Deferred(Refused):
    """A refusal whose ``retry_after_s`` was assigned to this caller and is sent as is.

    Parameters
    ----------
    kind : Kind
        The error's code; ``ran`` is NO.
    detail : str
        Names the cause and the remedy.
    wait_s : int
        Seconds after which the caller should return.
    """

    def __init__(self, kind: Kind, detail: str, wait_s: int) -> None:
        super().__init__(kind, detail, ran=Ran.NO, retry_after_s=wait_s)


class Invalid(Error):
    """Invalid input, with all its faults and their JSON paths.

    Parameters
    ----------
    kind : Kind
        The error's code.
    faults : list of str
        Each as ``path: fault and remedy``.
    """

    def __init__(self, kind: Kind, faults: list[str]) -> None:
        super().__init__(kind, "; ".join(faults))
        self.faults = faults


class Conflict(Error):
    """A conditional write that failed because another write came first.

    Parameters
    ----------
    detail : str
        Names the cause and the remedy.
    changed : list
        The changes made by the other writes, as the history records them.
    """

    def __init__(self, detail: str, changed: list[t.Any]) -> None:
        super().__init__(Kind.CONFLICT, detail)
        self.changed = changed
