"""Stateful test: random operations, crashes and lost messages, with invariants.

Owner, agent and store are the real implementations, called in turn on one thread.
Only the network and the worker are fakes.
"""

import collections
import contextlib
import json
import time
import typing as t
import unittest.mock

import hypothesis
import hypothesis.stateful as stateful
from hypothesis import strategies as st

from bilberrypass import errors, resources
from bilberrypass.batch import outbox, owner, placement, placer, records
from bilberrypass.connection import channels, memory, store
from bilberrypass.execution import tasks
from bilberrypass.membership import directory, fleet, owned_shard
from bilberrypass.version import page
from testing import collecting, fakes

_HOSTS = ("h0", "h1")
_TEAMS = ("t", "u")
_LEASE_S = 600.0
_FAULTS = ("", "lose", "late", "lose answer")
_MAX_JOBS = 6
_MAX_SETTLE_ROUNDS = 60


class _Peer:
    """The network between the owner and one agent; injects the machine's faults."""

    def __init__(self, machine, host):
        self._machine = machine
        self._host = host

    def call(self, method, req, deadline):
        fault = self._machine.faults.popleft() if self._machine.faults else ""
        lost = errors.Error(errors.Kind.ANSWER_LOST, f"{method.name} was lost")
        if fault == "lose":
            raise lost
        if fault == "late":
            self._machine.late.append((self._host, method, req))
            raise lost
        answer = self._machine.deliver(self._host, method, req)
        if fault == "lose answer":
            raise lost
        return answer


