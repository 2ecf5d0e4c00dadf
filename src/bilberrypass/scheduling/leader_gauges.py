"""Gauges of what a scheduler sees, which are 0 at processes that do not lead."""

import collections.abc as abc
import typing as t

import prometheus_client as prometheus

_gauges: t.Final[list[prometheus.Gauge]] = []
_labelled: t.Final[list[prometheus.Gauge]] = []


def create(name: str, about: str, labels: abc.Sequence[str] = ()) -> prometheus.Gauge:
    """Return a new gauge that ``reset`` resets."""
    found = prometheus.Gauge(name, about, labels)
    (_labelled if labels else _gauges).append(found)
    return found


def reset() -> None:
    """Reset all gauges, at the end of a scheduler."""
    for gauge in _gauges:
        gauge.set(0)
    for gauge in _labelled:
        gauge.clear()
