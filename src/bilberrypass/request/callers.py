"""The interface to callers: ``/services/<service>/<path>``."""

import re
import secrets
import threading
import time
import typing as t

import cheroot.errors
import logbook

from bilberrypass import errors
from bilberrypass.connection import channels, endpoint, messages
from bilberrypass.process import fleet, metrics, traces
from bilberrypass.request import headers as steering_headers
from bilberrypass.request import problems, routing
from bilberrypass.version import settings

_log = logbook.Logger("callers")

_SERVICE: t.Final = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
_PREFIX: t.Final = "/services/"
_HTTP_REASONS: t.Final = {200: "OK", 201: "Created", 204: "No Content"}


@t.final
class Callers:
    """The WSGI application that answers callers' requests.

    Parameters
    ----------
    cfg : settings.Entry
        Checked settings.
    hosts : fleet.Fleet
        The hosts known by reports.
    policy : routing.Policy
        Chooses hosts.
    """

    def __init__(
        self, cfg: settings.Entry, hosts: fleet.Fleet, policy: routing.Policy
    ) -> None:
        self._cfg = cfg
        self._hosts = hosts
        self._policy = policy
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
            if self.in_progress > self._cfg["max_requests"]:
                raise errors.Error(
                    errors.Kind.OVERLOADED,
                    f"{self._cfg['max_requests']} requests are in progress here; "
                    "come back later",
                )
            answer = self._serve(environ)
            headers = [*answer.headers, ("Content-Length", str(answer.length))]
            return answer.status, headers, answer.body
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
            req = req._replace(traceparent=traceparent)
            return self._forward(req, steering.deadline)

    def _forward(self, req: messages.Forward, deadline: float) -> messages.Forwarded:
        hosts = self._hosts.serving(req.service)
        if not hosts:
            self._refuse(req.service)
        host = self._policy.choose(req.service, hosts)
        left_s = deadline - time.monotonic()
        answer = host.peer.call(
            channels.FORWARD, req._replace(time_left_s=left_s), deadline
        )
        if answer.request != req.request or answer.length != len(answer.body):
            raise errors.Error(
                errors.Kind.ANSWER_LOST,
                f"{host.report.host} gave the answer to another request; ask again",
            )
        return answer

    def _refuse(self, service: str) -> t.NoReturn:
        if self._hosts.knows(service):
            raise errors.Error(
                errors.Kind.NO_ENDPOINT,
                f"no endpoint of {service} takes requests now; come back later",
            )
        raise errors.Error(
            errors.Kind.UNKNOWN_SERVICE,
            f"no endpoint of {service!r} ever announced itself; check the name",
        )


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
    return service, f"/{rest}" + (f"?{query}" if query else "")


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
    except (cheroot.errors.MaxSizeExceeded, OSError):
        raise _too_large(limit) from None
    except ValueError as exc:
        raise errors.Error(
            errors.Kind.BAD_BODY, f"the body cannot be read ({exc}); send it whole"
        ) from None
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
