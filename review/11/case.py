"""Case: three large submissions, and the memory of each entry that leads.

The first step of each occurrence runs at once, the others need a label that no runner
has. An entry whose resident memory exceeds its machine's 300 MB is killed and started
again, as the platform does. Ordinary submissions come after that has happened a few
times.
"""

import contextlib
import pathlib
import threading
import time

from review.standins3 import harness, runner

RUNNERS = 4
STEPS = 64
LARGE = [f"{number:016x}" for number in (0xA1, 0xA2, 0xA3)]
OTHERS = [f"{number:016x}" for number in range(1, 7)]
REPETITIONS = 20_000
MEMORY_MB = 300
KILLS = 6
KILLED_WITHIN_S = 75.0
WATCH_FOR_S = 17.0  # finish_s and the 3 s of the rule
RESTART_AFTER_S = 0.5
TINY = {"count": 1, "cpu": 10, "task_memory_mb": 1, "estimated_ms": 10}
NEEDY = TINY | {"requirements": "ssd"}
OTHER = {"specification": "other", "steps": [TINY]}


class Platform:
    """Kills entries that exceed their memory, and starts them again."""

    def __init__(self, record, entries):
        self._record, self._entries = record, entries
        self._stopping = threading.Event()
        self.kills = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        while not self._stopping.wait(0.05):
            for entry in self._entries:
                used_mb = _resident_mb(entry.process.pid)
                if used_mb > MEMORY_MB:
                    self._record.write(
                        "over its memory", entry=entry.name, mb=round(used_mb)
                    )
                    entry.kill()
                    self.kills.append(self._record.now())
                    time.sleep(RESTART_AFTER_S)
                    entry.start()

    def stop(self):
        self._stopping.set()
        self._thread.join(5)


def _resident_mb(pid):
    with contextlib.suppress(OSError, ValueError):
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1_024
    return 0.0


def play(record):
    with harness.Deployment(record, entries=3, agents=RUNNERS) as deployment:
        return _play(record, deployment)


def _play(record, deployment):
    runners = [
        runner.Runner(record, f"i-{number}", agent.control, lambda task: 0.01)
        for number, agent in enumerate(deployment.agents)
    ]
    time.sleep(3.0)
    platform = Platform(record, deployment.entries)
    clients = [harness.Client(deployment, entry) for entry in deployment.entries]
    large = {
        "specification": "large",
        "steps": [TINY, *(NEEDY | {"after": [n]} for n in range(STEPS - 1))],
        "repetitions": REPETITIONS if harness.has_trouble() else 100,
        "first_run_ms": time.time() * 1_000,
        "interval_ms": 1,
    }
    for id in LARGE:
        _submit(clients, id, large)
    deadline = record.now() + (KILLED_WITHIN_S if harness.has_trouble() else 15.0)
    while len(platform.kills) < KILLS and record.now() < deadline:
        time.sleep(0.2)
    accepted = [id for id in OTHERS if _submit(clients, id, OTHER)]
    since = record.now()
    while record.now() < since + WATCH_FOR_S and not (set(accepted) <= _begun(runners)):
        time.sleep(0.2)
    idle = [id for id in accepted if id not in _begun(runners)]
    record.write("at the end", kills=platform.kills, accepted=accepted, idle=idle)
    platform.stop()
    for found in runners:
        found.stop()
    if harness.has_trouble() and not platform.kills:
        raise harness.CannotRun("no entry exceeded its memory")
    return [
        f"{id} was accepted at {since:.1f} s, has not begun at {record.now():.1f} s; "
        f"entries exceeded {MEMORY_MB} MB {len(platform.kills)} times"
        for id in idle
    ]


def _submit(clients, id, job):
    """Return whether the submission was accepted; it is sent again for 15 s."""
    for attempt in range(30):
        if clients[attempt % len(clients)].call("POST", id, job)[0] == 200:
            return True
        time.sleep(0.5)
    raise harness.CannotRun(f"submission {id} was not accepted")


def _begun(runners):
    started = (task for found in runners for task, _ in list(found.life.started))
    return {task.split(".")[0] for task in started}


if __name__ == "__main__":
    harness.run(pathlib.Path(__file__).parent, play)
