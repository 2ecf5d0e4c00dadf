"""How much batch work of a class disturbs a service, learned from late reports."""

import collections
import threading
import time
import typing as t

from bilberrypass.connection import messages, worker
from bilberrypass.version import work

_PRIOR: t.Final = 0.3
_MAX_EFFECT: t.Final = 20.0
_RATE: t.Final = 0.2
_DECAY: t.Final = 0.001
_LEAST_LOAD: t.Final = 0.02
_KEPT_S: t.Final = 900.0

Pair = tuple[str, str]


@t.final
class Model:
    """The effect of each batch class on each service.

    An effect is the latency inflation (above 1.0) that a service would have on a
    host filled with that class. The inflation on a host is taken as the sum of
    the effects, each by the share of the processors that its class uses. A pair
    never seen together has the neutral prior, and an estimate that is not
    renewed decays towards it.
    """

    def __init__(self) -> None:
        self._effects: dict[Pair, float] = {}

    def predict(self, service: str, task_class: str) -> float:
        """Return the effect of a batch class on a service."""
        return self._effects.get((service, task_class), _PRIOR)

    def learn(
        self, service: str, inflation: float, loads: t.Mapping[str, float]
    ) -> None:
        """Correct the effects by one measurement.

        Parameters
        ----------
        service : str
            Whose latency was measured.
        inflation : float
            Latency as a multiple of that when alone.
        loads : mapping of str to float
            Share of the host's processors used by each batch class at that time.
        """
        norm = sum(load * load for load in loads.values())
        if norm < _LEAST_LOAD * _LEAST_LOAD:
            return
        effects = {name: self.predict(service, name) for name in loads}
        expected = sum(effects[name] * load for name, load in loads.items())
        step = _RATE * (max(0.0, inflation - 1.0) - expected) / norm
        for name, load in loads.items():
            effect = effects[name] + step * load
            effect += _DECAY * (_PRIOR - effect)
            self._effects[service, name] = min(_MAX_EFFECT, max(0.0, effect))

    def effects(self) -> dict[Pair, float]:
        """Return all learned effects."""
        return dict(self._effects)


class _Known(t.NamedTuple):
    """A task that ran on a host; ``seen_at`` is monotonic."""

    task_class: str
    seen_at: float


@t.final
class Observer:
    """Matches late usage reports to the classes that ran in their intervals.

    Parameters
    ----------
    model : Model
        Learns from each match.
    """

    def __init__(self, model: Model) -> None:
        self._model = model
        self._lock = threading.Lock()
        self._ran: dict[str, collections.OrderedDict[work.TaskId, _Known]] = {}
        self._last: dict[str, tuple[t.Any, ...]] = {}

    def hear(self, report: messages.Report) -> None:
        """Note what runs on a host, and learn from the usage it reports."""
        now = time.monotonic()
        with self._lock:
            ran = self._ran.setdefault(report.host, collections.OrderedDict())
            for state in report.tasks:
                ran[state.task] = _Known(state.task_class, now)
                ran.move_to_end(state.task)
            while ran and next(iter(ran.values())).seen_at < now - _KEPT_S:
                ran.popitem(last=False)
            if report.usage is not None and self._is_news(report.host, report.usage):
                self._learn(report, report.usage, ran)

    def _is_news(self, host: str, usage: worker.Usage) -> bool:
        said = (usage.slowdown, usage.tasks, usage.end_ago_s)
        if not usage.slowdown or self._last.get(host) == said:
            return False
        self._last[host] = said
        return True

    def _learn(
        self,
        report: messages.Report,
        usage: worker.Usage,
        ran: t.Mapping[work.TaskId, _Known],
    ) -> None:
        loads: dict[str, float] = {}
        for task, cpu_milli, _ in usage.tasks:
            known = ran.get(task)
            name = known.task_class if known else ""
            share = cpu_milli / max(1, report.capacity.cpu_milli)
            loads[name] = loads.get(name, 0.0) + share
        for service, inflation in usage.slowdown:
            self._model.learn(service, inflation, loads)
