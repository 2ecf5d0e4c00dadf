"""The commands that submit and manage jobs: ``submit`` and ``job``."""

import collections
import pathlib
import time
import typing as t
import urllib.parse

import typer

from bilberrypass import errors, resources
from bilberrypass.commands import client, options, output

_INITIAL_POLL_INTERVAL_S: t.Final = 0.25
_MAX_POLL_INTERVAL_S: t.Final = 2.0
_SUBMIT_RETRY_TIMEOUT_S: t.Final = 15.0
_END_STATES: t.Final = frozenset({"finished", "failed", "cancelled"})

APP: t.Final = typer.Typer(
    no_args_is_help=True, help="Show, list, cancel and explain jobs."
)

_Id = t.Annotated[str, typer.Argument(help="The job's id.")]


def _make_path(id: str, team: str = "", part: str = "") -> str:
    query = f"?team={urllib.parse.quote(team, safe='')}" if team else ""
    return f"/jobs/{urllib.parse.quote(id, safe='')}{part}{query}"


def submit(
    id: t.Annotated[
        str, typer.Argument(help="The job's id; use the same id for a retry.")
    ],
    file: t.Annotated[
        pathlib.Path | None,
        typer.Option("--file", help="JSON file with the job's body."),
    ] = None,
    team: options.Team = "",
    cpu_milli: t.Annotated[
        int | None, typer.Option(help="CPU demand of a task, in thousandths of a core.")
    ] = None,
    memory_mb: t.Annotated[
        int | None, typer.Option(help="Memory demand of a task, in MB of 2**20 bytes.")
    ] = None,
    accelerators: t.Annotated[
        int | None, typer.Option(help="Number of accelerators of a task.")
    ] = None,
    tasks: t.Annotated[int | None, typer.Option(help="Number of tasks.")] = None,
    payload: t.Annotated[
        str | None, typer.Option(help="Payload that is passed to the worker.")
    ] = None,
    urgent: t.Annotated[
        bool, typer.Option("--urgent", help="Place the job before others.")
    ] = False,
    wait: t.Annotated[
        bool, typer.Option("--wait", help="Wait until the job has ended.")
    ] = False,
    timeout_s: t.Annotated[
        float, typer.Option(help="Maximum wait in seconds with --wait.")
    ] = 3600.0,
    as_json: options.Json = False,
    entry: options.Entry = options.DEFAULT_ENTRY,
) -> None:
    """Submit a job; submitting it again with the same body changes nothing."""
    body = _read_body(file) if file else {}
    flags = {"team": team, "tasks": tasks, "payload": payload, "urgent": urgent}
    body |= {
        key: value for key, value in flags.items() if value not in (None, "", False)
    }
    body |= _merge_demand(body, cpu_milli, memory_mb, accelerators)
    caller_client = options.make_caller_client(entry)
    deadline = time.monotonic() + _SUBMIT_RETRY_TIMEOUT_S
    job = caller_client.call_with_retries("PUT", _make_path(id), body, deadline).value
    if wait:
        job = _wait_until_ended(caller_client, job, time.monotonic() + timeout_s)
    _write_description(job, as_json)
    if wait:
        _raise_exit_by_state(job)


def _read_body(file: pathlib.Path) -> dict[str, t.Any]:
    body = client.read_json_file(file, "--file")
    if isinstance(body, dict) and isinstance(body.get("demand", {}), dict):
        return body
    raise errors.Invalid(
        errors.Kind.INVALID_SETTINGS,
        ['--file: is no job; write {"team": ..., "demand": {...}}'],
    )


def _merge_demand(
    body: dict[str, t.Any],
    cpu_milli: int | None,
    memory_mb: int | None,
    accelerators: int | None,
) -> dict[str, t.Any]:
    named = {
        "cpu_milli": cpu_milli,
        "memory_bytes": None if memory_mb is None else memory_mb * resources.MIB,
        "accelerators": accelerators,
    }
    given = {key: value for key, value in named.items() if value is not None}
    return {"demand": body.get("demand", {}) | given} if given else {}


