"""Spans as separate processes export them."""

import json

from bilberrypass.observing import traces
from testing import collecting, fixtures, system

_TRACE = "0af7651916cd43dd8448eb211c80319c"
_PARENT = f"00-{_TRACE}-b7ad6b7169203331-01"
_ON = {"traces": {"exporter": "stderr"}}


def _spans(*procs):
    """Return the spans that processes exported, by name."""
    found = {}
    for proc in procs:
        for line in proc.stderr_text().splitlines():
            if line.startswith("{") and '"trace_id"' in line:
                span = json.loads(line)
                found.setdefault(span["name"], []).append(span)
    return found


def _of_trace(spans, trace):
    return {
        name: [s for s in listed if s["context"]["trace_id"] == f"0x{trace}"]
        for name, listed in spans.items()
    }


def test_request_has_a_span_for_each_hop_of_one_trace():
    with system.system(entry_changes=_ON, agent_changes=_ON) as run:
        url = run.callers() + "/services/echo/x"
        fixtures.wait_ok(url, 10, "the path")
        answer = fixtures.http("GET", url, headers={"Traceparent": _PARENT})
        assert answer.status == 200
        procs = (*run.entries, *run.agents)
        spans = fixtures.wait_until(
            lambda: _whole(_of_trace(_spans(*procs), _TRACE), 3), 10, "three spans"
        )
        (entry,), (agent,), (endpoint,) = (
            spans[name] for name in ("entry", "agent", "endpoint")
        )
        assert entry["parent_id"] == "0xb7ad6b7169203331"
        assert agent["parent_id"] == entry["context"]["span_id"]
        assert endpoint["parent_id"] == agent["context"]["span_id"]
        assert entry["resource"]["attributes"]["service.name"] == "bilberrypass.entry"
        assert agent["resource"]["attributes"]["service.name"] == "bilberrypass.agent"


def _whole(spans, count):
    found = {name: listed for name, listed in spans.items() if listed}
    return found if sum(map(len, found.values())) >= count else None


def test_request_without_a_trace_begins_one():
    with system.system(entry_changes=_ON, agent_changes=_ON) as run:
        url = run.callers() + "/services/echo/x"
        fixtures.wait_ok(url, 10, "the path")
        malformed = fixtures.http("GET", url, headers={"Traceparent": "00-nonsense"})
        assert malformed.status == 200
        procs = (*run.entries, *run.agents)

        def ids_of_endpoint_calls():
            spans = _spans(*procs)
            calls = {s["context"]["trace_id"] for s in spans.get("endpoint", [])}
            entries = {s["context"]["trace_id"] for s in spans.get("entry", [])}
            return calls and calls <= entries

        fixtures.wait_until(ids_of_endpoint_calls, 10, "one trace from entry on")


def test_job_has_its_four_spans_of_one_trace():
    with system.system(entry_changes=_ON, agent_changes=_ON) as run:
        # The team's shard has an owner once another job of it was taken.
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
            lambda: _has(_of_trace(_spans(*procs), _TRACE), names), 15, "four spans"
        )
        (submitted,) = spans["job submitted"]
        assert submitted["parent_id"] == "0xb7ad6b7169203331"
        for name in names[1:]:
            (span,) = spans[name]
            assert span["parent_id"] == submitted["context"]["span_id"], name
        started = spans["job started"][0]["resource"]["attributes"]
        assert started["service.name"] == "bilberrypass.agent"


def _has(spans, names):
    return spans if all(spans.get(name) for name in names) else None


def test_malformed_traceparents_are_left_out():
    assert traces.clean(_PARENT) == _PARENT
    for text in ("", "x", _PARENT + "\n", _PARENT * 2, _PARENT.upper()):
        assert traces.clean(text) == "", text


load_tests = collecting.hook(__name__)
