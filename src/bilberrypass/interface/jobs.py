"""The HTTP interface for jobs: ``/jobs`` and ``/jobs/<id>``."""

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

_JOB_CALL_TIMEOUT_S: t.Final = 8.0


@t.final
class Router:
    """Routes a job call to the entry that owns the job's shard.

    Parameters
    ----------
    entry_directory : directory.Directory
        Names the owner of each shard.
    shards : list of owner.Shard
        This entry's view of all shards, by shard number.
    """

    def __init__(
        self, entry_directory: directory.Directory, shards: list[owner.Shard]
    ) -> None:
        self._owners = owners.OwnerConnections(entry_directory, "jobs")
        self._shards = shards

    def handle_peer_call(self, req: messages.JobRequest) -> messages.JobResponse:
        """Answer a call that another entry forwarded to this one as the shard's owner.

        Raises
        ------
        errors.Refused
            BAD_REQUEST if the shard number is out of range; or the shard's refusal.
        """
        if not 0 <= req.shard < len(self._shards):
            raise errors.Refused(
                errors.Kind.BAD_REQUEST,
                f"there is no shard {req.shard}; "
                "set the same number of shards in all entries",
            )
        return self._shards[req.shard].call(req, time.monotonic() + _JOB_CALL_TIMEOUT_S)

    def route_call(self, req: messages.JobRequest) -> messages.JobResponse:
        """Answer a call if this entry owns its shard, otherwise forward it."""
        deadline = time.monotonic() + _JOB_CALL_TIMEOUT_S
        if self._shards[req.shard].is_owned:
            return self._shards[req.shard].call(req, deadline)
        return self._owners.get_connection(req.shard).call(channels.JOB, req, deadline)

    def route_by_job_id(self, verb: str, team: str, id: str) -> messages.JobResponse:
        """Route a call to the shard that holds the job.

        Without a team, the shards are tried in turn until one of them has the job.

        Raises
        ------
        errors.Error
            NOT_FOUND if no shard that was tried has the job; any other error at once.
        """
        count = len(self._shards)
        numbers = [work.shard_of(team, count)] if team else list(range(count))
        not_found: errors.Error | None = None
        for number in numbers:
            try:
                return self.route_call(messages.JobRequest(number, verb, team, id))
            except errors.Error as exc:
                if exc.kind is not errors.Kind.NOT_FOUND:
                    raise
                not_found = exc
        assert not_found is not None
        raise not_found

    def list_jobs(self, team: str) -> list[t.Any]:
        """Return the descriptions of a team's jobs, or of all jobs if it is empty."""
        count = len(self._shards)
        numbers = [work.shard_of(team, count)] if team else list(range(count))
        descriptions: list[t.Any] = []
        for number in numbers:
            answer = self.route_call(messages.JobRequest(number, "list", team, ""))
            descriptions.extend(msgspec.json.decode(answer.body))
        return descriptions


@t.final
class Jobs:
    """The CherryPy application at ``/jobs``.

    Parameters
    ----------
    cfg : settings.Entry
        Checked settings.
    router : Router
        Routes calls to the owners of shards.
    """

    exposed = True

    def __init__(self, cfg: settings.Entry, router: Router) -> None:
        self._cfg = cfg
        self._router = router

    def PUT(self, id: str = "", *rest: str, **query: str) -> bytes:  # noqa: N802
        """Submit a job; repeating the request with the same body changes nothing."""
        web.check_id(id, "job")
        _refuse_extra_path(rest)
        body = web.read_body(self._cfg["max_body_bytes"])
        parent = traces.sanitize_traceparent(
            cherrypy.request.headers.get("Traceparent", "")
        )
        job = page.parse_job(id, body, time.time(), parent)
        shard = work.shard_of(job.team, self._cfg["shards"])
        with traces.span("job submitted", parent, job=id) as trace:
            answer = self._router.route_call(
                messages.JobRequest(shard, "put", job.team, id, body, trace)
            )
        return web.answer_encoded_json(answer.body, 201 if answer.created else 200)

    def GET(self, id: str = "", *rest: str, team: str = "", **query: str) -> bytes:  # noqa: N802
        """Describe or explain a job; without an id, list a team's jobs or all jobs."""
        if not id:
            return web.answer_json(self._router.list_jobs(team))
        web.check_id(id, "job")
        verb = "explain" if rest == ("explain",) else "get"
        if verb == "get":
            _refuse_extra_path(rest)
        return web.answer_encoded_json(
            self._router.route_by_job_id(verb, team, id).body
        )

    def DELETE(self, id: str = "", *rest: str, team: str = "", **query: str) -> bytes:  # noqa: N802
        """Cancel a job and return its description."""
        web.check_id(id, "job")
        _refuse_extra_path(rest)
        return web.answer_encoded_json(
            self._router.route_by_job_id("cancel", team, id).body
        )


def _refuse_extra_path(rest: tuple[str, ...]) -> None:
    if rest:
        raise errors.Error(
            errors.Kind.NOT_FOUND,
            f"/jobs/<id>/{rest[0][:32]} does not exist; use /jobs/<id> or its /explain",
        )
