"""The interval of a host's reports, depending on the number of entries."""

import contextlib
import itertools
import time

from bilberrypass.connection import messages, reporting
from bilberrypass.membership import fleet
from bilberrypass.process import agent
from bilberrypass.version import settings
from testing import collecting, fakes, fixtures, system


@contextlib.contextmanager
def _agent(entries: int):
    """Run an agent in this process; none of its entries exists."""
    cfg = system.agent_settings(
        0, [system.unused_address() for _ in range(entries)], ""
    )
    del cfg["worker"]
    current = agent.Agent(settings.check_agent(cfg | {"report_interval_s": 1.0}))
    current.start()
    try:
        yield current
    finally:
        current.stop()


def _report(interval_s: float) -> messages.Report:
    return fakes.make_report(address=system.unused_address(), interval_s=interval_s)


def test_report_interval_grows_with_number_of_entries():
    with _agent(entries=1) as current:
        assert current.report(1).interval_s == 1.0
    with _agent(entries=8) as current:
        assert current.report(1).interval_s == 4.0


def test_report_interval_is_bounded():
    with _agent(entries=20) as current:
        assert current.report(1).interval_s == 6.0


def test_report_requested_at_once_does_not_shift_the_next():
    reporter = reporting.Reporter(
        system.unused_address(), None, 1.0, itertools.count(1)
    )
    reporter.set_schedule(6.0, phase=0.5)
    assert reporter.next_due(3.0, is_answered=True) == 9.0
    assert reporter.next_due(8.0, is_answered=True) == 9.0
    reporter.set_schedule(6.0, phase=1.25)
    assert reporter.next_due(3.0, is_answered=True) == 7.5


def test_reports_to_all_entries_are_spread_evenly():
    count = itertools.count(1)
    current = [
        reporting.Reporter(system.unused_address(), None, 1.0, count) for _ in range(12)
    ]
    reporting.spread_reports(current, 1.0, phase=0.25)
    dues = sorted(reporter.next_due(1_000.0, is_answered=True) for reporter in current)
    gaps = [later - sooner for sooner, later in itertools.pairwise(dues)]
    assert all(abs(gap - 0.5) < 1e-6 for gap in gaps), dues


def test_unanswered_report_is_retried_soon():
    reporter = reporting.Reporter(
        system.unused_address(), None, 1.0, itertools.count(1)
    )
    reporter.set_schedule(6.0, phase=0.5)
    assert reporter.next_due(3.0, is_answered=False) == 4.0


def test_host_with_long_report_interval_is_not_silent():
    hosts = fleet.Fleet(silence_s=0.05)
    hosts.handle_report(_report(interval_s=60.0))
    time.sleep(0.1)
    assert [host.report.host for host in hosts.available()] == ["h0"]


def test_host_that_misses_its_own_interval_is_silent():
    hosts = fleet.Fleet(silence_s=0.05)
    hosts.handle_report(_report(interval_s=0.1))
    fixtures.wait_until(lambda: not hosts.available(), 5, "the silence")


load_tests = collecting.hook(__name__)
