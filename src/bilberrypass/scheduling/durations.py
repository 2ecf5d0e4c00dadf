"""The expected durations of tasks, corrected by what is seen of them."""

import collections
import collections.abc as abc
import math
import statistics
import typing as t
import weakref

from bilberrypass.scheduling import (
    duration_priors,
    hosts,
    jobs,
    leader_gauges,
    state,
    stragglers,
)

_WITHIN_STEP_VARIANCE: t.Final = 0.09  # of logarithms; tasks of a step differ by 30%
_MAX_ENDS: t.Final = 32  # of one step
_MAX_QUEUES: t.Final = 256
_RUNNING_REFRESH_S: t.Final = 0.5  # time of one report
_QUEUED_REFRESH_S: t.Final = 2.0
_SPEED_REFRESH_S: t.Final = 1.0
_FAR_FROM_USUAL: t.Final = 0.4  # logarithm of the speed
_MIN_SPEED_SAMPLES: t.Final = 16
_MAX_RESUMED_PERCENT: t.Final = 70  # of a run whose end still tells its duration
_MIN_LEFT_SHARE: t.Final = 0.05  # of a run that takes longer than expected
_MIN_PACE_SHARE: t.Final = 0.05
_FULL_PERCENT: t.Final = 100
_MIN_WORK: t.Final = 1.0  # core-seconds; steps may have no estimate

_ratios = leader_gauges.create(
    "bilberrypass_duration_ratio", "True to estimated duration of tasks", ["queue"]
)


class Outlook(t.NamedTuple):
    """What is left of a job's first open repetition, by its expected durations.

    ``left`` and ``work`` are core-seconds that are left and in all, ``path_left_s``
    and ``path_s`` the critical paths; ``error`` is the standard deviation of the
    logarithm of what is left.
    """

    left: float
    work: float
    path_left_s: float
    path_s: float
    error: float


class MeanWork:
    """The mean work of the jobs of each queue, in core-seconds by their estimates."""

    def __init__(self) -> None:
        self._sums: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def add(self, job: jobs.Job) -> None:
        """Count one job."""
        work = work_core_s(job.steps, [step.count for step in job.steps])
        self._sums[job.queue] = self._sums.get(job.queue, 0.0) + work
        self._counts[job.queue] = self._counts.get(job.queue, 0) + 1

    def of(self, queue: str) -> float:
        """Return the mean of a queue of which a job was counted."""
        return self._sums[queue] / self._counts[queue]


class _Learned:
    """What was seen of one job: the ends by step, and what is expected while fresh.

    ``steps_s`` maps repetition and step to the expected seconds of a task, and the time
    until which they count.
    """

    __slots__ = ("ends", "fresh_until", "outlook", "steps_s")

    def __init__(self) -> None:
        self.ends: dict[int, collections.deque[float]] = {}
        self.outlook: Outlook | None = None
        self.steps_s: dict[tuple[int, int], tuple[float, float]] = {}
        self.fresh_until = 0.0


class _StepOutlook(t.NamedTuple):
    left: float
    work: float
    left_s: float
    full_s: float
    error: float


