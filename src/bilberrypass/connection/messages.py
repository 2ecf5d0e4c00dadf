"""The typed messages between the system's own processes."""

import typing as t

from bilberrypass import resources
from bilberrypass.connection import worker
from bilberrypass.version import work


class Empty(t.NamedTuple):
    """A message without content."""


class Forward(t.NamedTuple):
    """A caller's request, from entry to agent; time left in seconds.

    ``incarnation`` and ``clock`` quote the newest report of the agent, so that it
    can refuse what was delayed on the way.
    """

    request: str
    service: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    time_left_s: float
    idempotent: bool
    traceparent: str = ""
    incarnation: int = 0
    clock: float = 0.0


class Revoke(t.NamedTuple):
    """Asks an agent that a request, if it has not begun, shall never begin.

    ``incarnation`` and ``clock`` are those that the request quoted.
    """

    request: str
    incarnation: int
    clock: float


class Revoked(t.NamedTuple):
    """The agent's answer; ``never_runs`` is certain, its opposite is not."""

    never_runs: bool


class Forwarded(t.NamedTuple):
    """An endpoint's whole answer, from agent to entry.

    ``length`` is that of ``body``; ``named_length`` is the Content-Length of an
    answer that has no body, such as that to HEAD, or None if it named none.
    """

    request: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    length: int
    named_length: int | None = None


class EndpointState(t.NamedTuple):
    """An endpoint as its agent sees it; ``service_s`` is a smoothed mean."""

    id: str
    service: str
    slots: int
    in_use: int
    queued: int
    leaving: bool
    service_s: float = 0.0


class TaskState(t.NamedTuple):
    """A task on a host as its agent sees it."""

    task: work.TaskId
    state: str
    demand: resources.Demand
    checkpoint: str = ""
    detail: str = ""
    epoch: int = 0
    task_class: str = ""


class Report(t.NamedTuple):
    """What an agent tells an entry, again and again.

    ``incarnation`` rises with each agent started for the host, ``sequence`` with
    each report of this agent to any entry. ``revision`` is that of the
    configuration in force at the agent, ``revision_since`` its Unix time.
    ``clock`` is the agent's monotonic clock. The next report follows within
    ``interval_s`` seconds. ``is_current`` is False while the worker has not been
    seen lately, so that ``tasks`` may be out of date.
    """

    host: str
    incarnation: int
    sequence: int
    address: str
    region: str
    failure_domain: str
    rack: str
    leaving: bool
    revision: int
    capacity: resources.Demand
    committed: resources.Demand
    endpoints: list[EndpointState]
    tasks: list[TaskState]
    usage: worker.Usage | None = None
    clock: float = 0.0
    revision_since: float = 0.0
    is_current: bool = True
    interval_s: float = 0.0


class Grant(t.NamedTuple):
    """A renewal of the leases of all tasks of a shard on the host.

    Counted from when the answered report was sent.
    """

    shard: int
    epoch: int
    lease_s: float


class Reported(t.NamedTuple):
    """An entry's answer to a report.

    ``recorded`` are ends that the store holds; ``stop`` are tasks that must not
    run on this host; ``evict`` are those to checkpoint and then to stop;
    ``slice`` is the agent's part of a newer configuration.
    """

    entry: str
    revision: int
    entries: list[str]
    shards: int
    grants: list[Grant]
    recorded: list[work.TaskId]
    stop: list[work.TaskId]
    slice: bytes = b""
    evict: list[work.TaskId] = []


class Start(t.NamedTuple):
    """Starts for one host, from the owner of a shard.

    The leases count from when the agent sent the quoted report, so that a
    sender that was paused cannot start what has lapsed meanwhile.
    """

    entry: str
    shard: int
    epoch: int
    incarnation: int
    sequence: int
    lease_s: float
    specs: list[work.Spec]


class StartOutcome(t.NamedTuple):
    """What became of one start; ``kind`` is empty if the task runs."""

    task: work.TaskId
    kind: str = ""
    detail: str = ""


class Started(t.NamedTuple):
    """The outcomes of a ``Start``, in its order."""

    outcomes: list[StartOutcome]


class Stop(t.NamedTuple):
    """Tasks that are to stop; ``checkpoint`` asks for one before."""

    tasks: list[work.TaskId]
    checkpoint: bool = False


class Stopped(t.NamedTuple):
    """The tasks' ends; a task that never ran has the state ``stopped``."""

    ends: list[TaskState]


class JobCall(t.NamedTuple):
    """A call on a job, from one entry to the owner of the job's shard."""

    shard: int
    verb: str
    team: str
    job: str
    body: bytes = b""
    traceparent: str = ""


class JobAnswer(t.NamedTuple):
    """The owner's answer: JSON, and whether a job was made."""

    body: bytes
    created: bool = False


class ClaimCall(t.NamedTuple):
    """A call on a key's claim, from one entry to the owner of its shard.

    ``claim`` names the attempt that claims; ``answer`` comes with a finished one.
    """

    shard: int
    verb: str
    key: bytes
    digest: bytes
    claim: bytes
    answer: Forwarded | None = None


class ClaimAnswer(t.NamedTuple):
    """The owner's answer: whether the attempt may dispatch, or the first answer."""

    is_mine: bool
    answer: Forwarded | None = None


class ConfigAsk(t.NamedTuple):
    """A question for the configuration, with the revision known to the asker."""

    revision: int
    is_whole: bool = True


class ConfigTold(t.NamedTuple):
    """The revision in force at a process.

    ``document`` is empty where the asker knows it; an agent's holds only what
    concerns its host. ``age_s`` is the age of the newest confirmation that the
    revision is the newest one. ``entries`` are the peer addresses that it knows.
    """

    revision: int
    since: float
    age_s: float
    is_informed: bool
    why_not_ready: str
    document: bytes
    entries: list[str]


class Introduction(t.NamedTuple):
    """The peer addresses of entries, for an agent that may know none of them."""

    entries: list[str]
