"""Planned stops under load fail no request, and a leaving endpoint gets no new ones."""

import collections.abc as abc
import contextlib
import threading
import time

import urllib3

from testing import collecting, fixtures, system
from testing.request import calling, linked

_CALLERS = 12
_DRAIN_LIMIT_S = 3.0


class _Load:
    """Callers that each send requests one after another until the context ends."""

    def __init__(self, fronts: abc.Callable[[], list[str]], delay_s: float) -> None:
        self._fronts = fronts
        self._delay_s = delay_s
        self._stopping = threading.Event()
        self.results: list[calling.CallResult] = []
        self._threads = [
            threading.Thread(target=self._run, args=(n,)) for n in range(_CALLERS)
        ]

    def _run(self, number: int) -> None:
        while not self._stopping.is_set():
            fronts = self._fronts()
            front = fronts[number % len(fronts)]
            self.results.append(calling.call(front, X_Delay_S=str(self._delay_s)))

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def wait_for(self, count: int) -> None:
        goal = len(self.results) + count
        fixtures.wait_until(lambda: len(self.results) >= goal, 30, f"{goal} answers")


@contextlib.contextmanager
def _running_system(**options):
    with system.system(**options) as run:
        for number in range(len(run.entries)):
            calling.wait_answered(run.callers(number), 10, "an answer", method="GET")
        yield run


def _assert_stop_fails_no_request(proc, fronts: abc.Callable[[], list[str]]) -> None:
    """Terminate a process twice under load, and check that no request fails."""
    with _Load(fronts, 0.1) as load:
        load.wait_for(20)
        proc.terminate()
        proc.terminate()
        assert proc.wait(30) == 0, proc.stderr_text()
        load.wait_for(20)
    assert {one.status for one in load.results} == {200}, load.results


def _ready_fronts(run):
    """Return a function that lists the entries that a load balancer would use."""

    def is_ready(number):
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = fixtures.http("GET", f"{run.operators(number)}/readyz")
            return answer.status == 200
        return False

    numbers = range(len(run.entries))
    return lambda: [run.callers(n) for n in numbers if is_ready(n)]


def test_entry_terminated_twice_fails_no_request():
    """Guards against a second signal that ends the draining of requests."""
    with _running_system(entries=2, hosts=1) as run:
        _assert_stop_fails_no_request(run.entries[0], _ready_fronts(run))


def test_agent_terminated_twice_fails_no_request():
    """Guards against a second signal that ends the draining of requests."""
    with _running_system(entries=1, hosts=2) as run:
        _assert_stop_fails_no_request(run.agents[0], lambda: [run.callers()])


def test_endpoint_terminated_twice_fails_no_request():
    """Guards against a second signal that ends the draining of requests."""
    with _running_system(entries=1, hosts=2) as run:
        _assert_stop_fails_no_request(run.endpoints[0], lambda: [run.callers()])


def _count_runs(host: linked.Host) -> int:
    return host.endpoint._runs()["total"]


def _assert_gets_no_new_requests(begin_leaving: abc.Callable[[linked.Host], None]):
    with linked.linked_system(entries=1) as run:
        front = run.front(0)
        calling.wait_answered(front, 10, "an answer", method="GET")
        leaving, staying = run.hosts
        fixtures.wait_until(
            lambda: calling.call(front).status == 200 and _count_runs(leaving),
            10,
            "use",
        )
        # More callers than slots make requests wait in the agents' queues.
        with _Load(lambda: [front], 0.5) as load, _Load(lambda: [front], 0.5):
            load.wait_for(10)
            begin_leaving(leaving)
            limit = time.monotonic() + _DRAIN_LIMIT_S
            fixtures.wait_until(lambda: time.monotonic() > limit, 10, "the limit")
            before = _count_runs(leaving), _count_runs(staying)
            load.wait_for(30)
            assert _count_runs(leaving) == before[0]
            assert _count_runs(staying) > before[1]


def test_endpoint_announced_as_leaving_gets_no_new_requests():
    """Guards against requests in the agent's queue that go to a leaving endpoint."""

    def announce_leaving(host):
        host.is_leaving = True
        host.announce()

    _assert_gets_no_new_requests(announce_leaving)


def test_endpoint_that_stops_announcing_gets_no_new_requests():
    """Guards against requests in the agent's queue that go to a silent endpoint."""
    _assert_gets_no_new_requests(lambda host: host.stop_announcing())


load_tests = collecting.hook(__name__)
