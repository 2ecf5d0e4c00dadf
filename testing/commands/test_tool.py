"""The command-line tool, run as a process against ``bilberrypassd local``."""

import contextlib
import json
import pathlib
import subprocess
import sys
import tempfile
import typing as t

from testing import collecting, fixtures, system

_TOOL_TIMEOUT_S = 30


class _Result(t.NamedTuple):
    code: int
    out: str
    err: str


@contextlib.contextmanager
def _run_local():
    cfg = {"callers": system.unused_address(), "operators": system.unused_address()}
    cfg["operator_tokens"] = [system.OPERATOR.kept]
    with system.daemon("local", cfg) as proc:
        yield proc


def _run(proc, *args, **environment):
    addresses = proc.addresses if proc else {"callers": "127.0.0.1:1"}
    completed = subprocess.run(
        [sys.executable, "-m", "bilberrypass.tool", *args],
        env={
            "BILBERRYPASS_ENTRY": addresses["callers"],
            "BILBERRYPASS_OPERATORS": addresses.get("operators", "127.0.0.1:1"),
            "BILBERRYPASS_TOKEN": system.OPERATOR.token,
            **environment,
        },
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=_TOOL_TIMEOUT_S,
    )
    return _Result(completed.returncode, completed.stdout, completed.stderr)


def _wait_for_host(proc):
    has_endpoint = lambda: "echo" in _run(proc, "hosts", "--json").out
    fixtures.wait_until(has_endpoint, 10, "host with echo")


_JOB = ("--team", "plans", "--cpu-milli", "100", "--memory-mb", "1")


def test_submit_with_wait_shows_progress_until_job_ends():
    """Submitting the same job again must return it instead of running it again."""
    with _run_local() as proc:
        submit = ("submit", "j1", *_JOB, "--payload", '{"run_s": 0.3}')
        done = _run(proc, *submit, "--wait")
        assert done.code == 0, done
        assert "job j1 of plans: finished" in done.out
        assert "job j1: finished (1 finished)" in done.err
        again = _run(proc, *submit, "--json")
        assert json.loads(again.out)["state"] == "finished", again
        listed = _run(proc, "job", "list", "--team", "plans")
        lines = listed.out.splitlines()
        assert [line.index("plans") for line in lines[1:]] == [lines[0].index("TEAM")]


def test_cancelled_job_and_wait_timeout_have_own_exit_codes():
    """Scripts must distinguish 6 (not ended in time) from 4 (failed or cancelled)."""
    with _run_local() as proc:
        long = ("submit", "j2", *_JOB, "--payload", '{"run_s": 60}')
        waited = _run(proc, *long, "--wait", "--timeout-s", "0.1")
        assert waited.code == 6, waited
        assert _run(proc, "job", "cancel", "j2").code == 0
        ended = _run(proc, *long, "--wait", "--timeout-s", "10")
        assert ended.code == 4, ended
        assert "cancelled" in ended.out


def test_refusal_is_one_line_with_error_code():
    """With ``--json`` the refusal is one JSON object that lists the faults."""
    with _run_local() as proc:
        missing = _run(proc, "job", "show", "none")
        assert missing.code == 1
        assert missing.err.count("\n") == 1
        assert missing.err.startswith("bilberrypass: NOT_FOUND: there is no job none")
        bad = _run(proc, "submit", "j3", "--team", "plans", "--json")
        assert bad.code == 1
        problem = json.loads(bad.err)
        assert (problem["code"], problem["ran"]) == ("BAD_BODY", "no")
        assert problem["faults"] == ["demand: is missing; add it"], problem


def test_unreachable_entry_is_reported_in_one_line():
    """The message names the option that sets the address; no traceback is shown."""
    done = _run(None, "job", "list")
    assert done.code == 3
    assert done.err.count("\n") == 1
    assert done.err.startswith("bilberrypass: PEER_UNREACHABLE: no entry answers at")
    assert "--entry" in done.err


def test_wrong_addresses_and_files_are_usage_errors():
    """Exit code 2, and the message names the option with the fault."""
    by_name = _run(None, "job", "list", "--entry", "localhost:80")
    assert by_name.code == 2
    assert "--entry: 'localhost:80' is no IP number" in by_name.err
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "job.json"
        path.write_text("{")
        done = _run(None, "submit", "j", "--file", str(path))
        assert done.code == 2
        assert "is no JSON" in done.err
        for text in ("[]", '{"demand": 3}', "null"):
            path.write_text(text)
            done = _run(None, "submit", "j", "--file", str(path))
            assert done.code == 2, done
            assert "--file: is no job" in done.err


def test_hosts_and_status_print_table_or_json():
    with _run_local() as proc:
        _wait_for_host(proc)
        table = _run(proc, "hosts").out.splitlines()
        assert table[0].split()[:2] == ["HOST", "DOMAIN"]
        assert table[1].startswith("local-host")
        status = _run(proc, "status", "--json")
        assert json.loads(status.out)["entry"] == "local", status


def test_operator_commands_need_a_token():
    """The message distinguishes a missing token from a wrong one.

    The token is read from the environment or from a file.
    """
    with _run_local() as proc:
        without = _run(proc, "hosts", BILBERRYPASS_TOKEN="")
        assert without.code == 1
        assert without.err.startswith("bilberrypass: UNAUTHORIZED: "), without
        assert "no token was sent; set BILBERRYPASS_TOKEN" in without.err, without
        wrong = _run(proc, "hosts", BILBERRYPASS_TOKEN="ann:wrong")
        assert wrong.code == 1, wrong
        assert "UNAUTHORIZED: the token sent is unknown" in wrong.err, wrong
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "token"
            path.write_text(system.OPERATOR.token + "\n")
            args = ("hosts", "--token-file", str(path))
            assert _run(proc, *args, BILBERRYPASS_TOKEN="").code == 0
            path.unlink()
            missing = _run(proc, *args)
            assert missing.code == 2, missing


