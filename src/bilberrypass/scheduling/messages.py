"""The messages between the scheduler, the agents and the entries."""

import enum
import typing as t

from bilberrypass.connection import channels
from bilberrypass.scheduling import jobs


class Verb(enum.IntEnum):
    """What an order asks of a host."""

    START = 0
    STOP = 1
    DESCRIBE = 2


class Order(t.NamedTuple):
    """An order for one run; ``life`` names the start of the runner it is meant for.

    A DESCRIBE tells an agent that began after the run what the run is. An order
    that ``is_repeated`` may have been carried out before.
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


class Orders(t.NamedTuple):
    """Orders of a scheduler; agents obey the highest epoch they have seen."""

    epoch: int
    address: str
    orders: list[Order]


class Obeyed(t.NamedTuple):
    """Whether orders were taken, and the highest epoch that the agent has seen."""

    is_taken: bool
    epoch: int


class RunState(enum.IntEnum):
    """What an agent knows of a run; the last three are final."""

    STARTING = 0
    RUNNING = 1
    STOPPING = 2
    ENDED = 3
    REJECTED = 4
    GONE = 5


class RunRow(t.NamedTuple):
    """A run on a host.

    ``outcome`` is the end's kind, or the reason of a rejection. ``end`` is the
    runner's number of the end, 0 if it has none. ``progress`` and ``figure`` are the
    runner's, see ``runner.Listed``; ``pace`` is the speed set, in percent.
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
    """A runner as it describes itself; ``life`` is its start in Unix ms."""

    id: str
    life: int
    service: str
    cpu_milli: int
    memory_mb: int
    gpus: int
    labels: tuple[str, ...]
    is_draining: bool = False
    time_left_s: float = 0.0


class Report(t.NamedTuple):
    """An agent's view of its host.

    ``agent`` tells the agent's own starts apart and ``sequence`` rises with each
    report. ``runner`` is None before the runner was heard. ``answered_ago_s`` is
    the age of the runner's last answer, and ``leased_s`` how long the leases that
    agents of this host were granted may last yet.
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


class PressRow(t.NamedTuple):
    """Rise of a service's log latency for each core of a filler, by image."""

    service: str
    filler: str
    per_core: float


class Reported(t.NamedTuple):
    """The scheduler's answer to a report.

    ``lease_s`` counts from the moment at which the agent sent the report.
    ``noted`` is the number up to which the runner's ends are stored; ``settled``
    lists the final rows that the agent may forget. ``is_cut_off`` tells that the
    scheduler has not reached the store of late, so that another may lead.
    """

    is_leader: bool
    epoch: int
    lease_s: float = 0.0
    noted: int = 0
    settled: list[tuple[str, int]] = []  # noqa: RUF012
    is_cut_off: bool = False
    pressing: list[PressRow] = []  # noqa: RUF012


class StateAsk(t.NamedTuple):
    """Asks for the state of a job; ``asker`` is the entry's own address."""

    job: str
    asker: str


class StateTold(t.NamedTuple):
    """The state of a job; empty if it is unknown."""

    is_leader: bool
    status: str = ""


class WaitingAsk(t.NamedTuple):
    """Asks how many jobs of a queue have not begun."""

    queue: str


class WaitingTold(t.NamedTuple):
    """The number of jobs that have not begun."""

    is_leader: bool
    waiting: int = 0


class SubmitAsk(t.NamedTuple):
    """Asks another entry, which reaches the store, to store a job."""

    job: jobs.Job
    time_left_s: float


class SubmitTold(t.NamedTuple):
    """The job is stored; tells whether it was new."""

    is_new: bool


class CancelAsk(t.NamedTuple):
    """Asks another entry to store a cancellation."""

    job: str
    time_left_s: float


class CancelTold(t.NamedTuple):
    """The cancellation is stored, if the job is known."""

    is_known: bool


REPORT: t.Final = channels.Method("HostReport", Report, Reported)
ORDERS: t.Final = channels.Method("HostOrders", Orders, Obeyed)
# Only the scheduler answers STATE; any entry finds a STATUS out.
STATE: t.Final = channels.Method("JobState", StateAsk, StateTold)
STATUS: t.Final = channels.Method("JobStatus", StateAsk, StateTold)
SUBMIT: t.Final = channels.Method("JobSubmit", SubmitAsk, SubmitTold)
CANCEL: t.Final = channels.Method("JobCancel", CancelAsk, CancelTold)
WAITING: t.Final = channels.Method("JobsWaiting", WaitingAsk, WaitingTold)
