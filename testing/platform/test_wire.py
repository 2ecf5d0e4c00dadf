"""Decoding of the platform's messages, whose terms stay in the adapter's folder."""

import pathlib
import re
import tempfile

from bilberrypass import errors
from bilberrypass.platform import front, operator, programs, runner, settings
from testing import collecting, fixtures

_SRC = pathlib.Path(__file__).parents[2] / "src" / "bilberrypass"
# Field names and paths that belong to the wire format only.
_WIRE = re.compile(
    r"\"(specification|task_memory_mb|estimated_ms|ended_runs|last_seen|fencing_token"
    r"|heartbeat_address|cold_remaining_ms|expected_revision|set_keys|has_more"
    r"|tombstone|ttl_ms|long_running|anti_affinity|may_miss|target_ms|born)\""
    r"|/api/(kv-|run-|hold|pace|advise|instances|readiness|machine)"
    r"|BILBERRYPASS_CONFIG|op/config"
)
_SETTINGS = """
node_name: "front-a-1"
zone: "a"
ip_address: "10.1.0.13"
listen_addresses: {front: "10.1.0.13:8161", ready: "10.1.0.13:8167"}
internal_port_range: [7720, 7735]
bounds: {hold_max_ms: 6000, stop_timeout_ms: 900, grace_s: 6, new_bound: true}
platform: {address: "10.200.1.7:8169", form: "kv", min_ttl_ms: 1000}
unknown_field: 1
"""
_JOB = b"""{"specification": "text", "steps": [
 {"count": 4, "cpu": 500, "task_memory_mb": 256, "estimated_ms": 900},
 {"count": 2, "after": [0], "fills": true, "image": "i", "affinity": "r1",
  "checkpointing": true, "anti_affinity": 1}]}"""


def test_wire_terms_occur_only_in_adapter():
    found = [
        f"{path.relative_to(_SRC)}: {match.group(0)}"
        for path in sorted(_SRC.rglob("*.py"))
        if not path.is_relative_to(_SRC / "platform")
        for match in [_WIRE.search(path.read_text())]
        if match
    ]
    assert not found, found


def test_product_does_not_import_adapter():
    found = [
        str(path.relative_to(_SRC))
        for path in sorted(_SRC.rglob("*.py"))
        if not path.is_relative_to(_SRC / "platform")
        and "bilberrypass.platform" in path.read_text()
    ]
    assert not found, found


def test_adapter_is_less_than_a_tenth_of_the_code():
    lines = {p: p.read_text().count("\n") for p in _SRC.rglob("*.py")}
    own = sum(n for p, n in lines.items() if p.is_relative_to(_SRC / "platform"))
    assert own < sum(lines.values()) / 10, own


def _read(text):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "node.yaml"
        path.write_text(text)
        return settings.read(path)


def test_settings_are_read_and_unknown_fields_ignored():
    node = _read(_SETTINGS)
    assert node.name == "front-a-1" and node.peer_address == "10.1.0.13:7720"
    assert node.max_lease_s == 6.0 and node.stop_timeout_s == 0.9


def test_reservations_are_switched_on_by_the_settings():
    assert not _read(_SETTINGS).has_reservations
    assert _read(_SETTINGS + "scheduling: {reservations: true}").has_reservations


def test_weak_host_delays_its_candidacy():
    strong = _read(_SETTINGS)
    assert programs.candidacy_delay_s(strong) == 0.0
    weak = _read(_SETTINGS + "limits: {cpu_share: 0.297, cores: 1, link_mbps: 100}")
    narrow = _read(_SETTINGS + "limits: {cpu_share: 1.0, cores: 2, link_mbps: 5}")
    assert (
        programs.candidacy_delay_s(weak) > 0 and programs.candidacy_delay_s(narrow) > 0
    )


def test_evacuations_are_followed_where_the_settings_bound_them():
    assert not _read(_SETTINGS).has_evacuations
    assert _read(_SETTINGS + "bounds: {evacuation_ms: 5000}").has_evacuations


def test_error_in_settings_names_the_key():
    exc = fixtures.error_of(errors.Error, _read, _SETTINGS.replace("zone", "zoe"))
    assert exc.kind is errors.Kind.INVALID_SETTINGS and "zone" in exc.detail


