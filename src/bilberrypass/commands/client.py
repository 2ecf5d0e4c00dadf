"""HTTP client for calls to an entry, and the exit codes of the tool."""

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

_CONNECT_TIMEOUT_S: t.Final = 3.0
_READ_TIMEOUT_S: t.Final = 30.0
_MAX_RETRY_DELAY_S: t.Final = 5.0
_TOKEN_VARIABLE: t.Final = "BILBERRYPASS_TOKEN"


class ExitCode(enum.IntEnum):
    """The exit codes of the tool."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    JOB_FAILED = 4
    CONFLICT = 5
    STILL_WAITING = 6


class Unreachable(errors.Error):
    """No entry could be reached at the address.

    Parameters
    ----------
    address : str
        IP address and port.
    option : str
        The command-line option that sets the address.
    reason : str
        Why the connection failed.
    """

    def __init__(self, address: str, option: str, reason: str) -> None:
        super().__init__(
            errors.Kind.PEER_UNREACHABLE,
            f"no entry answers at {address} ({reason}); start one or set another "
            f"address with {option}",
        )


class Response(t.NamedTuple):
    """A response of an entry: its decoded JSON body and its headers."""

    value: t.Any
    headers: abc.Mapping[str, str]


@t.final
class Client:
    """HTTP client for one address of an entry; does not follow redirects.

    Parameters
    ----------
    address : str
        IP address and port.
    option : str
        The command-line option that set the address, for error messages.
    token : str
        Bearer token; if empty, no token is sent.
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
    ) -> Response:
        """Send a request once, without retries, and return the response.

        Raises
        ------
        errors.Error
            ``Unreachable`` if no entry answers; otherwise the error that it answered.
        """
        all_headers = self._headers | dict(headers or {})
        content = None
        if body is not None:
            all_headers["Content-Type"] = "application/json"
            content = json.dumps(body).encode()
        try:
            resp = self._manager.request(
                method,
                f"http://{self._address}{path}",
                body=content,
                headers=all_headers,
                timeout=urllib3.Timeout(
                    connect=_CONNECT_TIMEOUT_S, read=_READ_TIMEOUT_S
                ),
                redirect=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            reason = _describe_connection_error(exc)
            raise Unreachable(self._address, self._option, reason) from None
        if resp.status >= 400:
            raise self._make_error(resp)
        return Response(_parse_body(resp), resp.headers)

    def call_with_retries(
        self,
        method: str,
        path: str,
        body: object,
        deadline: float,
        headers: abc.Mapping[str, str] | None = None,
    ) -> Response:
        """Send an idempotent request, with retries until the deadline.

        Only errors for which a retry can help are retried; ``Retry-After`` is honoured
        up to ``_MAX_RETRY_DELAY_S``.

        Parameters
        ----------
        method, path, body, headers
            As in ``call``.
        deadline : float
            Monotonic time in seconds after which no retry is started.
        """
        while True:
            try:
                return self.call(method, path, body, headers)
            except errors.Error as exc:
                delay_s = min(_MAX_RETRY_DELAY_S, exc.retry_after_s or 1.0)
                is_retryable = errors.RESPONSES[exc.kind].retry_helps
                if not is_retryable or time.monotonic() + delay_s > deadline:
                    raise
            time.sleep(delay_s)

    def _make_error(self, resp: urllib3.BaseHTTPResponse) -> errors.Error:
        """Return the error of a response, with the remedy in terms of tool options."""
        exc = _parse_error(resp)
        if exc.kind is errors.Kind.UNAUTHORIZED:
            fault = (
                "the token sent is unknown" if self._headers else "no token was sent"
            )
            remedy = f"set {_TOKEN_VARIABLE} or pass a file with --token-file"
            exc.detail = f"{fault}; {remedy}"
        return exc


def _check_address(address: str, option: str) -> str:
    try:
        return settings.check_address(address)
    except ValueError as exc:
        raise errors.Invalid(
            errors.Kind.INVALID_SETTINGS, [f"{option}: {exc}"]
        ) from None


def _describe_connection_error(exc: Exception) -> str:
    if isinstance(exc, urllib3.exceptions.NewConnectionError):
        return "connection refused"
    if isinstance(exc, urllib3.exceptions.TimeoutError):
        return "timeout"
    return type(exc).__name__


def _parse_body(resp: urllib3.BaseHTTPResponse) -> t.Any:
    try:
        return json.loads(resp.data) if resp.data else None
    except ValueError:
        raise errors.Error(
            errors.Kind.ANSWER_LOST,
            "the response is not JSON; check that the address is of an entry",
        ) from None


def _parse_error(resp: urllib3.BaseHTTPResponse) -> errors.Error:
    try:
        problem = json.loads(resp.data)
        kind = errors.Kind(problem["code"])
        ran = errors.Ran(problem["ran"])
    except (ValueError, KeyError, TypeError):
        return errors.Error(
            errors.Kind.ANSWER_LOST,
            f"HTTP status {resp.status} without a known error code; "
            "check that the address is of an entry",
        )
    if problem.get("faults"):
        return errors.Invalid(kind, [str(fault) for fault in problem["faults"]])
    detail = str(problem.get("detail", ""))
    if problem.get("changed"):
        detail += f" (changed meanwhile: {json.dumps(problem['changed'])})"
    retry_after_s = _parse_retry_after(resp.headers)
    return errors.Error(kind, detail, ran=ran, retry_after_s=retry_after_s)


def _parse_retry_after(headers: abc.Mapping[str, str]) -> float | None:
    text = headers.get("Retry-After", "")
    return float(text) if text.isdigit() else None


def exit_code(exc: errors.Error) -> ExitCode:
    """Return the exit code of the tool for an error."""
    if isinstance(exc, Unreachable):
        return ExitCode.UNREACHABLE
    if exc.kind is errors.Kind.CONFLICT:
        return ExitCode.CONFLICT
    if exc.kind is errors.Kind.INVALID_SETTINGS:
        return ExitCode.USAGE
    return ExitCode.REFUSED


def read_token(path: pathlib.Path | None) -> str:
    """Return the operator's token.

    Read from the file or, if the path is None, from the environment variable
    ``BILBERRYPASS_TOKEN``; empty if that is not set.

    Raises
    ------
    errors.Invalid
        INVALID_SETTINGS if the file cannot be read.
    """
    if path is None:
        return os.environ.get(_TOKEN_VARIABLE, "").strip()
    try:
        return path.read_text().strip()
    except OSError as exc:
        raise errors.Invalid(
            errors.Kind.INVALID_SETTINGS,
            [
                f"--token-file: {path} cannot be read ({exc.strerror}); "
                "pass a readable file"
            ],
        ) from None


def read_json_file(path: pathlib.Path, option: str) -> t.Any:
    """Return the value of the JSON file that a command-line option names.

    Raises
    ------
    errors.Invalid
        INVALID_SETTINGS, with the option's name, if it cannot be read or decoded.
    """
    try:
        return json.loads(path.read_text())
    except OSError as exc:
        fault = (
            f"{option}: {path} cannot be read ({exc.strerror}); pass a readable file"
        )
    except ValueError as exc:
        fault = f"{option}: {path} is no JSON ({exc}); correct the file"
    raise errors.Invalid(errors.Kind.INVALID_SETTINGS, [fault])
