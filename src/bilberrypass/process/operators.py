"""The interface to operators: status, hosts, health."""

import typing as t

import cherrypy

from bilberrypass import errors
from bilberrypass.process import directory, fleet, owner, web


@t.final
class Health:
    """``/healthz`` and ``/readyz``, without a token.

    Parameters
    ----------
    is_ready : callable
        Tells whether the process takes new work, and if not why.
    """

    exposed = True

    def __init__(self, is_ready: t.Callable[[], str]) -> None:
        self._why_not = is_ready

    def GET(self, **query: str) -> bytes:  # noqa: N802
        """Answer 200, or 503 with the reason."""
        why_not = self._why_not()
        if why_not:
            raise errors.Error(errors.Kind.NOT_READY, why_not)
        return web.answer_json({"ready": True})


@t.final
class Hosts:
    """``/hosts``: the hosts as this entry knows them."""

    exposed = True

    def __init__(self, hosts: fleet.Fleet) -> None:
        self._hosts = hosts

    def GET(self, **query: str) -> bytes:  # noqa: N802
        """List the hosts."""
        return web.answer_json([self._describe(host) for host in self._hosts.all()])

    def _describe(self, host: fleet.Host) -> dict[str, t.Any]:
        report = host.report
        return {
            "id": report.host,
            "failure_domain": report.failure_domain,
            "rack": report.rack,
            "silent": self._hosts.is_silent(host),
            "leaving": report.leaving,
            "revision": report.revision,
            "capacity": report.capacity._asdict(),
            "committed": report.committed._asdict(),
            "tasks": len(report.tasks),
            "endpoints": [e._asdict() for e in report.endpoints],
        }


@t.final
class Status:
    """``/status``: this entry, the other entries and the shards."""

    exposed = True

    def __init__(self, names: directory.Directory, shards: list[owner.Shard]) -> None:
        self._names = names
        self._shards = shards

    def GET(self, **query: str) -> bytes:  # noqa: N802
        """Describe the entry."""
        return web.answer_json(
            {
                "entry": self._names.me.id,
                "entries": [member._asdict() for member in self._names.members()],
                "shards": [
                    {"shard": shard.number, "owned": shard.is_owned}
                    for shard in self._shards
                ],
            }
        )


def mount(tree: cherrypy._cptree.Tree, path: str, app: object) -> None:
    """Mount an application with the shared answers to errors."""
    tree.mount(app, path, web.APP_CONFIG)
