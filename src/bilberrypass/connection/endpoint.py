"""An agent's connection to one endpoint on its host."""

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

_CONNECT_S: t.Final = 1.0
_CHUNK_BYTES: t.Final = 64 << 10
_LEAST_SILENCE_S: t.Final = 2.0
_SILENCE_FACTOR: t.Final = 4.0
_SMOOTHING: t.Final = 0.1
_HOP_BY_HOP: t.Final = frozenset(
    "connection keep-alive proxy-authenticate proxy-authorization te trailer "
    "transfer-encoding upgrade content-length host expect".split()
)
_BROKEN: t.Final = (
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
    OSError,
    ValueError,
)

Begin = abc.Callable[[], None]
"""Notes that the request reaches the endpoint from now on, or refuses it."""


class Announcement(t.TypedDict):
    """What an endpoint says of itself to its agent."""

    service: str
    address: str
    slots: int
    leaving: bool


def end_to_end(headers: t.Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that are passed on."""
    return [(k, v) for k, v in headers if k.lower() not in _HOP_BY_HOP]


class _Silent(Exception):
    """A connection that was used before gives no sign of life."""


@t.final
class Slots:
    """The slots of one endpoint; waiting requests stand ordered by deadline.

    Parameters
    ----------
    count : int
        Requests served at once.
    max_queued : int
        Requests that may wait; one more is refused at once.
    is_limited : callable
        Tells whether requests are refused before they wait.
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
        self._order = itertools.count()
        self._waiting: list[tuple[float, int, threading.Event]] = []
        self.in_use = 0
        self.service_s = 0.0

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    def take(self, deadline: float) -> None:
        """Take a slot, waiting while the deadline (monotonic seconds) can be met.

        Raises
        ------
        errors.Refused
            OVERLOADED if the queue is full or no slot comes free in time.
        """
        with self._lock:
            if self.in_use < self.count:
                self.in_use += 1
                return
            self._check_room(deadline)
            ready = threading.Event()
            place = (deadline, next(self._order), ready)
            heapq.heappush(self._waiting, place)
        # What cannot be served by its deadline any more is refused at once.
        latest = deadline - self.service_s
        if ready.wait(max(0.0, latest - time.monotonic())):
            return
        with self._lock:
            if ready.is_set():
                return
            self._waiting.remove(place)
            heapq.heapify(self._waiting)
        raise self._refusal("no slot came free in time")

    def _check_room(self, deadline: float) -> None:
        if not self._is_limited():
            return
        if len(self._waiting) >= self._max_queued:
            raise self._refusal("its queue is full")
        ahead = sum(1 for place in self._waiting if place[0] <= deadline)
        wait_s = (ahead + 1) / self.count * self.service_s
        if time.monotonic() + wait_s + self.service_s > deadline:
            raise self._refusal("the wait would pass the deadline")

    def _refusal(self, why: str) -> errors.Refused:
        drained_s = (len(self._waiting) + 1) / self.count * self.service_s
        return errors.Refused(
            errors.Kind.OVERLOADED,
            f"the endpoint has {self.count} slots in use and {why}; come back later",
            retry_after_s=max(1.0, drained_s),
        )

    def release(self, service_s: float) -> None:
        """Give a slot back; the waiting request with the nearest deadline has it."""
        with self._lock:
            gain = service_s - self.service_s
            self.service_s += gain * (_SMOOTHING if self.service_s else 1.0)
            self.in_use -= 1
            self._hand_over()

    def resize(self, count: int) -> None:
        """Change the number of slots; those in use beyond it run out."""
        with self._lock:
            self.count = count
            self._hand_over()

    def _hand_over(self) -> None:
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
    said : Announcement
        Its newest announcement.
    max_queued : int
        Requests that may wait for a slot.
    max_body_bytes : int
        Largest answer that is passed on.
    is_limited : callable
        Tells whether requests are refused before they wait.
    """

    def __init__(
        self,
        id: str,
        said: Announcement,
        max_queued: int,
        max_body_bytes: int,
        is_limited: abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self.id = id
        self.said = said
        self.heard_at = time.monotonic()
        self.slots = Slots(said["slots"], max_queued, is_limited)
        self._max_body_bytes = max_body_bytes
        host, _, port = said["address"].rpartition(":")
        self._pool = pool.Connections(host.strip("[]"), int(port), said["slots"])

    def hear(self, said: Announcement) -> None:
        """Note that the endpoint announced itself again."""
        self.said = said
        self.heard_at = time.monotonic()
        if said["slots"] != self.slots.count:
            self.slots.resize(said["slots"])

    def state(self, silence_s: float) -> messages.EndpointState:
        """Describe the endpoint; one that has gone silent counts as leaving."""
        silent = time.monotonic() > self.heard_at + silence_s
        return messages.EndpointState(
            self.id,
            self.said["service"],
            self.slots.count,
            self.slots.in_use,
            self.slots.queued,
            self.said["leaving"] or silent,
            self.slots.service_s,
        )

    def serve(
        self, req: messages.Forward, deadline: float, begin: Begin
    ) -> messages.Forwarded:
        """Have the endpoint answer a request within a slot.

        Parameters
        ----------
        req : messages.Forward
            The request.
        deadline : float
            Monotonic seconds.
        begin : callable
            Called once, just before the first byte can reach the endpoint.

        Raises
        ------
        errors.Error
            OVERLOADED or ENDPOINT_UNREACHABLE (it did not run), ANSWER_LOST
            (unknown) or ANSWER_TOO_LARGE (it ran).
        """
        self.slots.take(deadline)
        began = time.monotonic()
        try:
            with traces.span("endpoint", req.traceparent, endpoint=self.id) as parent:
                req = req._replace(traceparent=parent)
                return self._exchange(req, deadline, begin)
        finally:
            self.slots.release(time.monotonic() - began)

    def _exchange(
        self, req: messages.Forward, deadline: float, begin: Begin
    ) -> messages.Forwarded:
        if time.monotonic() >= deadline:
            raise errors.Refused(
                errors.Kind.DEADLINE_PASSED, "the deadline passed in the queue"
            )
        if self.said["leaving"]:
            raise errors.Refused(
                errors.Kind.LEAVING, f"endpoint {self.id} leaves; try another"
            )
        # A connection used before may have gone stale or silent: only what may
        # run twice goes on one.
        idle = self._pool.take_idle() if req.idempotent else None
        if idle is None:
            conn = self._open(deadline)
            begin()
            return self._answer(conn, req, deadline)
        begin()
        silence_s = max(_LEAST_SILENCE_S, _SILENCE_FACTOR * self.slots.service_s)
        try:
            return self._answer(idle, req, deadline, silence_s)
        except _Silent:
            _log.info("endpoint: {} silent on a used connection, renewed", self.id)
            self._pool.clear()
        try:
            return self._answer(self._open(deadline), req, deadline)
        except errors.Refused as exc:
            # The first sending may have arrived.
            raise errors.Error(exc.kind, exc.detail, ran=errors.Ran.UNKNOWN) from None

    def _open(self, deadline: float) -> urllib3.connection.HTTPConnection:
        left_s = max(0.001, deadline - time.monotonic())
        try:
            return self._pool.open(min(_CONNECT_S, left_s))
        except (urllib3.exceptions.HTTPError, OSError):
            raise errors.Refused(
                errors.Kind.ENDPOINT_UNREACHABLE,
                f"endpoint {self.id} takes no connection; try another",
            ) from None

    def _answer(
        self,
        conn: urllib3.connection.HTTPConnection,
        req: messages.Forward,
        deadline: float,
        silence_s: float | None = None,
    ) -> messages.Forwarded:
        """Send a request on a connection and read its answer whole.

        With ``silence_s`` the connection was used before, and ``_Silent`` tells
        that no answer began on it.
        """
        is_whole = False
        try:
            resp = self._await_answer(conn, req, deadline, silence_s)
            body = self._read_whole(conn, resp, deadline)
            is_whole = True
        except _BROKEN as exc:
            raise errors.Error(
                errors.Kind.ANSWER_LOST,
                f"endpoint {self.id} gave no whole answer ({type(exc).__name__})",
            ) from None
        finally:
            if is_whole:
                self._pool.give_back(conn)
            else:
                conn.close()
        headers = end_to_end(resp.headers.items())
        return messages.Forwarded(
            req.request,
            resp.status,
            headers,
            body,
            len(body),
            _named_length(req.method, resp),
        )

    def _await_answer(
        self,
        conn: urllib3.connection.HTTPConnection,
        req: messages.Forward,
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
                headers=_traced(req),
                preload_content=False,
                decode_content=False,
            )
            return conn.getresponse()
        except _BROKEN:
            if silence_s is None or time.monotonic() >= deadline:
                raise
            raise _Silent from None

    def _read_whole(
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
                    f"endpoint {self.id} answered more than {self._max_body_bytes} "
                    "bytes; raise max_body_bytes or answer less",
                )
            if left_s <= 0:
                raise errors.Error(
                    errors.Kind.ANSWER_LOST,
                    f"endpoint {self.id} was still answering at the deadline",
                )
            if conn.sock is not None:
                conn.sock.settimeout(left_s)
        return b"".join(parts)

    def _check_framing(self, resp: urllib3.HTTPResponse) -> None:
        """Refuse an answer whose end cannot be told from a broken connection."""
        if resp.chunked or resp.length_remaining is not None:
            return
        raise errors.Error(
            errors.Kind.ANSWER_LOST,
            f"endpoint {self.id} answered without Content-Length or chunks; "
            "have it send one of them",
            ran=errors.Ran.YES,
        )

    def close(self) -> None:
        """Close idle connections."""
        self._pool.clear()


def _named_length(method: str, resp: urllib3.HTTPResponse) -> int | None:
    if method != "HEAD" and resp.status != http.HTTPStatus.NOT_MODIFIED:
        return None
    text = resp.headers.get("Content-Length", "")
    return int(text) if text.isascii() and text.isdigit() else None


def _traced(req: messages.Forward) -> urllib3.HTTPHeaderDict:
    headers = urllib3.HTTPHeaderDict(req.headers)
    if req.traceparent:
        headers["traceparent"] = req.traceparent
    return headers
