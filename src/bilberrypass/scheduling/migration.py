"""Moves runs that make too little progress, or whose host leaves, to other hosts."""

import typing as t

from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    hosts,
    messages,
    orders,
    placement,
    state,
    stragglers,
)

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler

_SLOW_PACE_PERCENT: t.Final = 45  # a move costs less than a second of work
_SLOW_PACE_FOR_S: t.Final = 1.2  # the agent sets the pace twice in this time
_MAX_MOVES_PER_TICK: t.Final = 3
_MAX_LOST_PROGRESS_PERCENT: t.Final = 15  # lost without a checkpoint
_RESTART_COST_S: t.Final = 0.8  # time of a stop, a write and a start
_LEAVE_MARGIN_S: t.Final = 0.7  # time of a stop and its report


@t.final
class Migrator:
    """Moves the runs of a scheduler between hosts.

    Handles load peaks of services, which slow fillers on their hosts down, hosts that
    hang or are far too slow, and hosts that are about to leave.

    Parameters
    ----------
    owner : scheduler.Scheduler
        Owns hosts, and queues the orders to stop.
    """

    def __init__(self, owner: "scheduler.Scheduler") -> None:
        self._scheduler = owner

    def tick(self, now: float) -> None:
        """Stop a few runs that another host can start at once."""
        moves = 0
        usable = self._scheduler.usable_hosts(now)
        self._update_slow_hosts(now)
        for host in self._scheduler.hosts.values():
            if now - host.reported_at > hosts.SILENCE_TIMEOUT_S:
                continue
            if host.crash is not None:
                continue  # its runs are lost, and come back to the queue soon
            for task in list(host.tasks.values()):
                if moves >= _MAX_MOVES_PER_TICK:
                    return
                if task.job.job.id in self._scheduler.quarantine:
                    continue
                try:
                    why = self._move_reason(task, host, now)
                    if why:
                        moves += self._move(task, host, usable, why, now)
                except Exception as exc:
                    self._scheduler.quarantine.add(task.job.job.id, "move", exc)

    def _update_slow_hosts(self, now: float) -> None:
        """Update which hosts are slow, and avoid hosts that are."""
        all_hosts = self._scheduler.hosts.values()
        usual = stragglers.median_level(host.speed for host in all_hosts)
        for host in all_hosts:
            is_slow = host.speed.is_slow(usual)
            if is_slow != host.is_slow:
                host.is_slow = is_slow
                decisions.record(
                    "host.speed",
                    host=host.name,
                    is_slow=is_slow,
                    level=round(host.speed.level, 2),
                    usual=round(usual, 2),
                )
            if is_slow and now > host.avoid_until:
                host.record_failure(now)
                host.speed = (
                    stragglers.SpeedEstimate()
                )  # measured again from the next runs

    def _move_reason(self, task: state.Task, host: hosts.Host, now: float) -> str:
        """Return why a run should move, or an empty string if it should stay."""
        if task.phase is not state.Phase.RUNNING or task.step.is_gang:
            return ""
        runner = host.runner
        if runner is not None and runner.is_draining:
            return self._drain_reason(task, host, now)
        if task.step.is_service:
            return ""
        if self._is_held_back(task, now):
            return "slowed"
        if task.progress.is_stalled(task.step.estimate_s, now):
            return "stalled"
        is_worthwhile = (
            task.progress.remaining_s(now) > task.step.estimate_s + _RESTART_COST_S
        )
        return "crawling" if host.is_slow and is_worthwhile else ""

    def _drain_reason(self, task: state.Task, host: hosts.Host, now: float) -> str:
        """Return why a run should leave a draining host; empty if it can end there."""
        assert host.runner is not None
        if task.step.is_service:
            return "leaving"
        done_share = task.progress.percent / 100
        remaining_s = task.step.estimate_s * (1.0 - done_share)
        time_left_s = host.draining_until - now
        if remaining_s > time_left_s - _LEAVE_MARGIN_S and self._can_restart(task):
            return "leaving"
        return ""

    def _is_held_back(self, task: state.Task, now: float) -> bool:
        if not task.step.is_filler or task.pace >= _SLOW_PACE_PERCENT:
            task.slow_since = 0.0
            return False
        task.slow_since = task.slow_since or now
        return now - task.slow_since >= _SLOW_PACE_FOR_S and self._can_restart(task)

    def _can_restart(self, task: state.Task) -> bool:
        has_checkpoint = task.step.has_checkpoints and bool(task.checkpoint)
        return has_checkpoint or task.progress.percent < _MAX_LOST_PROGRESS_PERCENT

    def _move(
        self,
        task: state.Task,
        host: hosts.Host,
        usable: list[hosts.Host],
        why: str,
        now: float,
    ) -> bool:
        queue = self._scheduler.queue_of(task.job)
        if queue is None:
            return False
        others = [other for other in usable if other is not host]
        target = placement.choose_host(
            task, queue.service, others, self._scheduler.estimates, now
        )
        if target is None:
            return False
        decisions.record(
            "run.moved",
            task=str(task.key),
            run=task.run,
            host=host.name,
            expected=target.name,
            why=why,
            pace=task.pace,
            progress=task.progress.percent,
        )
        if why in ("stalled", "crawling"):
            if now > host.avoid_until:
                host.record_failure(now)
            task.avoided_host = host.name
        task.phase = state.Phase.STOPPING
        task.slow_since = 0.0
        self._scheduler.queue_order(host, orders.make_order(task, messages.Verb.STOP))
        return True
