"""The agent's HTTP interface, at which endpoints announce themselves."""

import re
import typing as t

import msgspec
import pydantic
import typing_extensions as te

from bilberrypass import errors
from bilberrypass.connection import endpoint
from bilberrypass.version import settings

_MAX_ANNOUNCEMENT_BYTES: t.Final = 4096
_PATH: t.Final = re.compile(r"^/endpoints/([A-Za-z0-9][A-Za-z0-9._-]{0,62})$")


class _Announcement(te.TypedDict):
    """An announcement as it comes in."""

    __pydantic_config__ = pydantic.ConfigDict(  # type: ignore[misc]
        extra="forbid", strict=True
    )

    service: settings.Name
    address: settings.Address
    slots: t.Annotated[int, pydantic.Field(ge=1, le=10_000)]
    leaving: bool


_ADAPTER: t.Final = pydantic.TypeAdapter(_Announcement)
_STATUS: t.Final = {200: "200 OK", 400: "400 Bad Request", 404: "404 Not Found"}


@t.final
class Announcements:
    """The WSGI application behind ``PUT /endpoints/<id>``.

    Parameters
    ----------
    hear : callable
        Takes an endpoint's name and its announcement.
    """

    def __init__(self, hear: t.Callable[[str, endpoint.Announcement], None]) -> None:
        self._hear = hear

    def __call__(self, environ: dict[str, t.Any], start: t.Any) -> list[bytes]:
        """Answer one request."""
        status, body = self._answer(environ)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start(_STATUS[status], headers)
        return [body]

    def _answer(self, environ: dict[str, t.Any]) -> tuple[int, bytes]:
        found = _PATH.fullmatch(environ["PATH_INFO"])
        if not found or environ["REQUEST_METHOD"] != "PUT":
            return 404, b'{"detail": "use PUT /endpoints/<id>"}'
        try:
            raw = environ["wsgi.input"].read(_length(environ))
            value = msgspec.json.decode(raw)
            said = settings.check(_ADAPTER, value, errors.Kind.BAD_BODY)
        except (errors.Error, msgspec.DecodeError, ValueError) as exc:
            return 400, msgspec.json.encode({"detail": str(exc)})
        self._hear(found[1], t.cast(endpoint.Announcement, said))
        return 200, b"{}"


def _length(environ: dict[str, t.Any]) -> int:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if not 0 <= length <= _MAX_ANNOUNCEMENT_BYTES:
        raise ValueError(f"longer than {_MAX_ANNOUNCEMENT_BYTES} bytes; shorten it")
    return length
