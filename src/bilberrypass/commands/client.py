"""HTTP calls of the tool to an entry, and its exit codes."""

import collections.abc as abc
import enum
import json
import os
import pathlib
import time
import typing as t

import urllib3

from bilberrypass import errors
from bilberrypass.version import settings

_CONNECT_S: t.Final = 3.0
_READ_S: t.Final = 30.0
_MAX_PAUSE_S: t.Final = 5.0
_TOKEN_VARIABLE: t.Final = "BILBERRYPASS_TOKEN"


class Exit(enum.IntEnum):
    """The exit codes of the tool."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    JOB_FAILED = 4
    CONFLICT = 5
    STILL_WAITING = 6


class Unreachable(errors.Error):
    """No entry answered at the address.

    Parameters
    ----------
    address : str
        IP number and port.
    option : str
        The option that names another address.
    why : str
        What the connection ran into.
    """

    def __init__(self, address: str, option: str, why: str) -> None:
        super().__init__(
            errors.Kind.PEER_UNREACHABLE,
            f"no entry answers at {address} ({why}); start one or name another "
            f"with {option}",
        )


class Answer(t.NamedTuple):
    """An answer of an entry: its JSON value and the headers."""

    value: t.Any
    headers: abc.Mapping[str, str]


@t.final
class Client:
    """Calls one address of an entry.

    Parameters
    ----------
    address : str
        IP number and port.
    option : str
        The option that named the address, for messages.
    token : str
        Bearer token; none is sent if empty.
    """

    def __init__(self, address: str, option: str, token: str = "") -> None:
        self._address = _check_address(address, option)
        self._option = option
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._manager = urllib3.PoolManager(retries=False)

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: abc.Mapping[str, str] | None = None,
    ) -> Answer:
        """Send one request, once, and return its answer.

        Raises
        ------
        errors.Error
            The entry's refusal, or ``Unreachable``.
        """
        fields = self._headers | dict(headers or {})
        content = None
        if body is not None:
            fields["Content-Type"] = "application/json"
            content = json.dumps(body).encode()
        try:
            resp = self._manager.request(
                method,
                f"http://{self._address}{path}",
                body=content,
                headers=fields,
                timeout=urllib3.Timeout(connect=_CONNECT_S, read=_READ_S),
                redirect=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            why = _describe(exc)
            raise Unreachable(self._address, self._option, why) from None
        if resp.status >= 400:
            raise self._refusal(resp)
        return Answer(_parse(resp), resp.headers)

    def call_until(
        self,
        method: str,
        path: str,
        body: object,
        deadline: float,
        headers: abc.Mapping[str, str] | None = None,
    ) -> Answer:
        """Send an idempotent request again until it is answered or time is up.

        Parameters
        ----------
        method, path, body, headers
            As in ``call``.
        deadline : float
            Monotonic seconds after which no further try is made.
        """
        while True:
            try:
                return self.call(method, path, body, headers)
            except errors.Error as exc:
                pause_s = min(_MAX_PAUSE_S, exc.retry_after_s or 1.0)
                helps = errors.ANSWERS[exc.kind].retry_helps
                if not helps or time.monotonic() + pause_s > deadline:
                    raise
            time.sleep(pause_s)

    def _refusal(self, resp: urllib3.BaseHTTPResponse) -> errors.Error:
        """Return the entry's refusal, with the remedy in the tool's own words."""
        exc = _parse_refusal(resp)
        if exc.kind is errors.Kind.UNAUTHORIZED:
            fault = (
                "the token sent is unknown" if self._headers else "no token was sent"
            )
            remedy = f"set {_TOKEN_VARIABLE} or name a file with --token-file"
            exc.detail = f"{fault}; {remedy}"
        return exc


def _check_address(address: str, option: str) -> str:
    try:
        return settings.check_address(address)
    except ValueError as exc:
        raise errors.Faulty(
            errors.Kind.INVALID_SETTINGS, [f"{option}: {exc}"]
        ) from None


def _describe(exc: Exception) -> str:
    if isinstance(exc, urllib3.exceptions.NewConnectionError):
        return "connection refused"
    if isinstance(exc, urllib3.exceptions.TimeoutError):
        return "timeout"
    return type(exc).__name__


def _parse(resp: urllib3.BaseHTTPResponse) -> t.Any:
    try:
        return json.loads(resp.data) if resp.data else None
    except ValueError:
        raise errors.Error(
            errors.Kind.ANSWER_LOST, "the answer is no JSON; is this an entry?"
        ) from None


def _parse_refusal(resp: urllib3.BaseHTTPResponse) -> errors.Error:
    try:
        said = json.loads(resp.data)
        kind = errors.Kind(said["code"])
        ran = errors.Ran(said["ran"])
    except (ValueError, KeyError, TypeError):
        return errors.Error(
            errors.Kind.ANSWER_LOST,
            f"HTTP status {resp.status} without a known code; is this an entry?",
        )
    if said.get("faults"):
        return errors.Faulty(kind, [str(fault) for fault in said["faults"]])
    detail = str(said.get("detail", ""))
    if said.get("changed"):
        detail += f" (changed meanwhile: {json.dumps(said['changed'])})"
    retry_after_s = _retry_after(resp.headers)
    return errors.Error(kind, detail, ran=ran, retry_after_s=retry_after_s)


def _retry_after(headers: abc.Mapping[str, str]) -> float | None:
    text = headers.get("Retry-After", "")
    return float(text) if text.isdigit() else None


def exit_code(exc: errors.Error) -> Exit:
    """Return the exit code that an error ends the tool with."""
    if isinstance(exc, Unreachable):
        return Exit.UNREACHABLE
    if exc.kind is errors.Kind.CONFLICT:
        return Exit.CONFLICT
    if exc.kind is errors.Kind.INVALID_SETTINGS:
        return Exit.USAGE
    return Exit.REFUSED


def read_token(path: pathlib.Path | None) -> str:
    """Return the operator's token from a file or from the environment."""
    if path is None:
        return os.environ.get(_TOKEN_VARIABLE, "").strip()
    try:
        return path.read_text().strip()
    except OSError as exc:
        raise errors.Faulty(
            errors.Kind.INVALID_SETTINGS,
            [f"--token-file: {path} cannot be read ({exc.strerror}); name a file"],
        ) from None


def read_json(path: pathlib.Path, option: str) -> t.Any:
    """Read a JSON file that an option names."""
    try:
        return json.loads(path.read_text())
    except OSError as exc:
        fault = f"{option}: {path} cannot be read ({exc.strerror}); name a file"
    except ValueError as exc:
        fault = f"{option}: {path} is no JSON ({exc}); correct it there"
    raise errors.Faulty(errors.Kind.INVALID_SETTINGS, [fault])
