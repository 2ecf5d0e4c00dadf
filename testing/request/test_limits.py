"""Fair shares of services, the retry budget, host health and host choice."""

import contextlib
import time

from bilberrypass import errors
from bilberrypass.connection import messages
from bilberrypass.membership import fleet
from bilberrypass.request import health, limits, routing
from testing import collecting, fakes, fixtures


def make_host(name: str, domain: str = "fd1", in_use: int = 0) -> fleet.Host:
    state = messages.EndpointState("ep", "echo", 8, in_use, 0, False)
    report = fakes.make_report(
        host=name, failure_domain=domain, rack="r1", endpoints=[state]
    )
    return fleet.Host(report, time.monotonic(), None)


def _candidate_names(observed: health.HostHealth, hosts: list[fleet.Host]) -> set[str]:
    return {c.host.report.host for c in observed.candidates("echo", hosts)}


def _record_requests(
    observed: health.HostHealth, host: fleet.Host, is_failure: bool, count: int = 1
):
    for _ in range(count):
        observed.record_start("echo", host)
        observed.record_end("echo", host, 0.01, is_failure)


def test_burst_on_one_service_leaves_room_for_another():
    """Guards against one service that occupies all request slots of an entry."""
    limiter = limits.FairShareLimiter(16)
    with contextlib.ExitStack() as stack:
        admitted = 0
        with contextlib.suppress(errors.Refused):
            for _ in range(16):
                stack.enter_context(limiter.admit("storm"))
                admitted += 1
        assert admitted == 12, admitted
        for _ in range(4):
            stack.enter_context(limiter.admit("calm"))


def test_slots_are_released_after_each_request():
    """Guards against slots that leak, so that later requests are refused."""
    limiter = limits.FairShareLimiter(2)
    for _ in range(10):
        with limiter.admit("echo"):
            pass


def test_retries_are_limited_to_a_share_of_first_attempts():
    budget = limits.RetryBudget(lambda: 0.2)
    while budget.try_acquire():
        pass
    for _ in range(100):
        budget.record_first_attempt()
    retries = 0
    while budget.try_acquire():
        retries += 1
    assert retries <= 10, retries


def test_retry_share_follows_the_configuration():
    shares = [0.0]
    budget = limits.RetryBudget(lambda: shares[0])
    while budget.try_acquire():
        pass
    budget.record_first_attempt()
    budget.record_first_attempt()
    assert not budget.try_acquire()
    shares[0] = 0.5
    budget.record_first_attempt()
    budget.record_first_attempt()
    assert budget.try_acquire() and not budget.try_acquire()


def test_failing_host_is_ejected_then_probed_once():
    """Guards against a load of requests on a host before one probe has succeeded.

    The host is ejected after five failures and returns in slow start.
    """
    observed = health.HostHealth("fd1")
    hosts = [make_host("h1"), make_host("h2"), make_host("h3")]
    _record_requests(observed, hosts[0], is_failure=True, count=5)
    assert _candidate_names(observed, hosts) == {"h2", "h3"}
    fixtures.wait_until(
        lambda: _candidate_names(observed, hosts) == {"h1"}, 5, "the probe"
    )
    assert _candidate_names(observed, hosts) == {"h2", "h3"}
    _record_requests(observed, hosts[0], is_failure=False)
    assert _candidate_names(observed, hosts) == {"h1", "h2", "h3"}
    (recovered,) = [
        c for c in observed.candidates("echo", hosts) if c.slow_start_factor < 1.0
    ]
    assert recovered.host.report.host == "h1"


def test_hosts_are_not_ejected_when_most_fail():
    """Guards against a service without hosts because its requests are at fault."""
    observed = health.HostHealth("fd1")
    hosts = [make_host("h1"), make_host("h2"), make_host("h3")]
    for host in hosts:
        _record_requests(observed, host, is_failure=True, count=5)
    assert _candidate_names(observed, hosts) == {"h1", "h2", "h3"}


def test_own_requests_count_as_load_before_the_next_report():
    """Guards against a burst on one host while its reported load is out of date."""
    observed = health.HostHealth("fd1")
    hosts = [make_host("h1"), make_host("h2")]
    for _ in range(8):
        observed.record_start("echo", hosts[0])
    policy = routing.LeastWait()
    for _ in range(20):
        chosen = policy.choose(observed.candidates("echo", hosts))
        assert chosen.host.report.host == "h2"


def test_own_failure_domain_is_preferred_while_it_has_free_slots():
    observed = health.HostHealth("fd1")
    policy = routing.LeastWait()
    for in_use, expected in ((7, "near"), (8, "far")):
        hosts = [make_host("near", "fd1", in_use), make_host("far", "fd2")]
        chosen = policy.choose(observed.candidates("echo", hosts))
        assert chosen.host.report.host == expected, (in_use, chosen)


load_tests = collecting.hook(__name__)
