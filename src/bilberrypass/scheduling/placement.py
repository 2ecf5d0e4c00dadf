"""The choice of a host for a task."""

import collections.abc as abc
import typing as t

from bilberrypass.scheduling import hosts, jobs, state

_AVOIDED: t.Final = 1_000_000  # outweighs any processor count in thousandths
_FAR_FROM_DATA: t.Final = 100_000
_BESIDE_SERVICES: t.Final = 200_000


def choose(
    task: state.Task,
    service: str,
    candidates: abc.Iterable[hosts.Host],
    now: float,
) -> hosts.Host | None:
    """Return the host that suits a task best, or None if none can hold it.

    Answers the burst of fillers over long-lived services: fillers get the
    processors that others leave unused and stay away from services as long as
    other hosts have room; services share few hosts; the rest goes beside them.

    Parameters
    ----------
    task : state.Task
        A waiting task.
    service : str
        The service whose runners may run it.
    candidates : iterable of hosts.Host
        Usable hosts.
    now : float
        On ``clock.now``.
    """
    best, best_score = None, 0
    for host in candidates:
        if not _may_run(task, service, host) or not fits(task.step, host):
            continue
        score = _score(task.step, host, now)
        if best is None or score > best_score:
            best, best_score = host, score
    return best


def _may_run(task: state.Task, service: str, host: hosts.Host) -> bool:
    step, runner = task.step, host.runner
    if runner is None or runner.service != service:
        return False
    if step.required_label and step.required_label not in runner.labels:
        return False
    if step.max_per_host:
        held = host.step_counts.get(hosts.step_key(task.key), 0)
        return held < step.max_per_host
    return True


def fits(step: jobs.Step, host: hosts.Host) -> bool:
    """Tell whether a host has room for one more task of a step."""
    runner = host.runner
    assert runner is not None
    if host.used_memory + step.memory_mb > runner.memory_mb:
        return False
    if host.used_gpus + step.gpus > runner.gpus:
        return False
    left = runner.cpu_milli - host.used_cpu - step.cpu_milli
    if step.is_filler:
        # A filler beyond what is left over would only slow the others down.
        return left - host.filler_cpu >= 0 or not host.filler_cpu
    return left >= 0


def _score(step: jobs.Step, host: hosts.Host, now: float) -> int:
    assert host.runner is not None
    left = host.runner.cpu_milli - host.used_cpu - host.filler_cpu
    score = left
    if now < host.avoid_until:
        score -= _AVOIDED
    if step.data_rack and step.data_rack not in host.runner.labels:
        score -= _FAR_FROM_DATA
    if step.is_filler and host.services:
        score -= _BESIDE_SERVICES
    elif step.is_service:
        score += _BESIDE_SERVICES * bool(host.services) - host.filler_cpu
    return score
