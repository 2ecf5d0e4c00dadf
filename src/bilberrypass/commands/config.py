"""The commands about the operators' configuration."""

import copy
import json
import pathlib
import re
import secrets
import sys
import time
import typing as t

import typer

from bilberrypass import errors
from bilberrypass.commands import client, options, output

_RETRY_S: t.Final = 15.0
_PARTS: t.Final = ("defaults", "exceptions")
_STEP: t.Final = re.compile(r"([^.\[\]]+)|\[(\d+)\]")

APP: t.Final = typer.Typer(
    no_args_is_help=True, help="Show and change the configuration."
)


@APP.command()
def show(
    revision: t.Annotated[
        int | None, typer.Option(help="An earlier revision instead of the newest.")
    ] = None,
    as_json: options.Json = False,
    operators: options.Operators = options.DEFAULT_OPERATORS,
    token_file: options.TokenFile = None,
) -> None:
    """Show the defaults and the exceptions in force."""
    path = "/config" if revision is None else f"/config/{revision}"
    value = options.operators(operators, token_file).call("GET", path).value
    if as_json:
        output.write_json(value)
        return
    _write_head(value)
    defaults = output.flatten(value["defaults"]) if value["defaults"] else {}
    output.write_table(("DEFAULT", "VALUE"), list(defaults.items()))
    if value["exceptions"]:
        typer.echo("")
        _write_exceptions(value["exceptions"])


def _write_head(value: dict[str, t.Any]) -> None:
    when = value.get("time")
    moment = output.format_time(when) if isinstance(when, int | float) else when
    author = value.get("author") or "nobody"
    if not when:
        typer.echo(f"revision {value['revision']}: nothing was set yet")
        return
    typer.echo(f"revision {value['revision']}, by {author}, {moment}")


def _write_exceptions(exceptions: list[dict[str, t.Any]]) -> None:
    rows = [
        (e.get("match"), e.get("set"), e.get("reason"), e.get("author"), _expiry(e))
        for e in exceptions
    ]
    output.write_table(("MATCH", "SET", "REASON", "AUTHOR", "EXPIRES"), rows)


def _expiry(exception: dict[str, t.Any]) -> object:
    when = exception.get("expires")
    return output.format_time(when) if isinstance(when, int | float) else when


def exceptions(
    as_json: options.Json = False,
    operators: options.Operators = options.DEFAULT_OPERATORS,
    token_file: options.TokenFile = None,
) -> None:
    """List the exceptions from the defaults, each with its reason."""
    value = options.operators(operators, token_file).call("GET", "/config").value
    if as_json:
        output.write_json(value["exceptions"])
        return
    _write_exceptions(value["exceptions"])


@APP.command()
def history(
    as_json: options.Json = False,
    operators: options.Operators = options.DEFAULT_OPERATORS,
    token_file: options.TokenFile = None,
) -> None:
    """List the changes of the configuration, with author and note."""
    entries = options.operators(operators, token_file)
    found = entries.call("GET", "/config/history").value
    if as_json:
        output.write_json(found)
        return
    rows = [
        (item["revision"], item["author"], _expiry({"expires": item["time"]}), change)
        for item in found
        for change in _describe_changes(item)
    ]
    output.write_table(("REVISION", "AUTHOR", "TIME", "CHANGE"), rows)


def _describe_changes(item: dict[str, t.Any]) -> list[str]:
    lines = [
        f"{c['path']}: {json.dumps(c.get('old'))} -> {json.dumps(c.get('new'))}"
        for c in item.get("changes", [])
    ]
    return [item["note"], *lines] if item.get("note") else lines or ["-"]


@APP.command(name="set")
def set_config(
    changes: t.Annotated[
        list[str] | None,
        typer.Argument(
            help="PATH=JSON, such as defaults.guards.throttle_on_disturbance=false"
        ),
    ] = None,
    file: t.Annotated[
        pathlib.Path | None,
        typer.Option("--file", help="The whole new configuration as JSON."),
    ] = None,
    revision: t.Annotated[
        int | None,
        typer.Option(help="Revision that the change was made from; refused if newer."),
    ] = None,
    note: t.Annotated[str, typer.Option(help="Why, for the history.")] = "",
    yes: t.Annotated[bool, typer.Option("--yes", help="Do not ask.")] = False,
    as_json: options.Json = False,
    operators: options.Operators = options.DEFAULT_OPERATORS,
    token_file: options.TokenFile = None,
) -> None:
    """Change the configuration, after showing the difference."""
    entries = options.operators(operators, token_file)
    current = entries.call("GET", "/config").value
    given = client.read_json(file, "--file") if file else current
    base = _base_revision(revision, file is not None, given, current)
    wanted = {part: copy.deepcopy(given.get(part)) for part in _PARTS}
    for change in changes or []:
        _apply(wanted, change)
    difference = diff({part: current.get(part) for part in _PARTS}, wanted)
    if not difference:
        typer.echo("nothing to change", err=True)
        if as_json:
            output.write_json(current)
        return
    for line in difference:
        typer.echo(line, err=True)
    _confirm(yes)
    body = wanted | ({"note": note} if note else {})
    # The key lets a repetition after a lost answer be accepted once.
    headers = {"If-Match": f'"{base}"', "Idempotency-Key": secrets.token_hex(16)}
    deadline = time.monotonic() + _RETRY_S
    answer = entries.call_until("PUT", "/config", body, deadline, headers)
    if as_json:
        output.write_json(answer.value)
        return
    typer.echo(f"revision {answer.value['revision']} accepted")


def _base_revision(
    revision: int | None, from_file: bool, given: t.Any, current: dict[str, t.Any]
) -> int:
    if not isinstance(given, dict):
        raise _usage("--file: is no JSON object; write defaults and exceptions")
    if revision is not None:
        return revision
    if not from_file:
        return int(current["revision"])
    if not isinstance(given.get("revision"), int):
        raise _usage(
            "--file: names no revision; add --revision with the one it was made from"
        )
    return given["revision"]


def _usage(fault: str) -> errors.Faulty:
    return errors.Faulty(errors.Kind.INVALID_SETTINGS, [fault])


def _apply(wanted: dict[str, t.Any], change: str) -> None:
    path, equals, text = change.partition("=")
    steps = [int(n) if n else key for key, n in _STEP.findall(path)]
    if not equals or not steps or steps[0] not in _PARTS:
        raise _usage(f"{change!r}: write PATH=JSON below defaults or exceptions")
    try:
        value = json.loads(text)
    except ValueError:
        value = text
    place: t.Any = wanted
    try:
        for step in steps[:-1]:
            place = (
                place.setdefault(step, {}) if isinstance(place, dict) else place[step]
            )
        place[steps[-1]] = value
    except (LookupError, TypeError, AttributeError):
        raise _usage(
            f"{path}: is no place in the configuration; see config show"
        ) from None


def diff(old: object, new: object) -> list[str]:
    """Return the changed leaves, one line each: ``-`` for old, ``+`` for new."""
    before, after = output.flatten(old), output.flatten(new)
    lines = []
    for path in sorted(before.keys() | after.keys()):
        if path in before and path in after and before[path] == after[path]:
            continue
        if path in before:
            lines.append(f"- {path}: {json.dumps(before[path])}")
        if path in after:
            lines.append(f"+ {path}: {json.dumps(after[path])}")
    return lines


def _confirm(yes: bool) -> None:
    if yes:
        return
    if not sys.stdin.isatty():
        raise _usage("--yes: is needed where nobody can be asked; add it")
    typer.confirm("put this in force", abort=True, err=True)
