"""The commands that show entries and hosts, and that drain hosts."""

import typing as t
import urllib.parse

import typer

from bilberrypass import errors
from bilberrypass.commands import client, options, output


def status(
    as_json: options.Json = False,
    operators: options.Operators = options.DEFAULT_OPERATORS,
    token_file: options.TokenFile = None,
) -> None:
    """Show the entries, the owners of the shards and a summary of the hosts."""
    value = (
        options.make_operator_client(operators, token_file).call("GET", "/status").value
    )
    if as_json:
        output.write_json(value)
        return
    typer.echo(f"as entry {value['entry']} sees it")
    output.write_table(
        ("ENTRY", "PEERS", "STATE", "REVISION", "CURRENT"),
        [_entry_row(entry) for entry in value["entries"]],
    )
    typer.echo("")
    output.write_table(
        ("SHARDS", "NUMBER", "OWNER", "EPOCH"),
        [(s["kind"], s["shard"], s["owner"], s["epoch"]) for s in value["shards"]],
    )
    summary = value["hosts"]
    behind = ", ".join(summary["behind"]) or "none"
    typer.echo(
        f"\nhosts: {summary['count']}, silent: {summary['silent']}, behind: {behind}"
    )


def _entry_row(entry: dict[str, t.Any]) -> tuple[object, ...]:
    state = "ready" if entry["ready"] else entry.get("why_not_ready", "out of reach")
    return (
        entry["id"],
        entry["peers"],
        state,
        entry.get("revision"),
        entry.get("current"),
    )


def hosts(
    as_json: options.Json = False,
    operators: options.Operators = options.DEFAULT_OPERATORS,
    token_file: options.TokenFile = None,
) -> None:
    """List the hosts with their state, capacity and committed resources."""
    found = (
        options.make_operator_client(operators, token_file).call("GET", "/hosts").value
    )
    if as_json:
        output.write_json(found)
        return
    output.write_table(
        ("HOST", "DOMAIN", "RACK", "STATE", "CPU", "MEMORY", "ACCEL", "TASKS", "SLOTS"),
        [_host_row(host) for host in found],
    )


def _host_row(host: dict[str, t.Any]) -> tuple[object, ...]:
    capacity, committed = host["capacity"], host["committed"]
    memory = [
        output.format_bytes(part["memory_bytes"]) for part in (committed, capacity)
    ]
    slots = sum(e["slots"] for e in host["endpoints"])
    slots_used = sum(e["in_use"] for e in host["endpoints"])
    return (
        host["id"],
        host["failure_domain"],
        host["rack"],
        _host_state(host),
        f"{committed['cpu_milli'] / 1000:g}/{capacity['cpu_milli'] / 1000:g}",
        "/".join(memory),
        f"{committed['accelerators']}/{capacity['accelerators']}",
        host["tasks"],
        f"{slots_used}/{slots}",
    )


def _host_state(host: dict[str, t.Any]) -> str:
    if host["silent"]:
        return "silent"
    if host.get("drained") or host.get("drain"):
        return "drained"
    return "leaving" if host["leaving"] else "live"


def _is_known(operator_client: client.Client, host: str) -> bool:
    found = operator_client.call("GET", "/hosts").value
    return any(known["id"] == host for known in found)


def drain(
    host: t.Annotated[str, typer.Argument(help="Id of the host.")],
    reason: t.Annotated[
        str,
        typer.Option(
            help="Why the host is drained, for other operators; required to drain."
        ),
    ] = "",
    undo: t.Annotated[
        bool,
        typer.Option(
            "--undo", help="Remove the drain: let the host accept new work again."
        ),
    ] = False,
    as_json: options.Json = False,
    operators: options.Operators = options.DEFAULT_OPERATORS,
    token_file: options.TokenFile = None,
) -> None:
    """Stop placing new work on a host; requires ``--reason`` unless ``--undo``."""
    if not undo and not reason.strip():
        raise errors.Invalid(
            errors.Kind.INVALID_SETTINGS,
            ["--reason: is missing; state why, for the other operators"],
        )
    path = f"/hosts/{urllib.parse.quote(host, safe='')}/drain"
    method = "DELETE" if undo else "POST"
    operator_client = options.make_operator_client(operators, token_file)
    response = operator_client.call(method, path, {"reason": reason})
    if not undo and not _is_known(operator_client, host):
        typer.echo(f"no host {host} was heard of yet; check the id", err=True)
    if as_json:
        output.write_json(response.value)
        return
    typer.echo(
        f"host {host} {'accepts new work again' if undo else 'accepts no new work'}"
    )
