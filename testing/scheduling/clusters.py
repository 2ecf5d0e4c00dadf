"""A scheduler with an in-memory store, and fake hosts that a test controls."""

import contextlib
import itertools
import time

from bilberrypass import clock
from bilberrypass.scheduling import (
    election,
    evacuations,
    intake,
    jobs,
    messages,
    queues,
    scheduler,
    sending,
    stored_progress,
)
from testing import fixtures
from testing.standins import keyvalues

SERVICE = "planner"
QUEUE = "h/q/"
LIFE = 1_000
EVACUATION_PREFIX = "evacuated/"
State = messages.RunState
Verb = messages.Verb


class RecordingOrderSender(sending.OrderSender):
    """Records the orders for each host instead of sending them."""

    def __init__(self, cluster):
        self._cluster = cluster

    def send(self, host, address, orders, agent, sequence):
        self._cluster.hosts[host].orders.extend(orders)
        self._cluster.followed.append((host, agent, sequence))

    def stop(self):
        pass


class FakeHost:
    """A fake host with agent and runner, controlled by the test."""

    def __init__(self, cluster, name, life=LIFE, cpu=64_000):
        self.cluster = cluster
        self.name = name
        self.life = life
        self.cpu = cpu
        self.agent = 1
        self.sequence = 0
        self.orders: list[messages.Order] = []
        self.rows: dict[tuple[str, int], messages.RunRow] = {}
        self.labels = ("a", "r1")
        self.is_draining = False
        self.leased_s = 0.0
        self.answered_ago_s = 0.0
        self.clock_offset_s = time.time() - clock.now()  # its time of day
        self.has_runner = True
        self.last_response: messages.ReportResponse | None = None
        self.challenges: dict[int, str] = {}  # the latest response to each agent
        self.crashes: list[messages.RunnerCrash] = []

    def report(self):
        """Send a report, drop the rows that the response settles, and return it."""
        self.sequence += 1
        info = messages.RunnerInfo(
            f"i-{self.name}",
            self.life,
            SERVICE,
            self.cpu,
            256_000,
            0,
            self.labels,
            self.is_draining,
        )
        report = messages.Report(
            self.name,
            f"{self.name}:1",
            "z",
            self.agent,
            self.sequence,
            self.cluster.epoch,
            info if self.has_runner else None,
            self.answered_ago_s,
            self.leased_s,
            list(self.rows.values()),
            challenge=self.challenges.get(self.agent, ""),
            unix_time=clock.now() + self.clock_offset_s,
            crashes=list(self.crashes),
        )
        self.last_response = self.cluster.scheduler.report(report)
        self.challenges[self.agent] = self.last_response.challenge
        for key in self.last_response.settled:
            row = self.rows.get(tuple(key))
            if row is not None and row.end <= self.last_response.noted:
                del self.rows[tuple(key)]
        return self.last_response

    def execute_orders(self):
        """Execute all received orders as a healthy runner does, and return them."""
        orders, self.orders[:] = list(self.orders), []
        for order in orders:
            key = (order.task, order.run)
            if order.verb == Verb.START:
                self.rows.setdefault(key, messages.RunRow(*key, int(State.RUNNING)))
            elif order.verb == Verb.STOP and key in self.rows:
                self.end_run(key, "stopped")
            elif order.verb == Verb.STOP:
                self.rows[key] = messages.RunRow(*key, int(State.GONE), "missing")
        return orders

    def crash(self, age_s=0.01, min_age_s=0.0):
        """Let the runner crash under all of its runs; its next life is not reported."""
        lost = [
            messages.StartedRun(*key, min_age_s, age_s)
            for key, row in self.rows.items()
            if row.state == State.RUNNING
        ]
        self.crashes.append(messages.RunnerCrash(self.life, lost))
        self.life += 1
        self.rows = {}
        self.orders.clear()

    def end_run(self, key, outcome, checkpoint=""):
        """End a run with the next end number, and return that number."""
        number = self.cluster.next_end_number(self)
        self.rows[key] = messages.RunRow(
            *key, int(State.ENDED), outcome, number, checkpoint
        )
        return number

    def await_orders(self, count, verb=Verb.START):
        """Report until ``count`` orders of a kind have arrived, and return them."""

        def found():
            self.report()
            return [o for o in self.orders if o.verb == verb][count - 1 :]

        fixtures.wait_until(found, 5.0, f"{count} orders for {self.name}")
        return [o for o in self.orders if o.verb == verb]


class Cluster:
    """The scheduler under test with its store and fake hosts."""

    def __init__(self, store, table):
        self.store = store
        self.table = table
        self.hosts: dict[str, FakeHost] = {}
        self.lost_leadership: list[str] = []
        self.followed: list[tuple[str, int, int]] = []  # host, agent, report of orders
        self._end_numbers = itertools.count(1)
        self.epoch = 0
        self.last_contact_at = clock.now()
        self.scheduler = None
        self.submissions = intake.Submissions(store)

    def next_end_number(self, host):
        return next(self._end_numbers)

    def elect_scheduler(self, earlier_leases_end=0.0):
        """Stop the scheduler, if any, and start the next one with a new epoch."""
        if self.scheduler is not None:
            self.scheduler.stop()
        self.store.put(election.KEY, b"{}")
        self.epoch = self.store.items[election.KEY].revision
        self.last_contact_at = clock.now()
        self.scheduler = scheduler.Scheduler(
            self.store,
            self.epoch,
            scheduler.Settings(lease_s=1.0, status_s=120.0, refuses_hopeless=True),
            lambda: self.table,
            lambda: self.last_contact_at,
            self.lost_leadership.append,
            lambda on_failed: RecordingOrderSender(self),
            evacuations.StoredEvacuations(self.store, EVACUATION_PREFIX),
            earlier_leases_end,
        )
        self.scheduler.start()
        fixtures.wait_until(lambda: self.scheduler.is_loaded, 5.0, "the load")

    def add_host(self, name, **options):
        """Add a fake host, send its first report and return it."""
        host = self.hosts[name] = FakeHost(self, name, **options)
        host.report()
        return host

    def submit(self, *steps, id="a" * 16, queue=QUEUE, **fields):
        """Submit a job with the given steps and return it."""
        job = jobs.Job(id, queue, "spec", steps, time.time(), **fields)
        self.submissions.submit(job, clock.now() + 2)
        return job

    def run_task(self, host):
        """Run a job of one task on a host; return the order to start it."""
        self.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)
        (order,) = host.execute_orders()
        return order

    def status(self, id="a" * 16):
        return self.scheduler.status(id)

    def stored(self, id="a" * 16):
        """Return the stored progress of a job."""
        return stored_progress.decode(self.store.items[f"progress/{id}"].value)

    def await_status(self, status, *hosts, id="a" * 16):
        """Report from the given hosts until a job has a status."""

        def has():
            for host in hosts:
                host.report()
            return self.status(id) == status

        fixtures.wait_until(has, 5.0, f"status {status}, now {self.status(id)!r}")


def table(**fields):
    """Return a configuration with one queue."""
    queue = jobs.Queue("q", SERVICE, **({"max_attempts": 2} | fields))
    route = queues.Route("h", "/q/", queue)
    return queues.RouteTable(queues.Config(1, (route,), queues.Limits()))


@contextlib.contextmanager
def running_cluster(**fields):
    """Start a scheduler with a store of its own, and stop it at the end."""
    cluster = Cluster(keyvalues.Store(), table(**fields))
    cluster.elect_scheduler()
    try:
        yield cluster
    finally:
        cluster.scheduler.stop()
