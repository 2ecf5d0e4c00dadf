"""Records what callers and runners observe and checks the invariants against it."""

import threading
import time
import typing as t

from soak import cancels, disturbances, domains, submissions

FINAL_STATES: t.Final = frozenset({"completed", "failed", "cancelled"})
HOST_CPU_MILLI: t.Final = 64_000
MAX_CRASHES: t.Final = 3
_MIN_CRASHES_TO_FAIL: t.Final = 2  # a job may be given up then
# RULES.md, BUDGET: so many starts after MAX_CRASHES break it.
_MAX_STARTS_AFTER_CRASHES: t.Final = 3
# RULES.md, LIMIT: contact_ms and one report, and the time to carry a start out.
_CAPACITY_KNOWN_AFTER_S: t.Final = 3.0 + 0.3 + 0.2
# RULES.md, ORDER: 5 s more where clocks jump.
_EARLY_S: t.Final = 0.25
_EARLY_BY_CLOCKS_S: t.Final = 5.0


class Violation(t.NamedTuple):
    """A violated invariant.

    ``rule`` is the name of the invariant, ``at`` the seconds since the start,
    and ``detail`` what was observed.
    """

    rule: str
    at: float
    detail: str


class _Task:
    """A task as the runners know it; runs are identified by their number."""

    def __init__(self) -> None:
        self.active: dict[int, str] = {}
        self.started: dict[int, float] = {}
        self.done: dict[int, float] = {}
        self.is_done_acknowledged = False
        self.failures = 0
        self.failures_acknowledged = 0
        self.crashes = 0
        self.crashes_by_tasks = 0
        self.starts_after_crashes = 0


