"""The HTTP interface for operators: configuration, status, hosts, health."""

import collections.abc as abc
import re
import typing as t

import cherrypy
import msgspec

from bilberrypass import errors
from bilberrypass.batch import decisions
from bilberrypass.configuration import revisions, synchronizer, tokens
from bilberrypass.connection import messages
from bilberrypass.interface import web
from bilberrypass.membership import directory, fleet, owned_shard
from bilberrypass.version import configuration

MAX_BODY_BYTES: t.Final = 1 << 20

_ETAG: t.Final = re.compile(r'^"(\d{1,15})"$')
_IDEMPOTENCY_KEY: t.Final = re.compile(r"^[A-Za-z0-9._-]{8,64}$")
_READ_METHODS: t.Final = frozenset({"GET", "HEAD"})


@t.final
class Health:
    """The CherryPy application at ``/healthz`` and ``/readyz``; needs no token.

    Parameters
    ----------
    why_not_ready : callable
        Returns why the process accepts no new work; empty if it does.
    why_not_current : callable, optional
        Returns why the configuration may be out of date; empty if it is current.
    """

    exposed = True

    def __init__(
        self,
        why_not_ready: t.Callable[[], str],
        why_not_current: t.Callable[[], str] = lambda: "",
    ) -> None:
        self._why_not_ready = why_not_ready
        self._why_not_current = why_not_current

    def GET(self, **query: str) -> bytes:  # noqa: N802
        """Answer 200 if the process is ready, otherwise 503 with the reason."""
        reason = self._why_not_ready()
        if reason:
            raise errors.Error(errors.Kind.NOT_READY, reason)
        doubt = self._why_not_current()
        return web.answer_json({"ready": True, "current": not doubt, "doubt": doubt})


@t.final
class Config:
    """The CherryPy application at ``/config``, its history and its revisions.

    Serves ``/config``, ``/config/history`` and ``/config/<revision>``.

    Parameters
    ----------
    active_config : synchronizer.ActiveConfig
        The active configuration of this entry.
    changes : revisions.RevisionStore
        Writes new revisions and returns older ones.
    """

    exposed = True

    def __init__(
        self, active_config: synchronizer.ActiveConfig, changes: revisions.RevisionStore
    ) -> None:
        self._active_config = active_config
        self._changes = changes

    def GET(self, which: str = "", *rest: str, **query: str) -> bytes:  # noqa: N802
        """Return the revision in force, an older revision, or the history."""
        _refuse_extra_path(rest)
        if which == "history":
            return web.answer_json(_describe_history(self._active_config.document))
        if not which:
            return _answer_document(self._active_config.document)
        if not which.isdecimal() or len(which) > 15:
            raise errors.Error(
                errors.Kind.NOT_FOUND,
                f"{which[:32]!r} is not a revision; see GET /config/history",
            )
        return _answer_document(self._changes.get_revision(int(which)))

    def PUT(self, *rest: str, **query: str) -> bytes:  # noqa: N802
        """Replace the configuration if ``If-Match`` names the revision in force."""
        _refuse_extra_path(rest)
        revision = _read_if_match()
        key = _read_idempotency_key()
        value = _read_json()
        author = cherrypy.request.login
        return _answer_document(self._changes.propose(value, revision, author, key))


