"""An agent's client for one endpoint on its host, with its concurrency limit."""

import collections.abc as abc
import heapq
import http
import http.client
import itertools
import threading
import time
import typing as t

import logbook
import urllib3
import urllib3.connection

from bilberrypass import errors
from bilberrypass.connection import messages, pool
from bilberrypass.observing import traces

_log = logbook.Logger("endpoint")

_CONNECT_TIMEOUT_S: t.Final = 1.0
_CHUNK_BYTES: t.Final = 64 << 10
_MIN_SILENCE_S: t.Final = 2.0
_SILENCE_FACTOR: t.Final = 4.0
_SMOOTHING: t.Final = 0.1
_HOP_BY_HOP: t.Final = frozenset(
    "connection keep-alive proxy-authenticate proxy-authorization te trailer "
    "transfer-encoding upgrade content-length host expect".split()
)
_EXCHANGE_ERRORS: t.Final = (
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
    OSError,
    ValueError,
)

OnBegin = abc.Callable[[], None]
"""Called before a request can reach the endpoint; raises to reject it."""


class Announcement(t.TypedDict):
    """The state that an endpoint announces to its agent."""

    service: str
    address: str
    slots: int
    leaving: bool


def remove_hop_by_hop_headers(
    headers: t.Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers without those that apply to a single hop."""
    return [(k, v) for k, v in headers if k.lower() not in _HOP_BY_HOP]


class _Silent(Exception):
    """No response began on a connection that had been used before."""


@t.final
class Slots:
    """Concurrency limit of one endpoint, with a queue ordered by deadline.

    Parameters
    ----------
    count : int
        Requests served concurrently.
    max_queued : int
        Requests that may wait; further ones are rejected at once.
    is_limited : callable
        Returns whether requests may be rejected before they wait.
    """

    def __init__(
        self,
        count: int,
        max_queued: int,
        is_limited: abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self.count = count
        self._is_limited = is_limited
        self._max_queued = max_queued
        self._lock = threading.Lock()
        self._sequence = itertools.count()
        self._waiting: list[tuple[float, int, threading.Event]] = []
        self.in_use = 0
        self.mean_service_s = 0.0

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def acquire(self, deadline: float) -> None:
        """Acquire a slot, waiting while the deadline (monotonic seconds) can be met.

        Raises
        ------
        errors.Refused
            OVERLOADED if the queue is full or no slot becomes free in time.
        """
        with self._lock:
            if self.in_use < self.count:
                self.in_use += 1
                return
            self._check_queue(deadline)
            ready = threading.Event()
            waiter = (deadline, next(self._sequence), ready)
            heapq.heappush(self._waiting, waiter)
        # A request that can no longer be served by its deadline is rejected at once.
        latest_start = deadline - self.mean_service_s
        if ready.wait(max(0.0, latest_start - time.monotonic())):
            return
        with self._lock:
            if ready.is_set():
                return
            self._waiting.remove(waiter)
            heapq.heapify(self._waiting)
        raise self._overloaded("no slot came free in time")

    def _check_queue(self, deadline: float) -> None:
        if not self._is_limited():
            return
        if len(self._waiting) >= self._max_queued:
            raise self._overloaded("its queue is full")
        ahead = sum(1 for waiter in self._waiting if waiter[0] <= deadline)
        wait_s = (ahead + 1) / self.count * self.mean_service_s
        if time.monotonic() + wait_s + self.mean_service_s > deadline:
            raise self._overloaded("the wait would pass the deadline")

    def _overloaded(self, why: str) -> errors.Refused:
        drained_s = (len(self._waiting) + 1) / self.count * self.mean_service_s
        return errors.Refused(
            errors.Kind.OVERLOADED,
            f"the endpoint has {self.count} slots in use and {why}; retry later",
            retry_after_s=max(1.0, drained_s),
        )

    def release(self, service_s: float) -> None:
        """Release a slot to the waiting request with the nearest deadline."""
        with self._lock:
            diff_s = service_s - self.mean_service_s
            self.mean_service_s += diff_s * (_SMOOTHING if self.mean_service_s else 1.0)
            self.in_use -= 1
            self._assign_free_slots()

    def resize(self, count: int) -> None:
        """Change the number of slots; requests in progress beyond it may finish."""
        with self._lock:
            self.count = count
            self._assign_free_slots()

    def _assign_free_slots(self) -> None:
        while self._waiting and self.in_use < self.count:
            heapq.heappop(self._waiting)[2].set()
            self.in_use += 1


@t.final
class Endpoint:
    """One announced endpoint and the connections to it.

    Parameters
    ----------
    id : str
        The endpoint's name.
    announcement : Announcement
        Its newest announcement.
    max_queued : int
        Requests that may wait for a slot.
    max_body_bytes : int
        Largest response body that is passed on.
    is_limited : callable
        Passed on to ``Slots``.
    """

    def __init__(
        self,
        id: str,
        announcement: Announcement,
        max_queued: int,
        max_body_bytes: int,
        is_limited: abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self.id = id
        self.announcement = announcement
        self.announced_at = time.monotonic()
        self.slots = Slots(announcement["slots"], max_queued, is_limited)
        self._max_body_bytes = max_body_bytes
        host, _, port = announcement["address"].rpartition(":")
        self._pool = pool.ConnectionPool(
            host.strip("[]"), int(port), announcement["slots"]
        )

    def handle_announcement(self, announcement: Announcement) -> None:
        """Record a further announcement of the endpoint."""
        self.announcement = announcement
        self.announced_at = time.monotonic()
        if announcement["slots"] != self.slots.count:
            self.slots.resize(announcement["slots"])

    def describe(self, silence_s: float) -> messages.EndpointState:
        """Return its state, as leaving if not announced for ``silence_s`` seconds."""
        silent = time.monotonic() > self.announced_at + silence_s
        return messages.EndpointState(
            self.id,
            self.announcement["service"],
            self.slots.count,
            self.slots.in_use,
            self.slots.queued,
            self.announcement["leaving"] or silent,
            self.slots.mean_service_s,
        )

    def serve(
        self, req: messages.ForwardRequest, deadline: float, on_begin: OnBegin
    ) -> messages.ForwardResponse:
        """Forward a request to the endpoint within a slot and return the response.

        Parameters
        ----------
        req : messages.ForwardRequest
            The request.
        deadline : float
            Monotonic seconds.
        on_begin : callable
            Called once, just before the first byte can reach the endpoint.

        Raises
        ------
        errors.Error
            OVERLOADED, DEADLINE_PASSED, LEAVING or ENDPOINT_UNREACHABLE (did not run),
            ANSWER_LOST (unknown) or ANSWER_TOO_LARGE (it ran).
        """
        self.slots.acquire(deadline)
        began = time.monotonic()
        try:
            with traces.span("endpoint", req.traceparent, endpoint=self.id) as parent:
                req = req._replace(traceparent=parent)
                return self._forward(req, deadline, on_begin)
        finally:
            self.slots.release(time.monotonic() - began)

    def _forward(
        self, req: messages.ForwardRequest, deadline: float, on_begin: OnBegin
    ) -> messages.ForwardResponse:
        if time.monotonic() >= deadline:
            raise errors.Refused(
                errors.Kind.DEADLINE_PASSED, "the deadline passed while it was queued"
            )
        if self.announcement["leaving"]:
            raise errors.Refused(
                errors.Kind.LEAVING, f"endpoint {self.id} is leaving; try another"
            )
        # A used connection may be stale or silent: only idempotent requests reuse one.
        idle = self._pool.acquire_idle() if req.idempotent else None
        if idle is None:
            conn = self._open_connection(deadline)
            on_begin()
            return self._exchange(conn, req, deadline)
        on_begin()
        silence_s = max(_MIN_SILENCE_S, _SILENCE_FACTOR * self.slots.mean_service_s)
        try:
            return self._exchange(idle, req, deadline, silence_s)
        except _Silent:
            _log.info("endpoint: {} silent on a reused connection, resending", self.id)
            self._pool.close_idle()
        try:
            return self._exchange(self._open_connection(deadline), req, deadline)
        except errors.Refused as exc:
            # The first attempt may have reached the endpoint.
            raise errors.Error(exc.kind, exc.detail, ran=errors.Ran.UNKNOWN) from None

    def _open_connection(self, deadline: float) -> urllib3.connection.HTTPConnection:
        left_s = max(0.001, deadline - time.monotonic())
        try:
            return self._pool.open(min(_CONNECT_TIMEOUT_S, left_s))
        except (urllib3.exceptions.HTTPError, OSError):
            raise errors.Refused(
                errors.Kind.ENDPOINT_UNREACHABLE,
                f"endpoint {self.id} does not accept connections; try another",
            ) from None

    def _exchange(
        self,
        conn: urllib3.connection.HTTPConnection,
        req: messages.ForwardRequest,
        deadline: float,
        silence_s: float | None = None,
    ) -> messages.ForwardResponse:
        """Send a request on a connection and return the complete response.

        On a reused connection, raise ``_Silent`` after ``silence_s`` without response.
        """
        is_complete = False
        try:
            resp = self._await_response(conn, req, deadline, silence_s)
            body = self._read_body(conn, resp, deadline)
            is_complete = True
        except _EXCHANGE_ERRORS as exc:
            raise errors.Error(
                errors.Kind.ANSWER_LOST,
                f"endpoint {self.id} sent no complete response ({type(exc).__name__})",
            ) from None
        finally:
            if is_complete:
                self._pool.release(conn)
            else:
                conn.close()
        headers = remove_hop_by_hop_headers(resp.headers.items())
        return messages.ForwardResponse(
            req.request,
            resp.status,
            headers,
            body,
            len(body),
            _named_length(req.method, resp),
        )

    def _await_response(
        self,
        conn: urllib3.connection.HTTPConnection,
        req: messages.ForwardRequest,
        deadline: float,
        silence_s: float | None,
    ) -> urllib3.HTTPResponse:
        left_s = max(0.001, deadline - time.monotonic())
        conn.timeout = left_s if silence_s is None else min(left_s, silence_s)
        try:
            conn.request(
                req.method,
                req.target,
                body=req.body or None,
                headers=_headers_with_trace(req),
                preload_content=False,
                decode_content=False,
            )
            return conn.getresponse()
        except _EXCHANGE_ERRORS:
            if silence_s is None or time.monotonic() >= deadline:
                raise
            raise _Silent from None

    def _read_body(
        self,
        conn: urllib3.connection.HTTPConnection,
        resp: urllib3.HTTPResponse,
        deadline: float,
    ) -> bytes:
        self._check_framing(resp)
        parts, size = [], 0
        for part in resp.stream(_CHUNK_BYTES, decode_content=False):
            parts.append(part)
            size += len(part)
            left_s = deadline - time.monotonic()
            if size > self._max_body_bytes:
                raise errors.Error(
                    errors.Kind.ANSWER_TOO_LARGE,
                    f"endpoint {self.id} sent more than {self._max_body_bytes} bytes; "
                    "raise max_body_bytes or make it send less",
                )
            if left_s <= 0:
                raise errors.Error(
                    errors.Kind.ANSWER_LOST,
                    f"endpoint {self.id} was still responding at the deadline",
                )
            if conn.sock is not None:
                conn.sock.settimeout(left_s)
        return b"".join(parts)

    def _check_framing(self, resp: urllib3.HTTPResponse) -> None:
        """Raise if a broken connection would look like the end of the response."""
        if resp.chunked or resp.length_remaining is not None:
            return
        raise errors.Error(
            errors.Kind.ANSWER_LOST,
            f"endpoint {self.id} sent neither Content-Length nor a chunked body; "
            "make it send one of them",
            ran=errors.Ran.YES,
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close_idle()


def _named_length(method: str, resp: urllib3.HTTPResponse) -> int | None:
    if method != "HEAD" and resp.status != http.HTTPStatus.NOT_MODIFIED:
        return None
    text = resp.headers.get("Content-Length", "")
    return int(text) if text.isascii() and text.isdigit() else None


def _headers_with_trace(req: messages.ForwardRequest) -> urllib3.HTTPHeaderDict:
    headers = urllib3.HTTPHeaderDict(req.headers)
    if req.traceparent:
        headers["traceparent"] = req.traceparent
    return headers
