"""Messages exchanged by the scheduler, the agents and the entries."""

import enum
import typing as t

from bilberrypass.connection import channels
from bilberrypass.scheduling import jobs


class Verb(enum.IntEnum):
    """The action that an order requests of an agent."""

    START = 0
    STOP = 1
    DESCRIBE = 2


class Order(t.NamedTuple):
    """An order for one run; valid only for the runner start that ``life`` names.

    DESCRIBE gives the details of a run to an agent that started after the run. An
    order with ``is_repeated`` may already have been executed. The agent holds the
    demand, of which ``cpu_milli`` does not count for a filler, against the capacity.
    """

    verb: int
    task: str
    run: int
    life: int
    spec: str = ""
    checkpoint: str = ""
    ticket: str = ""
    is_filler: bool = False
    latency_target_ms: int = 0
    image: str = ""
    cpu_milli: int = 0
    is_repeated: bool = False
    memory_mb: int = 0
    gpus: int = 0


class Orders(t.NamedTuple):
    """Orders of a scheduler; agents accept only the highest epoch they have seen.

    ``agent`` and ``sequence`` identify the host's newest report that the scheduler had
    applied when it issued the orders; ``agent`` is 0 if they are not known.
    """

    epoch: int
    address: str
    orders: list[Order]
    agent: int = 0
    sequence: int = 0


class OrdersResponse(t.NamedTuple):
    """Whether the agent accepted the orders, and the highest epoch it has seen."""

    is_taken: bool
    epoch: int


class RunState(enum.IntEnum):
    """State of a run as its agent knows it; the last three are final."""

    STARTING = 0
    RUNNING = 1
    STOPPING = 2
    ENDED = 3
    REJECTED = 4
    GONE = 5


class RunRow(t.NamedTuple):
    """State of one run on a host.

    ``outcome`` says how the run ended, or why it was rejected. ``end`` is the number
    that the runner gave to the end, 0 without one. ``progress`` and ``figure`` come
    from the runner, see ``runner.ActiveRun``; ``pace`` is the limit on its
    speed, in percent of full speed.
    """

    task: str
    run: int
    state: int
    outcome: str = ""
    end: int = 0
    checkpoint: str = ""
    progress: int = 0
    figure: int = 0
    pace: int = 100


class RunnerInfo(t.NamedTuple):
    """A runner's description of itself; ``life`` is its start time in Unix ms."""

    id: str
    life: int
    service: str
    cpu_milli: int
    memory_mb: int
    gpus: int
    labels: tuple[str, ...]
    is_draining: bool = False
    time_left_s: float = 0.0

    @property
    def capacity(self) -> tuple[int, int, int]:
        """CPU in thousandths of a core, memory in megabytes, and GPUs."""
        return self.cpu_milli, self.memory_mb, self.gpus


class StartedRun(t.NamedTuple):
    """A run that a runner may have begun, and its age when the runner was lost.

    The runner was up when the run had existed for ``min_age_s``, and was found lost at
    ``age_s``.
    """

    task: str
    run: int
    min_age_s: float
    age_s: float


class RunnerCrash(t.NamedTuple):
    """A life of a runner that ended without notice, and the runs it had begun.

    The process stopped listening while its agent ran, so neither the host nor the path
    to the runner was lost. While the report's own runner has this life, it is down, and
    may still turn out to be the same process.
    """

    life: int
    runs: list[StartedRun]


class Report(t.NamedTuple):
    """An agent's report on its host.

    ``agent`` identifies the start of the agent process, and ``sequence`` increases
    with each report. ``runner`` is None until the runner has responded.
    ``answered_ago_s`` is the age of the runner's latest response. ``leased_s`` is the
    longest remaining time of the leases granted to agents of this host. ``challenge``
    is that of the latest response, if it had one. ``unix_time`` is the host's time of
    day at the sending, 0 from an agent that sends none. ``crashes`` repeats the latest
    crashes that the agent observed, that of the current life included.
    """

    host: str
    address: str
    zone: str
    agent: int
    sequence: int
    epoch: int
    runner: RunnerInfo | None
    answered_ago_s: float
    leased_s: float
    runs: list[RunRow]
    is_leaving: bool = False
    challenge: str = ""
    unix_time: float = 0.0
    crashes: list[RunnerCrash] = []  # noqa: RUF012


MAX_INTERFERENCE_PAIRS: t.Final = 4_096  # of images; the least recent are dropped


class InterferenceEstimate(t.NamedTuple):
    """Loss of a service's margin per core of a filler; both named by image.

    The margin is the latency target divided by the latency. Valid for the size of the
    host that gets it. ``cautious_per_core`` is rarely exceeded.
    """

    service: str
    filler: str
    per_core: float
    cautious_per_core: float