def _revision(proc):
    return json.loads(_run(proc, "config", "show", "--json").out)["revision"]


def test_config_set_is_refused_if_base_revision_is_outdated():
    """Two operators who change the same revision must not overwrite each other.

    With neither ``--yes`` nor a terminal to confirm on, nothing may be changed.
    """
    with _run_local() as proc:
        shown = json.loads(_run(proc, "config", "show", "--json").out)
        exemption = {"match": {"host": "h7"}, "set": {"drain": True}}
        exemption["reason"] = "a fan is noisy"
        changed = shown | {"exceptions": [exemption]}
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "config.json"
            path.write_text(json.dumps(changed))
            args = ("config", "set", "--file", str(path), "--note", "fan")
            unconfirmed = _run(proc, *args)
            assert unconfirmed.code == 2, unconfirmed
            assert "--yes" in unconfirmed.err
            assert _revision(proc) == shown["revision"]
            done = _run(proc, *args, "--yes")
            assert done.code == 0, done
            assert "+ exceptions[0].reason" in done.err, done
            again = _run(proc, *args, "--yes", "--revision", str(shown["revision"]))
            assert again.code == 5, again
            path.write_text(json.dumps(changed | {"exceptions": []}))
            stale = _run(proc, *args, "--yes")
            assert stale.code == 5, stale
            assert stale.err.splitlines()[-1].startswith("bilberrypass: CONFLICT: ")
        listed = _run(proc, "exceptions")
        assert "a fan is noisy" in listed.out, listed
        assert "operator" in listed.out, listed
        history = _run(proc, "config", "history")
        assert "fan" in history.out, history
        faulty = _run(proc, "config", "set", "exceptions[0].reason=", "--yes")
        assert faulty.code == 1, faulty
        assert "INVALID_CONFIG: exceptions[0].reason" in faulty.err, faulty


def test_config_set_without_difference_adds_no_revision():
    with _run_local() as proc:
        before = _revision(proc)
        change = ("config", "set", "defaults.guards.eviction_budget=true", "--yes")
        same = _run(proc, *change)
        assert (same.code, same.out, same.err) == (0, "", "nothing to change\n"), same
        as_json = _run(proc, *change, "--json")
        assert json.loads(as_json.out)["revision"] == before, as_json
        assert _revision(proc) == before


def test_explain_shows_why_a_job_waits():
    """Of two tasks only one fits: one is placed, the other waits for lack of room."""
    with _run_local() as proc:
        big = ("submit", "big", "--team", "plans", "--cpu-milli", "6000")
        body = ("--memory-mb", "1", "--tasks", "2", "--payload", '{"run_s": 60}')
        assert _run(proc, *big, *body).code == 0
        explained = fixtures.wait_until(
            lambda: _output_if_contains(_run(proc, "job", "explain", "big"), "waits: "),
            15,
            "waits",
        )
        assert "placed on local-host" in explained
        assert "no room" in explained
        as_json = _run(proc, "job", "explain", "big", "--json")
        assert json.loads(as_json.out)["decisions"], as_json


def _output_if_contains(done, text):
    assert done.code == 0, done
    return done.out if text in done.out else ""


def test_status_shows_entries_shards_and_hosts():
    with _run_local() as proc:
        shown = _run(proc, "status").out
        assert "as entry local sees it" in shown
        entries = [line.split()[::2][:2] for line in shown.splitlines()]
        assert ["local", "ready"] in entries, shown
        assert "behind: none" in shown


def test_host_is_drained_and_drain_is_undone():
    """A drain of an unknown host is accepted with a warning, as the id may be wrong."""
    with _run_local() as proc:
        _wait_for_host(proc)
        without = _run(proc, "drain", "local-host")
        assert without.code == 2, without
        assert "--reason: is missing" in without.err, without
        assert " live " in _run(proc, "hosts").out
        known = _run(proc, "drain", "local-host", "--reason", "disk")
        assert (known.code, known.err) == (0, ""), known
        unknown = _run(proc, "drain", "h77", "--reason", "disk")
        assert unknown.code == 0, unknown
        assert "no host h77 was heard of yet" in unknown.err, unknown
        assert " drained " in _run(proc, "hosts").out
        assert _run(proc, "drain", "local-host", "--undo").code == 0
        assert " live " in _run(proc, "hosts").out


def test_token_is_generated_with_its_settings_line():
    """The settings must not contain the token itself."""
    made = json.loads(_run(None, "token", "ann", "--role", "write", "--json").out)
    assert made["settings"]["name"] == "ann"
    assert made["settings"]["role"] == "write"
    assert made["token"] not in json.dumps(made["settings"])
    other = json.loads(_run(None, "token", "ann", "--json").out)
    assert other["token"] != made["token"]


def test_token_name_must_be_valid_in_settings():
    """A token whose name the settings refuse would fail only when an entry starts."""
    for name in ("a b", "", "ann:x", "x" * 64):
        refused = _run(None, "token", name)
        assert (refused.code, refused.out) == (2, ""), (name, refused)
        assert "NAME: " in refused.err, (name, refused)


def test_daemon_does_not_import_command_line_libraries():
    probe = (
        "import sys; from bilberrypass import daemon; "
        "from bilberrypass.process import agent; "
        "print([m for m in ('typer', 'click', 'rich') if m in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", probe], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]", done.stdout


load_tests = collecting.hook(__name__)
