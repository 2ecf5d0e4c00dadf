"""Stand-ins inside a test: a worker, an agent's report, and calls made inline."""

import collections
import concurrent.futures as futures
import time

from bilberrypass import errors, resources
from bilberrypass.connection import messages, worker

CAPACITY = resources.Demand(4, 4, 0)


def report(**fields) -> messages.Report:
    """Return the report of a host that has no room and runs nothing, but for fields."""
    nothing = resources.Demand()
    plain = messages.Report(
        host="h0",
        incarnation=1,
        sequence=1,
        address="127.0.0.1:1",
        region="r",
        failure_domain="fd0",
        rack="r0",
        leaving=False,
        revision=0,
        capacity=nothing,
        committed=nothing,
        endpoints=[],
        tasks=[],
    )
    return plain._replace(**fields)


class Inline(futures.Executor):
    def submit(self, fn, /, *args, **kwargs):
        fn(*args, **kwargs)


class Worker(worker.Worker):
    """A worker that remembers all runs; ``handle`` gives each agent its own face."""

    def __init__(self):
        self.runs = {}
        self.history = []
        self.tombstones = set()
        self.generation = 0
        self.incarnation = 0
        self.steps = 0
        self.faults = collections.deque()
        self.late = []

    def handle(self):
        return _Handle(self)

    def live(self):
        return [run for run in self.runs.values() if run.state == "running"]

    def end(self, task, state, detail=""):
        self.runs[task] = self.runs[task]._replace(state=state, detail=detail)
        self.history.append(self.runs[task])

    def attach(self, deadline, incarnation=0):
        if incarnation < self.incarnation:
            raise errors.Refused(errors.Kind.STALE, "a newer agent attached")
        self.incarnation = incarnation
        self.generation += 1
        return self.inventory(deadline)

    def inventory(self, deadline):
        return worker.Inventory(CAPACITY, list(self.runs.values()), time.monotonic())

    def start(self, spec, expiry, deadline):
        fault = self.faults.popleft() if self.faults else ""
        lost = errors.Error(errors.Kind.ANSWER_LOST, "the start was lost")
        if fault == "late":
            self.late.append((self.generation, spec))
        if fault in ("late", "lose"):
            raise lost
        run = self.take_start(spec)
        if fault == "lose answer":
            raise lost
        return run

    def late_start_arrives(self):
        if self.late:
            generation, spec = self.late.pop(0)
            if generation == self.generation:
                self.take_start(spec)

    def take_start(self, spec):
        if spec.task in self.tombstones:
            return worker.Run(spec, "stopped", spec.checkpoint)
        self.runs.setdefault(spec.task, worker.Run(spec, "running", spec.checkpoint))
        return self.runs[spec.task]

    def renew(self, leases, deadline):
        pass

    def checkpoint(self, task, deadline):
        if task not in self.runs or self.runs[task].state != "running":
            raise errors.Refused(errors.Kind.NOT_FOUND, f"{task} does not run")
        self.steps += 1
        self.runs[task] = self.runs[task]._replace(checkpoint=f"step:{self.steps}")
        return self.runs[task].checkpoint

    def throttle(self, task, share, deadline):
        pass

    def stop(self, task, deadline):
        self.tombstones.add(task)
        if task in self.runs and self.runs[task].state == "running":
            self.end(task, "stopped")
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
    """The fake as one agent sees it: fenced once another has attached."""

    def __init__(self, fake):
        self._fake = fake
        self._generation = 0

    def __getattr__(self, name):
        def call(*args):
            if name == "attach":
                found = self._fake.attach(*args)
                self._generation = self._fake.generation
                return found
            if self._generation != self._fake.generation:
                raise errors.Refused(errors.Kind.STALE, "a newer agent attached")
            return getattr(self._fake, name)(*args)

        return call
