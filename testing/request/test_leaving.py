"""Planned stops under load cut nothing; what leaves gets nothing new."""

import collections.abc as abc
import contextlib
import threading
import time

import urllib3

from testing import collecting, fixtures, system
from testing.request import calling, linked

_CALLERS = 12
_QUIET_LIMIT_S = 3.0


class _Load:
    """Callers that send one request after another."""

    def __init__(self, fronts: abc.Callable[[], list[str]], delay_s: float) -> None:
        self._fronts = fronts
        self._delay_s = delay_s
        self._stopping = threading.Event()
        self.told: list[calling.Told] = []
        self._threads = [
            threading.Thread(target=self._run, args=(n,)) for n in range(_CALLERS)
        ]

    def _run(self, number: int) -> None:
        while not self._stopping.is_set():
            fronts = self._fronts()
            front = fronts[number % len(fronts)]
            self.told.append(calling.call(front, X_Delay_S=str(self._delay_s)))

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def wait_for(self, count: int) -> None:
        goal = len(self.told) + count
        fixtures.wait_until(lambda: len(self.told) >= goal, 30, f"{goal} answers")


@contextlib.contextmanager
def _system(**options):
    with system.system(**options) as run:
        for number in range(len(run.entries)):
            calling.wait_answered(run.callers(number), 10, "an answer", method="GET")
        yield run


def _assert_cuts_nothing(proc, fronts: abc.Callable[[], list[str]]) -> None:
    """Tell a process twice to leave, under load."""
    with _Load(fronts, 0.1) as load:
        load.wait_for(20)
        proc.terminate()
        proc.terminate()
        assert proc.wait(30) == 0, proc.stderr_text()
        load.wait_for(20)
    assert {one.status for one in load.told} == {200}, load.told


def _ready_fronts(run):
    """Return the entries that a balancer would send to, by their readiness."""

    def is_ready(number):
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = fixtures.http("GET", f"{run.operators(number)}/readyz")
            return answer.status == 200
        return False

    numbers = range(len(run.entries))
    return lambda: [run.callers(n) for n in numbers if is_ready(n)]


def test_entry_that_leaves_twice_told_cuts_nothing():
    with _system(entries=2, hosts=1) as run:
        _assert_cuts_nothing(run.entries[0], _ready_fronts(run))


def test_agent_that_leaves_twice_told_cuts_nothing():
    with _system(entries=1, hosts=2) as run:
        _assert_cuts_nothing(run.agents[0], lambda: [run.callers()])


def test_endpoint_that_leaves_twice_told_cuts_nothing():
    with _system(entries=1, hosts=2) as run:
        _assert_cuts_nothing(run.endpoints[0], lambda: [run.callers()])


def _total(host: linked.Host) -> int:
    return host.endpoint._runs()["total"]


def _assert_gets_nothing_new(begin_leaving: abc.Callable[[linked.Host], None]):
    with linked.linked_system(entries=1) as run:
        front = run.front(0)
        calling.wait_answered(front, 10, "an answer", method="GET")
        leaving, staying = run.hosts
        fixtures.wait_until(
            lambda: calling.call(front).status == 200 and _total(leaving), 10, "use"
        )
        # More callers than slots, so that requests wait in the agents' queues.
        with _Load(lambda: [front], 0.5) as load, _Load(lambda: [front], 0.5):
            load.wait_for(10)
            begin_leaving(leaving)
            limit = time.monotonic() + _QUIET_LIMIT_S
            fixtures.wait_until(lambda: time.monotonic() > limit, 10, "the limit")
            before = _total(leaving), _total(staying)
            load.wait_for(30)
            assert _total(leaving) == before[0]
            assert _total(staying) > before[1]


def test_endpoint_that_says_it_leaves_gets_nothing_new():
    def say(host):
        host.is_leaving = True
        host.announce()

    _assert_gets_nothing_new(say)


def test_endpoint_that_falls_silent_gets_nothing_new():
    _assert_gets_nothing_new(lambda host: host.fall_silent())


load_tests = collecting.hook(__name__)
