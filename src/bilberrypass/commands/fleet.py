"""The commands about entries and hosts."""

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
    """Show an entry, its peers and the shards that it owns."""
    value = options.operators(operators, token_file).call("GET", "/status").value
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
    known = value["hosts"]
    behind = ", ".join(known["behind"]) or "none"
    typer.echo(
        f"\nhosts: {known['count']}, silent: {known['silent']}, behind: {behind}"
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
    """List the hosts, what they hold and what is committed."""
    found = options.operators(operators, token_file).call("GET", "/hosts").value
    if as_json:
        output.write_json(found)
        return
    output.write_table(
        ("HOST", "DOMAIN", "RACK", "STATE", "CPU", "MEMORY", "ACCEL", "TASKS", "SLOTS"),
        [_host_row(host) for host in found],
    )


def _host_row(host: dict[str, t.Any]) -> tuple[object, ...]:
    held, used = host["capacity"], host["committed"]
    memory = [output.format_bytes(part["memory_bytes"]) for part in (used, held)]
    slots = sum(e["slots"] for e in host["endpoints"])
    slots_used = sum(e["in_use"] for e in host["endpoints"])
    return (
        host["id"],
        host["failure_domain"],
        host["rack"],
        _host_state(host),
        f"{used['cpu_milli'] / 1000:g}/{held['cpu_milli'] / 1000:g}",
        "/".join(memory),
        f"{used['accelerators']}/{held['accelerators']}",
        host["tasks"],
        f"{slots_used}/{slots}",
    )


def _host_state(host: dict[str, t.Any]) -> str:
    if host["silent"]:
        return "silent"
    if host.get("drained") or host.get("drain"):
        return "drained"
    return "leaving" if host["leaving"] else "live"


def _is_known(entries: client.Client, host: str) -> bool:
    found = entries.call("GET", "/hosts").value
    return any(known["id"] == host for known in found)


def drain(
    host: t.Annotated[str, typer.Argument(help="Id of the host.")],
    reason: t.Annotated[
        str, typer.Option(help="Why, for the other operators; needed.")
    ] = "",
    undo: t.Annotated[
        bool, typer.Option("--undo", help="Let the host take work again.")
    ] = False,
    as_json: options.Json = False,
    operators: options.Operators = options.DEFAULT_OPERATORS,
    token_file: options.TokenFile = None,
) -> None:
    """Give a host no new work; ``--reason`` is needed unless it is undone."""
    if not undo and not reason.strip():
        raise errors.Faulty(
            errors.Kind.INVALID_SETTINGS,
            ["--reason: is missing; say why, for the other operators"],
        )
    path = f"/hosts/{urllib.parse.quote(host, safe='')}/drain"
    method = "DELETE" if undo else "POST"
    entries = options.operators(operators, token_file)
    answer = entries.call(method, path, {"reason": reason})
    if not undo and not _is_known(entries, host):
        typer.echo(f"no host {host} was heard of yet; check the id", err=True)
    if as_json:
        output.write_json(answer.value)
        return
    typer.echo(f"host {host} {'takes work again' if undo else 'takes no new work'}")
