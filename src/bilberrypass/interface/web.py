"""What the cherrypy applications of an entry share: bodies and errors."""

import re
import sys
import typing as t

import cherrypy
import logbook
import msgspec

from bilberrypass import errors
from bilberrypass.connection import problems

_log = logbook.Logger("web")

_ID: t.Final = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")
_KIND_BY_STATUS: t.Final = {
    404: errors.Kind.NOT_FOUND,
    405: errors.Kind.METHOD_NOT_ALLOWED,
    413: errors.Kind.BODY_TOO_LARGE,
}


def quiet_cherrypy() -> None:
    """Leave logs and signals to the process."""
    cherrypy.config.update(
        {
            "log.screen": False,
            "engine.autoreload.on": False,
            "checker.on": False,
        }
    )


def check_id(id: str, what: str) -> str:
    """Return the id, or refuse it with BAD_REQUEST."""
    if not _ID.fullmatch(id):
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            f"{id[:64]!r} is no {what} id; use 1 to 128 letters, digits, . _ -",
        )
    return id


def read_body(limit: int) -> bytes:
    """Read the present request's body up to a limit in bytes."""
    text = cherrypy.request.headers.get("Content-Length") or "0"
    length = int(text) if text.isdigit() else limit + 1
    if length > limit:
        raise errors.Error(
            errors.Kind.BODY_TOO_LARGE, f"the body is over {limit} bytes; send less"
        )
    body = cherrypy.request.rfile.read(length) if length else b""
    if len(body) != length:
        raise errors.Error(
            errors.Kind.BAD_BODY,
            f"the body ended after {len(body)} of {length} bytes; send it whole",
        )
    return body


def answer_json(value: object, status: int = 200) -> bytes:
    """Answer the present request with JSON."""
    return answer_raw(msgspec.json.encode(value), status)


def answer_raw(body: bytes, status: int = 200) -> bytes:
    """Answer the present request with a JSON body that is encoded already."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "application/json"
    return body


def refuse_path(environ: dict[str, t.Any], start: t.Any) -> list[bytes]:
    """Answer a request whose path no application has, as a WSGI application."""
    path = environ["PATH_INFO"][:64]
    found = problems.problem(
        errors.Error(errors.Kind.NOT_FOUND, f"{path!r} is nothing; see the docs")
    )
    start(f"{found.status} Not Found", found.headers)
    return [found.body]


def _answer_error() -> None:
    exc = sys.exc_info()[1]
    if not isinstance(exc, errors.Error):
        _log.exception("web: a call failed")
        exc = errors.Error(errors.Kind.INTERNAL, "the entry failed; its log says why")
    _set_problem(exc)


def _set_problem(exc: errors.Error) -> None:
    found = problems.problem(exc)
    cherrypy.response.status = found.status
    cherrypy.response.headers.update(dict(found.headers))
    cherrypy.response.body = [found.body]


def _error_page(status: str, message: str, **rest: object) -> bytes:
    kind = _KIND_BY_STATUS.get(int(status[:3]), errors.Kind.BAD_REQUEST)
    found = problems.problem(errors.Error(kind, f"{message}; see the docs of the API"))
    cherrypy.response.headers["Content-Type"] = problems.CONTENT_TYPE
    return found.body


APP_CONFIG: t.Final = {
    "/": {
        "request.dispatch": cherrypy.dispatch.MethodDispatcher(),
        "request.process_request_body": False,
        "request.error_response": _answer_error,
        "error_page.default": _error_page,
        "request.show_tracebacks": False,
        "tools.trailing_slash.on": False,
        "tools.encode.on": False,
    }
}
