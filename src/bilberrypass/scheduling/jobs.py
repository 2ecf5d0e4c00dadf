"""The job model: steps with order between them, each of equal tasks."""

import typing as t

from bilberrypass import errors

MAX_STEPS: t.Final = 64  # bounds the work of one malformed submission
MAX_TASKS: t.Final = 4_096
MAX_REPETITIONS: t.Final = 10_000


class Step(t.NamedTuple):
    """Equal tasks that become eligible together.

    ``cpu_milli`` is in thousandths of a core and ``memory_mb`` in megabytes, each
    for one task. ``after`` names earlier steps by their number. ``estimate_s`` is
    the submitter's rough duration of a task.
    """

    count: int
    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    is_rack_bound: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_host: int = 0
    has_checkpoints: bool = False
    may_duplicate: bool = False
    is_service: bool = False
    image: str = ""
    latency_target_ms: int = 0
    is_filler: bool = False
    max_unavailable: int = 0


class Job(t.NamedTuple):
    """A submission as it was accepted.

    ``queue`` is the host name and path prefix under which it came in;
    ``accepted_at`` is Unix time. A job with ``repetitions`` runs its steps that
    many times, the first at the Unix time ``first_run_at``.
    """

    id: str
    queue: str
    spec: str
    steps: tuple[Step, ...]
    accepted_at: float
    repetitions: int = 0
    first_run_at: float = 0.0
    interval_s: float = 0.0


class Queue(t.NamedTuple):
    """What the configuration says of a queue; a lower priority goes first."""

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_objective_s: float = 0.0
    needs_advice: bool = False


class TaskKey(t.NamedTuple):
    """A task of a job; ``occurrence`` counts the repetitions from 0."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


def check(job: Job) -> None:
    """Refuse a job that cannot be understood.

    Raises
    ------
    errors.Refused
        BAD_BODY, naming the field and its remedy.
    """
    if not 1 <= len(job.steps) <= MAX_STEPS:
        _refuse("steps", f"has {len(job.steps)}; give 1 to {MAX_STEPS}")
    if not 0 <= job.repetitions <= MAX_REPETITIONS:
        _refuse("repetitions", f"must lie between 0 and {MAX_REPETITIONS}")
    if sum(step.count for step in job.steps) > MAX_TASKS:
        _refuse("steps", f"have over {MAX_TASKS} tasks; submit several jobs")
    for number, step in enumerate(job.steps):
        where = f"steps[{number}]"
        if step.count < 1:
            _refuse(f"{where}.count", "must be at least 1")
        if min(step.cpu_milli, step.memory_mb, step.gpus) < 0:
            _refuse(where, "asks for a negative amount; give 0 or more")
        if step.is_gang:
            _refuse(f"{where}.gang", "is not supported; submit the step without it")
        if any(not 0 <= earlier < number for earlier in step.after):
            _refuse(f"{where}.after", "may name earlier steps only")


def _refuse(where: str, why: str) -> t.NoReturn:
    raise errors.Refused(errors.Kind.BAD_BODY, f"{where}: {why}", ran=errors.Ran.NO)
