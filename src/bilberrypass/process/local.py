"""The role ``local``: entry, agent, store, sample service and worker in one process."""

import typing as t

from bilberrypass.configuration import tokens
from bilberrypass.connection import memory
from bilberrypass.process import agent, entry, sample
from bilberrypass.version import settings

_LOOPBACK: t.Final = "127.0.0.1"
_CALLERS_PORT: t.Final = 8080
_OPERATORS_PORT: t.Final = 8081
_OPERATOR_NAME: t.Final = "newcomer"

DEFAULTS: t.Final[t.Any] = {
    "id": "local",
    "failure_domain": "local",
    "callers": f"{_LOOPBACK}:{_CALLERS_PORT}",
    "operators": f"{_LOOPBACK}:{_OPERATORS_PORT}",
    "peers": f"{_LOOPBACK}:0",
    "store": {"kind": "memory"},
    "shards": 1,
    "leave_wait_s": 0.2,
}


@t.final
class LocalProgram:
    """A complete single-process deployment for trying out the scheduler.

    Parameters
    ----------
    cfg : settings.Entry
        Validated settings of the entry. If they name no operator token, one is
        created; the daemon prints ``operator_token`` once, in the ready line.
    """

    def __init__(self, cfg: settings.Entry) -> None:
        self.operator_token = ""
        if not cfg["operator_tokens"]:
            new_token = tokens.create_token(_OPERATOR_NAME, tokens.WRITE)
            self.operator_token = new_token.token
            cfg = t.cast(settings.Entry, cfg | {"operator_tokens": [new_token.kept]})
        self._entry = entry.Entry(cfg, memory.MemoryStore())
        agent_cfg = settings.check_agent(
            {
                "id": "local-host",
                "failure_domain": cfg["failure_domain"],
                "peers": f"{_LOOPBACK}:0",
                "announcements": f"{_LOOPBACK}:0",
                "entries": [self._entry.addresses["peers"]],
                "report_interval_s": 0.2,
                "leave_wait_s": 0.2,
            }
        )
        self._agent = agent.Agent(agent_cfg, sample.SampleWorker())
        self._echo_endpoint = sample.EchoEndpoint(self._agent.handle_announcement)

    @property
    def addresses(self) -> dict[str, str]:
        """The addresses that the process listens on, by interface."""
        return self._entry.addresses | {
            "announcements": self._agent.addresses["announcements"]
        }

    def start(self) -> None:
        """Start the entry, then the agent, then the sample service."""
        self._entry.start()
        self._agent.start()
        self._echo_endpoint.start()

    def stop(self) -> None:
        """Stop the entry, then the agent, then the sample service."""
        self._entry.stop()
        self._agent.stop()
        self._echo_endpoint.stop()
