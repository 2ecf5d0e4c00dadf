"""The command that checks a configuration before it is sent."""

import pathlib
import typing as t

import typer

from bilberrypass import errors
from bilberrypass.commands import client, json_lines, options, output
from bilberrypass.version import configuration, review

_SHOWN_KEYS: t.Final = ("revision", "author", "time")  # of config show --json


def check(
    file: t.Annotated[
        pathlib.Path, typer.Argument(help="JSON file with the new configuration.")
    ],
    against: t.Annotated[
        str,
        typer.Option(
            help="Revision or JSON file to compare with, instead of the one in force."
        ),
    ] = "",
    as_json: options.Json = False,
    operators: options.Operators = options.DEFAULT_OPERATORS,
    token_file: options.TokenFile = None,
) -> None:
    """Check a configuration, and show what it would change; changes nothing.

    Shows errors, exceptions that can never match, limits that contradict each other,
    and the differences from the configuration in force. The exit code is 1 if there
    is more to show than differences.
    """
    proposal = client.read_json_file(file, "FILE")
    lines = json_lines.find_lines(file.read_text())
    if isinstance(proposal, dict):
        # As written by config show --json.
        known = ("defaults", "exceptions", "note")
        written = ("revision", "author", "time")
        proposal = {k: v for k, v in proposal.items() if k in known or k not in written}
    fleet: list[review.Host] = []
    if against and not against.isdigit():
        current = _read_document(
            client.read_json_file(pathlib.Path(against), "--against")
        )
    else:
        operator_client = options.make_operator_client(operators, token_file)
        path = f"/config/{against}" if against else "/config"
        current = _read_document(operator_client.call("GET", path).value)
        fleet = [_read_host(h) for h in operator_client.call("GET", "/hosts").value]
    found = review.review(proposal, current, configuration.today(), fleet)
    rows = [(json_lines.line_of(f.path, lines), *f) for f in found]
    if as_json:
        keys = ("line", *review.Finding._fields)
        output.write_json([dict(zip(keys, row, strict=True)) for row in rows])
    elif rows:
        output.write_table(
            ("LINE", "FINDING", "PATH", "DETAIL"),
            [(line or "-", str(kind), *rest) for line, kind, *rest in rows],
        )
    else:
        typer.echo("nothing to change")
    if any(finding.kind is not review.Kind.CHANGE for finding in found):
        raise typer.Exit(client.ExitCode.REFUSED)


def _read_document(value: t.Any) -> configuration.Document:
    """Return what a proposal is compared with, from the JSON of an entry or a file."""
    if not isinstance(value, dict):
        raise errors.Invalid(
            errors.Kind.INVALID_SETTINGS,
            ["--against: is not a JSON object; write defaults and exceptions"],
        )
    return configuration.INITIAL._replace(
        revision=value.get("revision") or 0,
        defaults=configuration.fill_in(value.get("defaults") or {}),
        exceptions=value.get("exceptions") or [],
    )


def _read_host(value: dict[str, t.Any]) -> review.Host:
    return review.Host(
        value["id"],
        value["rack"],
        value["failure_domain"],
        value["region"],
        **value["capacity"],
        tasks=value["tasks"],
    )
