"""The interface to jobs: ``/jobs`` and ``/jobs/<id>``."""

import time
import typing as t

import cherrypy
import msgspec

from bilberrypass import errors
from bilberrypass.batch import owner
from bilberrypass.connection import channels, messages
from bilberrypass.interface import web
from bilberrypass.membership import directory, owners
from bilberrypass.observing import traces
from bilberrypass.version import page, settings, work

_CALL_S: t.Final = 8.0


@t.final
class Router:
    """Brings a call on a job to the owner of its shard.

    Parameters
    ----------
    names : directory.Directory
        Knows the owners.
    shards : list of owner.Shard
        This entry's part of them.
    """

    def __init__(self, names: directory.Directory, shards: list[owner.Shard]) -> None:
        self._owners = owners.Owners(names, "jobs")
        self._shards = shards

    def serve(self, req: messages.JobCall) -> messages.JobAnswer:
        """Answer a call that another entry sent to this one as the owner."""
        if not 0 <= req.shard < len(self._shards):
            raise errors.Refused(
                errors.Kind.BAD_REQUEST,
                f"there is no shard {req.shard}; give all entries the same shards",
            )
        return self._shards[req.shard].call(req, time.monotonic() + _CALL_S)

    def call(self, req: messages.JobCall) -> messages.JobAnswer:
        """Have the owner of the call's shard answer it."""
        deadline = time.monotonic() + _CALL_S
        if self._shards[req.shard].is_owned:
            return self._shards[req.shard].call(req, deadline)
        return self._owners.find(req.shard).call(channels.JOB, req, deadline)

    def find(self, verb: str, team: str, id: str) -> messages.JobAnswer:
        """Have the owner answer that has the job; without a team all are asked."""
        count = len(self._shards)
        numbers = [work.shard_of(team, count)] if team else list(range(count))
        missing: errors.Error | None = None
        for number in numbers:
            try:
                return self.call(messages.JobCall(number, verb, team, id))
            except errors.Error as exc:
                if exc.kind is not errors.Kind.NOT_FOUND:
                    raise
                missing = exc
        assert missing is not None
        raise missing

    def list(self, team: str) -> list[t.Any]:
        """Return the descriptions of a team's jobs, or of all."""
        count = len(self._shards)
        numbers = [work.shard_of(team, count)] if team else list(range(count))
        found: list[t.Any] = []
        for number in numbers:
            answer = self.call(messages.JobCall(number, "list", team, ""))
            found.extend(msgspec.json.decode(answer.body))
        return found


@t.final
class Jobs:
    """The cherrypy application below ``/jobs``.

    Parameters
    ----------
    cfg : settings.Entry
        Checked settings.
    router : Router
        Finds the owners.
    """

    exposed = True

    def __init__(self, cfg: settings.Entry, router: Router) -> None:
        self._cfg = cfg
        self._router = router

    def PUT(self, id: str = "", *rest: str, **query: str) -> bytes:  # noqa: N802
        """Submit a job; once more with the same body changes nothing."""
        web.check_id(id, "job")
        _check_rest(rest)
        body = web.read_body(self._cfg["max_body_bytes"])
        parent = traces.clean(cherrypy.request.headers.get("Traceparent", ""))
        job = page.parse_job(id, body, time.time(), parent)
        shard = work.shard_of(job.team, self._cfg["shards"])
        with traces.span("job submitted", parent, job=id) as trace:
            answer = self._router.call(
                messages.JobCall(shard, "put", job.team, id, body, trace)
            )
        return web.answer_raw(answer.body, 201 if answer.created else 200)

    def GET(self, id: str = "", *rest: str, team: str = "", **query: str) -> bytes:  # noqa: N802
        """Describe a job, or list a team's jobs."""
        if not id:
            return web.answer_json(self._router.list(team))
        web.check_id(id, "job")
        verb = "explain" if rest == ("explain",) else "get"
        if verb == "get":
            _check_rest(rest)
        return web.answer_raw(self._router.find(verb, team, id).body)

    def DELETE(self, id: str = "", *rest: str, team: str = "", **query: str) -> bytes:  # noqa: N802
        """Cancel a job."""
        web.check_id(id, "job")
        _check_rest(rest)
        return web.answer_raw(self._router.find("cancel", team, id).body)


def _check_rest(rest: tuple[str, ...]) -> None:
    if rest:
        raise errors.Error(
            errors.Kind.NOT_FOUND,
            f"/jobs/<id>/{rest[0][:32]} is nothing; use /jobs/<id> or its /explain",
        )
