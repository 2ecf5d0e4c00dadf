"""The thread that reports to one entry, and how it ends."""

import itertools
import threading

from bilberrypass import errors
from bilberrypass.connection import reporting
from testing import collecting, fixtures, system

_INTERVAL_S = 30.0
_TIMEOUT_S = 5.0


class _StoppingEvent(threading.Event):
    """An event; ``reporter`` is stopped just before the first ``clear``."""

    reporter = None

    def clear(self):
        reporter, self.reporter = self.reporter, None
        if reporter is not None:
            reporter.request_stop()
        super().clear()


class _Source:
    def __init__(self):
        self.reports = 0

    def report(self, sequence):
        self.reports += 1
        raise errors.Refused(errors.Kind.STALE, "not reported")


def test_stop_request_at_the_start_of_a_report_is_not_lost():
    source = _Source()
    reporter = reporting.Reporter(
        system.unused_address(), source, _INTERVAL_S, itertools.count(1)
    )
    reporter._wake = _StoppingEvent()
    reporter._wake.reporter = reporter
    reporter.start()
    fixtures.wait_until(
        lambda: not reporter._thread.is_alive(), _TIMEOUT_S, "the end of the reporter"
    )
    assert source.reports == 0


load_tests = collecting.hook(__name__)
