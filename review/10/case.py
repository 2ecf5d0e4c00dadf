"""A machine is removed and the elected entry is killed; a lasting task has to move."""

import pathlib
import signal
import sys
import time

_HERE = pathlib.Path(__file__).parent
sys.path.insert(0, str(_HERE.parent / "standins2"))

import world  # noqa: E402

_HOSTS = 6
_JOB = "00000000000000aa"
_AFTER_LAST_RUN_S = 6.0
_IDLE_S = 3.0
_WATCH_S = 20.0


def play(found):
    """Return why the rule is broken, or an empty string."""
    won = world.wait_until(lambda: found.logged("election.won"), 5.0)
    leader = next(entry for entry in found.entries if f'"{entry.name}"' in won[-1])
    other = next(entry for entry in found.entries if entry is not leader)
    accepted = other.submit(
        _JOB, {"cpu": 8_000}, count=2, cpu=8_000, anti_affinity=1, long_running=True
    )
    if accepted != 200:
        raise RuntimeError(f"the job was answered {accepted}")
    if not world.wait_until(lambda: len(_starts(found)) == 2, 8.0):
        raise RuntimeError("the tasks are not at work")
    world.wait_until(lambda: other.state(_JOB) == "running", 5.0)
    time.sleep(3.0)
    _, name, fields = _starts(found)[0]
    number = next(n for n, r in enumerate(found.runners) if r.name == name)
    lost_at = time.monotonic()
    if world.has_trouble():
        found.runners[number].crash()
        found.agents[number].signal(signal.SIGKILL)
        leader.signal(signal.SIGKILL)
    started_at = world.wait_until(
        lambda: [
            at
            for at, _, other_fields in _starts(found)
            if other_fields["task"] == fields["task"] and at > lost_at
        ],
        _WATCH_S,
    )
    if not world.has_trouble():
        return "LOST: the task was started again" if started_at else ""
    idle_s = (started_at[0] if started_at else time.monotonic()) - lost_at
    found.note("idle", task=fields["task"], seconds=round(idle_s, 2))
    if idle_s > _AFTER_LAST_RUN_S + _IDLE_S:
        return f"LOST: a task that lasts had nothing running for {idle_s:.1f} s"
    return ""


def _starts(found):
    return [e for e in found.events("start") if e[2]["task"].startswith(_JOB)]


if __name__ == "__main__":
    world.main(play, _HERE, entries=2, hosts=_HOSTS)
