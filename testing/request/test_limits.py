"""Shares between services, the retry budget, and the choice of hosts."""

import contextlib
import time

from bilberrypass import errors
from bilberrypass.connection import messages
from bilberrypass.membership import fleet
from bilberrypass.request import health, limits, routing
from testing import collecting, fakes, fixtures


def make_host(name: str, domain: str = "fd1", in_use: int = 0) -> fleet.Host:
    state = messages.EndpointState("ep", "echo", 8, in_use, 0, False)
    report = fakes.report(
        host=name, failure_domain=domain, rack="r1", endpoints=[state]
    )
    return fleet.Host(report, time.monotonic(), None)


def _names(known: health.Health, hosts: list[fleet.Host]) -> set[str]:
    return {c.host.report.host for c in known.candidates("echo", hosts)}


def _note(known: health.Health, host: fleet.Host, is_failure: bool, count: int = 1):
    for _ in range(count):
        known.begin("echo", host)
        known.end("echo", host, 0.01, is_failure)


def test_storm_on_one_service_leaves_room_for_another():
    shares = limits.Shares(16)
    with contextlib.ExitStack() as stack:
        admitted = 0
        with contextlib.suppress(errors.Refused):
            for _ in range(16):
                stack.enter_context(shares.hold("storm"))
                admitted += 1
        assert admitted == 12, admitted
        for _ in range(4):
            stack.enter_context(shares.hold("calm"))


def test_shares_come_back():
    shares = limits.Shares(2)
    for _ in range(10):
        with shares.hold("echo"):
            pass


def test_retries_are_a_share_of_first_attempts():
    budget = limits.RetryBudget(lambda: 0.2)
    while budget.spend():
        pass
    for _ in range(100):
        budget.earn()
    retries = 0
    while budget.spend():
        retries += 1
    assert retries <= 10, retries


def test_retry_share_follows_the_configuration():
    shares = [0.0]
    budget = limits.RetryBudget(lambda: shares[0])
    while budget.spend():
        pass
    budget.earn()
    budget.earn()
    assert not budget.spend()
    shares[0] = 0.5
    budget.earn()
    budget.earn()
    assert budget.spend() and not budget.spend()


def test_host_that_fails_everything_is_set_aside_then_probed_once():
    known = health.Health("fd1")
    hosts = [make_host("h1"), make_host("h2"), make_host("h3")]
    _note(known, hosts[0], is_failure=True, count=5)
    assert _names(known, hosts) == {"h2", "h3"}
    fixtures.wait_until(lambda: _names(known, hosts) == {"h1"}, 5, "the probe")
    assert _names(known, hosts) == {"h2", "h3"}
    _note(known, hosts[0], is_failure=False)
    assert _names(known, hosts) == {"h1", "h2", "h3"}
    (back,) = [c for c in known.candidates("echo", hosts) if c.share < 1.0]
    assert back.host.report.host == "h1"


def test_most_hosts_failing_are_not_set_aside():
    known = health.Health("fd1")
    hosts = [make_host("h1"), make_host("h2"), make_host("h3")]
    for host in hosts:
        _note(known, host, is_failure=True, count=5)
    assert _names(known, hosts) == {"h1", "h2", "h3"}


def test_own_requests_count_before_the_next_report():
    known = health.Health("fd1")
    hosts = [make_host("h1"), make_host("h2")]
    for _ in range(8):
        known.begin("echo", hosts[0])
    policy = routing.LeastWait()
    for _ in range(20):
        chosen = policy.choose(known.candidates("echo", hosts))
        assert chosen.host.report.host == "h2"


def test_own_failure_domain_comes_first_while_it_has_room():
    known = health.Health("fd1")
    policy = routing.LeastWait()
    for in_use, expected in ((7, "near"), (8, "far")):
        hosts = [make_host("near", "fd1", in_use), make_host("far", "fd2")]
        chosen = policy.choose(known.candidates("echo", hosts))
        assert chosen.host.report.host == expected, (in_use, chosen)


load_tests = collecting.hook(__name__)
