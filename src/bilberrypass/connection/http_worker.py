"""Client of the platform's worker, with JSON over HTTP."""

import itertools
import threading
import time
import typing as t

import msgspec
import urllib3

from bilberrypass import errors
from bilberrypass.connection import worker
from bilberrypass.version import work

GENERATION_HEADER: t.Final = "Worker-Generation"

_READ_BYTES: t.Final = 65_536
_IDLE_CONNECTIONS: t.Final = 8
_STALE_STATUS: t.Final = 409
_NO_GENERATION: t.Final = 0

_T = t.TypeVar("_T")


class AttachResponse(t.NamedTuple):
    """The response to ``POST /attach``."""

    generation: int
    inventory: worker.Inventory


class AttachRequest(t.NamedTuple):
    """The body of ``POST /attach``."""

    incarnation: int


class StartRequest(t.NamedTuple):
    """The body of ``POST /start``; the lease expires by the worker's clock."""

    spec: work.Spec
    expiry: float


class ThrottleRequest(t.NamedTuple):
    """The body of ``POST /throttle``."""

    task: work.TaskId
    share: float


class _Attachment(t.NamedTuple):
    """A generation, and how far the worker's clock was ahead of this one's then.

    ``number`` counts the attaches, since a restarted worker may use a generation again.
    """

    number: int = 0
    generation: int = _NO_GENERATION
    clock_ahead_s: float = 0.0


class Problem(t.TypedDict, total=False):
    """The fields of a problem document that a worker sets in an error response."""

    code: str
    detail: str