class MarginCourse(t.NamedTuple):
    """Expected margin of a service's step without fillers, each half second from now.

    ``step`` is the name of a task of the step without its last part.
    """

    step: str
    margins: list[float]


class ReportResponse(t.NamedTuple):
    """The scheduler's response to a report.

    ``lease_s`` counts from the time at which the agent sent the report. ``noted`` is
    the number up to which all ends of the runner are stored; ``settled`` lists the
    final rows that the agent may discard. ``is_cut_off`` is set while the scheduler
    cannot reach the store, so that another process may have been elected. A report
    that does not count, since it may be the late report of a replaced agent, is
    granted no lease; an agent that returns the ``challenge`` of the response is alive.
    A process that does not lead names the ``leader`` with that epoch by its address.
    """

    is_leader: bool
    epoch: int
    lease_s: float = 0.0
    noted: int = 0
    settled: list[tuple[str, int]] = []  # noqa: RUF012
    is_cut_off: bool = False
    pressing: list[InterferenceEstimate] = []  # noqa: RUF012
    is_counted: bool = True
    challenge: str = ""
    courses: list[MarginCourse] = []  # noqa: RUF012
    leader: str = ""


class StandbyRequest(t.NamedTuple):
    """An entry's regular request to the leader that it may succeed.

    ``heard_at`` is that of the latest response of the leader with this ``epoch``, 0
    without one. ``yields`` says that the entry has lost the store, and that it counts
    the leader's leases in if it is elected soon. One that ``is_leaving`` will not be.
    ``age_s`` is the time since its process started, if that never led, else 0: no
    earlier process of the entry has granted anything since.
    """

    name: str
    epoch: int
    heard_at: float = 0.0
    yields: bool = False
    is_leaving: bool = False
    age_s: float = 0.0


class StandbyResponse(t.NamedTuple):
    """The leader's response to a standby; ``epoch`` is 0 if it does not lead.

    ``heard_at`` is the leader's time, for the next request. ``lacks_store`` asks the
    standby whether it has lost the store too. ``unknown_left_s`` is the time after
    which no lease of an earlier leader is left.
    """

    epoch: int
    heard_at: float = 0.0
    lacks_store: bool = False
    unknown_left_s: float = 0.0


class LeaderNotice(t.NamedTuple):
    """Tells an entry who leads, in case it cannot read that from the store."""

    name: str
    address: str
    epoch: int


class LeaderNoticeResponse(t.NamedTuple):
    """The epoch of the leader that the entry knows."""

    epoch: int


class StateRequest(t.NamedTuple):
    """Request for the state of a job; ``asker`` is the address of the sending entry."""

    job: str
    asker: str


class StateResponse(t.NamedTuple):
    """Status of a job, empty if the job is unknown."""

    is_leader: bool
    status: str = ""


class WaitingRequest(t.NamedTuple):
    """Request for the number of jobs of a queue that have not started."""

    queue: str


class WaitingResponse(t.NamedTuple):
    """Number of jobs of the queue that have not started."""

    is_leader: bool
    waiting: int = 0


class SubmitRequest(t.NamedTuple):
    """Request to another entry, which can reach the store, to store a job."""

    job: jobs.Job
    time_left_s: float


class SubmitResponse(t.NamedTuple):
    """Acknowledgement that the job is stored; ``is_new`` is False for a known id."""

    is_new: bool


class CancelRequest(t.NamedTuple):
    """Request to another entry to store the cancellation of a job."""

    job: str
    time_left_s: float


class CancelResponse(t.NamedTuple):
    """Acknowledgement that the cancellation is stored, if the job is known."""

    is_known: bool


REPORT: t.Final = channels.Method("HostReport", Report, ReportResponse)
ORDERS: t.Final = channels.Method("HostOrders", Orders, OrdersResponse)
# STATE is answered by the scheduler only, STATUS by any entry: from the leader or
# the store.
STATE: t.Final = channels.Method("JobState", StateRequest, StateResponse)
STATUS: t.Final = channels.Method("JobStatus", StateRequest, StateResponse)
SUBMIT: t.Final = channels.Method("JobSubmit", SubmitRequest, SubmitResponse)
CANCEL: t.Final = channels.Method("JobCancel", CancelRequest, CancelResponse)
STANDBY: t.Final = channels.Method("Standby", StandbyRequest, StandbyResponse)
LEADER: t.Final = channels.Method("LeaderNotice", LeaderNotice, LeaderNoticeResponse)
WAITING: t.Final = channels.Method("JobsWaiting", WaitingRequest, WaitingResponse)
