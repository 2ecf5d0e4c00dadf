"""The commands that show and change the operators' configuration."""

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

_WRITE_RETRY_TIMEOUT_S: t.Final = 15.0
_SECTIONS: t.Final = ("defaults", "exceptions")
_PATH_STEP: t.Final = re.compile(r"([^.\[\]]+)|\[(\d+)\]")

APP: t.Final = typer.Typer(
    no_args_is_help=True, help="Show and change the configuration."
)


@APP.command()
def show(
    revision: t.Annotated[
        int | None,
        typer.Option(help="Show this earlier revision instead of the newest."),
    ] = None,
    as_json: options.Json = False,
    operators: options.Operators = options.DEFAULT_OPERATORS,
    token_file: options.TokenFile = None,
) -> None:
    """Show the defaults and exceptions of the configuration."""
    path = "/config" if revision is None else f"/config/{revision}"
    value = options.make_operator_client(operators, token_file).call("GET", path).value
    if as_json:
        output.write_json(value)
        return
    _write_revision(value)
    defaults = output.flatten(value["defaults"]) if value["defaults"] else {}
    output.write_table(("DEFAULT", "VALUE"), list(defaults.items()))
    if value["exceptions"]:
        typer.echo("")
        _write_exceptions(value["exceptions"])


def _write_revision(value: dict[str, t.Any]) -> None:
    changed_at = value.get("time")
    moment = (
        output.format_time(changed_at)
        if isinstance(changed_at, int | float)
        else changed_at
    )
    author = value.get("author") or "nobody"
    if not changed_at:
        typer.echo(
            f"revision {value['revision']}: the configuration has never been changed"
        )
        return
    typer.echo(f"revision {value['revision']}, by {author}, {moment}")


def _write_exceptions(exceptions: list[dict[str, t.Any]]) -> None:
    rows = [
        (
            e.get("match"),
            e.get("set"),
            e.get("reason"),
            e.get("author"),
            _format_expiry(e),
        )
        for e in exceptions
    ]
    output.write_table(("MATCH", "SET", "REASON", "AUTHOR", "EXPIRES"), rows)


def _format_expiry(exception: dict[str, t.Any]) -> object:
    expires = exception.get("expires")
    return output.format_time(expires) if isinstance(expires, int | float) else expires


def exceptions(
    as_json: options.Json = False,
    operators: options.Operators = options.DEFAULT_OPERATORS,
    token_file: options.TokenFile = None,
) -> None:
    """List the exceptions to the defaults, each with its reason."""
    value = (
        options.make_operator_client(operators, token_file).call("GET", "/config").value
    )
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
    """List the changes to the configuration, with author and note."""
    operator_client = options.make_operator_client(operators, token_file)
    found = operator_client.call("GET", "/config/history").value
    if as_json:
        output.write_json(found)
        return
    rows = [
        (
            item["revision"],
            item["author"],
            _format_expiry({"expires": item["time"]}),
            change,
        )
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
        typer.Option("--file", help="JSON file with the complete new configuration."),
    ] = None,
    revision: t.Annotated[
        int | None,
        typer.Option(
            help="Revision that the change is based on; refused if a newer one exists."
        ),
    ] = None,
    note: t.Annotated[
        str, typer.Option(help="Reason for the change, shown in the history.")
    ] = "",
    yes: t.Annotated[
        bool, typer.Option("--yes", help="Do not ask for confirmation.")
    ] = False,
    as_json: options.Json = False,
    operators: options.Operators = options.DEFAULT_OPERATORS,
    token_file: options.TokenFile = None,
) -> None:
    """Change the configuration, after showing the difference."""
    operator_client = options.make_operator_client(operators, token_file)
    current = operator_client.call("GET", "/config").value
    given = client.read_json_file(file, "--file") if file else current
    base = _base_revision(revision, file is not None, given, current)
    wanted = {section: copy.deepcopy(given.get(section)) for section in _SECTIONS}
    for change in changes or []:
        _apply_change(wanted, change)
    difference = format_changes(
        {section: current.get(section) for section in _SECTIONS}, wanted
    )
    if not difference:
        typer.echo("nothing to change", err=True)
        if as_json:
            output.write_json(current)
        return
    for line in difference:
        typer.echo(line, err=True)
    _confirm(yes)
    body = wanted | ({"note": note} if note else {})
    # With the key, a retry after a lost response is applied only once.
    headers = {"If-Match": f'"{base}"', "Idempotency-Key": secrets.token_hex(16)}
    deadline = time.monotonic() + _WRITE_RETRY_TIMEOUT_S
    response = operator_client.call_with_retries(
        "PUT", "/config", body, deadline, headers
    )
    if as_json:
        output.write_json(response.value)
        return
    typer.echo(f"revision {response.value['revision']} accepted")


def _base_revision(
    revision: int | None, from_file: bool, given: t.Any, current: dict[str, t.Any]
) -> int:
    if not isinstance(given, dict):
        raise _usage_error(
            "--file: is not a JSON object; write defaults and exceptions"
        )
    if revision is not None:
        return revision
    if not from_file:
        return int(current["revision"])
    if not isinstance(given.get("revision"), int):
        raise _usage_error(
            "--file: names no revision; add --revision with the one it is based on"
        )
    return given["revision"]


def _usage_error(fault: str) -> errors.Invalid:
    return errors.Invalid(errors.Kind.INVALID_SETTINGS, [fault])


def _apply_change(wanted: dict[str, t.Any], change: str) -> None:
    path, equals, text = change.partition("=")
    steps = [int(n) if n else key for key, n in _PATH_STEP.findall(path)]
    if not equals or not steps or steps[0] not in _SECTIONS:
        raise _usage_error(f"{change!r}: write PATH=JSON below defaults or exceptions")
    try:
        value = json.loads(text)
    except ValueError:
        value = text
    parent: t.Any = wanted
    try:
        for step in steps[:-1]:
            parent = (
                parent.setdefault(step, {})
                if isinstance(parent, dict)
                else parent[step]
            )
        parent[steps[-1]] = value
    except (LookupError, TypeError, AttributeError):
        raise _usage_error(
            f"{path}: is not a path in the configuration; see config show"
        ) from None


def format_changes(old: object, new: object) -> list[str]:
    """Return one line for each changed leaf: ``-`` for the old, ``+`` for the new."""
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
        raise _usage_error(
            "--yes: is required if standard input is not a terminal; add it"
        )
    typer.confirm("apply this change", abort=True, err=True)
