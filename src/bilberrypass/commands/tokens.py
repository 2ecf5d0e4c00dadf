"""The command that makes an operator's token."""

import enum
import hashlib
import json
import secrets
import typing as t

import typer

from bilberrypass.commands import options, output

_TOKEN_BYTES: t.Final = 32
_SALT_BYTES: t.Final = 16


class Role(enum.StrEnum):
    """What the holder of a token may do."""

    READ = "read"
    WRITE = "write"


def token(
    name: t.Annotated[str, typer.Argument(help="Who will hold the token.")],
    role: t.Annotated[Role, typer.Option(help="What it may do.")] = Role.READ,
    as_json: options.Json = False,
) -> None:
    """Make a token, and the line for ``operator_tokens`` in the entries' settings."""
    made = secrets.token_urlsafe(_TOKEN_BYTES)
    salt = secrets.token_bytes(_SALT_BYTES)
    digest = hashlib.scrypt(made.encode(), salt=salt, n=1 << 14, r=8, p=1, dklen=32)
    line = {"name": name, "role": role, "salt": salt.hex(), "hash": digest.hex()}
    if as_json:
        output.write_json({"token": made, "settings": line})
        return
    typer.echo(f"token (shown once): {made}")
    typer.echo(f"operator_tokens: {json.dumps(line)}")
