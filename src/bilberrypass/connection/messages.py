"""Messages between the system's own processes."""

import typing as t

from bilberrypass import crash_limits, resources
from bilberrypass.connection import worker
from bilberrypass.version import work


class Empty(t.NamedTuple):
    """A message without content."""


class ForwardRequest(t.NamedTuple):
    """A caller's request, sent from an entry to an agent.

    ``time_left_s`` are the seconds until its deadline. ``incarnation`` and
    ``clock`` are those of the agent's newest report, so that the agent can reject
    a request that was delayed in transit.
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


class RevokeRequest(t.NamedTuple):
    """Revokes a request at an agent that has not begun it.

    ``incarnation`` and ``clock`` are those that the request carried.
    """

    request: str
    incarnation: int
    clock: float


class RevokeResponse(t.NamedTuple):
    """The agent's response; ``never_runs`` is certain if True, unknown if False."""

    never_runs: bool


class ForwardResponse(t.NamedTuple):
    """An endpoint's complete response, sent from an agent to an entry.

    ``length`` is that of ``body``; ``named_length`` is the Content-Length of a
    response without a body, such as that to HEAD, or None if it has none.
    """

    request: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    length: int
    named_length: int | None = None


class EndpointState(t.NamedTuple):
    """An endpoint as its agent knows it; ``service_s`` is the mean service time."""

    id: str
    service: str
    slots: int
    in_use: int
    queued: int
    leaving: bool
    service_s: float = 0.0


class TaskState(t.NamedTuple):
    """A task on a host as its agent knows it.

    ``crash`` is set if the state is ``crashed``: the worker crashed under the task.
    """

    task: work.TaskId
    state: str
    demand: resources.Demand
    checkpoint: str = ""
    detail: str = ""
    epoch: int = 0
    task_class: str = ""
    crash: crash_limits.Crash | None = None


class Report(t.NamedTuple):
    """The periodic report of an agent to an entry.

    ``incarnation`` increases with each agent started for the host, ``sequence``
    with each report of this agent to any entry. ``revision`` is that of the
    configuration in force at the agent, ``revision_since`` its Unix time.
    ``clock`` is the agent's monotonic clock. The next report follows within
    ``interval_s`` seconds. ``is_current`` is False while the worker has not
    responded recently, so that ``tasks`` may be out of date.
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


class LeaseGrant(t.NamedTuple):
    """A renewal of the leases of all tasks of a shard on the host.

    The leases last ``lease_s`` seconds from when the agent sent the report that
    this responds to.
    """

    shard: int
    epoch: int
    lease_s: float


class ReportResponse(t.NamedTuple):
    """An entry's response to a report.

    ``recorded`` are tasks whose end is in the store; ``stop`` are tasks that must
    not run on this host; ``evict`` are tasks to checkpoint and then to stop;
    ``slice`` is the agent's part of a newer configuration.
    """

    entry: str
    revision: int
    entries: list[str]
    shards: int
    grants: list[LeaseGrant]
    recorded: list[work.TaskId]
    stop: list[work.TaskId]
    slice: bytes = b""
    evict: list[work.TaskId] = []


class StartRequest(t.NamedTuple):
    """Tasks to start on one host, sent by the owner of a shard.

    The leases last ``lease_s`` seconds from when the agent sent the report named by
    ``incarnation`` and ``sequence``, so that a sender that was paused cannot start
    a task whose lease has expired meanwhile.
    """

    entry: str
    shard: int
    epoch: int
    incarnation: int
    sequence: int
    lease_s: float
    specs: list[work.Spec]


class StartOutcome(t.NamedTuple):
    """The outcome of one start; ``kind`` is an error kind, empty if the task runs."""

    task: work.TaskId
    kind: str = ""
    detail: str = ""


class StartResponse(t.NamedTuple):
    """The outcomes of a ``StartRequest``, in the order of its tasks.

    Reports with a higher sequence than ``sequence`` were created after the starts.
    """

    outcomes: list[StartOutcome]
    sequence: int = 0


class StopRequest(t.NamedTuple):
    """Tasks to stop; with ``checkpoint`` each writes a checkpoint first."""

    tasks: list[work.TaskId]
    checkpoint: bool = False


class StopResponse(t.NamedTuple):
    """The stopped tasks; one that never ran has the state ``stopped``."""

    ends: list[TaskState]


class JobRequest(t.NamedTuple):
    """A request on a job, from one entry to the owner of the job's shard."""

    shard: int
    verb: str
    team: str
    job: str
    body: bytes = b""
    traceparent: str = ""


class JobResponse(t.NamedTuple):
    """The owner's response: JSON, and whether a job was created."""

    body: bytes
    created: bool = False


class ClaimRequest(t.NamedTuple):
    """A request on an idempotency key, from one entry to the owner of its shard.

    ``claim`` identifies the attempt that claims the key; ``answer`` is the response
    to a finished attempt.
    """

    shard: int
    verb: str
    key: bytes
    digest: bytes
    claim: bytes
    answer: ForwardResponse | None = None


class ClaimResponse(t.NamedTuple):
    """Whether the attempt may be dispatched, or the response to the first attempt."""

    is_mine: bool
    answer: ForwardResponse | None = None


class ConfigRequest(t.NamedTuple):
    """A request for the configuration, with the revision known to the sender."""

    revision: int
    is_whole: bool = True


class ConfigResponse(t.NamedTuple):
    """The revision in force at a process.

    ``document`` is empty if the requester has it already; an agent's contains only
    the part for its host. ``age_s`` are the seconds since it was last confirmed that
    the revision is the newest. ``is_informed`` is True if the process has a
    configuration, and ``why_not_ready`` is empty if it is ready. ``entries`` are the
    peer addresses known to the process.
    """

    revision: int
    since: float
    age_s: float
    is_informed: bool
    why_not_ready: str
    document: bytes
    entries: list[str]


class IntroduceRequest(t.NamedTuple):
    """The peer addresses of entries, sent to an agent that may know none of them."""

    entries: list[str]
