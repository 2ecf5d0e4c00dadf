"""HTTP endpoint through which a runner reports its state to its agent."""

import typing as t

from bilberrypass import errors
from bilberrypass.connection import problems
from bilberrypass.hosting import agent
from bilberrypass.observing import decisions
from bilberrypass.platform import runner

_REPORT_PREFIX: t.Final = "/api/instances/"
_MAX_REPORT_BYTES: t.Final = 4 << 20  # PROTOCOL.md: a report is at most 4 MiB


@t.final
class RunnerReportApplication:
    """The WSGI application that receives the reports of a runner.

    Parameters
    ----------
    target : agent.Agent
        Processes the reports.
    """

    def __init__(self, target: agent.Agent) -> None:
        self._agent = target

    def __call__(self, environ: dict[str, t.Any], start: t.Any) -> list[bytes]:
        """Answer one report or exit announcement of a runner."""
        try:
            self._serve(environ)
        except errors.Error as exc:
            decisions.record("runner.report_refused", why=str(exc))
            problem = problems.build_problem(exc)
            start(f"{problem.status} Refused", problem.headers)
            return [problem.body]
        start("200 OK", [("Content-Type", "application/json"), ("Content-Length", "2")])
        return [b"{}"]

    def _serve(self, environ: dict[str, t.Any]) -> None:
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        id = path.removeprefix(_REPORT_PREFIX)
        if not path.startswith(_REPORT_PREFIX) or not id:
            raise errors.Refused(errors.Kind.NOT_FOUND, f"no resource at {path[:80]}")
        if method == "PUT":
            report = runner.read_report(
                id, environ["wsgi.input"].read(_MAX_REPORT_BYTES)
            )
            self._agent.handle_runner_report(
                report.info, report.address, report.sequence
            )
        elif method == "DELETE":
            self._agent.handle_runner_exit(id)
        else:
            raise errors.Refused(errors.Kind.METHOD_NOT_ALLOWED, f"{method}: use PUT")
