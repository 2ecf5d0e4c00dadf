"""A stand-in runner that reports to the checker what it observes."""

import typing as t

from soak import checker
from testing.standins import runners


class ObservedRunner(runners.Runner):
    """One life of a stand-in runner that reports its observations to the checker.

    Parameters
    ----------
    invariants : checker.InvariantChecker
        Receives starts, ends and acknowledgements of ends.
    host : str
        Name of the runner's host.
    **options
        Passed to the stand-in.
    """

    def __init__(
        self, invariants: checker.InvariantChecker, host: str, **options: t.Any
    ) -> None:
        super().__init__(max_runs=1_000, **options)
        self._invariants = invariants
        self._host = host
        self._expired_ends: set[int] = set()

    def _start(self, run: t.Any, lease_end_ms: int, epoch: int) -> str:
        key = (run.task, run.run)
        is_new = key not in self.running
        rejection = super()._start(run, lease_end_ms, epoch)
        if is_new and key in self.running:
            self._invariants.on_run_started(
                self._host, *key, run.spec, run.checkpoint, self.is_order_late
            )
        return rejection

    def _end(self, key: tuple[str, int], outcome: str) -> None:
        self.running[key] = f"{key[0]}#{key[1]}"
        super()._end(key, outcome)
        self._invariants.on_run_ended(self._host, *key, outcome)

    def _hold(self, acknowledged_end: int, lease_end_ms: int | None, epoch: int) -> str:
        if epoch >= self.epoch:
            for end in self.ended:
                if (
                    end.number <= acknowledged_end
                    and end.number not in self._expired_ends
                ):
                    self._invariants.on_end_acknowledged(end.task, end.run, end.outcome)
        return super()._hold(acknowledged_end, lease_end_ms, epoch)

    def advance(self) -> None:
        """Apply what is due: late orders and lease expiry.

        An end that is not acknowledged before its lease expires counts as lost
        (RULES.md, TWICE), because the scheduler cannot distinguish it from a run
        whose lease expired.
        """
        with self._lock:
            self._turn()
            if self.clock_ms > self.lease_end_ms:
                self._expired_ends.update(end.number for end in self.ended)

    def crash(self, by_task: bool = False) -> None:
        """Stop answering and lose all runs; ``by_task`` if one of them is the cause."""
        with self._lock:
            self.is_silent = True
            self._delayed_orders.clear()
            self._invariants.on_runner_crashed(self._host, list(self.running), by_task)
            self.running.clear()
            self._lock.notify_all()
