"""What the workers' stand-ins saw, held against the promises."""

import collections
import time

from testing import fixtures


def runs(workers):
    """Return all runs of all workers, each with its worker's number."""
    found = []
    for number, proc in enumerate(workers):
        judged = fixtures.http("GET", f"{proc.url()}/_judge").json()
        found += [run | {"worker": number} for run in judged["runs"]]
    return found


def check_capacity(workers):
    for proc in workers:
        judged = fixtures.http("GET", f"{proc.url()}/_judge").json()
        assert not judged["exceeded"], judged


def _by_task(found):
    tasks = collections.defaultdict(list)
    for run in found:
        task = run["task"]
        tasks[task["team"], task["job"], task["index"]].append(run)
    return tasks


def check_never_twice_at_once(found):
    """No task runs in two places at any moment, no attempt begins twice."""
    for task, own in _by_task(found).items():
        own.sort(key=lambda run: run["begin"])
        for run, following in zip(own, own[1:], strict=False):
            end = run["end"] if run["end"] is not None else time.time()
            assert end <= following["begin"], (task, run, following)
            assert run["attempt"] < following["attempt"], (task, run, following)


def check_finished_once(found, count):
    """As many tasks finished as there are, and each of them once."""
    done = [run for run in found if run["state"] == "finished"]
    per_task = _by_task(done)
    assert len(per_task) == count, f"{len(per_task)} of {count} tasks finished"
    for task, own in per_task.items():
        assert len(own) == 1, (task, own)


def check_all(workers, count):
    """Hold all runs against the promises; return them."""
    found = runs(workers)
    check_capacity(workers)
    check_never_twice_at_once(found)
    check_finished_once(found, count)
    return found


def check_resumed(found):
    """Each run goes on from the newest checkpoint of those before it."""
    for task, own in _by_task(found).items():
        own.sort(key=lambda run: run["begin"])
        known = ""
        for run in own:
            assert run["resumed_from"] == known, (task, own)
            known = run["checkpoint"]