@t.final
class Durations:
    """Expected durations of tasks, in seconds at full pace on a usual host.

    Submitters' estimates are wrong by half and more. The ends and the progress of the
    other tasks of a step tell nearly all once one or two are known; before that, the
    queue's usual ratio of true to estimated durations corrects the estimate. A host
    whose speed is far from usual is told apart. Nothing is stored: a new leader begins
    with the estimates, and learns again from what hosts report. For the scheduler's
    thread only.

    Parameters
    ----------
    fleet : mapping of str to hosts.Host
        The hosts by their names, for their speeds.
    """

    def __init__(self, fleet: abc.Mapping[str, hosts.Host]) -> None:
        self.mean_work = MeanWork()
        self._fleet = fleet
        self._priors: dict[str, duration_priors.DurationPrior] = {}
        self._untold = duration_priors.DurationPrior()
        self._jobs: weakref.WeakKeyDictionary[state.JobState, _Learned] = (
            weakref.WeakKeyDictionary()
        )
        self._speeds: dict[str, float] = {}
        self._speeds_due_at = -math.inf

    def observe_end(self, task: state.Task, took_s: float | None) -> None:
        """Count the end of a task that is done and counted off its step.

        Parameters
        ----------
        task : state.Task
            The task; its host is that of the run that ended.
        took_s : float or None
            Seconds at full pace for the whole task, see ``took_s``; None if unknown.
        """
        if task.step.is_service:
            return
        learned = self._learned(task.job)
        learned.fresh_until = 0.0
        learned.steps_s.clear()
        ends = learned.ends.setdefault(
            task.key.step, collections.deque(maxlen=_MAX_ENDS)
        )
        if took_s and took_s > 0:
            ends.append(math.log(took_s * self._speeds.get(task.host, 1.0)))
        if not task.job.occurrences.open_count(task.key.occurrence, task.key.step):
            queue = task.job.job.queue
            prior = self._priors.pop(queue, None) or duration_priors.DurationPrior()
            self._priors[queue] = prior  # the queue seen last is at the end
            prior.observe(task.step.estimate_s, list(ends))
            _ratios.labels(queue).set(prior.ratio)
            if len(self._priors) > _MAX_QUEUES:
                oldest = next(iter(self._priors))
                del self._priors[oldest]
                _ratios.remove(oldest)

    def task_s(self, job: state.JobState, occurrence: int, step: int) -> float:
        """Return the expected seconds of a task of a step; 0 if nothing tells it."""
        return self._expect(job, step, self._progressed(job, occurrence, step))[0]

    def remaining_s(self, task: state.Task, now: float) -> float:
        """Return the expected seconds to a task's end, at full pace on its host."""
        if task.phase is state.Phase.DONE:
            return 0.0
        return self._remaining_s(task, self._recent_step_s(task, now), now)

    def expected_end(self, task: state.Task, now: float) -> float:
        """Return when a run is expected to end at its present pace.

        On ``clock.now``; infinite for a task of a service.
        """
        if task.step.is_service:
            return math.inf
        pace = max(_MIN_PACE_SHARE, task.pace / _FULL_PERCENT)
        return now + self.remaining_s(task, now) / pace

    def work_left(self, job: state.JobState) -> float:
        """Return the work left of a batch job's first open repetition, in core-seconds.

        As of the job's latest outlook, or of its hosts' latest reports without one; 0
        once the job is final.
        """
        if job.is_final:
            return 0.0
        outlook = self._learned(job).outlook or self._outlook(job, 0.0)
        return outlook.left

    def known_at(self, now: float) -> "KnownDurations":
        """Return what is known at a time, for ranks at later times."""
        return KnownDurations(self, now)

    def value_bias(self, queue: str) -> float:
        """Return the usual ratio of true to estimated work of a queue's jobs."""
        return self._priors.get(queue, self._untold).ratio

    def outlook(self, job: state.JobState, now: float) -> Outlook:
        """Return the outlook of a batch job, at most two seconds old."""
        learned = self._learned(job)
        if learned.outlook is None or now >= learned.fresh_until:
            if now >= self._speeds_due_at:
                self._update_speeds(now)
            has_begun = bool(job.occurrences.next)
            refresh_s = _RUNNING_REFRESH_S if has_begun else _QUEUED_REFRESH_S
            learned.outlook = self._outlook(job, now)
            learned.fresh_until = now + refresh_s
        return learned.outlook

    def _outlook(self, job: state.JobState, now: float) -> Outlook:
        occurrence = job.occurrences.first_open()
        steps = job.job.steps
        found = [
            self._step_outlook(job, occurrence, number, now)
            for number in range(len(steps))
        ]
        lefts = [step.left_s for step in found]
        return Outlook(
            max(_MIN_WORK, sum(step.left for step in found)),
            max(_MIN_WORK, sum(step.work for step in found)),
            path_s(steps, lefts),
            path_s(steps, [step.full_s for step in found]),
            max((step.error for step in found if step.left), default=0.0),
        )

    def _step_outlook(
        self, job: state.JobState, occurrence: int, number: int, now: float
    ) -> _StepOutlook:
        step = job.job.steps[number]
        open_count = job.occurrences.open_count(occurrence, number)
        is_blocked = any(
            job.occurrences.open_count(occurrence, earlier) for earlier in step.after
        )
        is_begun = not is_blocked and (
            bool(job.occurrences.next) or open_count < step.count
        )
        progressed = self._progressed(job, occurrence, number) if is_begun else []
        step_s, error = self._expect(job, number, progressed)
        cores = step.cpu_milli / jobs.MILLI_PER_CORE
        longest_s = step_s * self._priors.get(job.job.queue, self._untold).longest_ratio
        ended = self._learned(job).ends.get(number)
        full_s = max([longest_s, *progressed, math.exp(max(ended)) if ended else 0.0])
        work = step.count * cores * step_s
        if not is_begun:
            return _StepOutlook(work, work, longest_s, full_s, error)
        open_step = job.occurrences.find_step(occurrence, number)
        begun = [] if open_step is None else list(open_step.tasks.values())
        lefts_s = [self._remaining_s(task, step_s, now) for task in begun]
        fresh = open_count - len(begun)
        left_s = max([*lefts_s, step_s * bool(fresh)])
        sum_s = sum(lefts_s) + step_s * fresh
        return _StepOutlook(cores * sum_s, work, left_s, full_s, error)

    def _expect(
        self, job: state.JobState, number: int, progressed: list[float]
    ) -> tuple[float, float]:
        """Return a step's expected seconds, and the error of their logarithm."""
        estimate_s = job.job.steps[number].estimate_s
        learned = self._jobs.get(job)
        seen = [math.log(full_s) for full_s in progressed]
        if learned is not None:
            seen += learned.ends.get(number, ())
        if not estimate_s:
            return (math.exp(statistics.median(seen)) if seen else 0.0), 0.0
        prior = self._priors.get(job.job.queue, self._untold).expect(estimate_s)
        if not seen:
            return math.exp(prior.log_s), math.sqrt(prior.variance)
        own, others = 1.0 / prior.variance, len(seen) / _WITHIN_STEP_VARIANCE
        log_s = (own * prior.log_s + others * statistics.median(seen)) / (own + others)
        return math.exp(log_s), 1.0 / math.sqrt(own + others)

    def _progressed(
        self, job: state.JobState, occurrence: int, number: int
    ) -> list[float]:
        """Return the durations that the progress of a step's running tasks shows."""
        found = []
        step = job.occurrences.find_step(occurrence, number)
        for task in step.tasks.values() if step is not None else ():
            if task.phase is state.Phase.RUNNING:
                full_s = task.progress.full_s()
                if full_s is not None:
                    found.append(full_s * self._speeds.get(task.host, 1.0))
        return found

    def _remaining_s(self, task: state.Task, step_s: float, now: float) -> float:
        progress = task.progress
        if not task.is_active:
            is_resumed = task.step.has_checkpoints and task.checkpoint
            saved = progress.percent / _FULL_PERCENT if is_resumed else 0.0
            return step_s * (1.0 - saved)
        full_s = progress.full_s() or step_s / self._speeds.get(task.host, 1.0)
        worked_s = progress.worked_until(now)
        left_s = full_s * (1.0 - progress.first_percent / _FULL_PERCENT) - worked_s
        return max(_MIN_LEFT_SHARE * full_s, left_s)

    def _recent_step_s(self, task: state.Task, now: float) -> float:
        """Return the expected seconds of a task's step, at most half a second old."""
        steps_s = self._learned(task.job).steps_s
        key = task.key.occurrence, task.key.step
        step_s, fresh_until = steps_s.get(key, (0.0, -math.inf))
        if now >= fresh_until:
            step_s = self.task_s(task.job, *key)
            steps_s[key] = step_s, now + _RUNNING_REFRESH_S
        return step_s

    def _learned(self, job: state.JobState) -> _Learned:
        learned = self._jobs.get(job)
        if learned is None:
            learned = self._jobs[job] = _Learned()
        return learned

    def _update_speeds(self, now: float) -> None:
        """Update the relative speeds of the hosts that are far off the usual one."""
        self._speeds_due_at = now + _SPEED_REFRESH_S
        fleet = self._fleet.values()
        usual = stragglers.median_level(host.speed for host in fleet)
        self._speeds = {
            host.name: math.exp(host.speed.level - usual)
            for host in fleet
            if host.speed.samples >= _MIN_SPEED_SAMPLES
            and abs(host.speed.level - usual) > _FAR_FROM_USUAL
        }


