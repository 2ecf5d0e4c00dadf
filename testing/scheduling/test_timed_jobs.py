"""Timed jobs over changes of the leader at each step of their progress."""

import random
import time

from bilberrypass import clock
from bilberrypass.scheduling import jobs
from testing import collecting, fixtures
from testing.scheduling import clusters

ID = "a" * 16
_TIMES, _INTERVAL_S = 4, 0.15
_STEPS = (jobs.Step(2, cpu_milli=100), jobs.Step(1, cpu_milli=100, after=(0,)))


class _Play:
    """A timed job on one host, with faults and elections in between.

    ``done`` counts the ends of each task that the scheduler has noted.
    """

    def __init__(self, cluster, rng):
        self.cluster, self.rng = cluster, rng
        self.host = cluster.add_host("h1")
        self.done, self.unexpected_starts = [], []
        self._listed = {}

    def step(self):
        """Do one thing: report, start, end, or change the leader."""
        host, rng = self.host, self.rng
        kind = rng.choice(("report", "report", "start", "end", "end", "store", "elect"))
        if kind == "store":
            setattr(self.cluster.store, rng.choice(("lose_answers", "hold_commits")), 1)
        elif kind == "elect":
            self.cluster.store.held_commits.clear()
            self.cluster.elect_scheduler()
        elif kind == "start":
            self.execute_orders()
        elif kind == "end":
            running = [
                key
                for key, row in host.rows.items()
                if row.state == clusters.State.RUNNING
            ]
            if running:
                key = rng.choice(running)
                how = rng.choice(("done", "done", "lapsed"))
                self._listed[key] = host.end_run(key, how), how
        self.report()

    def execute_orders(self):
        """Execute the orders, and keep the starts that should not have come."""
        for order in self.host.execute_orders():
            noted = any(key[0] == order.task for key in self.done)
            rows = self.host.rows.items()
            runs = [
                key
                for key, row in rows
                if key[0] == order.task and row.state == clusters.State.RUNNING
            ]
            if order.verb == clusters.Verb.START and (noted or len(runs) > 1):
                self.unexpected_starts.append(order)

    def report(self):
        """Report, and count the ends that the response notes."""
        noted_to = self.host.report().noted
        for key, (end, how) in list(self._listed.items()):
            if end <= noted_to:
                del self._listed[key]
                if how == "done":
                    self.done.append(key)


def test_each_time_runs_once_whenever_the_leader_changes():
    """An end that was noted stays done, and no time is skipped or run twice."""
    tasks = sum(step.count for step in _STEPS) * _TIMES
    for seed in range(5):
        with clusters.running_cluster() as cluster:
            play = _Play(cluster, random.Random(seed))
            cluster.submit(
                *_STEPS,
                id=ID,
                repetitions=_TIMES,
                first_run_at=time.time() + 0.1,
                interval_s=_INTERVAL_S,
            )

            def is_completed(cluster=cluster, play=play):
                play.step()
                return cluster.submissions.read_status(ID, clock.now() + 1) in (
                    "completed",
                    "failed",
                )

            fixtures.wait_until(is_completed, 30.0, f"the end, seed {seed}")
            for _ in fixtures.polls(0.3):
                play.execute_orders()
                play.report()
            assert cluster.status(ID) == "completed", seed
            assert not play.unexpected_starts, (seed, play.unexpected_starts)
            done = [key[0] for key in play.done]
            assert len(done) == len(set(done)) == tasks, (seed, sorted(done))
            assert cluster.scheduler.count_waiting(clusters.QUEUE) == 0


load_tests = collecting.hook(__name__)