def _wait_until_ended(
    caller_client: client.Client, job: dict[str, t.Any], deadline: float
) -> dict[str, t.Any]:
    path = _make_path(job["id"], job["team"])
    previous_line = ""
    interval_s = _INITIAL_POLL_INTERVAL_S
    while True:
        line = _describe_progress(job)
        if line != previous_line:
            output.write_progress(line)
            previous_line = line
        if job["state"] in _END_STATES or time.monotonic() >= deadline:
            output.end_progress()
            return job
        time.sleep(interval_s)
        interval_s = min(_MAX_POLL_INTERVAL_S, 1.5 * interval_s)
        job = caller_client.call_with_retries("GET", path, None, deadline).value


def _describe_progress(job: dict[str, t.Any]) -> str:
    counts = collections.Counter(task["state"] for task in job["tasks"])
    parts = [f"{count} {state}" for state, count in sorted(counts.items())]
    return f"job {job['id']}: {job['state']} ({', '.join(parts)})"


def _raise_exit_by_state(job: dict[str, t.Any]) -> None:
    if job["state"] not in _END_STATES:
        raise typer.Exit(client.ExitCode.STILL_WAITING)
    if job["state"] != "finished":
        raise typer.Exit(client.ExitCode.JOB_FAILED)


def _write_description(job: dict[str, t.Any], as_json: bool) -> None:
    if as_json:
        output.write_json(job)
        return
    submitted = output.format_time(job["submitted_at"])
    typer.echo(f"job {job['id']} of {job['team']}: {job['state']}, since {submitted}")
    rows = [
        (n, task["state"], task["attempt"], task["host"], task["detail"])
        for n, task in enumerate(job["tasks"])
    ]
    output.write_table(("TASK", "STATE", "ATTEMPT", "HOST", "DETAIL"), rows)


@APP.command()
def show(
    id: _Id,
    team: options.Team = "",
    as_json: options.Json = False,
    entry: options.Entry = options.DEFAULT_ENTRY,
) -> None:
    """Show a job and its tasks."""
    _write_description(
        options.make_caller_client(entry).call("GET", _make_path(id, team)).value,
        as_json,
    )


@APP.command(name="list")
def list_jobs(
    team: options.Team = "",
    as_json: options.Json = False,
    entry: options.Entry = options.DEFAULT_ENTRY,
) -> None:
    """List the jobs of a team, or of all teams."""
    query = f"?team={urllib.parse.quote(team, safe='')}" if team else ""
    jobs = options.make_caller_client(entry).call("GET", f"/jobs{query}").value
    if as_json:
        output.write_json(jobs)
        return
    rows = [
        (
            job["id"],
            job["team"],
            job["state"],
            sum(task["state"] in _END_STATES for task in job["tasks"]),
            len(job["tasks"]),
            output.format_time(job["submitted_at"]),
        )
        for job in jobs
    ]
    columns = ("JOB", "TEAM", "STATE", "ENDED", "TASKS", "SUBMITTED")
    output.write_table(columns, rows)


@APP.command()
def cancel(
    id: _Id,
    team: options.Team = "",
    as_json: options.Json = False,
    entry: options.Entry = options.DEFAULT_ENTRY,
) -> None:
    """Cancel a job and stop its tasks."""
    _write_description(
        options.make_caller_client(entry).call("DELETE", _make_path(id, team)).value,
        as_json,
    )


@APP.command()
def explain(
    id: _Id,
    team: options.Team = "",
    as_json: options.Json = False,
    entry: options.Entry = options.DEFAULT_ENTRY,
) -> None:
    """Explain why a job was placed as it is, or why it waits."""
    job = (
        options.make_caller_client(entry)
        .call("GET", _make_path(id, team, "/explain"))
        .value
    )
    _write_description(job, as_json)
    if as_json:
        return
    if job.get("never_fits"):
        typer.echo(f"does not fit on any host: {job['never_fits']}")
    rows = [
        (output.format_time(d["at"]), d["times"], d["text"], _describe_left_out(d))
        for d in job.get("decisions", [])
    ]
    output.write_table(("NEWEST", "TIMES", "DECISION", "HOSTS LEFT OUT"), rows)


def _describe_left_out(decision: dict[str, t.Any]) -> str:
    left_out = decision.get("left_out", {})
    return ", ".join(f"{count} {why}" for why, count in left_out.items())
