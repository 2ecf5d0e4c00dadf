"""What the tool writes: aligned tables for people, JSON for programs."""

import collections.abc as abc
import datetime
import json
import sys
import typing as t

import typer

from bilberrypass import errors

_GAP: t.Final = "  "
_UNITS: t.Final = ("B", "KB", "MB", "GB", "TB", "PB")


def write_json(value: object) -> None:
    """Write a value as JSON."""
    typer.echo(json.dumps(value, indent=2))


def write_table(
    columns: abc.Sequence[str], rows: abc.Sequence[abc.Sequence[object]]
) -> None:
    """Write rows below their columns' names, aligned."""
    cells = [list(columns), *([_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[n]) for row in cells) for n in range(len(columns))]
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        typer.echo(_GAP.join(padded).rstrip())


def _cell(value: object) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict | list):
        return json.dumps(value)
    return str(value)


def write_progress(text: str) -> None:
    """Write the progress line on standard error, over the one before on a terminal."""
    if sys.stderr.isatty():
        typer.echo(f"\r\x1b[K{text}", err=True, nl=False)
    else:
        typer.echo(text, err=True)


def end_progress() -> None:
    """End the progress line."""
    if sys.stderr.isatty():
        typer.echo("", err=True)


def write_error(exc: errors.Error, as_json: bool) -> None:
    """Write an error in one line for each fault, or as one JSON object."""
    if as_json:
        said = {"code": exc.kind, "ran": exc.ran, "detail": exc.detail}
        if isinstance(exc, errors.Faulty):
            said["faults"] = exc.faults
        typer.echo(json.dumps(said), err=True)
        return
    details = exc.faults if isinstance(exc, errors.Faulty) else [exc.detail]
    for detail in details:
        typer.echo(f"bilberrypass: {exc.kind}: {detail}", err=True)


def format_bytes(count: int) -> str:
    """Write a number of bytes in the largest unit that leaves it readable."""
    size = float(count)
    for unit in _UNITS:
        if size < 1024 or unit == _UNITS[-1]:
            break
        size /= 1024
    return f"{size:.4g} {unit}"


def format_time(seconds: float) -> str:
    """Write Unix time in UTC."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def flatten(value: object, path: str = "") -> dict[str, object]:
    """Return the leaves of a JSON value by their paths."""
    if isinstance(value, dict) and value:
        parts = [(f"{path}.{key}" if path else key, sub) for key, sub in value.items()]
    elif isinstance(value, list) and value:
        parts = [(f"{path}[{number}]", sub) for number, sub in enumerate(value)]
    else:
        return {path: value}
    return {k: v for place, sub in parts for k, v in flatten(sub, place).items()}
