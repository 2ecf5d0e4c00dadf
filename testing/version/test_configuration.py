"""Validation, resolution, comparison, splitting and merging of configurations."""

import datetime

import hypothesis
from hypothesis import strategies as st

from bilberrypass import errors, resources
from bilberrypass.version import configuration
from testing import collecting, fixtures

_TODAY = datetime.date(2026, 12, 3)
_HOST = configuration.Subject("h1", "r1", "fd1", "north")


def _exemption(match, set_, **more):
    return {"match": match, "set": set_, "reason": "a test", "author": "a"} | more


def _document(exceptions=(), defaults=None, revision=1):
    proposal = _check({"defaults": defaults or {}, "exceptions": list(exceptions)})
    document = configuration.build_next_revision(
        configuration.INITIAL, proposal, "a", 1.0, "w"
    )
    return document._replace(revision=revision)


def _check(value, current=configuration.INITIAL):
    return configuration.check(value, current, _TODAY)


def _faults(value, current=configuration.INITIAL):
    exc = fixtures.error_of(errors.Invalid, _check, value, current)
    assert exc.kind is errors.Kind.INVALID_CONFIG, exc
    return exc.faults


def _paths(value):
    return [fault.partition(": ")[0] for fault in _faults(value)]


def _resolve(document, subject=_HOST, day=_TODAY):
    return configuration.resolve(document, subject, day)


def test_all_faults_are_reported_by_path():
    exceptions = [
        {"match": {}, "set": {}, "reason": "x"},
        {"match": {"team": "a"}, "set": {"drain": True}, "reason": "x"},
        _exemption({"host": "h1"}, {"drain": True}, expires="2026-12-02"),
    ]
    assert _paths({"defaults": {}, "exceptions": exceptions}) == [
        "exceptions[0].match",
        "exceptions[0].set",
        "exceptions[1].set.drain",
        "exceptions[2].expires",
    ]
    types = {
        "defaults": {
            "guards": {"admission_limit": 1},
            "limits": {"max_exceptions": -1},
        },
        "exceptions": [{"match": {"hots": "h"}, "set": {}, "expires": "soon"}],
    }
    assert sorted(_paths(types)) == [
        "defaults.guards.admission_limit",
        "defaults.limits.max_exceptions",
        "exceptions[0].expires",
        "exceptions[0].match.hots",
        "exceptions[0].reason",
    ]


def test_unknown_key_suggests_nearest_key():
    (fault,) = _faults({"defaults": {"weigths": {}}, "exceptions": []})
    assert fault == "defaults.weigths: unknown key; did you mean 'weights'?"


def test_number_of_exceptions_is_limited_by_max_exceptions():
    value = {
        "defaults": {"limits": {"max_exceptions": 1}},
        "exceptions": [
            _exemption({"host": name}, {"drain": True}) for name in ("h1", "h2")
        ],
    }
    (fault,) = _faults(value)
    assert "exceptions: 2 are more than defaults.limits.max_exceptions (1)" in fault


def test_exceptions_with_same_match_may_not_set_same_value():
    guard = {"guards": {"admission_limit": False}}
    twice = [_exemption({"host": "h1"}, guard), _exemption({"host": "h1"}, guard)]
    assert _paths({"defaults": {}, "exceptions": twice}) == [
        "exceptions[1].set.guards.admission_limit"
    ]


def test_expired_exception_may_remain_but_not_be_added():
    old = _exemption({"host": "h1"}, {"drain": True}, expires="2026-12-02")
    current = configuration.INITIAL._replace(exceptions=[old])
    _check({"defaults": {}, "exceptions": [old]}, current)
    assert _faults({"defaults": {}, "exceptions": [old]})
    assert _resolve(current).drain == ""
    assert _resolve(current, day=datetime.date(2026, 12, 2)).drain == "a test"


def test_exceptions_apply_where_they_match_and_later_wins():
    document = _document(
        [
            _exemption({"rack": "r1"}, {"weights": {"evictions": 1}}),
            _exemption({"host": "h1"}, {"weights": {"evictions": 2}}),
            _exemption({"rack": "r1", "team": "t"}, {"weights": {"evictions": 3}}),
        ],
        {"weights": {"evictions": 0}, "quotas": {"t": {"cpu_milli": 5}}},
    )
    assert _resolve(document).evictions == 2
    assert _resolve(document, _HOST._replace(host="h2")).evictions == 1
    assert _resolve(document, _HOST._replace(team="t")).evictions == 3
    values = _resolve(document, configuration.FLEET_WIDE)
    assert values.evictions == 0 and values.admission_limit is True
    assert values.quotas["t"].cpu_milli == 5
    assert resources.Demand(memory_bytes=1 << 50).fits_in(values.quotas["t"])


def test_later_exception_ends_drain():
    drained = [_exemption({"host": "h1"}, {"drain": True})]
    assert _resolve(_document(drained)).drain == "a test"
    again = [*drained, _exemption({"host": "h1", "rack": "r1"}, {"drain": False})]
    assert _resolve(_document(again)).drain == ""


def test_history_is_bounded_and_newest_first():
    document = configuration.INITIAL
    for number in range(80):
        value = {"defaults": {"weights": {"evictions": number}}, "exceptions": []}
        document = configuration.build_next_revision(
            document, _check(value), "a", 1.0, f"{number}"
        )
    revisions = [record.revision for record in document.history]
    assert revisions == list(range(80, 30, -1)), revisions
    assert document.history[0].changes == [
        configuration.Change("defaults.weights.evictions", 78, 79)
    ]


def test_document_round_trips_through_encoding():
    document = _document([_exemption({"host": "h1"}, {"drain": True})])
    assert configuration.decode(configuration.encode(document)) == document


_names = st.sampled_from(["h1", "h2", "h3"])
_matches = st.one_of(
    st.builds(lambda name: {"host": name}, _names),
    st.sampled_from([{"rack": "r1"}, {"rack": "r2"}, {"team": "t"}, {"service": "s"}]),
)
_sets = st.builds(lambda n: {"weights": {"evictions": n}}, st.integers(0, 9))


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(st.lists(st.builds(_exemption, _matches, _sets), max_size=8))
def test_part_resolves_to_same_values_as_whole_document(exceptions):
    whole = configuration.INITIAL._replace(revision=1, exceptions=exceptions)
    parts = []
    for name in ("h1", "h2", "h3"):
        host = configuration.Subject(name, "r1" if name == "h1" else "r2")
        part = configuration.extract_part(whole, host)
        parts.append(part)
        for subject in (host, host._replace(team="t"), host._replace(service="s")):
            assert _resolve(part, subject) == _resolve(whole, subject)
    merged = configuration.merge_parts(
        configuration.merge_parts(parts[2], parts[0]), parts[1]
    )
    assert merged.exceptions == whole.exceptions
    assert configuration.merge_parts(merged, whole) == whole


load_tests = collecting.hook(__name__)
