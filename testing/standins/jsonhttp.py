"""What the stand-ins over HTTP share: JSON bodies in and out."""

import abc
import json


class App(abc.ABC):
    """A WSGI application that answers with JSON."""

    @abc.abstractmethod
    def _serve(self, environ):
        """Return the status and the body."""

    def __call__(self, environ, start):
        status, body = self._serve(environ)
        content = json.dumps(body).encode()
        start(f"{status} X", [("Content-Length", str(len(content)))])
        return [content]


def read(environ):
    """Return the body of a request, an empty one as an empty object."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return json.loads(environ["wsgi.input"].read(length) or b"{}")
