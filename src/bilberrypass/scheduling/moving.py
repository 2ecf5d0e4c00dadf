"""Fillers that stand still beside a service move to where they can work."""

import typing as t

from bilberrypass.observing import decisions
from bilberrypass.scheduling import hosts, placement, reconciling, state

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler

_SLOW_BELOW: t.Final = 45  # percent; a move costs under a second of work
_SLOW_FOR_S: t.Final = 1.2  # two settings of the speed
_MOVES_A_ROUND: t.Final = 3
_LITTLE_DONE_PERCENT: t.Final = 15  # what is lost without a checkpoint


@t.final
class Mover:
    """The part of a scheduler that moves fillers.

    Answers a load peak of services: what their hosts slow down holds up whole jobs
    while other hosts have room.

    Parameters
    ----------
    owner : scheduler.Scheduler
        Holds hosts, and orders stops.
    """

    def __init__(self, owner: "scheduler.Scheduler") -> None:
        self._owner = owner

    def tick(self, now: float) -> None:
        """Stop a few slow fillers that another host would take at once."""
        moves = 0
        usable = [host for host in self._owner.hosts.values() if host.is_usable(now)]
        for host in usable:
            for task in list(host.tasks.values()):
                if moves < _MOVES_A_ROUND and self._is_due(task, now):
                    moves += self._move(task, host, usable, now)

    def _is_due(self, task: state.Task, now: float) -> bool:
        if not task.step.is_filler or task.phase is not state.Phase.RUNNING:
            return False
        if task.pace >= _SLOW_BELOW:
            task.slow_since = 0.0
            return False
        task.slow_since = task.slow_since or now
        if now - task.slow_since < _SLOW_FOR_S:
            return False
        has_saved = task.step.has_checkpoints and bool(task.checkpoint)
        return has_saved or task.progress < _LITTLE_DONE_PERCENT

    def _move(
        self,
        task: state.Task,
        host: hosts.Host,
        usable: list[hosts.Host],
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
            pace=task.pace,
            progress=task.progress,
        )
        task.phase = state.Phase.STOPPING
        task.slow_since = 0.0
        self._owner.order(host, reconciling.order(task, reconciling.Verb.STOP))
        return True
