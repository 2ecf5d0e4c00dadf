"""The HTTP interface for callers: ``/services/<service>/<path>``."""

import http
import re
import secrets
import threading
import time
import typing as t

import cheroot.errors
import logbook

from bilberrypass import errors
from bilberrypass.claiming import claims, router
from bilberrypass.connection import endpoint, messages, problems
from bilberrypass.observing import metrics, traces
from bilberrypass.request import dispatch, limits
from bilberrypass.request import headers as request_headers
from bilberrypass.version import settings

_log = logbook.Logger("callers")

_SERVICE_NAME: t.Final = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
_TARGET: t.Final = re.compile(r"^[\x21-\x7e]+$")
_PATH_PREFIX: t.Final = "/services/"
_HTTP_REASONS: t.Final = {200: "OK", 201: "Created", 204: "No Content"}


@t.final
class CallerApplication:
    """The WSGI application that answers callers' requests.

    Parameters
    ----------
    cfg : settings.Entry
        Checked settings.
    dispatcher : dispatch.Dispatcher
        Forwards requests to agents.
    router : router.Router
        Claims the idempotency keys of non-idempotent requests.
    """

    def __init__(
        self,
        cfg: settings.Entry,
        dispatcher: dispatch.Dispatcher,
        router: router.Router,
    ) -> None:
        self._cfg = cfg
        self._dispatcher = dispatcher
        self._router = router
        self._limiter = limits.FairShareLimiter(cfg["max_requests"])
        self._lock = threading.Lock()
        self.leaving = False
        self.in_progress = 0

    def __call__(self, environ: dict[str, t.Any], start: t.Any) -> list[bytes]:
        """Answer one WSGI request."""
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
            return problems.build_problem(exc)
        except Exception:
            _log.exception("callers: request failed with an unexpected exception")
            return problems.build_problem(
                errors.Error(errors.Kind.INTERNAL, "the entry failed; see its log")
            )

    def _serve(self, environ: dict[str, t.Any]) -> messages.ForwardResponse:
        service, target = _split_target(environ)
        method = environ["REQUEST_METHOD"]
        headers = _request_headers(environ)
        options = request_headers.parse(
            method, dict(headers), self._cfg["request_timeout_s"]
        )
        body = _read_body(environ, self._cfg["max_body_bytes"])
        req = messages.ForwardRequest(
            request=secrets.token_hex(8),
            service=service,
            method=method,
            target=target,
            headers=endpoint.remove_hop_by_hop_headers(headers),
            body=body,
            time_left_s=options.deadline - time.monotonic(),
            idempotent=options.idempotent,
            traceparent=traces.sanitize_traceparent(
                environ.get("HTTP_TRACEPARENT", "")
            ),
        )
        with traces.span("entry", req.traceparent, service=service) as traceparent:
            return self._run(req._replace(traceparent=traceparent), options)

    def _run(
        self, req: messages.ForwardRequest, options: request_headers.RequestOptions
    ) -> messages.ForwardResponse:
        with self._limiter.admit(req.service):
            if options.key and not options.idempotent:
                return self._run_claimed(req, options)
            return self._run_unclaimed(req, options.deadline)

    def _run_unclaimed(
        self, req: messages.ForwardRequest, deadline: float
    ) -> messages.ForwardResponse:
        """Run a request that has no claimed idempotency key."""
        try:
            return self._dispatcher.run(req, deadline)
        except errors.Error as exc:
            if not req.idempotent and exc.ran is not errors.Ran.NO:
                # Retry-After would invite the caller to run the request twice.
                exc.retry_helps = False
                exc.detail += "; check its effect before sending it again"
            raise

    def _run_claimed(
        self, req: messages.ForwardRequest, options: request_headers.RequestOptions
    ) -> messages.ForwardResponse:
        """Run a non-idempotent request with an idempotency key at most once."""
        self._dispatcher.check_service_available(req.service)
        claim = claims.make_claim_call(options.key, req)
        first = self._router.claim(claim, options.deadline)
        if first is not None:
            return first
        try:
            answer = self._dispatcher.run(req, options.deadline)
        except errors.Error as exc:
            self._end_claim(claim, exc)
            raise
        self._router.finish(claim, answer)
        return answer

    def _end_claim(self, claim: messages.ClaimRequest, exc: errors.Error) -> None:
        if exc.ran is errors.Ran.YES:
            self._router.finish(claim, None)
        elif exc.ran is errors.Ran.NO and not self._router.release(claim):
            exc.detail += (
                "; until its key is released, requests with this key get KEY_IN_USE"
            )


def _split_target(environ: dict[str, t.Any]) -> tuple[str, str]:
    raw = environ.get("REQUEST_URI") or environ["PATH_INFO"]
    path, _, query = raw.partition("?")
    if not path.startswith(_PATH_PREFIX):
        raise errors.Error(
            errors.Kind.NOT_FOUND,
            "no such path; use /services/<service>/<path> or /jobs/<id>",
        )
    service, _, rest = path.removeprefix(_PATH_PREFIX).partition("/")
    if not _SERVICE_NAME.fullmatch(service):
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            f"{service[:64]!r} is not a valid service name; use letters, digits, . _ -",
        )
    if not _TARGET.match(raw):
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            "the request target has characters other than visible ASCII; "
            "percent-encode them",
        )
    return service, f"/{rest}" + (f"?{query}" if query else "")


def _content_length(
    method: str, answer: messages.ForwardResponse
) -> list[tuple[str, str]]:
    """Return the Content-Length header, or an empty list if none applies."""
    if answer.status == http.HTTPStatus.NO_CONTENT:
        return []
    is_without_body = method == "HEAD" or answer.status == http.HTTPStatus.NOT_MODIFIED
    length = answer.named_length if is_without_body else answer.length
    return [] if length is None else [("Content-Length", str(length))]


def _request_headers(environ: dict[str, t.Any]) -> list[tuple[str, str]]:
    headers = [
        (key[5:].replace("_", "-").lower(), value)
        for key, value in environ.items()
        if key.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("content-type", environ["CONTENT_TYPE"]))
    return headers


def _read_body(environ: dict[str, t.Any], limit: int) -> bytes:
    text = environ.get("CONTENT_LENGTH") or "0"
    length = int(text) if text.isdigit() else limit + 1
    if length > limit:
        raise _body_too_large(limit)
    chunked = environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"
    if not chunked and not length:
        return b""
    try:
        body = environ["wsgi.input"].read(limit + 1 if chunked else length)
    except (ConnectionError, TimeoutError, ValueError) as exc:
        raise errors.Error(
            errors.Kind.BAD_BODY,
            f"the request body cannot be read ({exc}); send all of it",
        ) from None
    except (cheroot.errors.MaxSizeExceeded, OSError):
        raise _body_too_large(limit) from None
    if len(body) > limit:
        raise _body_too_large(limit)
    if not chunked and len(body) != length:
        raise errors.Error(
            errors.Kind.BAD_BODY,
            f"the request body ended after {len(body)} of {length} bytes; "
            "send all of it",
        )
    return body


def _body_too_large(limit: int) -> errors.Error:
    return errors.Error(
        errors.Kind.BODY_TOO_LARGE,
        f"the request body exceeds {limit} bytes; send a smaller one",
    )
