"""The decision log is bounded and never blocks; the metrics page lists every metric."""

import contextlib
import pathlib
import queue
import re
import time

import prometheus_client as prometheus

from bilberrypass.observing import decisions
from bilberrypass.platform import programs
from testing import collecting

_PAGE = (
    pathlib.Path(__file__).parents[2] / "docs" / "operations" / "platform-metrics.md"
)


@contextlib.contextmanager
def _queue_of(limit):
    """Replace the queue by a bounded one whose lines no thread writes."""
    original, decisions._pending_lines = (
        decisions._pending_lines,
        queue.Queue(limit),
    )
    try:
        yield decisions._pending_lines
    finally:
        decisions._pending_lines = original


def test_full_queue_drops_and_counts_lines_without_blocking():
    """Guards against a process that blocks because its log is read too slowly."""
    with _queue_of(10) as lines:
        before = decisions._dropped_lines._value.get()
        began = time.monotonic()
        for number in range(1_000):
            decisions.record("test.line", number=number)
        assert time.monotonic() - began < 2.0
        assert lines.qsize() == 10
        assert decisions._dropped_lines._value.get() - before == 990


def test_dependency_failure_and_recovery_are_logged_once():
    """Guards against a log flooded by the repeated failures of one dependency."""
    with _queue_of(100) as lines:
        store = decisions.Dependency("test.store")
        store.worked()
        for _ in range(20):
            store.failed("refused")
        store.worked()
        store.worked()
        found = [lines.get() for _ in range(lines.qsize())]
        assert [line["event"] for line in found] == [
            "test.store.lost",
            "test.store.regained",
        ]
        assert found[1]["failures"] == 20


def test_page_lists_every_prometheus_metric():
    assert programs.candidacy_delay_s  # importing the programs registers all metrics
    registered = {
        family.name
        for family in prometheus.REGISTRY.collect()
        if family.name.startswith("bilberrypass_")
    }
    named = set(re.findall(r"^\| `(bilberrypass_\w+)", _PAGE.read_text(), re.M))
    assert named == registered, named ^ registered


load_tests = collecting.hook(__name__)
