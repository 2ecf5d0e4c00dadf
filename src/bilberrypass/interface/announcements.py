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
    """The JSON body of an announcement, as received."""

    __pydantic_config__ = pydantic.ConfigDict(  # type: ignore[misc]
        extra="forbid", strict=True
    )

    service: settings.Name
    address: settings.Address
    slots: t.Annotated[int, pydantic.Field(ge=1, le=10_000)]
    leaving: bool


_ANNOUNCEMENT_ADAPTER: t.Final = pydantic.TypeAdapter(_Announcement)


@t.final
class AnnouncementApplication:
    """The WSGI application that serves ``PUT /endpoints/<id>``.

    Parameters
    ----------
    on_announcement : callable
        Called with the endpoint's id and its announcement, once it is checked.
    """

    def __init__(
        self, on_announcement: t.Callable[[str, endpoint.Announcement], None]
    ) -> None:
        self._on_announcement = on_announcement

    def __call__(self, environ: dict[str, t.Any], start_response: t.Any) -> list[bytes]:
        """Handle one request; the answer is ``{}`` or a problem document."""
        try:
            self._handle(environ)
        except errors.Error as exc:
            problem = problems.build_problem(exc)
            start_response(f"{problem.status} Refused", problem.headers)
            return [problem.body]
        headers = [("Content-Type", "application/json"), ("Content-Length", "2")]
        start_response("200 OK", headers)
        return [b"{}"]

    def _handle(self, environ: dict[str, t.Any]) -> None:
        match = _PATH.fullmatch(environ["PATH_INFO"])
        if not match or environ["REQUEST_METHOD"] != "PUT":
            raise errors.Error(errors.Kind.NOT_FOUND, "use PUT /endpoints/<id>")
        try:
            body = environ["wsgi.input"].read(_read_content_length(environ))
            value = msgspec.json.decode(body)
        except (msgspec.DecodeError, ValueError, OSError) as exc:
            raise errors.Error(
                errors.Kind.BAD_BODY,
                f"the announcement is not valid JSON ({exc}); correct it",
            ) from None
        checked = settings.check(_ANNOUNCEMENT_ADAPTER, value, errors.Kind.BAD_BODY)
        self._on_announcement(match[1], t.cast(endpoint.Announcement, checked))


def _read_content_length(environ: dict[str, t.Any]) -> int:
    text = environ.get("CONTENT_LENGTH") or "0"
    length = int(text) if text.isascii() and text.isdigit() else -1
    if not 0 <= length <= _MAX_ANNOUNCEMENT_BYTES:
        raise errors.Error(
            errors.Kind.BODY_TOO_LARGE,
            f"the announcement exceeds {_MAX_ANNOUNCEMENT_BYTES} bytes; shorten it",
        )
    return length