class _Directory(t.NamedTuple):
    kv: store.Store
    own_member: directory.Member
    lease: int

    def owner_key(self, kind, shard):
        return f"/owners/{kind}/{shard}"

    def owner(self, kind, shard):
        return None

    def owner_epoch(self, kind, shard):
        return store.ABSENT

    def preferred_owner(self, kind, shard):
        return self.own_member.id


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=250,
    stateful_step_count=40,
    phases=(hypothesis.Phase.generate,),
)
class _Machine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.kv = memory.MemoryStore()
        self.shards = {}
        self.cancelled = set()
        self.faults = collections.deque()
        self.late = []
        self.workers = {host: fakes.FakeWorker() for host in _HOSTS}
        self.incarnations = dict.fromkeys(_HOSTS, 0)
        self.sequences = dict.fromkeys(_HOSTS, 0)
        self.agents = {}
        self.submitted = 0
        self.hosts = fleet.Fleet(_LEASE_S)
        self.hosts.available = lambda: list(self.hosts._hosts.values())
        for host in _HOSTS:
            self._attach(host)
        for team in _TEAMS:
            self._take_over(team)
        for host in _HOSTS:
            self.report(host, False)

    def _attach(self, host):
        self.incarnations[host] += 1
        self.agents[host] = tasks.Tasks(
            host, self.workers[host].new_handle(), self.incarnations[host]
        )
        self.agents[host].attach()

    def _take_over(self, team):
        deadline = time.monotonic() + 10
        entry_directory = _Directory(
            self.kv, directory.Member("e", "a"), self.kv.grant(600, deadline)
        )
        number = _TEAMS.index(team)
        shard = owner.Shard(
            number,
            entry_directory,
            self.hosts,
            placer.make_context(placement.FirstFit()),
            _LEASE_S,
            "/",
            fakes.InlineExecutor(),
        )
        assert shard.ownership.acquire()
        shard._load()
        self.shards[team] = shard

    def deliver(self, host, method, req):
        agent = self.agents[host]
        if method is channels.START:
            if req.incarnation != self.incarnations[host]:
                raise errors.Refused(errors.Kind.STALE, "quotes another agent's report")
            return agent.start(req, time.monotonic())
        return agent.stop(req.tasks, req.checkpoint)

    @stateful.precondition(lambda self: self.submitted < _MAX_JOBS)
    @stateful.rule(
        team=st.sampled_from(_TEAMS),
        count=st.integers(1, 5),
        size=st.integers(1, 3),
        limit=st.integers(1, 2),
        faults=st.lists(st.sampled_from(_FAULTS), max_size=3),
    )
    def submit(self, team, count, size, limit, faults):
        self.submitted += 1
        demand = {"cpu_milli": size, "memory_bytes": 1}
        body = {"team": team, "tasks": count, "max_attempts": limit, "demand": demand}
        job = page.parse_job(
            f"j{self.submitted}", json.dumps(body).encode(), time.time(), ""
        )
        self.shards[team].submit(lambda jobs: records.put(jobs, job))
        self.pass_once(team, faults)

    @stateful.rule(team=st.sampled_from(_TEAMS), data=st.data())
    def cancel(self, team, data):
        shard = self.shards[team]
        if shard.state:
            key = data.draw(st.sampled_from(sorted(shard.state)))
            shard.submit(lambda jobs: records.cancel(jobs, key))
            self.pass_once(team, [])
            self.cancelled.add(key)

    @stateful.rule(team=st.sampled_from(_TEAMS), data=st.data())
    def evict(self, team, data):
        shard = self.shards[team]
        found = records.tasks_by_host(shard.state)
        on_host = sorted(task for own in found.values() for task in own)
        if on_host:
            task = data.draw(st.sampled_from(on_host))
            shard.submit(lambda jobs: records.evict(jobs, task, "for a test"))

    @stateful.rule(
        team=st.sampled_from(_TEAMS),
        faults=st.lists(st.sampled_from(_FAULTS), max_size=3),
    )
    def pass_once(self, team, faults):
        self.faults.extend(faults)
        self.shards[team]._wake.set()
        self.shards[team]._write_pending()
        self.faults.clear()

    @stateful.rule(team=st.sampled_from(_TEAMS))
    def owner_dies_before_it_sends(self, team):
        shard = self.shards[team]
        shard._wake.set()
        with unittest.mock.patch.object(shard, "on_written"):
            shard._write_pending()
        self.kv.revoke(shard.ownership._directory.lease, time.monotonic() + 10)
        self._take_over(team)

    @stateful.rule(
        host=st.sampled_from(_HOSTS),
        faults=st.lists(st.sampled_from(_FAULTS), min_size=1, max_size=3),
    )
    def worker_becomes_slow(self, host, faults):
        self.workers[host].faults.extend(faults)

    @stateful.rule(host=st.sampled_from(_HOSTS))
    def late_start_reaches_the_worker(self, host):
        self.workers[host].deliver_delayed_start()

    @stateful.rule(faults=st.lists(st.sampled_from(_FAULTS), max_size=2))
    def all_report(self, faults):
        for host in _HOSTS:
            self.report(host, False)
        for team in _TEAMS:
            self.pass_once(team, faults)

    @stateful.rule(host=st.sampled_from(_HOSTS))
    def agent_is_replaced(self, host):
        self._attach(host)
        self.sequences[host] = 0

    @stateful.rule(host=st.sampled_from(_HOSTS))
    def worker_is_replaced(self, host):
        """Replace a worker, which loses its runs, and the ends that are not stored."""
        fake = self.workers[host]
        fake.history = [run for run in fake.history if run.spec.task not in fake.runs]
        fake.runs.clear()
        self.workers[host].tombstones.clear()
        self.workers[host].generation += 1
        self.agents[host]._attach_again()

    @stateful.rule(host=st.sampled_from(_HOSTS), answer_lost=st.booleans())
    def report(self, host, answer_lost):
        agent = self.agents[host]
        agent.poll()
        self.sequences[host] += 1
        report = fakes.make_report(
            host=host,
            incarnation=self.incarnations[host],
            sequence=self.sequences[host],
            failure_domain=host,
            rack="r",
            capacity=agent.ledger.capacity,
            committed=agent.ledger.committed,
            tasks=agent.states(),
        )
        known = fleet.Host(report, time.monotonic(), _Peer(self, host))
        self.hosts._hosts[host] = known
        for team, shard in self.shards.items():
            own = [state for state in report.tasks if state.task.team == team]
            reply = shard.handle_report(report._replace(tasks=own))
            if answer_lost:
                continue
            agent.forget(reply.recorded)
            agent.stop(reply.stop, checkpoint=False)
            agent.stop(reply.evict, checkpoint=True)

    @stateful.rule()
    def late_message_arrives(self):
        if self.late:
            host, method, req = self.late.pop(0)
            with contextlib.suppress(errors.Error):
                self.deliver(host, method, req)

    @stateful.rule(
        host=st.sampled_from(_HOSTS), state=st.sampled_from(("finished", "failed"))
    )
    def run_ends(self, host, state):
        for run in self.workers[host].running_runs()[:1]:
            self.workers[host].end_run(run.spec.task, state)

    @stateful.invariant()
    def no_host_is_beyond_its_capacity(self):
        for host, fake in self.workers.items():
            used = resources.sum_demands(run.spec.demand for run in fake.running_runs())
            assert used.fits_in(fakes.CAPACITY), (host, fake.running_runs())
            assert used.fits_in(self.agents[host].ledger.committed), host

    @stateful.invariant()
    def no_task_runs_twice_at_once(self):
        live = [
            run.spec.task[:3]
            for fake in self.workers.values()
            for run in fake.running_runs()
        ]
        assert len(live) == len(set(live)), live

    @stateful.invariant()
    def no_cancelled_task_waits_again(self):
        for job in self._jobs():
            if (job.team, job.id) in self.cancelled:
                states = {record.state for record in job.tasks}
                assert states <= page.ENDED | {page.STOPPING}, job

    @stateful.invariant()
    def no_task_finishes_twice(self):
        done = [
            run.spec.task[:3]
            for fake in self.workers.values()
            for run in fake.history
            if run.state == "finished"
        ]
        assert len(done) == len(set(done)), done

    def teardown(self):
        """Check that every job ends once no more faults are injected."""
        self.faults.clear()
        for _ in range(_MAX_SETTLE_ROUNDS):
            if all(job.state in page.ENDED for job in self._jobs()):
                break
            self._settle()
        for job in self._jobs():
            assert job.state in page.ENDED, job

    def _jobs(self):
        return [job for shard in self.shards.values() for job in shard.state.values()]

    def _settle(self):
        while self.late:
            self.late_message_arrives()
        for fake in self.workers.values():
            fake.faults.clear()
            fake.deliver_delayed_start()
        for team in _TEAMS:
            self.pass_once(team, [])
        for host in _HOSTS:
            self.report(host, False)
            self.run_ends(host, "finished")
            self.report(host, False)
        self.no_host_is_beyond_its_capacity()
        self.no_task_runs_twice_at_once()
        self.no_task_finishes_twice()


@contextlib.contextmanager
def _without_intervals():
    with (
        unittest.mock.patch.object(outbox, "_RESEND_INTERVAL_S", 0.0),
        unittest.mock.patch.object(owned_shard.OwnedShard, "min_write_interval_s", 0.0),
    ):
        yield


def test_random_operations_violate_no_invariant():
    with _without_intervals():
        stateful.run_state_machine_as_test(_Machine)


def test_start_that_arrives_after_a_worker_restart_runs_no_task_twice():
    with _without_intervals():
        machine = _Machine()
        machine.submit("t", 1, 1, 1, ["late"])
        machine.pass_once("t", [])
        machine.report("h0", False)
        machine.worker_is_replaced("h0")
        for _ in range(3):
            machine.report("h0", False)
        machine.pass_once("t", [])
        assert machine.workers["h0"].running_runs()[0].spec.task.attempt == 2
        machine.late_message_arrives()
        machine.no_task_runs_twice_at_once()


load_tests = collecting.hook(__name__)
