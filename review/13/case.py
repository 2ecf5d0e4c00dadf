"""Case: lasting tasks of a machine that is lost as all entries are killed.

All entries are killed at once and start again after half a second. In the same moment
one machine of three is removed for good, with its runner. Its lasting tasks have room
twice over on the two others.
"""

import pathlib
import time

from review.standins3 import harness, runner

ID = "00000000000000aa"
COUNT = 6
STEP = {
    "count": COUNT,
    "cpu": 4_000,
    "task_memory_mb": 64,
    "long_running": True,
    "image": "watch",
    "anti_affinity": 3,
}
RESTART_AFTER_S = 0.5
AFTER_LAST_RUN_S = 6.0  # LOST: from 6 s after its last run
IDLE_S, CALM_S = 3.0, 4.0  # LOST: the 3 s, and the 4 s before them
WATCH_FOR_S = 20.0
SAMPLE_S = 0.05


def play(record):
    with harness.Deployment(record, entries=3, agents=3) as deployment:
        return _play(record, deployment)


def _play(record, deployment):
    runners = [
        runner.Runner(record, f"i-{number}", agent.control, lambda task: None)
        for number, agent in enumerate(deployment.agents)
    ]
    time.sleep(2.0)
    client = harness.Client(deployment, deployment.entries[0])
    job = {"specification": "watch", "steps": [STEP]}
    status, _ = client.call("POST", ID, job)
    if status != 200:
        raise harness.CannotRun(f"the submission was answered {status}")
    harness.await_true(
        lambda: len(_running(runners)) == COUNT, 10, "all lasting tasks at work"
    )
    time.sleep(5.0)
    lost = max(runners, key=lambda found: len(found.running))
    lost_at = record.now()
    calm_from = lost_at
    if harness.has_trouble():
        lost_at, calm_from = _strike(record, deployment, runners.index(lost), lost)
    last_seen = dict.fromkeys(_running(runners), lost_at)
    tasks = {f"{ID}.0.0.{number}" for number in range(COUNT)}
    for task in tasks - last_seen.keys():
        last_seen[task] = lost_at
    broken = {}
    while record.now() < lost_at + WATCH_FOR_S:
        now = record.now()
        for task in _running(runners):
            last_seen[task] = now
        for task, at in last_seen.items():
            idle_from = max(at + AFTER_LAST_RUN_S, calm_from + CALM_S)
            if now > idle_from + IDLE_S and task not in broken:
                broken[task] = (
                    f"{task} has not run since {at:.2f} s, at {now:.2f} s; calm since "
                    f"{calm_from:.2f} s"
                )
                record.write("idle", detail=broken[task])
        time.sleep(SAMPLE_S)
    for found in runners:
        found.stop()
    return list(broken.values())


def _strike(record, deployment, number, lost):
    """Kill all entries, and a machine with its runner; return when, and the end."""
    record.write("strike", machine=deployment.agents[number].name)
    for program in (*deployment.entries, deployment.agents[number]):
        program.process.kill()
    lost.crash()
    lost_at = record.now()
    for program in (*deployment.entries, deployment.agents[number]):
        program.process.wait()
    time.sleep(RESTART_AFTER_S)
    for entry in deployment.entries:
        entry.start()
    harness.await_true(
        lambda: all(entry.is_ready() for entry in deployment.entries), 5, "the entries"
    )
    calm_from = record.now()
    record.write("entries ready")
    return lost_at, calm_from


def _running(runners):
    return {task for found in runners for task, _ in found.running}


if __name__ == "__main__":
    harness.run(pathlib.Path(__file__).parent, play)