def test_submission_is_decoded_into_a_job():
    job = front.read_job("a" * 16, "h/q/", _JOB)
    first, second = job.steps
    assert (first.count, first.cpu_milli, first.memory_mb) == (4, 500, 256)
    assert first.estimate_s == 0.9 and not first.is_filler
    assert second.after == (0,) and second.is_filler and second.has_checkpoints
    assert second.data_rack == "r1" and second.max_per_host == 1


def test_invalid_submissions_are_refused_as_bad_body():
    deep = b"[" * 100_000 + b"]" * 100_000
    bodies = (
        b"",
        b"\xff\xfe",
        b"[]",
        deep,
        b'{"specification": "x", "steps": ' + deep + b"}",
        b'{"specification": "x", "steps": []}',
        b'{"specification": 1, "steps": [{"count": 1}]}',
        b'{"specification": "x", "steps": [{"count": 0}]}',
        b'{"specification": "x", "steps": [{"count": 1, "after": [0]}]}',
        b'{"specification": "x", "steps": [{"count": 1, "cpu": -1}]}',
        b'{"specification": "x", "steps": [{"count": 9007199254740993}]}',
        b'{"specification": "x", "steps": [{"count": 1, "estimated_ms": -1}]}',
        b'{"specification": "x", "steps": [{"count": 1}], "repetitions": -1}',
        b'{"specification": "x", "steps": [{"count": 1}], "interval_ms": -1}',
        b'{"specification": "x", "steps": [{"count": 2, "gang": true}]}',
    )
    for body in bodies:
        exc = fixtures.error_of(errors.Error, front.read_job, "a" * 16, "q", body)
        assert exc.kind is errors.Kind.BAD_BODY, body[:40]
        assert exc.ran is errors.Ran.NO


def test_number_of_tasks_and_times_is_not_limited():
    """The pages name no limit, and only open tasks take memory."""
    body = b'{"specification":"x","steps":[{"count":1000000}],"repetitions":10000000}'
    job = front.read_job("a" * 16, "q", body)
    assert (job.steps[0].count, job.repetitions) == (1_000_000, 10_000_000)


def test_runner_report_is_decoded():
    body = (
        b'{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,'
        b'"state":"draining","remaining_ms":1500,"sequence":4,"born":17,'
        b'"capacity":{"cpu":16000,"task_memory_mb":32768,"gpu":1},"labels":["a","r1"]}'
    )
    report = runner.read_report("i-1", body)
    assert report.info.is_draining and report.info.time_left_s == 1.5
    assert report.info.life == 17 and report.info.cpu_milli == 16_000
    assert report.address == "10.0.0.9:80" and report.sequence == 4


def test_invalid_runner_reports_are_refused():
    good = (
        b'{"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready",'
        b'"sequence":1,'
        b'"capacity":{"cpu":1,"task_memory_mb":1}}'
    )
    runner.read_report("i", good)
    for faulty in (
        b"\x00\xff",
        b"{}",
        good.replace(b'"ready"', b'"sleeping"'),
        good.replace(b'"sequence":1', b'"sequence":"x"'),
        good.replace(b'"cpu":1,', b""),
        good.replace(b'"cpu":1,', b'"cpu":-1,'),
        good.replace(b":80", b":65536"),
        good.replace(b":80", b":0"),
        good.replace(b"10.0.0.9", b"a"),
        good.replace(b'"zone"', b'"slots":"8","zone"'),
        good.replace(b'"zone"', b'"remaining_ms":-1,"zone"'),
    ):
        exc = fixtures.error_of(errors.Error, runner.read_report, "i", faulty)
        assert exc.kind is errors.Kind.BAD_BODY


def test_configuration_is_decoded_and_invalid_one_refused():
    body = (
        b'{"version":7,"routes":[{"name":"r","host":"h","prefix":"/q/","service":"s",'
        b'"priority":2,"max_attempts":4,"stretch":2.0,"target_latency_ms":1000}],'
        b'"services":[],"limits":{"max_body_bytes":100}}'
    )
    config = operator.read_config(body)
    queue = config.routes[0].queue
    assert config.version == 7 and config.limits.max_body_bytes == 100
    assert queue.max_attempts == 4 and queue.latency_objective_s == 1.0
    exc = fixtures.error_of(errors.Error, operator.read_config, body[:-10])
    assert exc.kind is errors.Kind.INVALID_CONFIG


load_tests = collecting.hook(__name__)
