"""An agent's connection to one endpoint on its host."""

import heapq
import itertools
import threading
import time
import typing as t

import urllib3

from bilberrypass import errors
from bilberrypass.connection import messages
from bilberrypass.process import traces

_CONNECT_S: t.Final = 1.0
_CHUNK_BYTES: t.Final = 64 << 10
_HOP_BY_HOP: t.Final = frozenset(
    "connection keep-alive proxy-authenticate proxy-authorization te trailer "
    "transfer-encoding upgrade content-length host".split()
)


class Announcement(t.TypedDict):
    """What an endpoint says of itself to its agent."""

    service: str
    address: str
    slots: int
    leaving: bool


def end_to_end(headers: t.Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that are passed on."""
    return [(k, v) for k, v in headers if k.lower() not in _HOP_BY_HOP]


@t.final
class Slots:
    """The slots of one endpoint; waiting requests stand ordered by deadline.

    Parameters
    ----------
    count : int
        Requests served at once.
    max_queued : int
        Requests that may wait; one more is refused at once.
    """

    def __init__(self, count: int, max_queued: int) -> None:
        self.count = count
        self._max_queued = max_queued
        self._lock = threading.Lock()
        self._order = itertools.count()
        self._waiting: list[tuple[float, int, threading.Event]] = []
        self.in_use = 0

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    def take(self, deadline: float) -> None:
        """Take a slot, waiting up to the deadline (monotonic seconds).

        Raises
        ------
        errors.Refused
            OVERLOADED if the queue is full or no slot came free in time.
        """
        with self._lock:
            if self.in_use < self.count:
                self.in_use += 1
                return
            if len(self._waiting) >= self._max_queued:
                raise self._refusal("its queue is full")
            ready = threading.Event()
            place = (deadline, next(self._order), ready)
            heapq.heappush(self._waiting, place)
        if ready.wait(max(0.0, deadline - time.monotonic())):
            return
        with self._lock:
            if ready.is_set():
                return
            self._waiting.remove(place)
            heapq.heapify(self._waiting)
        raise self._refusal("no slot came free by the deadline")

    def _refusal(self, why: str) -> errors.Refused:
        return errors.Refused(
            errors.Kind.OVERLOADED,
            f"the endpoint has {self.count} slots in use and {why}; come back later",
        )

    def release(self) -> None:
        """Give a slot back; the waiting request with the nearest deadline has it."""
        with self._lock:
            if self._waiting:
                heapq.heappop(self._waiting)[2].set()
            else:
                self.in_use -= 1


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
    """

    def __init__(
        self, id: str, said: Announcement, max_queued: int, max_body_bytes: int
    ) -> None:
        self.id = id
        self.said = said
        self.heard_at = time.monotonic()
        self.slots = Slots(said["slots"], max_queued)
        self._max_body_bytes = max_body_bytes
        host, _, port = said["address"].rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=said["slots"], block=False, retries=False
        )

    def hear(self, said: Announcement) -> None:
        """Note that the endpoint announced itself again."""
        self.said = said
        self.heard_at = time.monotonic()

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
        )

    def serve(self, req: messages.Forward, deadline: float) -> messages.Forwarded:
        """Have the endpoint answer a request within a slot.

        Raises
        ------
        errors.Error
            OVERLOADED or ENDPOINT_UNREACHABLE (it did not run), ANSWER_LOST
            (unknown) or ANSWER_TOO_LARGE (it ran).
        """
        self.slots.take(deadline)
        try:
            with traces.span("endpoint", req.traceparent, endpoint=self.id) as parent:
                return self._exchange(req._replace(traceparent=parent), deadline)
        finally:
            self.slots.release()

    def _exchange(self, req: messages.Forward, deadline: float) -> messages.Forwarded:
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            raise errors.Refused(
                errors.Kind.DEADLINE_PASSED, "the deadline passed in the queue"
            )
        timeout = urllib3.Timeout(connect=min(_CONNECT_S, left_s), read=left_s)
        try:
            resp = self._pool.urlopen(
                req.method,
                req.target,
                body=req.body or None,
                headers=_traced(req),
                timeout=timeout,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
            body = self._read_whole(resp, deadline)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            raise errors.Refused(
                errors.Kind.ENDPOINT_UNREACHABLE,
                f"endpoint {self.id} takes no connection; try another",
            ) from None
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise errors.Error(
                errors.Kind.ANSWER_LOST,
                f"endpoint {self.id} gave no whole answer ({type(exc).__name__})",
            ) from None
        headers = end_to_end(resp.headers.items())
        return messages.Forwarded(req.request, resp.status, headers, body, len(body))

    def _read_whole(self, resp: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
        parts, size = [], 0
        for part in resp.stream(_CHUNK_BYTES, decode_content=False):
            parts.append(part)
            size += len(part)
            if size > self._max_body_bytes:
                resp.close()
                raise errors.Error(
                    errors.Kind.ANSWER_TOO_LARGE,
                    f"endpoint {self.id} answered more than {self._max_body_bytes} "
                    "bytes; raise max_body_bytes or answer less",
                )
            if time.monotonic() > deadline:
                resp.close()
                raise errors.Error(
                    errors.Kind.ANSWER_LOST,
                    f"endpoint {self.id} was still answering at the deadline",
                )
        resp.release_conn()
        return b"".join(parts)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()


def _traced(req: messages.Forward) -> urllib3.HTTPHeaderDict:
    headers = urllib3.HTTPHeaderDict(req.headers)
    if req.traceparent:
        headers["traceparent"] = req.traceparent
    return headers
