"""The interface to callers: ``/services/<service>/<path>``."""

import http
import re
import secrets
import threading
import time
import typing as t

import cheroot.errors
import logbook

from bilberrypass import errors
from bilberrypass.claiming import claiming, claims
from bilberrypass.connection import endpoint, messages, problems
from bilberrypass.observing import metrics, traces
from bilberrypass.request import dispatch, limits
from bilberrypass.request import headers as steering_headers
from bilberrypass.version import settings

_log = logbook.Logger("callers")

_SERVICE: t.Final = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
_TARGET: t.Final = re.compile(r"^[\x21-\x7e]+$")
_PREFIX: t.Final = "/services/"
_HTTP_REASONS: t.Final = {200: "OK", 201: "Created", 204: "No Content"}


@t.final
class Callers:
    """The WSGI application that answers callers' requests.

    Parameters
    ----------
    cfg : settings.Entry
        Checked settings.
    dispatcher : dispatch.Dispatcher
        Sends requests to agents.
    router : claiming.Router
        Claims the keys of non-idempotent requests.
    """

    def __init__(
        self,
        cfg: settings.Entry,
        dispatcher: dispatch.Dispatcher,
        router: claiming.Router,
    ) -> None:
        self._cfg = cfg
        self._dispatcher = dispatcher
        self._router = router
        self._shares = limits.Shares(cfg["max_requests"])
        self._lock = threading.Lock()
        self.leaving = False
        self.in_progress = 0

    def __call__(self, environ: dict[str, t.Any], start: t.Any) -> list[bytes]:
        """Answer one request."""
        began = time.monotonic()
        with self._lock:
            self.in_progress += 1
        metrics.gauge(metrics.Name.IN_PROGRESS, self.in_progress)
        try:
            status, headers, body = self._answer(environ)
        finally:
            with self._lock:
                self.in_progress -= 1
            metrics.count(metrics.Name.REQUESTS)
            metrics.timing(metrics.Name.REQUEST_MS, began)
        if self.leaving:
            headers.append(("Connection", "close"))
        start(f"{status} {_HTTP_REASONS.get(status, 'Status')}", headers)
        return [b"" if environ["REQUEST_METHOD"] == "HEAD" else body]

    def _answer(
        self, environ: dict[str, t.Any]
    ) -> tuple[int, list[tuple[str, str]], bytes]:
        try:
            answer = self._serve(environ)
            length = _content_length(environ["REQUEST_METHOD"], answer)
            return answer.status, [*answer.headers, *length], answer.body
        except errors.Error as exc:
            return problems.problem(exc)
        except Exception:
            _log.exception("callers: a request failed")
            return problems.problem(
                errors.Error(errors.Kind.INTERNAL, "the entry failed; its log says why")
            )

    def _serve(self, environ: dict[str, t.Any]) -> messages.Forwarded:
        service, target = _split_target(environ)
        method = environ["REQUEST_METHOD"]
        headers = _headers(environ)
        steering = steering_headers.parse(
            method, dict(headers), self._cfg["request_timeout_s"]
        )
        body = _read_body(environ, self._cfg["max_body_bytes"])
        req = messages.Forward(
            request=secrets.token_hex(8),
            service=service,
            method=method,
            target=target,
            headers=endpoint.end_to_end(headers),
            body=body,
            time_left_s=steering.deadline - time.monotonic(),
            idempotent=steering.idempotent,
            traceparent=traces.clean(environ.get("HTTP_TRACEPARENT", "")),
        )
        with traces.span("entry", req.traceparent, service=service) as traceparent:
            return self._run(req._replace(traceparent=traceparent), steering)

    def _run(
        self, req: messages.Forward, steering: steering_headers.Steering
    ) -> messages.Forwarded:
        with self._shares.hold(req.service):
            if steering.key and not steering.idempotent:
                return self._run_claimed(req, steering)
            return self._run_unclaimed(req, steering.deadline)

    def _run_unclaimed(
        self, req: messages.Forward, deadline: float
    ) -> messages.Forwarded:
        """Run a request that no key keeps from running again."""
        try:
            return self._dispatcher.run(req, deadline)
        except errors.Error as exc:
            if not req.idempotent and exc.ran is not errors.Ran.NO:
                # Retry-After would ask the caller to run it twice.
                exc.retry_helps = False
                exc.detail += "; look up its effect before sending it again"
            raise

    def _run_claimed(
        self, req: messages.Forward, steering: steering_headers.Steering
    ) -> messages.Forwarded:
        """Run a keyed non-idempotent request at most once."""
        self._dispatcher.check(req.service)
        claim = claims.identify(steering.key, req)
        first = self._router.take(claim, steering.deadline)
        if first is not None:
            return first
        try:
            answer = self._dispatcher.run(req, steering.deadline)
        except errors.Error as exc:
            self._end_claim(claim, exc)
            raise
        self._router.finish(claim, answer)
        return answer

    def _end_claim(self, claim: messages.ClaimCall, exc: errors.Error) -> None:
        if exc.ran is errors.Ran.YES:
            self._router.finish(claim, None)
        elif exc.ran is errors.Ran.NO and not self._router.release(claim):
            exc.detail += "; until its key is free, the same key is told KEY_IN_USE"