@t.final
class Hosts:
    """The CherryPy application at ``/hosts``: hosts known to this entry, and drains.

    Parameters
    ----------
    hosts : fleet.Fleet
        The hosts known from their reports.
    active_config : synchronizer.ActiveConfig
        The active configuration of this entry.
    changes : revisions.RevisionStore
        Writes drains as new revisions.
    host_decisions : decisions.DecisionHistory
        The decisions of this entry, by host.
    """

    exposed = True

    def __init__(
        self,
        hosts: fleet.Fleet,
        active_config: synchronizer.ActiveConfig,
        changes: revisions.RevisionStore,
        host_decisions: decisions.DecisionHistory,
    ) -> None:
        self._hosts = hosts
        self._decisions = host_decisions
        self._active_config = active_config
        self._changes = changes

    def GET(self, *rest: str, **query: str) -> bytes:  # noqa: N802
        """List the hosts, or return the decisions about one host."""
        if len(rest) == 2 and rest[1] == "explain":
            found = self._decisions.find(f"host {rest[0]}")
            return web.answer_json([decision._asdict() for decision in found])
        _refuse_extra_path(rest)
        return web.answer_json([self._describe(host) for host in self._hosts.all()])

    def POST(self, *path: str, **query: str) -> bytes:  # noqa: N802
        """Drain a host, with the reason in the body."""
        host = _check_drain_path(path)
        body = _read_json()
        reason = body.get("reason") if isinstance(body, dict) else None
        if not isinstance(reason, str) or not reason.strip():
            raise errors.Error(
                errors.Kind.BAD_BODY,
                'reason: is missing; send {"reason": "why"}',
            )
        drained = self._changes.drain(host, reason, cherrypy.request.login)
        return web.answer_json(drained._asdict())

    def DELETE(self, *path: str, **query: str) -> bytes:  # noqa: N802
        """Remove the drain of a host, so that it accepts new work again."""
        host = _check_drain_path(path)
        resumed = self._changes.resume(host, cherrypy.request.login)
        return web.answer_json(resumed._asdict())

    def _describe(self, host: fleet.Host) -> dict[str, t.Any]:
        report = host.report
        drain = revisions.find_drain(self._active_config.document, report.host)
        return {
            "id": report.host,
            "region": report.region,
            "failure_domain": report.failure_domain,
            "rack": report.rack,
            "silent": self._hosts.is_silent(host),
            "leaving": report.leaving,
            "drain": drain["reason"] if drain else "",
            "revision": report.revision,
            "since": report.revision_since,
            "capacity": report.capacity._asdict(),
            "committed": report.committed._asdict(),
            "tasks": len(report.tasks),
            "endpoints": [e._asdict() for e in report.endpoints],
        }


@t.final
class Status:
    """The CherryPy application at ``/status``: entries, shards, host counts.

    Parameters
    ----------
    entry_directory : directory.Directory
        Names the entries and the owner of each shard.
    config : synchronizer.ConfigSynchronizer
        The configuration in force here and at the other entries.
    hosts : fleet.Fleet
        The hosts known from their reports.
    shards : list of owned_shard.OwnedShard
        This entry's view of the shards.
    why_not_ready : callable
        Returns why this entry accepts no new work; empty if it does.
    """

    exposed = True

    def __init__(
        self,
        entry_directory: directory.Directory,
        config: synchronizer.ConfigSynchronizer,
        hosts: fleet.Fleet,
        shards: abc.Sequence[owned_shard.OwnedShard[t.Any]],
        why_not_ready: t.Callable[[], str],
    ) -> None:
        self._directory = entry_directory
        self._config = config
        self._hosts = hosts
        self._shards = shards
        self._why_not_ready = why_not_ready

    def GET(self, **query: str) -> bytes:  # noqa: N802
        """Describe entries, shards and hosts from this entry's point of view."""
        responses = self._config.query_peers()
        ids = {member.peers: member.id for member in self._directory.members()}
        others = [_describe_entry(ids.get(a, ""), a, responses[a]) for a in responses]
        return web.answer_json(
            {
                "entry": self._directory.own_member.id,
                "entries": [self._describe_self(), *others],
                "shards": [self._describe_shard(shard) for shard in self._shards],
                "hosts": self._describe_hosts(),
            }
        )

    def _describe_self(self) -> dict[str, t.Any]:
        own_member = self._directory.own_member
        response = self._config.handle_config_request(
            messages.ConfigRequest(self._config.active_config.revision)
        )
        response = response._replace(why_not_ready=self._why_not_ready())
        return _describe_entry(own_member.id, own_member.peers, response)

    def _describe_shard(self, shard: owned_shard.OwnedShard[t.Any]) -> dict[str, t.Any]:
        kind = shard.ownership.kind
        owner = self._directory.owner(kind, shard.number)
        return {
            "kind": kind,
            "shard": shard.number,
            "owner": owner.entry if owner else "",
            "epoch": owner.epoch if owner else 0,
            "owned": shard.is_owned,
        }

    def _describe_hosts(self) -> dict[str, t.Any]:
        hosts = self._hosts.all()
        revision = self._config.active_config.revision
        live = [host for host in hosts if not self._hosts.is_silent(host)]
        behind = [h.report.host for h in live if h.report.revision < revision]
        return {
            "count": len(hosts),
            "silent": len(hosts) - len(live),
            "behind": sorted(behind),
        }


