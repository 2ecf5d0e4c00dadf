"""In-process fakes: a worker, an agent's report and an inline executor."""

import collections
import concurrent.futures as futures
import time

from bilberrypass import errors, resources
from bilberrypass.connection import messages, worker

CAPACITY = resources.Demand(4, 4, 0)


def make_report(**fields) -> messages.Report:
    """Return the report of a host without capacity or tasks; ``fields`` override it."""
    no_demand = resources.Demand()
    default = messages.Report(
        host="h0",
        incarnation=1,
        sequence=1,
        address="127.0.0.1:1",
        region="r",
        failure_domain="fd0",
        rack="r0",
        leaving=False,
        revision=0,
        capacity=no_demand,
        committed=no_demand,
        endpoints=[],
        tasks=[],
    )
    return default._replace(**fields)


class InlineExecutor(futures.Executor):
    """An executor that runs each call in ``submit`` and returns no future."""

    def submit(self, fn, /, *args, **kwargs):
        fn(*args, **kwargs)


class FakeWorker(worker.Worker):
    """A worker that records all runs.

    ``new_handle`` returns a handle for one agent. Each entry of ``faults`` applies to
    one start: "lose" drops it, "late" delays it until ``deliver_delayed_start``, and
    "lose answer" carries it out without an answer.
    """

    generation = 0

    def __init__(self):
        self.runs = {}
        self.history = []
        self.tombstones = set()
        self.incarnation = 0
        self.steps = 0
        self.faults = collections.deque()
        self.delayed_starts = []
        self.capacity = CAPACITY

    def new_handle(self):
        return _Handle(self)

    def running_runs(self):
        return [run for run in self.runs.values() if run.state == "running"]

    def end_run(self, task, state, detail=""):
        self.runs[task] = self.runs[task]._replace(state=state, detail=detail)
        self.history.append(self.runs[task])

    def attach(self, deadline, incarnation=0):
        if incarnation < self.incarnation:
            raise errors.Refused(errors.Kind.STALE, "a newer agent attached")
        self.incarnation = incarnation
        self.generation += 1
        return self.inventory(deadline)

    def inventory(self, deadline):
        return worker.Inventory(
            self.capacity, list(self.runs.values()), time.monotonic()
        )

    def start(self, spec, expiry, deadline, generation=None):
        fault = self.faults.popleft() if self.faults else ""
        lost = errors.Error(errors.Kind.ANSWER_LOST, "no answer to the start")
        if fault == "late":
            self.delayed_starts.append((self.generation, spec))
        if fault in ("late", "lose"):
            raise lost
        run = self.apply_start(spec)
        if fault == "lose answer":
            raise lost
        return run

    def deliver_delayed_start(self):
        if self.delayed_starts:
            generation, spec = self.delayed_starts.pop(0)
            if generation == self.generation:
                self.apply_start(spec)

    def apply_start(self, spec):
        if spec.task in self.tombstones:
            return worker.Run(spec, "stopped", spec.checkpoint)
        self.runs.setdefault(spec.task, worker.Run(spec, "running", spec.checkpoint))
        return self.runs[spec.task]

    def renew(self, leases, deadline):
        pass

    def checkpoint(self, task, deadline):
        if task not in self.runs or self.runs[task].state != "running":
            raise errors.Refused(errors.Kind.NOT_FOUND, f"{task} is not running")
        self.steps += 1
        self.runs[task] = self.runs[task]._replace(checkpoint=f"step:{self.steps}")
        return self.runs[task].checkpoint

    def throttle(self, task, share, deadline):
        pass

    def stop(self, task, deadline):
        self.tombstones.add(task)
        if task in self.runs and self.runs[task].state == "running":
            self.end_run(task, "stopped")
        return self.runs.get(task)

    def forget(self, tasks, deadline):
        for task in tasks:
            if task in self.runs and self.runs[task].state != "running":
                del self.runs[task]
                self.tombstones.add(task)

    def usage(self, deadline):
        return worker.Usage(0.0, 0.0, [], [])

    def close(self):
        pass


class _Handle:
    """One agent's handle to the fake; it is fenced once another agent has attached."""

    def __init__(self, fake):
        self._fake = fake
        self.generation = 0

    def __getattr__(self, name):
        def forward(*args):
            if name == "attach":
                inventory = self._fake.attach(*args)
                self.generation = self._fake.generation
                return inventory
            if name == "start" and args[3:] != (self.generation,):
                raise errors.Refused(errors.Kind.STALE, "attached anew")
            if self.generation != self._fake.generation:
                raise errors.Refused(errors.Kind.STALE, "a newer agent attached")
            return getattr(self._fake, name)(*args)

        return forward
