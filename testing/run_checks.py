"""Checks of the runs that the stand-in workers recorded."""

import collections
import time

from testing import fixtures


def list_runs(workers):
    """Return the runs of all workers, each with the index of its worker."""
    runs = []
    for number, proc in enumerate(workers):
        record = fixtures.http("GET", f"{proc.url()}/_judge").json()
        runs += [run | {"worker": number} for run in record["runs"]]
    return runs


def check_capacity(workers):
    for proc in workers:
        record = fixtures.http("GET", f"{proc.url()}/_judge").json()
        assert not record["exceeded"], record


def _by_task(runs):
    tasks = collections.defaultdict(list)
    for run in runs:
        task = run["task"]
        tasks[task["team"], task["job"], task["index"]].append(run)
    return tasks


def check_never_twice_at_once(runs):
    """Raise if runs of a task overlap or their attempt numbers do not increase."""
    for task, own in _by_task(runs).items():
        own.sort(key=lambda run: run["begin"])
        for run, following in zip(own, own[1:], strict=False):
            end = run["end"] if run["end"] is not None else time.time()
            assert end <= following["begin"], (task, run, following)
            assert run["attempt"] < following["attempt"], (task, run, following)


def check_finished_once(runs, count):
    """Raise unless exactly ``count`` tasks finished, each of them once."""
    done = [run for run in runs if run["state"] == "finished"]
    per_task = _by_task(done)
    assert len(per_task) == count, f"{len(per_task)} of {count} tasks finished"
    for task, own in per_task.items():
        assert len(own) == 1, (task, own)


def check_runs(workers, count):
    """Check capacity, overlap and completion of all runs; return the runs."""
    runs = list_runs(workers)
    check_capacity(workers)
    check_never_twice_at_once(runs)
    check_finished_once(runs, count)
    return runs


def check_resumed(runs):
    """Raise unless each run resumed from the checkpoint of the run before it."""
    for task, own in _by_task(runs).items():
        own.sort(key=lambda run: run["begin"])
        known = ""
        for run in own:
            assert run["resumed_from"] == known, (task, own)
            known = run["checkpoint"]
