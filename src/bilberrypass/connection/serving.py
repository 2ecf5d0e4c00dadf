"""HTTP listeners: cherrypy applications on cheroot's server."""

import threading
import typing as t

import cheroot.wsgi
import cherrypy

from bilberrypass.connection import heads
from bilberrypass.version import settings

_SHUTDOWN_S: t.Final = 5
_BACKLOG: t.Final = 1024


@t.final
class Listener:
    """One listening address that serves a WSGI application.

    Parameters
    ----------
    address : str
        IP number and port; port 0 takes a free one.
    app : callable
        The WSGI application, such as a cherrypy tree.
    threads : int
        Requests served at once.
    max_body_bytes : int
        Larger bodies are refused.
    """

    def __init__(
        self, address: str, app: t.Any, threads: int, max_body_bytes: int
    ) -> None:
        self._server = cheroot.wsgi.Server(
            settings.split_address(address),
            app,
            numthreads=threads,
            request_queue_size=_BACKLOG,
            shutdown_timeout=_SHUTDOWN_S,
        )
        self._server.max_request_header_size = 64 << 10
        self._heads = heads.HeadLimit()
        self._heads.install(self._server)
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        self.address = f"{host}:{port}"
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def start(self) -> None:
        """Begin to serve."""
        self._heads.start()
        self._thread.start()

    def stop(self) -> None:
        """Take no new connections and end those that are idle."""
        self._server.stop()
        self._thread.join(_SHUTDOWN_S)
        self._heads.stop()


def quiet_cherrypy() -> None:
    """Leave logs and signals to the process."""
    cherrypy.config.update(
        {
            "log.screen": False,
            "engine.autoreload.on": False,
            "checker.on": False,
        }
    )
