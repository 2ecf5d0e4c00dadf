"""The agent's HTTP interface, at which endpoints announce themselves."""

import re
import typing as t

import msgspec
import pydantic
import typing_extensions as te

from bilberrypass import errors
from bilberrypass.connection import endpoint, problems
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
        try:
            self._take(environ)
        except errors.Error as exc:
            found = problems.problem(exc)
            start(f"{found.status} Refused", found.headers)
            return [found.body]
        headers = [("Content-Type", "application/json"), ("Content-Length", "2")]
        start("200 OK", headers)
        return [b"{}"]

    def _take(self, environ: dict[str, t.Any]) -> None:
        found = _PATH.fullmatch(environ["PATH_INFO"])
        if not found or environ["REQUEST_METHOD"] != "PUT":
            raise errors.Error(errors.Kind.NOT_FOUND, "use PUT /endpoints/<id>")
        try:
            raw = environ["wsgi.input"].read(_length(environ))
            value = msgspec.json.decode(raw)
        except (msgspec.DecodeError, ValueError, OSError) as exc:
            raise errors.Error(
                errors.Kind.BAD_BODY, f"the announcement is no JSON ({exc}); correct it"
            ) from None
        said = settings.check(_ADAPTER, value, errors.Kind.BAD_BODY)
        self._hear(found[1], t.cast(endpoint.Announcement, said))


def _length(environ: dict[str, t.Any]) -> int:
    text = environ.get("CONTENT_LENGTH") or "0"
    length = int(text) if text.isascii() and text.isdigit() else -1
    if not 0 <= length <= _MAX_ANNOUNCEMENT_BYTES:
        raise errors.Error(
            errors.Kind.BODY_TOO_LARGE,
            f"the announcement is over {_MAX_ANNOUNCEMENT_BYTES} bytes; shorten it",
        )
    return length
