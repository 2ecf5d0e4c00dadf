"""Adjusts the paces of the fillers on a host to the latencies of its services."""

import collections.abc as abc
import typing as t

from bilberrypass.hosting import pacing, runs
from bilberrypass.observing import decisions
from bilberrypass.scheduling import messages

_MS: t.Final = 1_000


@t.final
class FillerPaces:
    """The paces of the fillers during one life of the runner.

    Parameters
    ----------
    table : runs.RunTable
        The runs of this life, with their figures.
    set_pace : callable
        Sets the pace of a run in percent; returns why that failed, empty if it did not.
    """

    def __init__(
        self, table: runs.RunTable, set_pace: abc.Callable[[runs.RunKey, int], str]
    ) -> None:
        self._table = table
        self._set_pace = set_pace
        self._pacer = pacing.Pacer()
        self._interference_estimates: dict[tuple[str, str], float] = {}
        self._cautious_estimates: dict[tuple[str, str], float] = {}
        self._courses: dict[str, pacing.Course] = {}
        self.has_contention = False

    def update_interference(
        self, estimates: abc.Iterable[messages.InterferenceEstimate]
    ) -> None:
        """Update the estimates of interference between images from the scheduler."""
        newest = {(row.service, row.filler): row for row in estimates}
        if not newest:
            return
        # Another thread reads the paces meanwhile, so the maps are replaced as a whole.
        self._interference_estimates = _keep_newest(
            self._interference_estimates,
            {pair: row.per_core for pair, row in newest.items()},
        )
        self._cautious_estimates = _keep_newest(
            self._cautious_estimates,
            {pair: row.cautious_per_core for pair, row in newest.items()},
        )

    def update_courses(
        self, courses: abc.Iterable[messages.MarginCourse], now: float
    ) -> None:
        """Update the forecasts of the services' own margins from the scheduler."""
        found = {step: pacing.Course(now, tuple(margins)) for step, margins in courses}
        if found:
            self._courses = found

    def adjust(self, now: float) -> None:
        """Adjust the paces to the latest figures; ``now`` is on ``clock.now``."""
        live = [run for run in self._table.live_runs() if run.order is not None]
        services = [
            pacing.ServiceLatency(
                run.order.image,
                run.figure,
                run.order.latency_target_ms,
                self._coming_loss(run.key[0], now),
            )
            for run in live
            if run.order.latency_target_ms and run.figure
        ]
        running = {
            run.key: run
            for run in live
            if run.order.is_filler and run.state is runs.State.RUNNING
        }
        fillers = [
            pacing.Filler(
                key,
                run.order.image,
                run.pace,
                run.order.cpu_milli / _MS,
                run.progress,
                run.figure > 0 or run.pace == 0,
            )
            for key, run in running.items()
        ]
        self.has_contention = bool(services and fillers)
        paces = self._pacer.choose_paces(
            services,
            fillers,
            self._interference_estimates,
            now,
            self._cautious_estimates,
        )
        if not paces:
            return
        decisions.record(
            "fillers.paced",
            paces={f"{task}/{run}": pace for (task, run), pace in paces.items()},
            worst=max(
                (round(s.latency_ms / s.target_ms, 2) for s in services), default=0
            ),
        )
        for key, pace in paces.items():
            why = self._set_pace(key, pace)
            if why:
                decisions.record("pace.failed", task=key[0], why=why)
            else:
                running[key].pace = pace

    def _coming_loss(self, task: str, now: float) -> float:
        """Return the margin that a service is about to lose to its own load."""
        course = self._courses.get(task.rpartition(".")[0])
        return course.coming_loss(now) if course is not None else 0.0


def _keep_newest(
    known: dict[tuple[str, str], float], newest: dict[tuple[str, str], float]
) -> dict[tuple[str, str], float]:
    """Return estimates by pairs of images, without the oldest ones beyond the limit."""
    found = {pair: value for pair, value in known.items() if pair not in newest}
    found |= newest
    excess = len(found) - messages.MAX_INTERFERENCE_PAIRS
    return dict(list(found.items())[max(0, excess) :])
