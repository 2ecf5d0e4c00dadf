"""The command ``report``: timeline and histograms of a run as one HTML page."""

import collections
import collections.abc as abc
import importlib
import pathlib
import typing as t

import typer

from bilberrypass import errors
from bilberrypass.commands import report_inputs

# Prefixes of the events that are drawn; a run logs thousands of other lines.
_TIMELINE_EVENTS: t.Final = (
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
_END_FIELD_BY_EVENT: t.Final = {"job.ended": "status", "run.ended": "how"}
_LOAD_FIELDS: t.Final = (
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
    list[pathlib.Path],
    typer.Argument(help="standard output of the processes"),
]
Metrics = t.Annotated[
    list[pathlib.Path] | None,
    typer.Option("--metrics", help="response of a metrics address; may be repeated"),
]
Out = t.Annotated[pathlib.Path, typer.Option("--out", help="HTML file to write")]


def report(
    logs: Logs, metrics: Metrics = None, out: Out = pathlib.Path("report.html")
) -> None:
    """Write a self-contained HTML page that shows a run from its logs and metrics."""
    lines = sorted(line for path in logs for line in report_inputs.read_log(path))
    figures = [_draw_timeline(lines), _draw_load(lines), _draw_durations(lines)]
    for path in metrics or ():
        for name, buckets in report_inputs.read_histograms(path).items():
            figures.append(_draw_histogram(f"{path.stem}: {name}", buckets))
    out.write_text(_render_page([figure for figure in figures if figure is not None]))
    typer.echo(f"{out}: {len(lines)} lines of {len(logs)} logs")


def _import_plotly() -> t.Any:
    try:
        return importlib.import_module("plotly.graph_objects")
    except ImportError as exc:
        raise errors.Error(
            errors.Kind.INVALID_SETTINGS,
            "plotly is not installed; install bilberrypass[report]",
        ) from exc


def _draw_timeline(lines: abc.Sequence[report_inputs.LogEvent]) -> t.Any:
    """Draw the changes that each process logged, over the time since the first line."""
    plot, first_at = _import_plotly(), lines[0].at
    groups: dict[str, list[report_inputs.LogEvent]] = collections.defaultdict(list)
    for line in lines:
        is_loss_or_return = line.event.endswith((".lost", ".regained"))
        if is_loss_or_return or line.event.startswith(_TIMELINE_EVENTS):
            groups[line.event].append(line)
    figure = plot.Figure()
    for event, found in sorted(groups.items()):
        figure.add_trace(
            plot.Scatter(
                x=[line.at - first_at for line in found],
                y=[line.node for line in found],
                text=[str(line.fields) for line in found],
                name=event,
                mode="markers",
            )
        )
    figure.update_layout(title="What changed, by process", xaxis_title="seconds")
    return figure


def _draw_load(lines: abc.Sequence[report_inputs.LogEvent]) -> t.Any:
    """Draw queue lengths and cores over time; None without ``scheduler.load`` lines."""
    plot, first_at = _import_plotly(), lines[0].at
    found = [line for line in lines if line.event == "scheduler.load"]
    if not found:
        return None
    figure = plot.Figure()
    for name in _LOAD_FIELDS:
        figure.add_trace(
            plot.Scatter(
                x=[line.at - first_at for line in found],
                y=[line.fields.get(name) for line in found],
                name=name,
            )
        )
    figure.update_layout(title="Queue and hosts", xaxis_title="seconds")
    return figure


def _draw_durations(lines: abc.Sequence[report_inputs.LogEvent]) -> t.Any:
    """Draw the durations of jobs and runs by how they ended; None if none ended."""
    plot = _import_plotly()
    groups: dict[str, list[float]] = collections.defaultdict(list)
    for line in lines:
        field = _END_FIELD_BY_EVENT.get(line.event)
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


def _draw_histogram(name: str, buckets: abc.Sequence[report_inputs.Bucket]) -> t.Any:
    """Draw a histogram of the metrics; cumulative counts become counts per bucket."""
    plot = _import_plotly()
    cumulative = 0.0
    counts = []
    for bucket in buckets:
        counts.append(bucket.count - cumulative)
        cumulative = bucket.count
    labels = [f"≤ {bucket.upper_bound_s:g}" for bucket in buckets]
    figure = plot.Figure(plot.Bar(x=labels, y=counts))
    figure.update_layout(title=name, xaxis_title="seconds")
    return figure


def _render_page(figures: abc.Sequence[t.Any]) -> str:
    parts = [
        figure.to_html(full_html=False, include_plotlyjs=not number)
        for number, figure in enumerate(figures)
    ]
    head = '<!doctype html><meta charset="utf-8"><title>bilberrypass: a run</title>'
    return "\n".join([head, *parts])
