"""A task that lasts ends ``done``; it has to be started again."""

import pathlib
import sys
import time

_HERE = pathlib.Path(__file__).parent
sys.path.insert(0, str(_HERE.parent / "standins2"))

import world  # noqa: E402

_JOB = "00000000000000a8"
_AFTER_LAST_RUN_S = 6.0
_IDLE_S = 3.0
_RUN_MS = 3_000


def play(found):
    """Return why the rule is broken, or an empty string."""
    entry = found.entries[0]
    spec = {"cpu": 1_000}
    if world.has_trouble():
        spec |= {"work_ms": _RUN_MS, "ends": ["done"]}
    body = {"cpu": 1_000, "long_running": True, "image": "watch", "estimated_ms": 320}
    if entry.submit(_JOB, spec, **body) != 200:
        raise RuntimeError("the job was not accepted")
    if not world.wait_until(lambda: _of_job(found, "start"), 10.0):
        raise RuntimeError("the task did not start")
    until = time.monotonic() + _RUN_MS / 1_000 + _AFTER_LAST_RUN_S + _IDLE_S + 1.0
    while time.monotonic() < until:
        state = entry.state(_JOB)
        time.sleep(0.5)
    ends = _of_job(found, "end")
    if ends and len(_of_job(found, "start")) == 1:
        idle_s = time.monotonic() - ends[0][0]
        return (
            f"LOST: a task that lasts has had nothing running for {idle_s:.1f} s, and "
            f"its job is shown as {state}"
        )
    return ""


def _of_job(found, event):
    return [e for e in found.events(event) if e[2]["task"].startswith(_JOB)]


if __name__ == "__main__":
    world.main(play, _HERE, hosts=2)
