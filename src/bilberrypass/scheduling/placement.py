"""The choice of a host for a task: scores are in thousandths of a core."""

import collections.abc as abc
import heapq
import typing as t

from bilberrypass import crash_limits
from bilberrypass.scheduling import hosts, interference, jobs, room_guard, state

_AVOIDED_PENALTY: t.Final = 1_000_000  # exceeds the capacity of any host
_REMOTE_DATA_PENALTY: t.Final = 100_000
_BESIDE_SERVICES_BONUS: t.Final = 200_000
_SAME_IMAGE_BONUS: t.Final = 50_000
_RUN_AT_RISK_PENALTY: t.Final = 20_000  # of a run that a crash would lose
_DEMAND_WEIGHT: t.Final = 40_000  # all that a service can spare costs 40 cores
_LOST_PACE_WEIGHT: t.Final = 100_000  # a tenth of the pace costs 10 cores
_MIN_PACE: t.Final = 0.95  # that a filler can expect over its time
# The share of its reservation that a service uses most of the time.
_SERVICE_USE_SHARE: t.Final = 0.55


class StepPlacement:
    """Chooses hosts for tasks of one step, while no other task is placed.

    Handles bursts of wide jobs on large fleets: each host is scored once for a step,
    and again after it got a task of the step.

    Parameters
    ----------
    step : jobs.Step
        The step, whose tasks need the same.
    key : jobs.StepKey
        Identifies the step and its repetition.
    service : str
        The service of the runners that may run the tasks.
    candidates : iterable of hosts.Host
        Usable hosts.
    estimates : interference.Estimates
        How much fillers of each image slow services of each image.
    now : float
        Time on ``clock.now``.
    is_starved : bool
        Whether a filler may start where it slows services beyond the limit; the
        host's agent then reduces its pace as far as the services need.
    suspect : state.Task, optional
        The only task to be placed, which is kept apart from others as far as it needs
        if it may crash its runner.
    needs_quiet : bool
        Whether a suspect that is to be alone needs a host that started nothing lately.
    is_paced : bool
        Whether hosts that have enough starts before them are passed over.
    guard : room_guard.RoomGuard, optional
        Keeps room for other work; without one, all room may be used.
    """

    def __init__(
        self,
        step: jobs.Step,
        key: jobs.StepKey,
        service: str,
        candidates: abc.Iterable[hosts.Host],
        estimates: interference.Estimates,
        now: float,
        is_starved: bool = False,
        suspect: state.Task | None = None,
        guard: room_guard.RoomGuard | None = None,
        needs_quiet: bool = True,
        is_paced: bool = False,
    ) -> None:
        self._guard = guard
        self._is_paced = is_paced
        self.was_paced = False  # whether a host was passed over for its starts
        self._step, self._key, self._service = step, key, service
        self._suspect, self._needs_quiet = suspect, needs_quiet
        self._isolation = crash_limits.Isolation.NONE
        if suspect is not None:
            self._isolation = suspect.isolation(now)
        self._estimates, self._now, self._is_starved = estimates, now, is_starved
        # Negative scores; among equals the first candidate wins.
        self._heap: list[tuple[int, int, hosts.Host]] = []
        for number, host in enumerate(candidates):
            score = self._score(host)
            if score is not None:
                self._heap.append((-score, number, host))
        heapq.heapify(self._heap)
        self._last: tuple[int, hosts.Host] | None = None

    def choose(self, task: state.Task) -> hosts.Host | None:
        """Return the best host for a task, or None if no host can hold it.

        The caller adds the task to that host before it calls again.
        """
        self._restore_last()
        if not self._heap:
            return None
        best = heapq.heappop(self._heap)
        if best[2].name == task.avoided_host and self._heap:
            other = self._heap[0]
            if other[0] < best[0] + _AVOIDED_PENALTY:
                best = heapq.heapreplace(self._heap, best)
        self._last = best[1], best[2]
        return best[2]

    def _restore_last(self) -> None:
        """Score the host that has got a task again."""
        if self._last is not None:
            number, host = self._last
            score = self._score(host)
            if score is not None:
                heapq.heappush(self._heap, (-score, number, host))
            self._last = None

    def _score(self, host: hosts.Host) -> int | None:
        """Return the score of a host, or None if it cannot hold a task of the step."""
        step = self._step
        if not self.is_allowed(host) or not fits(step, host, self._is_starved):
            return None
        if self._guard is not None and not self._guard.allows(host):
            return None
        if self._is_paced and host.starts.is_full:
            self.was_paced = True
            return None
        score = _score(step, host, self._now)
        if self._guard is not None:
            score -= self._guard.penalty(host)
        if self._isolation is not crash_limits.Isolation.NONE:
            score -= _RUN_AT_RISK_PENALTY * len(host.tasks)
        if step.is_filler and host.service_count:
            host.filler_room.update(host, self._estimates, self._now)
            prospect = host.filler_room.prospect(step, self._estimates)
            if prospect.pace < _MIN_PACE and not self._is_starved:
                return None
            score -= int((1.0 - prospect.pace) * _LOST_PACE_WEIGHT)
            score -= int(prospect.demand * _DEMAND_WEIGHT)
        return score

    def is_allowed(self, host: hosts.Host) -> bool:
        """Return whether a host may hold a task of the step, if it has room."""
        step, runner = self._step, host.runner
        if runner is None or runner.service != self._service:
            return False
        if not host.can_isolate(
            self._isolation, self._now, self._suspect, self._needs_quiet
        ):
            return False
        if step.required_label and step.required_label not in runner.labels:
            return False
        if step.max_per_host:
            return host.step_counts.get(self._key, 0) < step.max_per_host
        return True


