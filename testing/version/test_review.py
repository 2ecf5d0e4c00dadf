"""What a review of a proposed configuration finds."""

import datetime
import json
import pathlib

from bilberrypass.commands import json_lines
from bilberrypass.version import configuration, review
from testing import collecting

_TODAY = datetime.date(2026, 12, 4)
_GIB = 1 << 30
_FLEET = [
    review.Host("h1", "r1", "fd1", "north", 4_000, 8 * _GIB, 0, 3),
    review.Host("h2", "r2", "fd1", "north", 4_000, 8 * _GIB, 0, 0),
]
_EXAMPLES = pathlib.Path(__file__).parents[2] / "docs" / "examples"
Kind = review.Kind


def _exemption(match, values, **fields):
    return {"match": match, "set": values, "reason": "a reason"} | fields


def _review(defaults=None, *exceptions, current=configuration.INITIAL, fleet=_FLEET):
    proposal = {"defaults": defaults or {}, "exceptions": list(exceptions)}
    return review.review(proposal, current, _TODAY, fleet)


def _paths(found, kind):
    return [finding.path for finding in found if finding.kind is kind]


def test_unchanged_configuration_has_no_findings():
    assert _review() == []


def test_each_error_is_found_with_its_path():
    found = _review(
        {"limit": {}}, _exemption({}, {}), {"match": {"host": "h1"}, "set": {}}
    )
    assert {finding.kind for finding in found} == {Kind.ERROR}
    assert _paths(found, Kind.ERROR) == ["defaults.limit", "exceptions[1].reason"]
    assert "did you mean 'limits'" in found[0].detail


def test_exceptions_that_can_never_match_are_found():
    expired = _exemption({"team": "a"}, {"weights": {"evictions": 1.0}})
    expired["expires"] = "2026-12-03"
    current = configuration.INITIAL._replace(exceptions=[expired])
    drain = {"drain": True}
    cases = [
        ([_exemption({"host": "h9"}, drain)], "exceptions[0].match"),
        ([_exemption({"host": "h1", "rack": "r2"}, drain)], "exceptions[0].match"),
        ([expired], "exceptions[0]"),
        (
            [_exemption({"team": "a"}, {"limits": {"max_exceptions": 9}})],
            "exceptions[0].set.limits.max_exceptions",
        ),
        (
            [
                _exemption({"host": "h1", "team": "a"}, {"weights": {"evictions": 1}}),
                _exemption({"team": "a"}, {"weights": {"evictions": 2}}),
            ],
            "exceptions[0]",
        ),
    ]
    for exceptions, path in cases:
        found = _review(None, *exceptions, current=current)
        assert _paths(found, Kind.NEVER_MATCHES) == [path], (exceptions, found)


def test_exceptions_that_match_are_not_reported():
    found = _review(
        None,
        _exemption({"team": "a"}, {"weights": {"evictions": 2.0}}),
        _exemption({"host": "h1", "team": "a"}, {"weights": {"evictions": 1.0}}),
        _exemption({"service": "s"}, {"weights": {"evictions": 1.0}}),
    )
    assert not _paths(found, Kind.NEVER_MATCHES)


def test_contradicting_limits_are_found():
    off = {"throttle_on_disturbance": False}
    cases = [
        (
            {"guards": off, "limits": {"evictions_per_hour": 0}},
            "limits.evictions_per_hour",
        ),
        (
            {"weights": {"evictions": 0.0}, "limits": {"evictions_per_hour": 0}},
            "weights.evictions",
        ),
        (
            {"weights": {"tail_latency": 0.0, "throughput": 0.0, "evictions": 0.0}},
            "weights",
        ),
        ({"quotas": {"a": {"cpu_milli": 0}}}, "quotas.a.cpu_milli"),
        ({"quotas": {"a": {"memory_bytes": 99 * _GIB}}}, "quotas.a.memory_bytes"),
    ]
    for values, key in cases:
        found = _review(values)
        assert _paths(found, Kind.CONTRADICTION) == [f"defaults.{key}"], found
        found = _review(None, _exemption({"team": "a"}, values))
        path = f"exceptions[0].set.{key}"
        assert _paths(found, Kind.CONTRADICTION) == [path], found
    assert not _paths(_review({"guards": off}), Kind.CONTRADICTION)


def test_conflict_of_the_defaults_is_reported_once():
    found = _review(
        {"quotas": {"a": {"cpu_milli": 0}}},
        _exemption({"team": "b"}, {"weights": {"evictions": 1.0}}),
    )
    assert _paths(found, Kind.CONTRADICTION) == ["defaults.quotas.a.cpu_milli"]


def test_differences_tell_what_is_drained_and_returned():
    drained = _exemption({"host": "h2"}, {"drain": True})
    current = configuration.INITIAL._replace(exceptions=[drained])
    found = _review(
        {"limits": {"evictions_per_hour": 9}},
        _exemption({"host": "h1"}, {"drain": True}),
        current=current,
    )
    details = {finding.path: finding.detail for finding in found}
    assert details["defaults.limits.evictions_per_hour"] == "60 -> 9"
    assert "3 tasks run there" in details["host h1"]
    assert details["host h2"] == "is no longer drained"


def test_examples_of_the_documents_have_no_faults():
    for path in sorted(_EXAMPLES.glob("config-*.json")):
        value = json.loads(path.read_text())
        found = review.review(value, configuration.INITIAL, _TODAY)
        assert {finding.kind for finding in found} == {Kind.CHANGE}, path


def test_lines_of_paths_are_found_in_any_layout():
    text = '{"a": {"b": [1,\n {"c": "}"}], "d":\n 2},\n"e": []}'
    lines = json_lines.find_lines(text)
    found = {path: json_lines.line_of(path, lines) for path in (*lines, "a.d.x", "z")}
    assert found == {
        "a": 1,
        "a.b": 1,
        "a.b[0]": 1,
        "a.b[1]": 2,
        "a.b[1].c": 2,
        "a.d": 2,
        "e": 4,
        "a.d.x": 2,
        "z": 0,
    }


load_tests = collecting.hook(__name__)
