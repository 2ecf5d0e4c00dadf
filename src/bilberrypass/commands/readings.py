"""What the logs and the metrics of a run say, read back for a report."""

import collections.abc as abc
import pathlib
import typing as t

import msgspec
import prometheus_client.parser as prometheus

from bilberrypass import errors


class Line(t.NamedTuple):
    """One line of a decision log; ``at`` is Unix time."""

    at: float
    node: str
    event: str
    fields: dict[str, t.Any]


class Bucket(t.NamedTuple):
    """How many observations of a histogram were at most ``upto`` seconds."""

    upto: float
    count: float


class _Logged(msgspec.Struct):
    at: float
    event: str
    node: str = ""


def read_log(path: pathlib.Path) -> list[Line]:
    """Return the decision lines of a log; other lines and prefixes are left out.

    Raises
    ------
    errors.Error
        INVALID_SETTINGS if the file cannot be read or holds no such line.
    """
    found = [line for line in map(_parse, _lines(path)) if line is not None]
    if not found:
        raise errors.Error(
            errors.Kind.INVALID_SETTINGS,
            f"{path}: no line of a decision log; name the standard output of a process",
        )
    return found


def _lines(path: pathlib.Path) -> list[str]:
    try:
        return path.read_text(errors="replace").splitlines()
    except OSError as exc:
        raise errors.Error(
            errors.Kind.INVALID_SETTINGS, f"{exc}; name a file that can be read"
        ) from exc


def _parse(text: str) -> Line | None:
    _, brace, rest = text.partition("{")
    try:
        fields = msgspec.json.decode(brace + rest, type=dict[str, t.Any])
        head = msgspec.convert(fields, _Logged)
    except msgspec.MsgspecError:
        return None
    return Line(head.at, head.node, head.event, fields)


def read_histograms(path: pathlib.Path) -> dict[str, list[Bucket]]:
    """Return the histograms of a page in Prometheus text, by name and labels.

    Raises
    ------
    errors.Error
        INVALID_SETTINGS if the file cannot be read or is no such page.
    """
    text = "\n".join(_lines(path)) + "\n"
    found: dict[str, list[Bucket]] = {}
    try:
        for family in prometheus.text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name.endswith("_bucket"):
                    name = _name(family.name, sample.labels)
                    upto = float(sample.labels["le"])
                    found.setdefault(name, []).append(Bucket(upto, sample.value))
    except (ValueError, KeyError) as exc:
        raise errors.Error(
            errors.Kind.INVALID_SETTINGS,
            f"{path}: {exc}; name what the metrics address answered",
        ) from exc
    return found


def _name(family: str, labels: abc.Mapping[str, str]) -> str:
    said = ", ".join(f"{k}={v}" for k, v in sorted(labels.items()) if k != "le")
    return f"{family} ({said})" if said else family
