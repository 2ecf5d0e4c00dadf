"""Options that several commands share."""

import pathlib
import typing as t

import typer

from bilberrypass.commands import client

DEFAULT_ENTRY: t.Final = "127.0.0.1:8080"
DEFAULT_OPERATORS: t.Final = "127.0.0.1:8081"

Entry = t.Annotated[
    str,
    typer.Option(
        "--entry",
        envvar="BILBERRYPASS_ENTRY",
        help="Address of an entry for callers, IP number and port.",
    ),
]
Operators = t.Annotated[
    str,
    typer.Option(
        "--operators",
        envvar="BILBERRYPASS_OPERATORS",
        help="Address of an entry for operators, IP number and port.",
    ),
]
TokenFile = t.Annotated[
    pathlib.Path | None,
    typer.Option(
        "--token-file",
        envvar="BILBERRYPASS_TOKEN_FILE",
        help="File with the operator's token; else BILBERRYPASS_TOKEN is taken.",
    ),
]
Json = t.Annotated[bool, typer.Option("--json", help="Write JSON, for programs.")]
Team = t.Annotated[str, typer.Option("--team", help="Team that the job belongs to.")]


def callers(address: str) -> client.Client:
    """Return the client for the callers' address."""
    return client.Client(address, "--entry")


def operators(address: str, token_file: pathlib.Path | None) -> client.Client:
    """Return the client for the operators' address, with the operator's token."""
    return client.Client(address, "--operators", client.read_token(token_file))