def took_s(task: state.Task, now: float) -> float | None:
    """Return the seconds at full pace that a task took whose run ends at ``now``.

    None if too little of the task was seen: it was resumed near its end, or an
    earlier scheduler ordered it.
    """
    progress = task.progress
    if progress.started_at:
        if progress.first_percent > _MAX_RESUMED_PERCENT:
            return None
        share = 1.0 - progress.first_percent / _FULL_PERCENT
        return progress.worked_until(now) / share or None
    is_whole = task.started_at and not task.checkpoint
    return now - task.started_at if is_whole else None


@t.final
class KnownDurations:
    """The durations as known at one time, whatever later time they are asked for."""

    def __init__(self, learned: Durations, now: float) -> None:
        self.mean_work = learned.mean_work
        self.value_bias = learned.value_bias
        self._learned, self._now = learned, now

    def outlook(self, job: state.JobState, at: float) -> Outlook:
        """Return the outlook of a batch job as of the time of this object."""
        return self._learned.outlook(job, self._now)


def path_s(steps: abc.Sequence[jobs.Step], lengths_s: abc.Sequence[float]) -> float:
    """Return the critical path of steps that take ``lengths_s``, in seconds."""
    ends_s: list[float] = []
    for step, length_s in zip(steps, lengths_s, strict=True):
        start_s = max((ends_s[earlier] for earlier in step.after), default=0.0)
        ends_s.append(start_s + length_s)
    return max(ends_s, default=0.0)


def work_core_s(steps: abc.Sequence[jobs.Step], counts: abc.Sequence[int]) -> float:
    """Return the work of ``counts`` tasks of each step, in core-seconds, at least 1."""
    work = sum(
        count * step.cpu_milli * step.estimate_s
        for step, count in zip(steps, counts, strict=True)
    )
    return max(_MIN_WORK, work / jobs.MILLI_PER_CORE)
