"""The command ``report``: a run's timeline and histograms as one page."""

import collections
import collections.abc as abc
import importlib
import pathlib
import typing as t

import typer

from bilberrypass import errors
from bilberrypass.commands import readings

# One line each at most, since a run has thousands of the others.
_SHOWN: t.Final = (
    "process.",
    "election.",
    "config.",
    "scheduler.loaded",
    "settings.",
    "host.agent",
    "host.new_life",
    "host.lapsed",
    "host.speed",
    "runner.new_life",
)
_DURATIONS: t.Final = {"job.ended": "status", "run.ended": "how"}
_LOAD: t.Final = (
    "jobs",
    "jobs_idle",
    "fillers_waiting",
    "others_waiting",
    "cores_services",
    "cores_others",
    "cores_fillers",
    "cores_fillers_used",
)

Logs = t.Annotated[
    list[pathlib.Path], typer.Argument(help="standard output of the processes")
]
Metrics = t.Annotated[
    list[pathlib.Path] | None,
    typer.Option("--metrics", help="answer of a metrics address; may be repeated"),
]
Out = t.Annotated[pathlib.Path, typer.Option("--out", help="the page to write")]


def report(
    logs: Logs, metrics: Metrics = None, out: Out = pathlib.Path("report.html")
) -> None:
    """Draw a run from its logs and metrics, as one page that needs nothing else."""
    lines = sorted(line for path in logs for line in readings.read_log(path))
    figures = [_timeline(lines), _load(lines), _durations(lines)]
    for path in metrics or ():
        for name, buckets in readings.read_histograms(path).items():
            figures.append(_histogram(f"{path.stem}: {name}", buckets))
    out.write_text(_page([figure for figure in figures if figure is not None]))
    typer.echo(f"{out}: {len(lines)} lines of {len(logs)} logs")


def _plotly() -> t.Any:
    try:
        return importlib.import_module("plotly.graph_objects")
    except ImportError as exc:
        raise errors.Error(
            errors.Kind.INVALID_SETTINGS,
            "plotly is not installed; install bilberrypass[report]",
        ) from exc


def _timeline(lines: abc.Sequence[readings.Line]) -> t.Any:
    """Draw what each process believed to have changed, against time."""
    plot, began = _plotly(), lines[0].at
    groups: dict[str, list[readings.Line]] = collections.defaultdict(list)
    for line in lines:
        is_edge = line.event.endswith((".lost", ".regained"))
        if is_edge or line.event.startswith(_SHOWN):
            groups[line.event].append(line)
    figure = plot.Figure()
    for event, found in sorted(groups.items()):
        figure.add_trace(
            plot.Scatter(
                x=[line.at - began for line in found],
                y=[line.node for line in found],
                text=[str(line.fields) for line in found],
                name=event,
                mode="markers",
            )
        )
    figure.update_layout(title="What changed, by process", xaxis_title="seconds")
    return figure


def _load(lines: abc.Sequence[readings.Line]) -> t.Any:
    """Draw what the scheduler's queue and hosts held; None without such lines."""
    plot, began = _plotly(), lines[0].at
    found = [line for line in lines if line.event == "scheduler.load"]
    if not found:
        return None
    figure = plot.Figure()
    for name in _LOAD:
        figure.add_trace(
            plot.Scatter(
                x=[line.at - began for line in found],
                y=[line.fields.get(name) for line in found],
                name=name,
            )
        )
    figure.update_layout(title="Queue and hosts", xaxis_title="seconds")
    return figure


def _durations(lines: abc.Sequence[readings.Line]) -> t.Any:
    """Draw how long jobs and runs took, by their ends; None without any."""
    plot = _plotly()
    groups: dict[str, list[float]] = collections.defaultdict(list)
    for line in lines:
        field = _DURATIONS.get(line.event)
        took_s = line.fields.get("took_s")
        if field and took_s is not None:
            groups[f"{line.event} {line.fields.get(field)}"].append(took_s)
    if not groups:
        return None
    figure = plot.Figure()
    for name, values in sorted(groups.items()):
        figure.add_trace(plot.Histogram(x=values, name=name, opacity=0.6))
    figure.update_layout(
        title="Durations by the logs", xaxis_title="seconds", barmode="overlay"
    )
    return figure


def _histogram(name: str, buckets: abc.Sequence[readings.Bucket]) -> t.Any:
    """Draw a histogram of the metrics, each bucket with its own observations."""
    plot = _plotly()
    below = 0.0
    counts = []
    for bucket in buckets:
        counts.append(bucket.count - below)
        below = bucket.count
    labels = [f"≤ {bucket.upto:g}" for bucket in buckets]
    figure = plot.Figure(plot.Bar(x=labels, y=counts))
    figure.update_layout(title=name, xaxis_title="seconds")
    return figure


def _page(figures: abc.Sequence[t.Any]) -> str:
    parts = [
        figure.to_html(full_html=False, include_plotlyjs=not number)
        for number, figure in enumerate(figures)
    ]
    head = '<!doctype html><meta charset="utf-8"><title>bilberrypass: a run</title>'
    return "\n".join([head, *parts])
