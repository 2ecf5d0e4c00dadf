"""The lease of a runner, which threads renew while others learn of its clock."""

import contextlib
import sys
import threading

from bilberrypass import clock
from bilberrypass.hosting import leases
from testing import collecting, fixtures

_GRANT_S = 1_000.0
_MS = 1_000
_CLOCK_RATE = 0.975
_ROUNDING_MS = 2
_RENEWALS = 60_000


@contextlib.contextmanager
def _frequent_thread_switches():
    interval_s = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    try:
        yield
    finally:
        sys.setswitchinterval(interval_s)


def _record_answers(lease, age_s, stopping):
    while not stopping.is_set():
        at = clock.now() - age_s
        lease.record_answer(int(at * _MS), at)


def test_lease_does_not_outlast_grant_while_threads_record_answers():
    lease = leases.RunnerLease(0.0)
    until = clock.now() + _GRANT_S
    lease.grant(until)
    stopping = threading.Event()
    threads = [
        threading.Thread(target=_record_answers, args=(lease, age_s, stopping))
        for age_s in (0.0, 1.0, 0.0, 1.0)
    ]
    excess_ms = 0.0
    with _frequent_thread_switches():
        for thread in threads:
            thread.start()
        fixtures.wait_until(lease.renew, 5.0, "the first answer")
        for _ in range(_RENEWALS):
            end_ms = lease.renew()
            now = clock.now()
            # The runner's clock shows the time of ``clock.now`` in this test.
            latest_ms = now * _MS + (until - now) * _CLOCK_RATE * _MS
            excess_ms = max(excess_ms, end_ms - latest_ms)
        stopping.set()
        for thread in threads:
            thread.join()
    assert excess_ms < _ROUNDING_MS, excess_ms


def test_lease_is_not_extended_for_a_runner_that_does_not_answer():
    lease = leases.RunnerLease(0.0)
    at = clock.now()
    lease.record_answer(1_000, at)
    lease.grant(at + 5.0)
    first = lease.renew()
    lease.record_failure()
    lease.grant(at + 50.0)
    assert lease.renew() == first
    assert lease.end == at + 5.0
    lease.record_answer(0, at)
    assert lease.renew() > first


def test_lease_that_an_earlier_agent_may_have_set_is_not_renewed_without_a_grant():
    lease = leases.RunnerLease(clock.now() + 5.0)
    lease.record_answer(1_000, clock.now())
    assert lease.renew() is None
    lease.record_failure()
    assert lease.renew() is None


load_tests = collecting.hook(__name__)