def _split_target(environ: dict[str, t.Any]) -> tuple[str, str]:
    raw = environ.get("REQUEST_URI") or environ["PATH_INFO"]
    path, _, query = raw.partition("?")
    if not path.startswith(_PREFIX):
        raise errors.Error(
            errors.Kind.NOT_FOUND, "use /services/<service>/<path> or /jobs/<id>"
        )
    service, _, rest = path.removeprefix(_PREFIX).partition("/")
    if not _SERVICE.fullmatch(service):
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            f"{service[:64]!r} is no service name; use letters, digits, . _ -",
        )
    if not _TARGET.match(raw):
        raise errors.Error(
            errors.Kind.BAD_REQUEST, "the target has other than visible ASCII; quote it"
        )
    return service, f"/{rest}" + (f"?{query}" if query else "")


def _content_length(method: str, answer: messages.Forwarded) -> list[tuple[str, str]]:
    """Return the Content-Length header, or none where there is none to tell."""
    if answer.status == http.HTTPStatus.NO_CONTENT:
        return []
    is_without_body = method == "HEAD" or answer.status == http.HTTPStatus.NOT_MODIFIED
    length = answer.named_length if is_without_body else answer.length
    return [] if length is None else [("Content-Length", str(length))]


def _headers(environ: dict[str, t.Any]) -> list[tuple[str, str]]:
    found = [
        (key[5:].replace("_", "-").lower(), value)
        for key, value in environ.items()
        if key.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        found.append(("content-type", environ["CONTENT_TYPE"]))
    return found


def _read_body(environ: dict[str, t.Any], limit: int) -> bytes:
    text = environ.get("CONTENT_LENGTH") or "0"
    length = int(text) if text.isdigit() else limit + 1
    if length > limit:
        raise _too_large(limit)
    chunked = environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"
    if not chunked and not length:
        return b""
    try:
        body = environ["wsgi.input"].read(limit + 1 if chunked else length)
    except (ConnectionError, TimeoutError, ValueError) as exc:
        raise errors.Error(
            errors.Kind.BAD_BODY, f"the body cannot be read ({exc}); send it whole"
        ) from None
    except (cheroot.errors.MaxSizeExceeded, OSError):
        raise _too_large(limit) from None
    if len(body) > limit:
        raise _too_large(limit)
    if not chunked and len(body) != length:
        raise errors.Error(
            errors.Kind.BAD_BODY,
            f"the body ended after {len(body)} of {length} bytes; send it whole",
        )
    return body


def _too_large(limit: int) -> errors.Error:
    return errors.Error(
        errors.Kind.BODY_TOO_LARGE, f"the body is over {limit} bytes; send less"
    )
