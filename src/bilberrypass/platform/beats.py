"""The address at which a runner reports itself to the agent beside it."""

import typing as t

from bilberrypass import errors
from bilberrypass.connection import problems
from bilberrypass.hosting import agent
from bilberrypass.observing import decisions
from bilberrypass.platform import runner

_PREFIX: t.Final = "/api/instances/"
_MAX_BYTES: t.Final = 4 << 20  # PROTOCOL.md: a report is at most 4 MiB


@t.final
class Beats:
    """The WSGI application that a runner reports to.

    Parameters
    ----------
    served : agent.Agent
        Told what the runner says.
    """

    def __init__(self, served: agent.Agent) -> None:
        self._agent = served

    def __call__(self, environ: dict[str, t.Any], start: t.Any) -> list[bytes]:
        """Answer one report."""
        try:
            self._serve(environ)
        except errors.Error as exc:
            decisions.record("runner.report_refused", why=str(exc))
            found = problems.problem(exc)
            start(f"{found.status} Refused", found.headers)
            return [found.body]
        start("200 OK", [("Content-Type", "application/json"), ("Content-Length", "2")])
        return [b"{}"]

    def _serve(self, environ: dict[str, t.Any]) -> None:
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        id = path.removeprefix(_PREFIX)
        if not path.startswith(_PREFIX) or not id:
            raise errors.Refused(errors.Kind.NOT_FOUND, f"nothing at {path[:80]}")
        if method == "PUT":
            heard = runner.read_report(id, environ["wsgi.input"].read(_MAX_BYTES))
            self._agent.hear(heard.info, heard.address, heard.sequence)
        elif method == "DELETE":
            self._agent.forget(id)
        else:
            raise errors.Refused(errors.Kind.METHOD_NOT_ALLOWED, f"{method}: use PUT")
