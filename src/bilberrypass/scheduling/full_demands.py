"""The demands that found no host in a round of placement."""

import typing as t

from bilberrypass.scheduling import backfilling, jobs, queue_forecast


@t.final
class FullDemands:
    """The demands for which no host has room left in this round.

    Keeps rounds short while many jobs wait: hosts only get fuller within a round.
    """

    def __init__(self) -> None:
        self._demands: dict[tuple[str, str, str], list[tuple[int, int, int]]] = {}
        self._held: dict[tuple[str, str, str], list[_HeldDemand]] = {}

    def add(self, step: jobs.Step, service: str) -> None:
        """Record that no host can hold a task of a step."""
        if not step.max_per_host:
            self._demands.setdefault(_kind(step, service), []).append(_demand(step))

    @property
    def is_empty(self) -> bool:
        """Whether no demand was refused, but for those of steps spread over hosts."""
        return not self._demands

    def covers(self, step: jobs.Step, service: str) -> bool:
        """Return whether a task that needs no more than this one was refused."""
        demand = _demand(step)
        return any(
            all(a <= b for a, b in zip(refused, demand, strict=True))
            for refused in self._demands.get(_kind(step, service), ())
        )

    def pools(self) -> set[queue_forecast.Pool]:
        """Return the pools with a refused task that any host could take."""
        return {
            queue_forecast.Pool(service, bool(filler))
            for service, label, filler in self._demands
            if not label
        }

    def add_held(self, step: jobs.Step, service: str, guard: backfilling.Guard) -> None:
        """Record that a guard kept all room from a task of a step."""
        if not step.max_per_host:
            held = _HeldDemand(_demand(step), guard.duration_s, guard.hosts)
            self._held.setdefault(_kind(step, service), []).append(held)

    def covers_held(
        self, step: jobs.Step, service: str, guard: backfilling.Guard
    ) -> bool:
        """Return whether a task was refused that needs no more, and not for longer."""
        demand = _demand(step)
        return any(
            held.duration_s <= guard.duration_s
            and held.hosts <= guard.hosts
            and all(a <= b for a, b in zip(held.demand, demand, strict=True))
            for held in self._held.get(_kind(step, service), ())
        )


class _HeldDemand(t.NamedTuple):
    """A demand that found only room reserved for others, on some hosts."""

    demand: tuple[int, int, int]
    duration_s: float
    hosts: frozenset[str]


def _kind(step: jobs.Step, service: str) -> tuple[str, str, str]:
    """Return what steps share if room for one is room for the other."""
    return service, step.required_label, f"filler {step.image}" * step.is_filler


def _demand(step: jobs.Step) -> tuple[int, int, int]:
    return step.cpu_milli, step.memory_mb, step.gpus
