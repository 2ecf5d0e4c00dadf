"""The job model: a job has ordered steps, and each step has identical tasks."""

import math
import typing as t

from bilberrypass import errors

MAX_STEPS: t.Final = 64  # limits the work that one malformed submission causes
MAX_AMOUNT: t.Final = 1 << 53  # exact in JSON, and stored in 64 bits
MILLI_PER_CORE: t.Final = 1_000


class Step(t.NamedTuple):
    """Identical tasks that become eligible together.

    ``cpu_milli`` is in thousandths of a core and ``memory_mb`` in megabytes, both
    per task. ``after`` lists the numbers of earlier steps that must be done first.
    ``estimate_s`` is the submitter's rough estimate of a task's duration.
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
    """An accepted submission.

    ``queue`` is the host name and path prefix under which it was submitted;
    ``accepted_at`` is Unix time. A job with ``repetitions`` runs its steps that
    many times every ``interval_s``, first at the Unix time ``first_run_at``.
    ``waited_s`` is the time for which its caller was sent away by refusals before.
    """

    id: str
    queue: str
    spec: str
    steps: tuple[Step, ...]
    accepted_at: float
    repetitions: int = 0
    first_run_at: float = 0.0
    interval_s: float = 0.0
    waited_s: float = 0.0


class Queue(t.NamedTuple):
    """The configuration of a queue; lower priority values are scheduled first."""

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_objective_s: float = 0.0
    needs_advice: bool = False


class TaskKey(t.NamedTuple):
    """Identifies a task of a job; ``occurrence`` counts the repetitions from 0."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, name: str) -> t.Self | None:
        """Return the key with this name, or None if the name is not that of a task."""
        job, *numbers = name.split(".")
        if len(numbers) != len(cls._fields) - 1 or not all(map(str.isdecimal, numbers)):
            return None
        return cls(job, *map(int, numbers))


StepKey = tuple[str, int, int]


def step_key(key: TaskKey) -> StepKey:
    """Return the key that the tasks of one step in one repetition share."""
    return key.job, key.occurrence, key.step


def check(job: Job) -> None:
    """Raise if a job is malformed or uses an unsupported feature.

    Raises
    ------
    errors.Refused
        BAD_BODY, with the field and the remedy.
    """
    if not 1 <= len(job.steps) <= MAX_STEPS:
        _raise_bad_field(
            "steps", f"has {len(job.steps)} entries; submit 1 to {MAX_STEPS}"
        )
    times = job.accepted_at, job.first_run_at, job.interval_s, job.waited_s
    if not all(map(math.isfinite, times)):
        _raise_bad_field("first_run_ms, interval_ms", "must be finite numbers")
    if not 0 <= job.repetitions <= MAX_AMOUNT:
        _raise_bad_field("repetitions", f"must be between 0 and {MAX_AMOUNT}")
    if job.interval_s < 0:
        _raise_bad_field("interval_ms", "is negative; use 0 or more")
    for number, step in enumerate(job.steps):
        where = f"steps[{number}]"
        if not 1 <= step.count <= MAX_AMOUNT:
            _raise_bad_field(f"{where}.count", f"must be between 1 and {MAX_AMOUNT}")
        if not 0 <= step.estimate_s < math.inf:
            _raise_bad_field(f"{where}.estimated_ms", "must be a number from 0 on")
        amounts = (
            *(step.cpu_milli, step.memory_mb, step.gpus),
            *(step.max_per_host, step.latency_target_ms, step.max_unavailable),
        )
        if min(amounts) < 0:
            _raise_bad_field(where, "has a negative amount; use 0 or more")
        if max(amounts) > MAX_AMOUNT:
            _raise_bad_field(where, f"has an amount above {MAX_AMOUNT}; use less")
        if step.is_gang:
            _raise_bad_field(
                f"{where}.gang", "is not supported; submit the step without it"
            )
        if any(not 0 <= earlier < number for earlier in step.after):
            _raise_bad_field(f"{where}.after", "must list earlier steps only")


def _raise_bad_field(where: str, why: str) -> t.NoReturn:
    raise errors.Refused(errors.Kind.BAD_BODY, f"{where}: {why}", ran=errors.Ran.NO)
