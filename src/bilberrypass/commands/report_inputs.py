"""Parses decision logs and metrics pages for the report."""

import collections.abc as abc
import pathlib
import typing as t

import msgspec
import prometheus_client.parser as prometheus

from bilberrypass import errors


class LogEvent(t.NamedTuple):
    """One line of a decision log; ``at`` is Unix time in seconds."""

    at: float
    node: str
    event: str
    fields: dict[str, t.Any]


class Bucket(t.NamedTuple):
    """Histogram bucket: ``count`` observations of at most ``upper_bound_s`` seconds."""

    upper_bound_s: float
    count: float


class _EventHeader(msgspec.Struct):
    at: float
    event: str
    node: str = ""


def read_log(path: pathlib.Path) -> list[LogEvent]:
    """Return the decision lines of a log; skip other lines and text before the JSON.

    Raises
    ------
    errors.Error
        INVALID_SETTINGS if the file cannot be read or has no decision line.
    """
    lines = [line for line in map(_parse_line, _read_lines(path)) if line is not None]
    if not lines:
        raise errors.Error(
            errors.Kind.INVALID_SETTINGS,
            f"{path}: has no decision log line; pass the standard output of a process",
        )
    return lines


def _read_lines(path: pathlib.Path) -> list[str]:
    try:
        return path.read_text(errors="replace").splitlines()
    except OSError as exc:
        raise errors.Error(
            errors.Kind.INVALID_SETTINGS, f"{exc}; pass a readable file"
        ) from exc


def _parse_line(text: str) -> LogEvent | None:
    _, brace, rest = text.partition("{")
    try:
        fields = msgspec.json.decode(brace + rest, type=dict[str, t.Any])
        header = msgspec.convert(fields, _EventHeader)
    except msgspec.MsgspecError:
        return None
    return LogEvent(header.at, header.node, header.event, fields)


def read_histograms(path: pathlib.Path) -> dict[str, list[Bucket]]:
    """Return the histograms of a page in Prometheus text format, by name and labels.

    Raises
    ------
    errors.Error
        INVALID_SETTINGS if the file cannot be read or is not in that format.
    """
    text = "\n".join(_read_lines(path)) + "\n"
    histograms: dict[str, list[Bucket]] = {}
    try:
        for family in prometheus.text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name.endswith("_bucket"):
                    name = _format_name(family.name, sample.labels)
                    upper_bound_s = float(sample.labels["le"])
                    histograms.setdefault(name, []).append(
                        Bucket(upper_bound_s, sample.value)
                    )
    except (ValueError, KeyError) as exc:
        raise errors.Error(
            errors.Kind.INVALID_SETTINGS,
            f"{path}: {exc}; pass a response of the metrics address",
        ) from exc
    return histograms


def _format_name(family: str, labels: abc.Mapping[str, str]) -> str:
    labels_text = ", ".join(f"{k}={v}" for k, v in sorted(labels.items()) if k != "le")
    return f"{family} ({labels_text})" if labels_text else family
