"""HTTP interface for callers: submission, status and cancellation of jobs."""

import collections.abc as abc
import contextlib
import re
import time
import typing as t

import logbook
import msgspec
import prometheus_client as prometheus

from bilberrypass import clock, decoding, errors
from bilberrypass.connection import problems
from bilberrypass.scheduling import entry, jobs, queues, retry_advice

_log = logbook.Logger("front")

_ID_PATTERN: t.Final = re.compile(r"^[0-9a-f]{16}$")
_DEADLINE_HEADER: t.Final = "HTTP_TIME_REMAINING"
_DEFAULT_TIMEOUT_S: t.Final = 3.0
_RESPONSE_MARGIN_S: t.Final = 0.1  # reserved for sending the response
_MS: t.Final = 1_000.0
_REASON_PHRASES: t.Final = {200: "OK", 404: "Not Found", 410: "Gone"}

_request_seconds = prometheus.Histogram(
    "bilberrypass_request_seconds", "Duration of callers' requests", ["method"]
)
_requests = prometheus.Counter(
    "bilberrypass_requests", "Callers' requests", ["method", "status"]
)
_retry_after_seconds = prometheus.Histogram(
    "bilberrypass_retry_after_seconds",
    "Retry-After of refusals in an outage of the store",
    buckets=(1, 2, 3, 4, 5),
)


class _Step(msgspec.Struct):
    count: int
    # Thousandths of a core.
    cpu: int = 0
    task_memory_mb: int = 0
    gpu: int = 0
    estimated_ms: float = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    # A label that the runner must have.
    requirements: str = ""
    # The rack closest to the task's data.
    affinity: str = ""
    # Maximum number of tasks of the step on one runner.
    anti_affinity: int = 0
    # The task writes checkpoints.
    checkpointing: bool = False
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    # The task's cores do not count against the runner's capacity.
    fills: bool = False
    may_miss: int = 0


class _Submission(msgspec.Struct):
    specification: str
    steps: tuple[_Step, ...]
    repetitions: int = 0
    first_run_ms: float = 0
    interval_ms: float = 0


def _convert_step(found: _Step) -> jobs.Step:
    return jobs.Step(
        count=found.count,
        cpu_milli=found.cpu,
        memory_mb=found.task_memory_mb,
        gpus=found.gpu,
        estimate_s=found.estimated_ms / _MS,
        after=found.after,
        is_gang=found.gang,
        is_rack_bound=found.same_rack,
        required_label=found.requirements,
        data_rack=found.affinity,
        max_per_host=found.anti_affinity,
        has_checkpoints=found.checkpointing,
        may_duplicate=found.allow_duplicates,
        is_service=found.long_running,
        image=found.image,
        latency_target_ms=int(found.target_ms),
        is_filler=found.fills,
        max_unavailable=found.may_miss,
    )


def read_job(id: str, queue: str, body: bytes) -> jobs.Job:
    """Decode and validate a submission.

    Raises
    ------
    errors.Refused
        BAD_BODY, naming the field and its remedy.
    """
    try:
        found = decoding.decode_json(body, _Submission)
    except decoding.UnreadableError as exc:
        raise errors.Refused(
            errors.Kind.BAD_BODY, f"{exc}; correct the body", ran=errors.Ran.NO
        ) from exc
    job = jobs.Job(
        id,
        queue,
        found.specification,
        tuple(map(_convert_step, found.steps)),
        time.time(),
        found.repetitions,
        found.first_run_ms / _MS,
        found.interval_ms / _MS,
    )
    jobs.check(job)
    return job


class _Response(t.NamedTuple):
    status: int
    body: bytes


