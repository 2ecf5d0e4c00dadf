"""The command that generates an operator's token."""

import enum
import json
import re
import typing as t

import typer

from bilberrypass import errors
from bilberrypass.commands import options, output
from bilberrypass.configuration import tokens
from bilberrypass.version import settings


class Role(enum.StrEnum):
    """What a token permits: only reading, or also changes."""

    READ = tokens.READ
    WRITE = tokens.WRITE


def token(
    name: t.Annotated[
        str, typer.Argument(help="Name of the operator who will hold the token.")
    ],
    role: t.Annotated[Role, typer.Option(help="What the token permits.")] = Role.READ,
    as_json: options.Json = False,
) -> None:
    """Generate a token and its line for the entries' ``operator_tokens`` setting."""
    if not re.fullmatch(settings.NAME_PATTERN, name):
        fault = (
            f"NAME: {name[:64]!r} is not a valid name; "
            "use up to 63 letters, digits, . _ -"
        )
        raise errors.Invalid(errors.Kind.INVALID_SETTINGS, [fault])
    new_token = tokens.create_token(name, role)
    if as_json:
        output.write_json({"token": new_token.token, "settings": new_token.kept})
        return
    typer.echo(f"token (shown once): {new_token.token}")
    typer.echo(f"operator_tokens: {json.dumps(new_token.kept)}")
