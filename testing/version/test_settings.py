"""Validation of settings: all faults at once, each with its path and remedy."""

import json
import pathlib
import subprocess
import sys
import tempfile

from bilberrypass import errors
from bilberrypass.version import settings
from testing import collecting, fixtures

_EXAMPLES = pathlib.Path(__file__).parents[2] / "docs/examples"
_ENTRY = {
    "id": "e1",
    "failure_domain": "fd1",
    "callers": "127.0.0.1:8080",
    "operators": "127.0.0.1:8081",
    "peers": "127.0.0.1:8082",
    "store": {"kind": "etcd", "addresses": ["127.0.0.1:2379"]},
}
_AGENT = {
    "id": "h1",
    "failure_domain": "fd1",
    "peers": "127.0.0.1:8083",
    "announcements": "127.0.0.1:8084",
    "entries": ["127.0.0.1:8082"],
}


def _faults(check, value, **options):
    try:
        check(value, **options)
    except errors.Invalid as exc:
        assert exc.kind is errors.Kind.INVALID_SETTINGS
        return sorted(exc.faults)
    return []


def _override(base, **changes):
    return base | changes


def test_missing_settings_get_defaults():
    cfg = settings.check_entry(_override(_ENTRY, logs={"level": "debug"}))
    assert cfg["max_body_bytes"] == settings.ENTRY_DEFAULTS["max_body_bytes"]
    assert cfg["logs"] == {"level": "debug", "json_lines": False}
    assert settings.check_agent(_AGENT)["silence_s"] == 3.0


def test_all_faults_are_reported_at_once():
    changes = {"callers": "entry-1:8080", "shards": "8", "silence": 3}
    changes |= {"logs": {"levle": "info"}, "store": {"kind": "etcd"}}
    found = _faults(settings.check_entry, _ENTRY | changes)
    paths = ["callers", "logs.levle", "shards", "silence", "store.addresses"]
    assert [fault.partition(":")[0] for fault in found] == paths, found


def _suggestion(key):
    return f"did you mean {key!r}?"


def test_unknown_key_suggests_nearest_key_at_its_location():
    for changes, path, remedy in (
        ({"report_interval": 1.0}, "report_interval", _suggestion("report_interval_s")),
        ({"enries": []}, "enries", _suggestion("entries")),
        ({"xyzzy": 1}, "xyzzy", "remove it"),
        ({"metrics": {"statd": "127.0.0.1:1"}}, "metrics.statd", _suggestion("statsd")),
        ({"logs": {"entries": 1}}, "logs.entries", "remove it"),
    ):
        found = _faults(settings.check_agent, _AGENT | changes)
        assert found == [f"{path}: unknown key; {remedy}"], (changes, found)


def test_addresses_are_ip_numbers_with_ports():
    for address in "localhost:80 127.0.0.1 127.0.0.1: :80 127.0.0.1:99999".split():
        (fault,) = _faults(settings.check_entry, _override(_ENTRY, callers=address))
        assert fault.startswith(f"callers: {address!r}"), fault
    for address in ("::1:80", "[127.0.0.1]:80", "127.0.0.1:٣", "1.2.3.4:-1"):
        assert _faults(settings.check_entry, _override(_ENTRY, callers=address)), (
            address
        )
    for address in ("0.0.0.0:80", "[::1]:80", "127.0.0.1:0"):
        assert not _faults(settings.check_entry, _override(_ENTRY, callers=address))


def test_advertised_and_remote_addresses_must_be_usable():
    (fault,) = _faults(settings.check_entry, _override(_ENTRY, peers="0.0.0.0:8082"))
    assert fault.startswith("peers: ") and "own IP number" in fault
    wildcard = _override(_AGENT, peers="0.0.0.0:8083")
    (fault,) = _faults(settings.check_agent, wildcard)
    assert fault.startswith("peers: ") and "advertised" in fault
    assert not _faults(settings.check_agent, wildcard | {"advertised": "10.0.0.7:83"})
    for address in ("0.0.0.0:83", "10.0.0.7:0"):
        (fault,) = _faults(settings.check_agent, wildcard | {"advertised": address})
        assert fault.startswith("advertised: "), fault
    (fault,) = _faults(settings.check_agent, _override(_AGENT, entries=["127.0.0.1:0"]))
    assert fault.startswith("entries[0]: ")
    (fault,) = _faults(settings.check_agent, _override(_AGENT, entries=[]))
    assert fault.startswith("entries: ")


def test_conflicting_keys_are_faults():
    (fault,) = _faults(
        settings.check_entry, _override(_ENTRY, operators="127.0.0.1:8080")
    )
    assert fault == "operators: is the same as callers; use another port"
    memory = _override(_ENTRY, store={"kind": "memory"})
    assert _faults(settings.check_entry, memory) == [
        "store.kind: 'memory' is for `bilberrypassd local`; write 'etcd'"
    ]
    assert not _faults(settings.check_entry, memory, is_local=True)


def test_settings_must_be_an_object():
    for value in (None, [], 3, "x"):
        assert _faults(settings.check_entry, value)
        assert _faults(settings.check_agent, value)
        assert _faults(settings.find_role, value)


def test_role_is_found_with_any_key_missing():
    for key in _AGENT:
        part = {k: v for k, v in _AGENT.items() if k != key}
        assert settings.find_role(part) == "agent", key
    for key in _ENTRY:
        part = {k: v for k, v in _ENTRY.items() if k != key}
        assert settings.find_role(part) == "entry", key
    (fault,) = _faults(settings.find_role, {"id": "x"})
    assert "--role" in fault


def test_invalid_settings_files_are_reported():
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "settings.json"
        (fault,) = _faults(settings.read, path)
        assert "name an existing file" in fault
        for text in ("", "{", '{"a": 1, "a": 2}', '{"a": NaN}', "[" * 100_000):
            path.write_text(text)
            (fault,) = _faults(settings.read, path)
            assert "is not JSON" in fault, fault
        path.write_bytes(b"\xff\xfe")
        assert _faults(settings.read, path)


def _run_daemon(value, *args):
    with fixtures.settings_file(value) as path:
        return subprocess.run(
            [sys.executable, "-m", "bilberrypass.daemon", *args, "--settings", path],
            capture_output=True,
            text=True,
            timeout=30,
        )


def test_check_command_exits_with_status_of_its_result():
    done = _run_daemon(_AGENT, "check")
    assert (done.returncode, done.stdout) == (0, "valid settings of an agent\n")
    done = _run_daemon(_ENTRY | {"shards": 0, "nonsense": 1}, "check")
    assert done.returncode == 2, done
    lines = done.stderr.splitlines()
    assert len(lines) == 2, lines
    for line in lines:
        assert line.startswith("bilberrypassd: INVALID_SETTINGS: "), line
    done = _run_daemon({"id": "x"}, "check", "--role", "agent")
    assert done.returncode == 2, done
    assert "entries: is missing; add it" in done.stderr, done


def test_example_settings_are_valid_for_their_role():
    for role, kind in (("entry", "an entry"), ("agent", "an agent")):
        cfg = json.loads((_EXAMPLES / f"{role}.json").read_text())
        done = _run_daemon(cfg, "check")
        assert done.returncode == 0, done
        assert done.stdout == f"valid settings of {kind}\n", done


def test_no_role_starts_with_invalid_settings():
    for role in ("entry", "agent", "local"):
        done = _run_daemon([json.dumps(_ENTRY)], role)
        assert done.returncode == 2, done
        assert done.stdout == "", done


load_tests = collecting.hook(__name__)
