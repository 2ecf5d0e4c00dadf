"""The scheduler's view of one host: what it holds and what it is asked to run."""

import typing as t

from bilberrypass.scheduling import interference, jobs, messages, state, stragglers

_ASIDE_S = 1.0  # after one failure, which sound hosts see too
_MAX_ASIDE_S = 8.0
_FORGIVEN = 0.25  # of a failure, for each task done
SILENT_AFTER_S = 1.6  # three reports of an agent

_STUCK_AFTER_S = 3.0  # many writes of a slow store
RESEND_AFTER_S = 1.0  # two reports of an agent

RowKey = tuple[str, int]
StepKey = tuple[str, int, int]


class Sent(t.NamedTuple):
    """When an order last went out, and to which start of the agent."""

    agent: int
    at: float


class Host:
    """A host with the runs that may be on it.

    ``granted_until`` bounds, on ``clock.now``, the lease of everything there; it is
    a guess about earlier schedulers until the agent's first report.
    ``sent`` maps the runs to their newest order.
    ``pending`` holds final rows whose outcome is being stored, ``settled`` those
    that are stored and may be forgotten, with the number of the end.
    """

    def __init__(self, name: str, granted_until: float) -> None:
        self.name = name
        self.address = ""
        self.zone = ""
        self.agent = 0
        self.sequence = -1
        self.life = 0
        self.runner: messages.RunnerInfo | None = None
        self.is_leaving = False
        self.heard_at = 0.0
        self.granted_until = granted_until
        self.is_bound_known = False
        self.answered_ago_s = 0.0
        self.tasks: dict[RowKey, state.Task] = {}
        self.sent: dict[RowKey, Sent] = {}
        self.pending: set[RowKey] = set()
        self.settled: dict[RowKey, int] = {}
        self.open_ends: dict[int, float] = {}
        self.noted = 0
        self.last_stored = 0
        self.used_cpu = 0
        self.used_memory = 0
        self.used_gpus = 0
        self.filler_cpu = 0
        self.services = 0
        self.service_cpu = 0
        self.taught_at = 0.0
        self.complained_at = 0.0
        self.sample: interference.Sample | None = None
        self.step_counts: dict[StepKey, int] = {}
        self.failures = 0.0
        self.avoid_until = 0.0
        self.draining_until = 0.0
        self.speed = stragglers.Speed()
        self.is_slow = False

    def blame(self, now: float) -> None:
        """Set the host aside for a while that grows with each failure."""
        self.failures += 1.0
        aside_s = min(_MAX_ASIDE_S, _ASIDE_S * 2.0 ** (self.failures - 1.0))
        self.avoid_until = max(self.avoid_until, now + aside_s)

    def praise(self) -> None:
        """Forgive a part of a failure for work that was done."""
        self.failures = max(0.0, self.failures - _FORGIVEN)

    def add(self, task: state.Task) -> None:
        """Count a run as being on the host."""
        self._count(task, 1)
        self.tasks[str(task.key), task.run] = task

    def remove(self, task: state.Task) -> None:
        """Count a run as gone from the host."""
        if self.tasks.pop((str(task.key), task.run), None) is not None:
            self._count(task, -1)
        self.sent.pop((str(task.key), task.run), None)

    def _count(self, task: state.Task, sign: int) -> None:
        step = task.step
        if step.is_filler:
            self.filler_cpu += sign * step.cpu_milli
        else:
            self.used_cpu += sign * step.cpu_milli
        self.used_memory += sign * step.memory_mb
        self.used_gpus += sign * step.gpus
        self.services += sign * step.is_service
        self.service_cpu += sign * step.cpu_milli * step.is_service
        key = step_key(task.key)
        self.step_counts[key] = self.step_counts.get(key, 0) + sign

    def is_usable(self, now: float) -> bool:
        """Tell whether new runs may be sent here."""
        return (
            self.runner is not None
            and not self.runner.is_draining
            and not self.is_leaving
            and now - self.heard_at < SILENT_AFTER_S
            and self.answered_ago_s < SILENT_AFTER_S
        )

    def is_order_lost(self, key: RowKey, now: float) -> bool:
        """Tell whether the newest order for a run, by now, must have arrived."""
        sent = self.sent.get(key)
        return (
            sent is None or sent.agent != self.agent or now - sent.at > RESEND_AFTER_S
        )

    def settle(self, key: RowKey, end: int) -> None:
        """Record that a final row has been stored."""
        self.pending.discard(key)
        self.settled[key] = end
        self.open_ends.pop(end, None)
        self.last_stored = max(self.last_stored, end)
        lowest_open = min(self.open_ends, default=self.last_stored + 1)
        self.noted = max(self.noted, lowest_open - 1)

    def see_end(self, number: int) -> None:
        """Record that an end was listed that is not stored yet."""
        if number > self.noted and number not in self.open_ends:
            self.open_ends[number] = self.heard_at

    def stuck_ends(self, now: float) -> list[int]:
        """Return the ends that ought to have been stored by now."""
        due = now - _STUCK_AFTER_S
        return [number for number, at in self.open_ends.items() if at < due]

    def begin_life(self, info: messages.RunnerInfo) -> list[state.Task]:
        """Take up a new life of the runner; return the runs that ended with the old."""
        lost = [task for task in self.tasks.values() if task.life != info.life]
        self.life = info.life
        self.noted = self.last_stored = 0
        self.open_ends.clear()
        self.pending.clear()
        self.settled.clear()
        self.failures = 0.0
        self.avoid_until = 0.0
        self.speed = stragglers.Speed()
        return lost


def step_key(key: jobs.TaskKey) -> StepKey:
    """Return what the tasks of one step in one repetition share."""
    return key.job, key.occurrence, key.step
