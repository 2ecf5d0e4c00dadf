"""The choice of a host for a task."""

import collections.abc as abc
import math
import typing as t

from bilberrypass.scheduling import hosts, interference, jobs, state

_AVOIDED: t.Final = 1_000_000  # outweighs any processor count in thousandths
_FAR_FROM_DATA: t.Final = 100_000
_BESIDE_SERVICES: t.Final = 200_000
_PRESSURE_WEIGHT: t.Final = 20_000  # a service at its target weighs 20 cores
_PRESSURE_LIMIT: t.Final = 0.85  # of a service's latency target
_MILLI: t.Final = 1_000
_SERVICE_USE: t.Final = (
    0.55  # share of its reservation that a service uses at most times
)


def choose(
    task: state.Task,
    service: str,
    candidates: abc.Iterable[hosts.Host],
    estimates: interference.Estimates,
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
    estimates : interference.Estimates
        Which images disturb each other.
    now : float
        On ``clock.now``.
    """
    best, best_score = None, 0
    for host in candidates:
        if not _may_run(task, service, host) or not fits(task.step, host):
            continue
        score = _score(task.step, host, now)
        if task.step.is_filler and host.services:
            pressure = expected_pressure(task.step, host, estimates)
            if pressure > _PRESSURE_LIMIT and host.filler_cpu:
                continue
            score -= int(pressure * _PRESSURE_WEIGHT)
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
    if step.is_filler:
        return has_spare(step, host)
    return host.used_cpu + step.cpu_milli <= runner.cpu_milli


def spare_cpu(host: hosts.Host) -> int:
    """Return the processors that nobody is expected to use, in thousandths.

    Services reserve for their peaks, which do not come together.
    """
    assert host.runner is not None
    idle = int(host.service_cpu * (1.0 - _SERVICE_USE))
    return host.runner.cpu_milli - host.used_cpu + idle - host.filler_cpu


def has_spare(step: jobs.Step, host: hosts.Host) -> bool:
    """Tell whether a filler would find processors that nobody uses."""
    if not host.filler_cpu:
        return True
    # A filler beyond what is left over would only slow the others down.
    return spare_cpu(host) >= step.cpu_milli and not host.is_paced


def expected_pressure(
    step: jobs.Step, host: hosts.Host, estimates: interference.Estimates
) -> float:
    """Return the worst latency by its target that a filler is expected to cause."""
    worst = 0.0
    cores = step.cpu_milli / _MILLI
    for task in host.tasks.values():
        target_ms = task.step.latency_target_ms
        if target_ms:
            rise = estimates.per_core(task.step.image, step.image) * cores
            worst = max(worst, task.figure / target_ms * math.exp(rise))
    return worst


def _score(step: jobs.Step, host: hosts.Host, now: float) -> int:
    assert host.runner is not None
    score = spare_cpu(host)
    if now < host.avoid_until:
        score -= _AVOIDED
    if step.data_rack and step.data_rack not in host.runner.labels:
        score -= _FAR_FROM_DATA
    if step.is_service:
        score += _BESIDE_SERVICES * bool(host.services) - host.filler_cpu
    return score
