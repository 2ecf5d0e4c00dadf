"""Jobs that are cancelled while they start, with an entry, agents and their runners."""

import contextlib
import time

from bilberrypass import clock
from bilberrypass.hosting import agent
from bilberrypass.scheduling import (
    election,
    entry,
    jobs,
    messages,
    scheduler,
)
from testing import collecting, fixtures
from testing.scheduling import clusters
from testing.standins import keyvalues, runners

_HOSTS = 3
_JOBS = 40
_CALL_S = 0.01  # time of a call of a runner
_STOP_BOUND_S = 3.4  # cancel_ms and stop_timeout_ms of RULES.md


class _SlowRunner(runners.Runner):
    """A runner that takes some time to receive a call and to answer it."""

    def _execute(self, call):
        time.sleep(_CALL_S)
        answer = super()._execute(call)
        time.sleep(_CALL_S)
        return answer


class _Connector(agent.Connector):
    def __init__(self, runner):
        self._runner = runner

    def connect(self, id, life, address):
        return self._runner


class _LeaderLocator(agent.LeaderLocator):
    def __init__(self, store):
        self._store = store

    def find(self):
        lookup = self._store.get(election.KEY, clock.now() + 1)
        leader = election.decode_leader(lookup.item)
        return None if leader is None else (leader.address, leader.epoch)


class _Config:
    """Stands in for the watcher of a configuration that never changes."""

    table = clusters.table()

    def start(self):
        pass

    def stop(self):
        pass


def _start_agent(number, store, runner):
    name, address = f"h{number}", f"127.0.0.1:{fixtures.free_port()}"
    started = agent.Agent(
        agent.Identity(name, "z", address),
        _LeaderLocator(store),
        _Connector(runner),
        lease_s=5.0,
    )
    started.start()
    info = messages.RunnerInfo(
        f"i-{name}", runner.life, clusters.SERVICE, 64_000, 256_000, 0, ()
    )
    started.handle_runner_report(info, "a:1", 1)
    return started


@contextlib.contextmanager
def _fleet():
    """Run an entry and agents; yield the entry and the agents' runners."""
    store = keyvalues.Store()
    address = f"127.0.0.1:{fixtures.free_port()}"
    cfg = scheduler.Settings(lease_s=5.0, status_s=120.0)
    served = entry.Entry("e1", address, store, _Config(), cfg)
    served.start()
    found = [_SlowRunner(1_000 + number) for number in range(_HOSTS)]
    agents = [_start_agent(n, store, runner) for n, runner in enumerate(found)]
    try:
        fixtures.wait_until(
            lambda: (
                served._scheduler
                and len(served._scheduler.usable_hosts(clock.now())) == _HOSTS
            ),
            5.0,
            "the reports of all agents",
        )
        yield served, found
    finally:
        for started in agents:
            started.stop()
            started._session.end("the test is over")
        served.release_leadership()
        served.stop()


def test_no_run_outlives_a_cancel_at_any_moment_of_its_start():
    with _fleet() as (served, found):
        for number in range(_JOBS):
            step = jobs.Step(6, cpu_milli=100, is_service=True)
            id = f"{number:016x}"
            job = jobs.Job(id, clusters.QUEUE, "spec", (step,), time.time())
            served.submit(job, clock.now() + 2)
            time.sleep(0.1 * number / _JOBS)
            assert served.cancel(id, clock.now() + 2)

        def left():
            return [key for runner in found for key in runner.running]

        fixtures.wait_until(lambda: not left(), _STOP_BOUND_S, "the end of all runs")
        assert sum(len(runner.started) for runner in found) > _JOBS


load_tests = collecting.hook(__name__)
