"""Request bodies, answers and errors shared by the CherryPy applications."""

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


def configure_cherrypy() -> None:
    """Disable CherryPy's screen log, autoreload and configuration checker.

    The process handles logs and signals itself.
    """
    cherrypy.config.update(
        {
            "log.screen": False,
            "engine.autoreload.on": False,
            "checker.on": False,
        }
    )


def check_id(id: str, what: str) -> str:
    """Return the id unchanged; raise BAD_REQUEST if its form is not valid."""
    if not _ID.fullmatch(id):
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            f"{id[:64]!r} is not a {what} id; use 1 to 128 letters, digits, . _ -",
        )
    return id


def read_body(limit: int) -> bytes:
    """Return the body of the current request.

    Raises
    ------
    errors.Error
        BODY_TOO_LARGE if it exceeds ``limit`` bytes, BAD_BODY if it is truncated.
    """
    text = cherrypy.request.headers.get("Content-Length") or "0"
    length = int(text) if text.isdigit() else limit + 1
    if length > limit:
        raise errors.Error(
            errors.Kind.BODY_TOO_LARGE, f"the body exceeds {limit} bytes; send less"
        )
    body = cherrypy.request.rfile.read(length) if length else b""
    if len(body) != length:
        raise errors.Error(
            errors.Kind.BAD_BODY,
            f"the body ended after {len(body)} of {length} bytes; send all of it",
        )
    return body


def answer_json(value: object, status: int = 200) -> bytes:
    """Encode a value as the JSON body of the current response; set its status."""
    return answer_encoded_json(msgspec.json.encode(value), status)


def answer_encoded_json(body: bytes, status: int = 200) -> bytes:
    """Set status and type of the current response; return its encoded JSON body."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "application/json"
    return body


def not_found_application(
    environ: dict[str, t.Any], start_response: t.Any
) -> list[bytes]:
    """Answer 404 as the WSGI application for paths that no other one is mounted at."""
    path = environ["PATH_INFO"][:64]
    problem = problems.build_problem(
        errors.Error(
            errors.Kind.NOT_FOUND, f"{path!r} does not exist; see the API documentation"
        )
    )
    start_response(f"{problem.status} Not Found", problem.headers)
    return [problem.body]


def _handle_error() -> None:
    exc = sys.exc_info()[1]
    if not isinstance(exc, errors.Error):
        _log.exception("web: unexpected exception while handling a request")
        exc = errors.Error(
            errors.Kind.INTERNAL, "internal error in the entry; see its log"
        )
    _set_problem_response(exc)


def _set_problem_response(exc: errors.Error) -> None:
    problem = problems.build_problem(exc)
    cherrypy.response.status = problem.status
    cherrypy.response.headers.update(dict(problem.headers))
    cherrypy.response.body = [problem.body]


def _render_error_page(status: str, message: str, **rest: object) -> bytes:
    kind = _KIND_BY_STATUS.get(int(status[:3]), errors.Kind.BAD_REQUEST)
    problem = problems.build_problem(
        errors.Error(kind, f"{message}; see the API documentation")
    )
    cherrypy.response.headers["Content-Type"] = problems.CONTENT_TYPE
    return problem.body


APP_CONFIG: t.Final = {
    "/": {
        "request.dispatch": cherrypy.dispatch.MethodDispatcher(),
        "request.process_request_body": False,
        "request.error_response": _handle_error,
        "error_page.default": _render_error_page,
        "request.show_tracebacks": False,
        "tools.trailing_slash.on": False,
        "tools.encode.on": False,
    }
}
