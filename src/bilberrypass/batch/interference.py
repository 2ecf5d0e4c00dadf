"""Interference of batch classes with services, estimated from delayed reports."""

import collections
import threading
import time
import typing as t

from bilberrypass.connection import messages, worker
from bilberrypass.version import work

_PRIOR_EFFECT: t.Final = 0.3
_MAX_EFFECT: t.Final = 20.0
_LEARNING_RATE: t.Final = 0.2
_DECAY_PER_UPDATE: t.Final = 0.001
_MIN_LOAD: t.Final = 0.02
_TASK_RETENTION_S: t.Final = 900.0

ServiceAndClass = tuple[str, str]


@t.final
class Model:
    """Estimates the effect of each batch class on each service.

    An effect is the latency inflation (above 1.0) that a service would have on a
    host filled with that class. The model is linear: the inflation on a host is
    the sum of the effects, each weighted by the share of the processors that its
    class uses. A pair without measurements has a neutral prior, and each update
    lets the estimate decay slightly towards it.
    """

    def __init__(self) -> None:
        self._effects: dict[ServiceAndClass, float] = {}

    def predict(self, service: str, task_class: str) -> float:
        """Return the estimated effect of a batch class on a service.

        Return the prior if the two were never measured together.
        """
        return self._effects.get((service, task_class), _PRIOR_EFFECT)

    def update(
        self, service: str, inflation: float, loads: t.Mapping[str, float]
    ) -> None:
        """Update the effects by one measurement, in a normalised gradient step.

        Parameters
        ----------
        service : str
            The service whose latency was measured.
        inflation : float
            Latency as a multiple of the latency without batch work; 1.0 if equal.
        loads : mapping of str to float
            Share of the host's processors used by each batch class during the
            measurement, in [0, 1].
        """
        norm = sum(load * load for load in loads.values())
        if norm < _MIN_LOAD * _MIN_LOAD:
            return
        effects = {name: self.predict(service, name) for name in loads}
        expected = sum(effects[name] * load for name, load in loads.items())
        step = _LEARNING_RATE * (max(0.0, inflation - 1.0) - expected) / norm
        for name, load in loads.items():
            effect = effects[name] + step * load
            effect += _DECAY_PER_UPDATE * (_PRIOR_EFFECT - effect)
            self._effects[service, name] = min(_MAX_EFFECT, max(0.0, effect))

    def effects(self) -> dict[ServiceAndClass, float]:
        """Return a copy of all estimates, by service and batch class."""
        return dict(self._effects)


class _SeenTask(t.NamedTuple):
    """A task that ran on a host; ``seen_at`` is the monotonic time of the report."""

    task_class: str
    seen_at: float


@t.final
class Observer:
    """Updates a model from the usage in host reports.

    Usage arrives late, when its tasks may have ended. The classes of the tasks on
    each host are therefore kept for a time.

    Parameters
    ----------
    model : Model
        The model to update.
    """

    def __init__(self, model: Model) -> None:
        self._model = model
        self._lock = threading.Lock()
        self._recent_tasks: dict[
            str, collections.OrderedDict[work.TaskId, _SeenTask]
        ] = {}
        self._last_measurement: dict[str, tuple[t.Any, ...]] = {}

    def handle_report(self, report: messages.Report) -> None:
        """Record the tasks on a host, and update the model from the reported usage."""
        now = time.monotonic()
        with self._lock:
            recent = self._recent_tasks.setdefault(
                report.host, collections.OrderedDict()
            )
            for state in report.tasks:
                recent[state.task] = _SeenTask(state.task_class, now)
                recent.move_to_end(state.task)
            while (
                recent and next(iter(recent.values())).seen_at < now - _TASK_RETENTION_S
            ):
                recent.popitem(last=False)
            if report.usage is not None and self._is_new_measurement(
                report.host, report.usage
            ):
                self._update_model(report, report.usage, recent)

    def _is_new_measurement(self, host: str, usage: worker.Usage) -> bool:
        measurement = (usage.slowdown, usage.tasks, usage.end_ago_s)
        if not usage.slowdown or self._last_measurement.get(host) == measurement:
            return False
        self._last_measurement[host] = measurement
        return True

    def _update_model(
        self,
        report: messages.Report,
        usage: worker.Usage,
        recent: t.Mapping[work.TaskId, _SeenTask],
    ) -> None:
        loads: dict[str, float] = {}
        for task, cpu_milli, _ in usage.tasks:
            known = recent.get(task)
            name = known.task_class if known else ""
            share = cpu_milli / max(1, report.capacity.cpu_milli)
            loads[name] = loads.get(name, 0.0) + share
        for service, inflation in usage.slowdown:
            self._model.update(service, inflation, loads)