def choose_host(
    task: state.Task,
    service: str,
    candidates: abc.Iterable[hosts.Host],
    estimates: interference.Estimates,
    now: float,
    is_starved: bool = False,
    guard: room_guard.RoomGuard | None = None,
    needs_quiet: bool = True,
) -> hosts.Host | None:
    """Return the best host for one task, or None; see ``StepPlacement``.

    Handles bursts of fillers beside long-lived services: fillers get the cores that
    other tasks leave unused, on the hosts where they slow services least. Services of
    one image share hosts, so that fillers can be matched to that image.
    """
    key = jobs.step_key(task.key)
    found = StepPlacement(
        task.step,
        key,
        service,
        candidates,
        estimates,
        now,
        is_starved,
        task,
        guard,
        needs_quiet,
    )
    return found.choose(task)


def fits(step: jobs.Step, host: room_guard.Totals, is_starved: bool = False) -> bool:
    """Return whether a host has room for one more task of a step."""
    runner = host.runner
    assert runner is not None
    if host.used_memory + step.memory_mb > runner.memory_mb:
        return False
    if host.used_gpus + step.gpus > runner.gpus:
        return False
    if step.is_filler:
        if host.used_cpu > runner.cpu_milli:
            return False
        # A filler beyond the spare cores would only slow other tasks down.
        is_spare = not host.filler_cpu or spare_cpu(host) >= step.cpu_milli
        return is_spare or is_starved
    return host.used_cpu + step.cpu_milli <= runner.cpu_milli


def spare_cpu(host: room_guard.Totals) -> int:
    """Return the CPU expected to stay unused, in thousandths of a core.

    Services reserve for their peaks, which do not occur at the same time.
    """
    assert host.runner is not None
    idle = int(host.service_cpu * (1.0 - _SERVICE_USE_SHARE))
    return host.runner.cpu_milli - host.used_cpu + idle - host.filler_cpu


def _score(step: jobs.Step, host: hosts.Host, now: float) -> int:
    assert host.runner is not None
    score = spare_cpu(host)
    if now < host.avoid_until:
        score -= _AVOIDED_PENALTY
    if step.data_rack and step.data_rack not in host.runner.labels:
        score -= _REMOTE_DATA_PENALTY
    if step.is_service:
        same = sum(task.step.image == step.image for task in host.tasks.values())
        score += _SAME_IMAGE_BONUS * same + _BESIDE_SERVICES_BONUS * bool(
            host.service_count
        )
        score -= host.filler_cpu
    return score