@t.final
class CallerApplication:
    """The WSGI application that answers callers.

    Parameters
    ----------
    served : entry.Entry
        Stores, finds and cancels jobs.
    """

    def __init__(self, served: entry.Entry) -> None:
        self._entry = served
        self._returns = retry_advice.ReturnSchedule()
        self.is_leaving = False

    def __call__(self, environ: dict[str, t.Any], start: t.Any) -> list[bytes]:
        """Answer one request of a caller."""
        started_at = clock.now()
        method = environ["REQUEST_METHOD"]
        headers = [("Content-Type", "application/json")]
        try:
            status, body = self._serve(method, environ)
        except errors.Error as exc:
            status, headers, body = problems.build_problem(exc)
        except Exception:
            _log.exception("front: request failed with an unexpected error")
            exc = errors.Error(
                errors.Kind.INTERNAL, "unexpected error in the entry; see its log"
            )
            status, headers, body = problems.build_problem(exc)
        if not any(key == "Content-Length" for key, _ in headers):
            headers.append(("Content-Length", str(len(body))))
        if self.is_leaving:
            headers.append(("Connection", "close"))
        _requests.labels(method, status).inc()
        _request_seconds.labels(method).observe(clock.now() - started_at)
        start(f"{status} {_REASON_PHRASES.get(status, 'Status')}", headers)
        return [body]

    def _serve(self, method: str, environ: dict[str, t.Any]) -> _Response:
        table = self._entry.table
        if table is None:
            raise errors.Refused(
                errors.Kind.NOT_READY,
                "no configuration has been read; try another entry",
                retry_after_s=1.0,
            )
        path = environ["PATH_INFO"]
        route = table.find_route(environ.get("HTTP_HOST", ""), path)
        if route is None:
            raise errors.Refused(
                errors.Kind.NOT_FOUND, f"no queue is configured at {path[:80]}"
            )
        patience_s = _time_left_s(environ)
        deadline = clock.now() + patience_s - _RESPONSE_MARGIN_S
        id = path.removeprefix(route.prefix)
        if not id and method == "GET":
            waiting = self._entry.count_waiting(
                queues.queue_name(route.host, route.prefix)
            )
            return _json_response(200, {"waiting": waiting})
        if not _ID_PATTERN.match(id):
            raise errors.Refused(
                errors.Kind.NOT_FOUND, f"{id[:40]!r} is not an id of 16 hex digits"
            )
        if method == "POST":
            _check_queue_supported(route)
            body = _read_body(environ, table.config.limits.max_body_bytes)
            name = queues.queue_name(route.host, route.prefix)
            job = read_job(id, name, body)
            with self._caller_errors(patience_s):
                self._entry.submit(job, deadline)
            return _json_response(200, {})
        if method == "GET":
            status = self._entry.status(id, deadline)
            return (
                _json_response(200, {"state": status})
                if status
                else _json_response(410, {})
            )
        if method == "DELETE":
            with self._caller_errors(patience_s):
                is_known = self._entry.cancel(id, deadline)
            return _json_response(200 if is_known else 410, {})
        raise errors.Refused(
            errors.Kind.METHOD_NOT_ALLOWED, f"{method}: use POST, GET or DELETE"
        )

    @contextlib.contextmanager
    def _caller_errors(self, patience_s: float) -> abc.Iterator[None]:
        """Raise the error to answer with, if a change in this context fails.

        That is 502 if the change may have been stored: callers rely on 429 and 503 to
        mean that nothing was.
        """
        try:
            yield
        except errors.Error as exc:
            if exc.kind is errors.Kind.STORE_UNCERTAIN or exc.ran is errors.Ran.UNKNOWN:
                raise errors.Error(errors.Kind.ANSWER_LOST, exc.detail) from exc
            if exc.kind is not errors.Kind.STORE_DOWN:
                raise
            wait_s = self._returns.assign(
                clock.now(), self._entry.store_outage_age_s, patience_s
            )
            _retry_after_seconds.observe(wait_s)
            raise errors.Deferred(exc.kind, exc.detail, wait_s) from exc


def _check_queue_supported(route: queues.Route) -> None:
    """Raise NOT_READY for a queue whose jobs could never be started on a host."""
    if route.queue.needs_advice:
        raise errors.Refused(
            errors.Kind.NOT_READY,
            f"queue {route.queue.name} requires advice before a start, which is "
            "not supported; use another queue",
            retry_after_s=60.0,
        )


def _json_response(status: int, content: t.Any) -> _Response:
    return _Response(status, msgspec.json.encode(content))


def _time_left_s(environ: dict[str, t.Any]) -> float:
    """Return the caller's remaining time in seconds; the header has milliseconds."""
    text = environ.get(_DEADLINE_HEADER, "")
    try:
        return float(text) / _MS if text else _DEFAULT_TIMEOUT_S
    except ValueError:
        raise errors.Refused(
            errors.Kind.BAD_HEADER, f"Time-Remaining: {text[:20]!r} is not a number"
        ) from None


def _read_body(environ: dict[str, t.Any], limit: int) -> bytes:
    body = environ["wsgi.input"].read(limit + 1)
    if len(body) > limit:
        raise errors.Refused(
            errors.Kind.BODY_TOO_LARGE,
            f"the body exceeds {limit} bytes; send a smaller one",
        )
    return body