@t.final
class InvariantChecker:
    """Checks the invariants against everything observed during one seed.

    Parameters
    ----------
    max_attempts : int
        Number of failed runs after which a task is not run again.
    """

    def __init__(self, max_attempts: int) -> None:
        self.jobs: dict[str, submissions.Job] = {}
        self.violations: list[Violation] = []
        self.history: list[str] = []
        self.start_count = 0
        self.has_stepped_clocks = False
        self.disturbances = disturbances.Disturbances()
        self.evacuations = domains.EvacuationCheck(self.disturbances)
        self._cancels = cancels.CancelCheck(self.disturbances)
        self._max_attempts = max_attempts
        self._tasks: dict[str, _Task] = {}
        self._cpu_in_use: dict[str, int] = {}
        self._capacities: dict[str, list[tuple[float, int]]] = {}
        self._created_at = time.monotonic()
        self._lock = threading.RLock()

    def now(self) -> float:
        """Return the seconds since this object was created."""
        return time.monotonic() - self._created_at

    def _record(self, rule: str, detail: str) -> None:
        self.violations.append(Violation(rule, round(self.now(), 2), detail))
        self.log(f"VIOLATION {rule} {detail}")

    def log(self, event: str) -> None:
        """Add an event to the history, with its time in Unix seconds."""
        self.history.append(f"{time.time():.3f} {event}")

    def add_job(self, job: submissions.Job) -> None:
        """Record a job before it is submitted."""
        with self._lock:
            self.jobs[job.id] = job

    # Observations of runners.

    def on_run_started(
        self,
        host: str,
        task: str,
        run: int,
        spec: str,
        saved: str,
        is_late: bool = False,
    ) -> None:
        """Check and record the start of a run.

        ``saved`` is the checkpoint from which it resumes, or empty; ``is_late`` tells
        that the runner carried out the order late.
        """
        with self._lock:
            self.start_count += 1
            what = f"{task} run {run} on {host}"
            self.log(f"{'late ' * is_late}start {what}")
            job = self.jobs.get(task.split(".")[0])
            if job is None or spec != job.body["specification"]:
                self._record(
                    "UNASKED", f"{what}: no such job and specification submitted"
                )
                return
            state = self._tasks.setdefault(task, _Task())
            self._check_against_task(state, job, what)
            self._check_against_crashes(state, job, task, host)
            self._check_against_job(job, task, what)
            started = cancels.ActiveRun(task, run, host, time.monotonic(), is_late)
            self._check_against_cancel(started)
            if why := self.evacuations.on_run_started(started):
                self._record("EVAC", f"{what}: {why}")
            if saved and not saved.startswith(f"{task}#"):
                self._record("UNASKED", f"{what}: checkpoint {saved}")
            state.active[run] = host
            state.started[run] = self.now()
            # The bound in time of a shrunk capacity does not hold for late orders.
            capacity = HOST_CPU_MILLI if is_late else self._known_capacity(host)
            self._add_cpu_use(host, job, task, 1, capacity)

    def _check_against_task(
        self, state: _Task, job: submissions.Job, what: str
    ) -> None:
        if state.active:
            self._record("TWICE", f"{what}: also running: {state.active}")
        if state.is_done_acknowledged and not job.is_long_running:
            self._record("TWICE", f"{what}: an earlier run was acknowledged as done")
        if (
            state.failures_acknowledged >= self._max_attempts
            and not job.is_long_running
        ):
            self._record(
                "BUDGET", f"{what}: {state.failures_acknowledged} failures acknowledged"
            )

    def _check_against_crashes(
        self, state: _Task, job: submissions.Job, task: str, host: str
    ) -> None:
        if not job.is_deadly(task) or state.crashes < MAX_CRASHES:
            return
        # The rule holds for starts by machines in touch (RULES.md).
        calm_since = self.disturbances.calm_since(host, disturbances.CORE)
        if time.monotonic() - calm_since < cancels.CONTACT_S:
            return
        state.starts_after_crashes += 1
        if state.starts_after_crashes == _MAX_STARTS_AFTER_CRASHES:
            self._record(
                "BUDGET", f"{task}: started on after {state.crashes} runners crashed"
            )

    def _check_against_job(self, job: submissions.Job, task: str, what: str) -> None:
        if job.is_refused:
            self._record("REFUSED", f"{what}: all attempts to submit it were refused")
        if job.last_state == "completed":
            self._record("TWICE", f"{what}: its job was reported as completed")
        early_s = job.due_at(task) - time.time()
        if early_s > _EARLY_S + _EARLY_BY_CLOCKS_S * self.has_stepped_clocks:
            self._record("ORDER", f"{what}: starts {early_s:.2f} s before its time")
        occurrence = int(task.split(".")[1])
        for earlier in job.step_of(task).get("after", ()):
            for other in job.task_names(earlier, occurrence):
                if not self._tasks.get(other, _Task()).done:
                    self._record(
                        "ORDER", f"{what}: {other}, which precedes it, is not done"
                    )
                    return

    def _check_against_cancel(self, run: cancels.ActiveRun) -> None:
        why = self._cancels.on_run_started(run, self._cancelled_at(run.task))
        if why:
            self._record("UNASKED", f"{run.task} run {run.run} on {run.host}: {why}")

    def _cancelled_at(self, task: str) -> float:
        acked_at = self.jobs[task.split(".")[0]].cancel_acked_at
        return acked_at and acked_at + self._created_at

    def check_cancelled_runs(self) -> None:
        """Check that no run is at work too long after its job was cancelled."""
        with self._lock:
            for run, detail in self._cancels.find_overdue(
                time.monotonic(), self._cancelled_at
            ):
                what = f"{run.task} run {run.run} on {run.host}"
                self._record("UNASKED", f"{what}: it runs on: {detail}")

    def _add_cpu_use(
        self, host: str, job: submissions.Job, task: str, sign: int, capacity: int = 0
    ) -> None:
        used = self._cpu_in_use.get(host, 0) + sign * job.step_of(task)["cpu"]
        self._cpu_in_use[host] = used
        if sign > 0 and used > capacity:
            self._record(
                "LIMIT",
                f"{host}: {used} CPU milli in use of {capacity} after start of {task}",
            )

    def set_capacity(self, host: str, cpu_milli: int) -> None:
        """Record a change of a host's capacity."""
        with self._lock:
            self.log(f"{host}: capacity {cpu_milli}")
            self._capacities.setdefault(host, []).append((self.now(), cpu_milli))

    def _known_capacity(self, host: str) -> int:
        """Return the largest capacity that its agent may take for the present one."""
        known_since = self.now() - _CAPACITY_KNOWN_AFTER_S
        latest, recent = HOST_CPU_MILLI, []
        for at, cpu_milli in self._capacities.get(host, []):
            if at <= known_since:
                latest = cpu_milli
            else:
                recent.append(cpu_milli)
        return max(latest, *recent) if recent else latest

    def on_run_ended(self, host: str, task: str, run: int, outcome: str) -> None:
        """Record the end of a run; ends of unknown runs are ignored."""
        with self._lock:
            state = self._tasks[task]
            if state.active.pop(run, None) is None:
                return
            self.log(f"end {task} run {run} on {host}: {outcome}")
            self._cancels.on_run_ended(task, run, host)
            self._add_cpu_use(host, self.jobs[task.split(".")[0]], task, -1)
            if outcome == "done":
                state.done[run] = self.now()
            state.failures += outcome == "failed"

    def on_end_acknowledged(self, task: str, run: int, outcome: str) -> None:
        """Check and record that the scheduler acknowledged an end."""
        with self._lock:
            state = self._tasks[task]
            self.log(f"acknowledged {task} run {run}: {outcome}")
            if outcome == "failed":
                state.failures_acknowledged += 1
            if outcome != "done" or state.is_done_acknowledged:
                return
            state.is_done_acknowledged = True
            is_long_running = self.jobs[task.split(".")[0]].is_long_running
            restarted = [r for r, at in state.started.items() if at > state.done[run]]
            if restarted and not is_long_running:
                self._record(
                    "TWICE",
                    f"{task}: runs {restarted} started after run {run} was done",
                )

    def on_runner_crashed(
        self, host: str, runs: t.Iterable[tuple[str, int]], by_task: bool = False
    ) -> None:
        """Record that a runner crashed, by a task or not, and lost all of its runs."""
        with self._lock:
            for task, run in runs:
                self._tasks[task].crashes += 1
                self._tasks[task].crashes_by_tasks += by_task
                self.on_run_ended(host, task, run, "lost")

    # Observations of callers.

    def on_state_received(self, job: submissions.Job, state: str) -> None:
        """Check and record a state that a caller received."""
        with self._lock:
            if job.last_state in FINAL_STATES and state != job.last_state:
                self._record(
                    "MIXED", f"{job.id}: reported as {job.last_state}, then as {state}"
                )
            if state == "completed" and job.last_state != state:
                self._check_completed(job)
            if state == "cancelled" and not job.cancel_sent:
                self._record(
                    "LOST", f"{job.id}: reported as cancelled without a cancellation"
                )
            if state == "failed" and job.last_state != state:
                self._check_failed(job)
            job.last_state = state

    def _all_task_names(self, job: submissions.Job) -> list[str]:
        return [
            name
            for occurrence in range(job.repetitions)
            for number in range(len(job.body["steps"]))
            for name in job.task_names(number, occurrence)
        ]

    def _check_completed(self, job: submissions.Job) -> None:
        if job.is_long_running:
            self._record("LOST", f"{job.id}: reported as completed, and it was to last")
        for name in self._all_task_names(job):
            if not self._tasks.get(name, _Task()).done:
                self._record(
                    "MIXED", f"{job.id}: reported as completed, but {name} is not done"
                )

    def _check_failed(self, job: submissions.Job) -> None:
        max_failures = max(
            (
                self._tasks.get(name, _Task()).failures
                for name in self._all_task_names(job)
            ),
            default=0,
        )
        if max_failures >= self._max_attempts:
            return
        tasks = [self._tasks.get(name, _Task()) for name in self._all_task_names(job)]
        max_crashes = max(task.crashes for task in tasks)
        if max_crashes < _MIN_CRASHES_TO_FAIL:
            self._record(
                "LOST",
                f"{job.id}: reported as failed after at most {max_failures} failures "
                f"of a task, and {max_crashes} crashes under one",
            )
        elif not job.has_deadly_task and not any(
            task.crashes >= MAX_CRASHES and task.crashes > task.crashes_by_tasks
            for task in tasks
        ):
            self._record("LOST", f"{job.id}: given up for crashes that others caused")

    def long_running_cpu(self) -> int:
        """Return the CPU milli of all long-running jobs that are not cancelled."""
        with self._lock:
            steps = [
                job.body["steps"][0]
                for job in self.jobs.values()
                if job.is_long_running and not job.cancel_acked_at
            ]
        return sum(step["count"] * step["cpu"] for step in steps)

    def on_job_not_found(self, job: submissions.Job) -> None:
        """Check an answer that a job is not known."""
        with self._lock:
            if job.accepted_at and not job.cancel_sent:
                self._record("LOST", f"{job.id}: accepted, then reported as not known")

    def add_violation(self, rule: str, detail: str) -> None:
        """Record a violation that was found outside this class."""
        with self._lock:
            self._record(rule, detail)

    def count_active_runs(self, job: submissions.Job) -> int:
        """Return the number of active runs of a job, over all of its tasks."""
        with self._lock:
            tasks = [
                self._tasks.get(name, _Task()) for name in self._all_task_names(job)
            ]
            return sum(len(task.active) for task in tasks)
