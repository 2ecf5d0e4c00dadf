"""Runs that cannot get on where they are move to another host."""

import typing as t

from bilberrypass.observing import decisions
from bilberrypass.scheduling import hosts, placement, reconciling, state, stragglers

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler

_SLOW_BELOW: t.Final = 45  # percent; a move costs under a second of work
_SLOW_FOR_S: t.Final = 1.2  # two settings of the speed
_MOVES_A_ROUND: t.Final = 3
_LITTLE_DONE_PERCENT: t.Final = 15  # what is lost without a checkpoint
_RESTART_S: t.Final = 0.8  # a stop, a write and a start
_LEAVE_MARGIN_S: t.Final = 0.7  # a stop and its report


@t.final
class Mover:
    """The part of a scheduler that moves runs.

    Answers load peaks of services, which slow their neighbours down, hosts that
    hang or crawl, and hosts that are about to leave.

    Parameters
    ----------
    owner : scheduler.Scheduler
        Holds hosts, and orders stops.
    """

    def __init__(self, owner: "scheduler.Scheduler") -> None:
        self._owner = owner

    def tick(self, now: float) -> None:
        """Stop a few runs that another host would take at once."""
        moves = 0
        usable = self._owner.usable_hosts(now)
        self._judge(now)
        for host in self._owner.hosts.values():
            if now - host.heard_at > hosts.SILENT_AFTER_S:
                continue
            for task in list(host.tasks.values()):
                if moves >= _MOVES_A_ROUND:
                    return
                why = self._reason(task, host, now)
                if why:
                    moves += self._move(task, host, usable, why, now)

    def _judge(self, now: float) -> None:
        """Tell slow hosts from the others."""
        every = self._owner.hosts.values()
        usual = stragglers.usual_level(host.speed for host in every)
        for host in every:
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
                host.blame(now)
                host.speed = stragglers.Speed()  # judged anew by what starts next

    def _reason(self, task: state.Task, host: hosts.Host, now: float) -> str:
        """Return why a run ought to move, or nothing."""
        if task.phase is not state.Phase.RUNNING or task.step.is_gang:
            return ""
        runner = host.runner
        if runner is not None and runner.is_draining:
            return self._reason_to_leave(task, host, now)
        if task.step.is_service:
            return ""
        if self._is_held_back(task, now):
            return "slowed"
        if task.progress.is_stalled(task.step.estimate_s, now):
            return "stalled"
        is_worth = task.progress.left_s(now) > task.step.estimate_s + _RESTART_S
        return "crawling" if host.is_slow and is_worth else ""

    def _reason_to_leave(self, task: state.Task, host: hosts.Host, now: float) -> str:
        """Let short work end on a host that leaves, and move the rest in time."""
        assert host.runner is not None
        if task.step.is_service:
            return "leaving"
        done = task.progress.percent / 100
        left_s = task.step.estimate_s * (1.0 - done)
        stays_s = host.draining_until - now
        if left_s > stays_s - _LEAVE_MARGIN_S and self._can_restart(task):
            return "leaving"
        return ""

    def _is_held_back(self, task: state.Task, now: float) -> bool:
        if not task.step.is_filler or task.pace >= _SLOW_BELOW:
            task.slow_since = 0.0
            return False
        task.slow_since = task.slow_since or now
        return now - task.slow_since >= _SLOW_FOR_S and self._can_restart(task)

    def _can_restart(self, task: state.Task) -> bool:
        has_saved = task.step.has_checkpoints and bool(task.checkpoint)
        return has_saved or task.progress.percent < _LITTLE_DONE_PERCENT

    def _move(
        self,
        task: state.Task,
        host: hosts.Host,
        usable: list[hosts.Host],
        why: str,
        now: float,
    ) -> bool:
        queue = self._owner.queue_of(task.job)
        if queue is None:
            return False
        others = [other for other in usable if other is not host]
        target = placement.choose(
            task, queue.service, others, self._owner.estimates, now
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
                host.blame(now)
            task.avoided_host = host.name
        task.phase = state.Phase.STOPPING
        task.slow_since = 0.0
        self._owner.order(host, reconciling.order(task, reconciling.Verb.STOP))
        return True
