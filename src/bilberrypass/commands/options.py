"""Command-line options shared by several commands."""

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
        help="Callers' address of an entry: IP number and port.",
    ),
]
Operators = t.Annotated[
    str,
    typer.Option(
        "--operators",
        envvar="BILBERRYPASS_OPERATORS",
        help="Operators' address of an entry: IP number and port.",
    ),
]
TokenFile = t.Annotated[
    pathlib.Path | None,
    typer.Option(
        "--token-file",
        envvar="BILBERRYPASS_TOKEN_FILE",
        help="File with the operator's token; "
        "if left out, the token in BILBERRYPASS_TOKEN is used.",
    ),
]
Json = t.Annotated[bool, typer.Option("--json", help="Write JSON instead of tables.")]
Team = t.Annotated[str, typer.Option("--team", help="Team that the job belongs to.")]


def make_caller_client(address: str) -> client.Client:
    """Return a client for the callers' interface of an entry."""
    return client.Client(address, "--entry")


def make_operator_client(
    address: str, token_file: pathlib.Path | None
) -> client.Client:
    """Return a client for the operators' interface, with the operator's token."""
    return client.Client(address, "--operators", client.read_token(token_file))