@t.final
class HttpWorker(worker.Worker):
    """A worker reached by its IP address and port; thread-safe.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._lock = threading.Lock()
        self._attachment = _Attachment()
        self._attaches = itertools.count(1)
        self._pool = self._new_pool()

    @property
    def generation(self) -> int:
        """The number of the latest ``attach``, 0 if there is none."""
        return self._get_attachment().number

    def attach(self, deadline: float, incarnation: int = 0) -> worker.Inventory:
        """Become the newest agent; return the capacity and all runs not forgotten."""
        number = next(self._attaches)
        body = AttachRequest(incarnation)
        attached = self._call("POST", "/attach", body, AttachResponse, deadline)
        clock_ahead_s = _clock_ahead_s(attached.inventory)
        with self._lock:
            if number > self._attachment.number:
                self._attachment = _Attachment(
                    number, attached.generation, clock_ahead_s
                )
        return attached.inventory

    def inventory(self, deadline: float) -> worker.Inventory:
        """Return the host's capacity and all runs not forgotten."""
        attachment = self._get_attachment()
        found = self._call(
            "GET", "/inventory", None, worker.Inventory, deadline, attachment
        )
        with self._lock:
            if self._attachment.number == attachment.number:
                self._attachment = attachment._replace(
                    clock_ahead_s=_clock_ahead_s(found)
                )
        return found

    def _get_attachment(self) -> _Attachment:
        with self._lock:
            return self._attachment

    def start(
        self,
        spec: work.Spec,
        expiry: float,
        deadline: float,
        generation: int | None = None,
    ) -> worker.Run:
        """Start a task under a lease; the same task and attempt starts only once."""
        attachment = self._get_attachment()
        if generation not in (None, attachment.number):
            raise errors.Refused(
                errors.Kind.STALE,
                f"worker {self._address()} was attached to anew before the start of "
                f"{spec.task}; send it again",
            )
        body = StartRequest(spec, expiry + attachment.clock_ahead_s)
        return self._call("POST", "/start", body, worker.Run, deadline, attachment)

    def renew(self, leases: list[tuple[work.TaskId, float]], deadline: float) -> None:
        """Set the expiry of the tasks' leases (monotonic seconds)."""
        attachment = self._get_attachment()
        body = [(task, expiry + attachment.clock_ahead_s) for task, expiry in leases]
        self._call("POST", "/renew", body, None, deadline, attachment)

    def checkpoint(self, task: work.TaskId, deadline: float) -> str:
        """Have the task write a checkpoint and return its reference."""
        return self._call("POST", "/checkpoint", task, str, deadline)

    def throttle(self, task: work.TaskId, share: float, deadline: float) -> None:
        """Limit the task to a share (0 to 1) of its processors."""
        self._call("POST", "/throttle", ThrottleRequest(task, share), None, deadline)

    def stop(self, task: work.TaskId, deadline: float) -> worker.Run | None:
        """Stop a task and return its run, or None if the worker never had it."""
        return self._call("POST", "/stop", task, worker.Run | None, deadline)

    def forget(self, tasks: list[work.TaskId], deadline: float) -> None:
        """Delete ended runs whose end has been recorded."""
        self._call("POST", "/forget", tasks, None, deadline)

    def usage(self, deadline: float) -> worker.Usage:
        """Return the newest usage report."""
        return self._call("GET", "/usage", None, worker.Usage, deadline)

    def close(self) -> None:
        """Close the connections."""
        with self._lock:
            self._pool.close()

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(
            self._host, self._port, maxsize=_IDLE_CONNECTIONS, retries=False
        )

    def _call(
        self,
        method: str,
        path: str,
        body: t.Any,
        kind: t.Any,
        deadline: float,
        attachment: _Attachment | None = None,
    ) -> t.Any:
        """Send one command and return its response decoded as ``kind``.

        A command with a time on the worker's clock passes the attachment by which it
        was computed; a worker that has restarted since rejects it.
        """
        with self._lock:
            pool = self._pool
            generation = (attachment or self._attachment).generation
        headers = {"Content-Type": "application/json"}
        if generation != _NO_GENERATION:
            headers[GENERATION_HEADER] = str(generation)
        content = None if method == "GET" else msgspec.json.encode(body)
        status, response = self._exchange(
            pool, method, path, content, headers, deadline
        )
        if status != 200:
            raise self._error_of_status(path, status, response)
        return self._decode(path, response, kind)

    def _exchange(
        self,
        pool: urllib3.HTTPConnectionPool,
        method: str,
        path: str,
        content: bytes | None,
        headers: dict[str, str],
        deadline: float,
    ) -> tuple[int, bytes]:
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            raise self._unreachable(path, "its deadline passed before it was sent")
        try:
            resp = pool.urlopen(
                method,
                path,
                body=content,
                headers=headers,
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(total=left_s),
                preload_content=False,
            )
            return resp.status, _read_body(resp, deadline)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.ClosedPoolError,
        ) as exc:
            raise self._unreachable(path, str(exc)) from exc
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            self._replace(pool)
            raise self._response_lost(path, str(exc)) from exc

    def _replace(self, pool: urllib3.HTTPConnectionPool) -> None:
        """Make later calls use new connections.

        If one connection went silent, others probably have too. The old pool is not
        closed, since other threads may have calls in progress on it.
        """
        with self._lock:
            if self._pool is pool:
                self._pool = self._new_pool()

    def _decode(self, path: str, response: bytes, kind: type[_T]) -> _T:
        try:
            return msgspec.json.decode(response, type=kind)
        except msgspec.DecodeError as exc:
            raise self._response_lost(
                path, f"the response is malformed: {exc}"
            ) from exc

    def _error_of_status(self, path: str, status: int, response: bytes) -> errors.Error:
        if status >= 500:
            return self._response_lost(path, f"it responded with status {status}")
        problem = _decode_problem(response)
        detail = f"worker {self._address()} refused {path}: {problem.get('detail', '')}"
        if status == _STALE_STATUS:
            return errors.Refused(errors.Kind.STALE, detail)
        if status == 404:
            return errors.Refused(errors.Kind.NOT_FOUND, detail)
        return errors.Refused(errors.Kind.BAD_REQUEST, f"{detail} (status {status})")

    def _unreachable(self, path: str, why: str) -> errors.Error:
        detail = f"worker {self._address()} did not receive {path}: {why}"
        kind = errors.Kind.ENDPOINT_UNREACHABLE
        return errors.Error(kind, detail, ran=errors.Ran.NO)

    def _response_lost(self, path: str, why: str) -> errors.Error:
        detail = f"worker {self._address()} may have executed {path}: {why}"
        kind = errors.Kind.ANSWER_LOST
        return errors.Error(kind, detail, ran=errors.Ran.UNKNOWN)

    def _address(self) -> str:
        return f"{self._host}:{self._port}"


def _clock_ahead_s(found: worker.Inventory) -> float:
    # The response was in transit for some time, so this is at most the difference of
    # the clocks, and a lease never outlasts its expiry.
    return found.clock_s - time.monotonic()


def _read_body(resp: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    """Return the body; each read is limited to the time left before the deadline."""
    chunks = []
    while True:
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            resp.close()
            raise TimeoutError("the deadline passed in the middle of the response")
        sock = getattr(resp.connection, "sock", None)
        if sock is not None:
            sock.settimeout(left_s)
        chunk = resp.read1(_READ_BYTES)
        if not chunk:
            resp.release_conn()
            return b"".join(chunks)
        chunks.append(chunk)


def _decode_problem(response: bytes) -> Problem:
    try:
        return msgspec.json.decode(response, type=Problem)
    except msgspec.DecodeError:
        return Problem(detail=response.decode(errors="replace"))
