"""Output of the tool: aligned tables, JSON, a progress line and errors."""

import collections.abc as abc
import datetime
import json
import sys
import typing as t

import typer

from bilberrypass import errors

_COLUMN_SEPARATOR: t.Final = "  "
_BYTE_UNITS: t.Final = ("B", "KB", "MB", "GB", "TB", "PB")


def write_json(value: object) -> None:
    """Write a value to standard output as indented JSON."""
    typer.echo(json.dumps(value, indent=2))


def write_table(
    columns: abc.Sequence[str], rows: abc.Sequence[abc.Sequence[object]]
) -> None:
    """Write rows under the column names, with aligned columns."""
    cells = [list(columns), *([_format_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[n]) for row in cells) for n in range(len(columns))]
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        typer.echo(_COLUMN_SEPARATOR.join(padded).rstrip())


def _format_cell(value: object) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict | list):
        return json.dumps(value)
    return str(value)


def write_progress(text: str) -> None:
    """Write a progress line to standard error; a terminal's last one is overwritten."""
    if sys.stderr.isatty():
        typer.echo(f"\r\x1b[K{text}", err=True, nl=False)
    else:
        typer.echo(text, err=True)


def end_progress() -> None:
    """End the progress line with a newline if standard error is a terminal."""
    if sys.stderr.isatty():
        typer.echo("", err=True)


def write_error(exc: errors.Error, as_json: bool) -> None:
    """Write an error to standard error: one line for each fault, or one JSON object."""
    if as_json:
        problem = {"code": exc.kind, "ran": exc.ran, "detail": exc.detail}
        if isinstance(exc, errors.Invalid):
            problem["faults"] = exc.faults
        typer.echo(json.dumps(problem), err=True)
        return
    details = exc.faults if isinstance(exc, errors.Invalid) else [exc.detail]
    for detail in details:
        typer.echo(f"bilberrypass: {exc.kind}: {detail}", err=True)


def format_bytes(count: int) -> str:
    """Return a number of bytes in the largest unit, in steps of 1024, not above it."""
    size = float(count)
    for unit in _BYTE_UNITS:
        if size < 1024 or unit == _BYTE_UNITS[-1]:
            break
        size /= 1024
    return f"{size:.4g} {unit}"


def format_time(seconds: float) -> str:
    """Return a Unix time in seconds as a UTC date and time."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def flatten(value: object, path: str = "") -> dict[str, object]:
    """Return the leaves of a JSON value by path, such as ``a.b[0].c``."""
    if isinstance(value, dict) and value:
        children = [
            (f"{path}.{key}" if path else key, sub) for key, sub in value.items()
        ]
    elif isinstance(value, list) and value:
        children = [(f"{path}[{number}]", sub) for number, sub in enumerate(value)]
    else:
        return {path: value}
    return {k: v for at, sub in children for k, v in flatten(sub, at).items()}
