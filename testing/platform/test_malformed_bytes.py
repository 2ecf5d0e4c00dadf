"""Bytes of any form from other processes meet the documented error, and no other."""

import json
import threading

import hypothesis
import msgspec
from hypothesis import strategies

from bilberrypass import errors
from bilberrypass.hosting import runs
from bilberrypass.platform import front, http, operator, runner, store
from bilberrypass.scheduling import election, keyvalue, state, stored_progress
from testing import collecting, fixtures

_DEEP = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
_SUBMISSION = {
    "specification": "s",
    "steps": [{"count": 1, "cpu": 1, "estimated_ms": 5, "target_ms": 7, "after": []}],
    "repetitions": 0,
}
_REPORT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "sequence": 1,
    "capacity": {"cpu": 1, "task_memory_mb": 1, "gpu": 0},
    "labels": ["a"],
    "born": 5,
}
_LISTS = {
    "running": [["t", 1, "", 5, 7]],
    "ended_runs": [[1, "t", 1, "done", ""]],
    "clock_ms": 1,
    "born": 5,
}
_CONFIG = {
    "version": 1,
    "routes": [{"host": "h", "prefix": "/", "service": "s", "target_latency_ms": 5}],
    "limits": {"max_header_bytes": 1},
}
_ITEMS = {"items": [{"key": "k", "value": "eA==", "revision": 3}], "at": 4}
_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.sampled_from([2**63, 2**64, -(2**70), 10**30]),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(max_size=20),
    strategies.just([]),
    strategies.just({}),
)


def _read_job(body):
    job = front.read_job("a" * 16, "q", body)
    state.JobState(job, 0.0)
    return stored_progress.encode_job(job)


def _read_lists(body):
    """Read a runner's lists, and report them to the scheduler."""
    table = runs.RunTable(threading.Event())
    table.apply_snapshot(runner._read_snapshot(body), 1.0)
    return msgspec.msgpack.encode(table.rows())


def _read_report(body):
    """Read a runner's report, and report its description to the scheduler."""
    return msgspec.msgpack.encode(runner.read_report("i", body).info)


def _read_leader(body):
    return election.decode_leader(keyvalue.Item(election.KEY, body, 4, 9))


_DECODERS = {
    "submission": (_SUBMISSION, _read_job),
    "report": (_REPORT, _read_report),
    "lists": (_LISTS, _read_lists),
    "configuration": (_CONFIG, operator.read_config),
    "items": (
        _ITEMS,
        lambda body: store._decode(http.Response(200, body), store._Range),
    ),
    "leader": (["n", "a", 1], _read_leader),
}


def _paths(value, path=()):
    """Yield the path of each part of a JSON value."""
    yield path
    items = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        items = enumerate(value)
    for key, part in items:
        yield from _paths(part, (*path, key))


def _replace(value, path, new):
    if not path:
        return new
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = _replace(value[path[0]], path[1:], new)
    return copy


def _assert_documented(decode, body):
    try:
        decode(body)
    except errors.Error:
        pass


def test_valid_bytes_are_read():
    for valid, decode in _DECODERS.values():
        decode(json.dumps(valid).encode())


def test_deep_nesting_is_a_documented_error():
    """A runner's list of that form ended the thread that keeps its lease."""
    for _, decode in _DECODERS.values():
        fixtures.error_of(errors.Error, decode, _DEEP)


def test_lists_that_no_table_can_hold_are_refused():
    """They ended each thread that read them, and the host's lease with it."""
    for part in (["running", 0, 0], ["running", 0, 1], ["ended_runs", 0, 2]):
        for value in ([], {}, None, "x" if part[-1] else 1, 10**30):
            body = json.dumps(_replace(_LISTS, part, value)).encode()
            fixtures.error_of(errors.Error, _read_lists, body)


def test_amounts_beyond_64_bits_are_refused():
    """They were accepted, and then failed when the job was to be stored."""
    for field in ("cpu", "task_memory_mb", "gpu", "target_ms", "may_miss"):
        step = {"count": 1, field: 10**30}
        body = json.dumps({"specification": "s", "steps": [step]}).encode()
        exc = fixtures.error_of(errors.Refused, _read_job, body)
        assert (exc.kind, exc.ran) == (errors.Kind.BAD_BODY, errors.Ran.NO), exc


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True, database=None)
@hypothesis.given(strategies.data())
def test_replaced_parts_are_read_or_a_documented_error(data):
    valid, decode = data.draw(strategies.sampled_from(list(_DECODERS.values())))
    path = data.draw(strategies.sampled_from(list(_paths(valid))))
    new = data.draw(_VALUES)
    _assert_documented(decode, json.dumps(_replace(valid, path, new)).encode())


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True, database=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_a_documented_error(body):
    for _, decode in _DECODERS.values():
        _assert_documented(decode, body)


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True, database=None)
@hypothesis.given(strategies.data())
def test_damaged_bytes_are_read_or_a_documented_error(data):
    valid, decode = data.draw(strategies.sampled_from(list(_DECODERS.values())))
    body = bytearray(json.dumps(valid).encode())
    for _ in range(data.draw(strategies.integers(1, 4))):
        at = data.draw(strategies.integers(0, len(body) - 1))
        body[at] = data.draw(strategies.integers(0, 255))
    _assert_documented(decode, bytes(body))


load_tests = collecting.hook(__name__)
