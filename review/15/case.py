"""Case: what ``GET PREFIX`` says after the leader was killed.

A backlog waits for room. The process that leads is killed and started again. The
entries that nothing has happened to are asked for ``waiting`` all the while.
"""

import pathlib
import signal
import threading
import time

from review.standins3 import harness, runner

JOBS = 600
WAITING_SINCE_S = 3.0 + 2.0  # visible_ms and 2 s
ASK_INTERVAL_S = 0.005
ASK_FOR_S = 10.0
JOB = {
    "specification": "x" * 1_000,
    "steps": [
        {"count": 1, "cpu": 32_000, "task_memory_mb": 64, "estimated_ms": 60_000}
    ],
}


class Watch:
    """Asks one entry for the count, and keeps what contradicts the rule."""

    def __init__(self, record, deployment, entry, accepted, runners):
        self._record, self._entry = record, entry
        self._accepted, self._runners = accepted, runners
        self._client = harness.Client(deployment, entry)
        self._stopping = threading.Event()
        self.broken, self.answers = [], 0
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        self._stopping.set()
        self._thread.join(5)

    def _run(self):
        last = None
        while not self._stopping.wait(ASK_INTERVAL_S):
            sent_at = self._record.now()
            status, answer = self._client.call("GET", is_recorded=False)
            least = self._count_waiting(sent_at)
            found = (status, answer.get("waiting"))
            if found != last:
                self._record.write(
                    "count", entry=self._entry.name, status=status, answer=answer
                )
                last = found
            if status != 200:
                continue
            self.answers += 1
            if answer["waiting"] < least / 2:
                detail = (
                    f"{self._entry.name} said {answer} at {sent_at:.3f} s, while "
                    f"{least} submissions waited that it had accepted before"
                )
                self.broken.append(detail)
                self._record.write("too few", detail=detail)

    def _count_waiting(self, sent_at):
        """Return how many were accepted long ago and have not begun by now."""
        begun = {task.split(".")[0] for r in self._runners for task in r.begun()}
        return sum(
            at < sent_at - WAITING_SINCE_S and id not in begun
            for id, at in list(self._accepted.items())
        )


class Runner(runner.Runner):
    def begun(self):
        return [task for task, _ in list(self.life.started)]


def play(record):
    accepted = {}
    with harness.Deployment(record, entries=3, agents=2) as deployment:
        return _play(record, deployment, accepted)


def _play(record, deployment, accepted):
    runners = [
        Runner(record, f"i-{number}", agent.control, lambda task: 60.0)
        for number, agent in enumerate(deployment.agents)
    ]
    clients = [harness.Client(deployment, entry) for entry in deployment.entries]
    for number in range(JOBS):
        id = f"{number:016x}"
        status, _ = clients[number % len(clients)].call("POST", id, JOB)
        if status != 200:
            raise harness.CannotRun(f"submission {id} was answered {status}")
        accepted[id] = record.now()
    time.sleep(WAITING_SINCE_S + 1.0)
    for client in clients:
        status, answer = client.call("GET")
        if status != 200 or answer["waiting"] < JOBS - 10:
            raise harness.CannotRun(f"{client.entry.name} says {status} {answer}")
    leader = harness.await_true(deployment.find_leader, 5, "the leader")
    others = [entry for entry in deployment.entries if entry is not leader]
    watches = [Watch(record, deployment, e, accepted, runners) for e in others]
    for watch in watches:
        watch.start()
    time.sleep(1.0)
    if harness.has_trouble():
        leader.process.send_signal(signal.SIGKILL)
        leader.process.wait()
        record.write("killed", program=leader.name)
        time.sleep(0.5)
        leader.start()
    time.sleep(ASK_FOR_S)
    for watch in watches:
        watch.stop()
    record.write("asked", answers=sum(watch.answers for watch in watches))
    for entry in others:
        for line in entry.events("scheduler.loaded"):
            record.write("from the log", entry=entry.name, line=line)
    for found in runners:
        found.stop()
    return [detail for watch in watches for detail in watch.broken]


if __name__ == "__main__":
    harness.run(pathlib.Path(__file__).parent, play)
