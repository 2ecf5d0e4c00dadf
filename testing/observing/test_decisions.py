"""The decision log stays bounded and never blocks; the page names every metric."""

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
def _lines(limit):
    """Let the log queue up to a number of lines that nobody writes."""
    kept, decisions._lines = decisions._lines, queue.Queue(limit)
    try:
        yield decisions._lines
    finally:
        decisions._lines = kept


def test_a_full_queue_drops_lines_counts_them_and_blocks_nobody():
    with _lines(10) as lines:
        before = decisions._dropped._value.get()
        began = time.monotonic()
        for number in range(1_000):
            decisions.record("test.line", number=number)
        assert time.monotonic() - began < 2.0
        assert lines.qsize() == 10
        assert decisions._dropped._value.get() - before == 990


def test_a_lost_dependency_is_logged_once_and_its_return_with_the_time():
    with _lines(100) as lines:
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


def test_the_page_names_every_metric():
    assert programs.candidacy_delay_s  # importing the programs registers all metrics
    registered = {
        family.name
        for family in prometheus.REGISTRY.collect()
        if family.name.startswith("bilberrypass_")
    }
    named = set(re.findall(r"^\| `(bilberrypass_\w+)", _PAGE.read_text(), re.M))
    assert named == registered, named ^ registered


load_tests = collecting.hook(__name__)