def _describe_entry(
    id: str, peers: str, response: messages.ConfigResponse | None
) -> dict[str, t.Any]:
    if response is None:
        return {"id": id, "peers": peers, "reachable": False, "ready": False}
    return {
        "id": id,
        "peers": peers,
        "reachable": True,
        "ready": not response.why_not_ready,
        "why_not_ready": response.why_not_ready,
        "revision": response.revision,
        "since": response.since,
        "current": response.age_s <= synchronizer.MAX_CONFIRMATION_AGE_S,
        "age_s": round(response.age_s, 3),
    }


def _describe_history(document: configuration.Document) -> list[dict[str, t.Any]]:
    return [
        record._asdict() | {"changes": [change._asdict() for change in record.changes]}
        for record in document.history
    ]


def _answer_document(document: configuration.Document) -> bytes:
    cherrypy.response.headers["ETag"] = f'"{document.revision}"'
    return web.answer_json(
        {
            "revision": document.revision,
            "author": document.author,
            "time": document.time,
            "defaults": document.defaults,
            "exceptions": document.exceptions,
        }
    )


def _read_if_match() -> int:
    text = cherrypy.request.headers.get("If-Match", "")
    if not text:
        raise errors.Error(
            errors.Kind.PRECONDITION_REQUIRED,
            "send If-Match with the ETag of the revision that you changed",
        )
    match = _ETAG.fullmatch(text)
    if match is None:
        raise errors.Error(
            errors.Kind.BAD_HEADER,
            'If-Match is not a quoted revision number; write it like "7"',
        )
    return int(match[1])


def _read_idempotency_key() -> str:
    key = cherrypy.request.headers.get("Idempotency-Key", "")
    if key and not _IDEMPOTENCY_KEY.fullmatch(key):
        raise errors.Error(
            errors.Kind.BAD_HEADER,
            "Idempotency-Key: use 8 to 64 letters, digits, . _ -",
        )
    return key


def _read_json() -> t.Any:
    body = web.read_body(MAX_BODY_BYTES)
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as exc:
        raise errors.Error(
            errors.Kind.BAD_BODY, f"the body is not valid JSON ({exc}); correct it"
        ) from None


def _refuse_extra_path(rest: tuple[str, ...]) -> None:
    if rest:
        raise errors.Error(
            errors.Kind.NOT_FOUND,
            f"{rest[0][:32]!r} is not a path of this API; see its documentation",
        )


def _check_drain_path(path: tuple[str, ...]) -> str:
    if len(path) != 2 or path[1] != "drain":
        raise errors.Error(errors.Kind.NOT_FOUND, "use /hosts/<id>/drain")
    return web.check_id(path[0], "host")


def _check_bearer_token(keeper: tokens.TokenVerifier) -> None:
    req = cherrypy.request
    holder = keeper.verify(req.headers.get("Authorization", ""), req.remote.ip)
    if holder.role != tokens.WRITE and req.method not in _READ_METHODS:
        raise errors.Error(
            errors.Kind.FORBIDDEN,
            f"the token of {holder.name} is read-only; use one with the role write",
        )
    req.login = holder.name


cherrypy.tools.bearer = cherrypy.Tool("before_handler", _check_bearer_token)


def mount(
    tree: cherrypy._cptree.Tree,
    path: str,
    app: object,
    verifier: tokens.TokenVerifier | None = None,
) -> None:
    """Mount an application with the shared error handling.

    Parameters
    ----------
    tree : cherrypy tree
        The tree to mount it in.
    path : str
        The URL path to mount it at.
    app : object
        The CherryPy application.
    verifier : tokens.TokenVerifier, optional
        Verifies the bearer tokens of requests; if None, no token is required.
    """
    config = {"/": dict(web.APP_CONFIG["/"])}
    if verifier is not None:
        config["/"] |= {"tools.bearer.on": True, "tools.bearer.keeper": verifier}
    tree.mount(app, path, config)
