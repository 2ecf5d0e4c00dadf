"""Base class and helper for stand-ins with JSON bodies over WSGI."""

import abc
import json


class JsonApplication(abc.ABC):
    """A WSGI application that responds with JSON."""

    @abc.abstractmethod
    def _serve(self, environ):
        """Return the response's status code and its body as a JSON value."""

    def __call__(self, environ, start):
        status, body = self._serve(environ)
        content = json.dumps(body).encode()
        start(f"{status} X", [("Content-Length", str(len(content)))])
        return [content]


def read_json(environ):
    """Return the decoded JSON body of a request; an empty body is an empty dict."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return json.loads(environ["wsgi.input"].read(length) or b"{}")
