"""Trace spans that separate processes export."""

import json

from bilberrypass.observing import traces
from testing import collecting, fixtures, system

_TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
_PARENT = f"00-{_TRACE_ID}-b7ad6b7169203331-01"
_TRACES_TO_STDERR = {"traces": {"exporter": "stderr"}}


def _spans(*procs):
    """Return the spans that the processes exported, as lists by name."""
    found = {}
    for proc in procs:
        for line in proc.stderr_text().splitlines():
            if line.startswith("{") and '"trace_id"' in line:
                span = json.loads(line)
                found.setdefault(span["name"], []).append(span)
    return found


def _select_trace(spans, trace):
    return {
        name: [s for s in listed if s["context"]["trace_id"] == f"0x{trace}"]
        for name, listed in spans.items()
    }


def test_request_has_one_span_per_hop_in_one_trace():
    with system.system(
        entry_changes=_TRACES_TO_STDERR, agent_changes=_TRACES_TO_STDERR
    ) as run:
        url = run.callers() + "/services/echo/x"
        fixtures.wait_ok(url, 10, "the path")
        answer = fixtures.http("GET", url, headers={"Traceparent": _PARENT})
        assert answer.status == 200
        procs = (*run.entries, *run.agents)
        spans = fixtures.wait_until(
            lambda: _spans_if_enough(_select_trace(_spans(*procs), _TRACE_ID), 3),
            10,
            "three spans",
        )
        (entry,), (agent,), (endpoint,) = (
            spans[name] for name in ("entry", "agent", "endpoint")
        )
        assert entry["parent_id"] == "0xb7ad6b7169203331"
        assert agent["parent_id"] == entry["context"]["span_id"]
        assert endpoint["parent_id"] == agent["context"]["span_id"]
        assert entry["resource"]["attributes"]["service.name"] == "bilberrypass.entry"
        assert agent["resource"]["attributes"]["service.name"] == "bilberrypass.agent"


def _spans_if_enough(spans, count):
    found = {name: listed for name, listed in spans.items() if listed}
    return found if sum(map(len, found.values())) >= count else None


def test_request_without_valid_traceparent_starts_a_trace():
    with system.system(
        entry_changes=_TRACES_TO_STDERR, agent_changes=_TRACES_TO_STDERR
    ) as run:
        url = run.callers() + "/services/echo/x"
        fixtures.wait_ok(url, 10, "the path")
        malformed = fixtures.http("GET", url, headers={"Traceparent": "00-nonsense"})
        assert malformed.status == 200
        procs = (*run.entries, *run.agents)

        def all_endpoint_calls_have_an_entry_span():
            spans = _spans(*procs)
            calls = {s["context"]["trace_id"] for s in spans.get("endpoint", [])}
            entries = {s["context"]["trace_id"] for s in spans.get("entry", [])}
            return calls and calls <= entries

        fixtures.wait_until(
            all_endpoint_calls_have_an_entry_span, 10, "traces that start at the entry"
        )


def test_job_has_four_spans_in_one_trace():
    with system.system(
        entry_changes=_TRACES_TO_STDERR, agent_changes=_TRACES_TO_STDERR
    ) as run:
        # Once another job of the team is accepted, the team's shard has an owner.
        system.put_job(run.callers() + "/jobs/j0")
        answer = fixtures.http(
            "PUT",
            run.callers() + "/jobs/j1",
            system.job_body(),
            headers={"Traceparent": _PARENT},
        )
        assert answer.status == 201, answer
        procs = (*run.entries, *run.agents)
        names = ("job submitted", "job placed", "job started", "job finished")
        spans = fixtures.wait_until(
            lambda: _spans_if_all_named(
                _select_trace(_spans(*procs), _TRACE_ID), names
            ),
            15,
            "four spans",
        )
        (submitted,) = spans["job submitted"]
        assert submitted["parent_id"] == "0xb7ad6b7169203331"
        for name in names[1:]:
            (span,) = spans[name]
            assert span["parent_id"] == submitted["context"]["span_id"], name
        started = spans["job started"][0]["resource"]["attributes"]
        assert started["service.name"] == "bilberrypass.agent"


def _spans_if_all_named(spans, names):
    return spans if all(spans.get(name) for name in names) else None


def test_malformed_traceparents_are_discarded():
    assert traces.sanitize_traceparent(_PARENT) == _PARENT
    for text in ("", "x", _PARENT + "\n", _PARENT * 2, _PARENT.upper()):
        assert traces.sanitize_traceparent(text) == "", text


load_tests = collecting.hook(__name__)
