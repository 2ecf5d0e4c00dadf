"""The elected entry is stopped as planned while jobs wait; the other takes over."""

import concurrent.futures
import pathlib
import signal
import sys
import time

_HERE = pathlib.Path(__file__).parent
sys.path.insert(0, str(_HERE.parent / "standins2"))

import world  # noqa: E402

_WAITING = 1_000
_SPEC_BYTES = 3_500
_VISIBLE_S = 3.0 + 2.0
_WATCH_S = 12.0
_POLL_INTERVAL_S = 0.015
_SENDERS = 8


def play(found):
    """Return why the rule is broken, or an empty string."""
    leader = _find_leader(found)
    other = next(entry for entry in found.entries if entry is not leader)
    if leader.submit("00000000000000aa", {"cpu": 60_000}, cpu=60_000, count=2) != 200:
        raise RuntimeError("the first job was not accepted")
    if not world.wait_until(lambda: len(found.events("start")) >= 3, 8.0):
        raise RuntimeError("the first job is not at work")
    filling = {"cpu": 10_000, "work_ms": 1_000, "text": "x" * _SPEC_BYTES}
    ids = [f"{0xBA000 + number:016x}" for number in range(_WAITING)]
    with concurrent.futures.ThreadPoolExecutor(_SENDERS) as pool:
        answers = list(pool.map(lambda id: other.submit(id, filling, cpu=10_000), ids))
    if answers.count(200) != _WAITING:
        raise RuntimeError(f"only {answers.count(200)} jobs were accepted")
    time.sleep(_VISIBLE_S + 1.0)
    status, content = other.call("GET", world.PREFIX)
    if status != 200 or content["waiting"] != _WAITING:
        raise RuntimeError(f"before the disruption: {status} {content}")
    if world.has_trouble():
        leader.signal(signal.SIGTERM)
    until = time.monotonic() + _WATCH_S
    while time.monotonic() < until:
        status, content = other.call("GET", world.PREFIX)
        if status == 200 and 2 * content["waiting"] < _WAITING:
            begun = [f for _, _, f in found.events("start") if f["task"][:16] in ids]
            if not begun:
                return (
                    f"MIXED: {content['waiting']} given as waiting of {_WAITING}, "
                    "none of which has begun"
                )
        time.sleep(_POLL_INTERVAL_S)
    return ""


def _find_leader(found):
    won = world.wait_until(lambda: found.logged("election.won"), 5.0)
    return next(entry for entry in found.entries if f'"{entry.name}"' in won[-1])


if __name__ == "__main__":
    world.main(play, _HERE, entries=2, hosts=2)
