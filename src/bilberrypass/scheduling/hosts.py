"""The scheduler's view of a host: its state, its runs and the orders sent to it."""

import collections
import secrets
import threading
import typing as t

from bilberrypass import crash_limits
from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    filler_room,
    jobs,
    messages,
    start_window,
    state,
    stragglers,
)

_MIN_AVOIDANCE_S = 1.0  # after one failure; healthy hosts also have single failures
_MAX_AVOIDANCE_S = 8.0
_FAILURE_DECREMENT_PER_SUCCESS = 0.25
SILENCE_TIMEOUT_S = 1.6  # time of three reports of an agent

_END_STUCK_AFTER_S = 3.0  # time for many writes to a slow store
ORDER_RESEND_AFTER_S = 1.0  # time of two reports of an agent

RowKey = tuple[str, int]


class SentOrder(t.NamedTuple):
    """When an order was last sent, and to which start of the agent."""

    agent: int
    at: float


class Host:
    """A host and the runs that may exist on it.

    ``granted_until`` is the latest time, on ``clock.now``, at which a lease of the
    host may expire; until the agent's first report, which sets ``is_grant_known``, it
    leaves out what earlier schedulers granted. ``sent`` maps the runs to their
    newest order.
    ``pending`` holds final rows whose outcome is being stored. ``settled`` maps those
    that are stored, and that the agent may drop, to the number of the end.
    ``challenge`` is to be returned by an agent that is not known to be the newest one;
    it is empty after each report that counts. ``crash`` is set while the runner is
    down. ``has_untracked_runs`` is set while runs of unknown demand are being stopped.
    ``filler_shares`` are the shares of its cores that fillers used by the last report,
    by image.
    ``last_start_at`` is when a run was last assigned, ``suspect_starts`` are the latest
    times for tasks that may crash their runner.
    """

    def __init__(self, name: str, granted_until: float) -> None:
        self.name = name
        self.address = ""
        self.zone = ""
        self.agent = self.highest_agent = 0
        self.sequence = -1
        self.challenge = ""
        self.life = 0
        self.runner: messages.RunnerInfo | None = None
        self.is_leaving = False
        self.reported_at = 0.0
        self.granted_until = granted_until
        self.is_grant_known = False
        self.answered_ago_s = 0.0
        self.tasks: dict[RowKey, state.Task] = {}
        self.sent: dict[RowKey, SentOrder] = {}
        self.starts = start_window.StartWindow()
        self.pending: set[RowKey] = set()
        self.settled: dict[RowKey, int] = {}
        self.open_ends: dict[int, float] = {}
        self.noted = 0
        self._life_lock = threading.Lock()
        self.last_stored = 0
        self.used_cpu = 0
        self.used_memory = 0
        self.used_gpus = 0
        self.filler_cpu = 0
        self.service_count = 0
        self.service_cpu = 0
        self.estimates_sent_at = 0.0
        self.stuck_ends_logged_at = 0.0
        self.filler_shares: dict[str, float] = {}
        self.filler_room = filler_room.Room()
        self.step_counts: dict[jobs.StepKey, int] = {}
        self.failures = 0.0
        self.avoid_until = 0.0
        self.draining_until = 0.0
        self.speed = stragglers.SpeedEstimate()
        self.is_slow = False
        self.crash: messages.RunnerCrash | None = None
        self.has_untracked_runs = False
        self.last_start_at = 0.0
        self.suspect_starts: collections.deque[float] = collections.deque(
            maxlen=crash_limits.MAX_SUSPECTS
        )
        self._reserved_for: state.Task | None = None
        self._reserved_until = 0.0
        self._held_for: state.Task | None = None
        self._held_until = 0.0

    def leased_until(self, earlier_leases_end: float) -> float:
        """Return when no lease of the host is left, on ``clock.now``.

        ``earlier_leases_end`` bounds those of earlier schedulers.
        """
        if self.is_grant_known:
            return self.granted_until
        return max(self.granted_until, earlier_leases_end)

    def accept_report(self, report: messages.Report, at: float) -> bool:
        """Record the sender of a report; return False if the report does not count.

        An agent is identified by its start time of day. If the clock was set back, the
        new agent has a lower number, as a replaced agent whose report is late. It is
        accepted once the other agent is silent and it returns a challenge issued since
        the other agent's last report, which only a running process can. A report by
        which runs would be lost may be late as well, if its agent was not known.
        """
        if report.agent == self.agent:
            if report.sequence <= self.sequence:
                return False
        else:
            is_lower = report.agent <= self.highest_agent
            if is_lower and at - self.reported_at <= SILENCE_TIMEOUT_S:
                return False
            if is_lower or self._find_lost(report.runner):
                if not self.challenge:
                    self._issue_challenge(report)
                    return False
                if report.challenge != self.challenge:
                    return False
        self.agent, self.sequence = report.agent, report.sequence
        self.highest_agent = max(self.highest_agent, report.agent)
        self.challenge = ""
        return True

    def _issue_challenge(self, report: messages.Report) -> None:
        self.challenge = secrets.token_hex(8)
        decisions.record(
            "host.agent_challenged",
            host=self.name,
            agent=report.agent,
            current_agent=self.agent,
        )

    def _find_lost(self, info: messages.RunnerInfo | None) -> list[state.Task]:
        """Return the runs that were sent to other lives of the runner."""
        if info is None:
            return []
        return [task for task in self.tasks.values() if task.life != info.life]

    def record_failure(self, now: float) -> None:
        """Avoid the host for a time that doubles with each failure, up to a maximum."""
        self.failures += 1.0
        avoid_s = min(_MAX_AVOIDANCE_S, _MIN_AVOIDANCE_S * 2.0 ** (self.failures - 1.0))
        self.avoid_until = max(self.avoid_until, now + avoid_s)

    def record_success(self) -> None:
        """Reduce the failure count by part of a failure after a task was done."""
        self.failures = max(0.0, self.failures - _FAILURE_DECREMENT_PER_SUCCESS)

    def add(self, task: state.Task) -> None:
        """Add a run to the host and to its reserved resources."""
        self._update_totals(task, 1)
        self.tasks[str(task.key), task.run] = task

    def remove(self, task: state.Task) -> None:
        """Remove a run from the host and from its reserved resources."""
        if self.tasks.pop((str(task.key), task.run), None) is not None:
            self._update_totals(task, -1)
        self.sent.pop((str(task.key), task.run), None)
        self.starts.discard((str(task.key), task.run))

    def _update_totals(self, task: state.Task, sign: int) -> None:
        step = task.step
        if step.is_filler:
            self.filler_cpu += sign * step.cpu_milli
        else:
            self.used_cpu += sign * step.cpu_milli
        self.used_memory += sign * step.memory_mb
        self.used_gpus += sign * step.gpus
        self.service_count += sign * step.is_service
        self.service_cpu += sign * step.cpu_milli * step.is_service
        key = jobs.step_key(task.key)
        count = self.step_counts.pop(key, 0) + sign
        if count:
            self.step_counts[key] = count

    @property
    def answered_at(self) -> float:
        """When the runner last answered its agent, on ``clock.now``."""
        return self.reported_at - self.answered_ago_s

    def record_start(self, task: state.Task, now: float) -> None:
        """Add a new run, and reserve the host for one that is to be alone."""
        self.add(task)
        self.starts.add((str(task.key), task.run))
        self.last_start_at = now
        isolation = task.isolation(now)
        if isolation is not crash_limits.Isolation.NONE:
            self.suspect_starts.append(now)
        if isolation is crash_limits.Isolation.ALONE:
            self._reserved_for = task
            self._reserved_until = now + crash_limits.probation_s(task.crashes)

    def is_reserved(self, now: float) -> bool:
        """Return whether a run that is to be alone keeps others from starting here."""
        task = self._reserved_for
        return (
            task is not None
            and now < self._reserved_until
            and bool(task.crashes)
            and (str(task.key), task.run) in self.tasks
        )

    def hold_for(self, task: state.Task, now: float) -> None:
        """Keep others from starting, so that a run that is to be alone soon can."""
        self._held_for = task
        self._held_until = now + crash_limits.HOLD_S

    def is_held_for(self, task: state.Task, now: float) -> bool:
        """Return whether the host is held for a task, which still waits."""
        return task is self._held_for and task.is_waiting and now < self._held_until

    def is_held(self, task: state.Task | None, now: float) -> bool:
        """Return whether the host is held for another task than this one."""
        held_for = self._held_for
        if held_for is None or held_for is task:
            return False
        return self.is_held_for(held_for, now)

    def can_isolate(
        self,
        isolation: crash_limits.Isolation,
        now: float,
        task: state.Task | None = None,
        needs_quiet: bool = True,
    ) -> bool:
        """Return whether a run can start here as far apart from others as it needs.

        ``task`` is the suspect, None for others. Without ``needs_quiet``, a run that is
        to be alone may come soon after others.
        """
        if self.is_reserved(now) or self.is_held(task, now):
            return False
        if isolation is crash_limits.Isolation.ALONE and not needs_quiet:
            return True
        if isolation is crash_limits.Isolation.ALONE:
            return now - self.last_start_at >= crash_limits.QUIET_S
        if isolation is crash_limits.Isolation.NONE:
            return True
        since = now - crash_limits.SUSPECT_SPACING_S
        return sum(at > since for at in self.suspect_starts) < crash_limits.MAX_SUSPECTS

    def is_usable(self, now: float) -> bool:
        """Return whether new runs may be sent to the host."""
        return (
            self.runner is not None
            and not self.runner.is_draining
            and not self.is_leaving
            and self.crash is None
            and not self.has_untracked_runs
            and now - self.reported_at < SILENCE_TIMEOUT_S
            and self.answered_ago_s < SILENCE_TIMEOUT_S
        )

    @property
    def is_overcommitted(self) -> bool:
        """Whether the runs exceed the capacity, which may shrink while they run."""
        committed = self.used_cpu, self.used_memory, self.used_gpus
        return self.runner is not None and any(
            used > most
            for used, most in zip(committed, self.runner.capacity, strict=True)
        )

    def is_order_lost(self, key: RowKey, now: float) -> bool:
        """Return whether a run's newest order counts as lost, or none was sent."""
        sent = self.sent.get(key)
        return (
            sent is None
            or sent.agent != self.agent
            or now - sent.at > ORDER_RESEND_AFTER_S
        )

    def settle(self, key: RowKey, end: int) -> None:
        """Record that a final row is stored; ``end`` is the number of the end."""
        self.pending.discard(key)
        self.sent.pop(key, None)
        self.settled[key] = end
        self.open_ends.pop(end, None)
        self.last_stored = max(self.last_stored, end)
        min_open_end = min(self.open_ends, default=self.last_stored + 1)
        self.noted = max(self.noted, min_open_end - 1)

    def read_settled(self, life: int) -> tuple[int, list[RowKey]] | None:
        """Return ``noted`` and the settled rows of a life, or None for another life.

        Thread-safe: a new life may begin meanwhile.
        """
        with self._life_lock:
            return (self.noted, list(self.settled)) if self.life == life else None

    def record_unstored_end(self, number: int) -> None:
        """Record that the agent listed an end that is not stored."""
        if number > self.noted and number not in self.open_ends:
            self.open_ends[number] = self.reported_at

    def stuck_ends(self, now: float) -> list[int]:
        """Return the numbers of ends that have not been stored for too long."""
        stuck_before = now - _END_STUCK_AFTER_S
        return [number for number, at in self.open_ends.items() if at < stuck_before]

    def begin_life(self, info: messages.RunnerInfo) -> list[state.Task]:
        """Record a new life of the runner; return the runs lost with earlier lives."""
        lost = self._find_lost(info)
        with self._life_lock:
            self.life = info.life
            self.noted = self.last_stored = 0
            self.open_ends.clear()
            self.pending.clear()
            self.settled.clear()
        for key in self.sent.keys() - self.tasks.keys():
            del self.sent[key]
        self.failures = 0.0
        self.avoid_until = 0.0
        self.speed = stragglers.SpeedEstimate()
        return lost
