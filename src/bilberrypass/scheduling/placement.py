"""The choice of a host for a task."""

import collections.abc as abc
import math
import typing as t

from bilberrypass.scheduling import hosts, interference, jobs, state

_AVOIDED: t.Final = 1_000_000  # outweighs any processor count in thousandths
_FAR_FROM_DATA: t.Final = 100_000
_BESIDE_SERVICES: t.Final = 200_000
_SAME_IMAGE: t.Final = 50_000
_PRESSURE_WEIGHT: t.Final = 20_000  # a service at its target weighs 20 cores
_RISE_WEIGHT: t.Final = 100_000  # a tenth more latency weighs 10 cores
_PERCENT: t.Final = 100.0
_UNMEASURED: t.Final = 0.5  # of its target, for a service without a figure yet
_AHEAD_S: t.Final = 3.0  # about a filler's time to its next move
_PRESSURE_LIMIT: t.Final = 0.82  # of a service's latency target
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
    is_starved: bool = False,
) -> hosts.Host | None:
    """Return the host that suits a task best, or None if none can hold it.

    Answers the burst of fillers over long-lived services: fillers get the
    processors that others leave unused, where they disturb least; services of one
    image share hosts, so that their neighbours can be chosen well.

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
    is_starved : bool
        Whether a filler may go where it presses services; the host's agent slows
        it down as far as they need.
    """
    best, best_score = None, 0
    step = task.step
    for host in candidates:
        if not _may_run(task, service, host) or not fits(step, host, is_starved):
            continue
        score = _score(step, host, now)
        if host.name == task.avoided_host:
            score -= _AVOIDED
        if step.is_filler and host.services:
            effect = expect(step, host, estimates)
            if effect.pressure > _PRESSURE_LIMIT and not is_starved:
                continue
            score -= int(effect.rise * _RISE_WEIGHT)
            score -= int(effect.pressure * _PRESSURE_WEIGHT)
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


def fits(step: jobs.Step, host: hosts.Host, is_starved: bool = False) -> bool:
    """Tell whether a host has room for one more task of a step."""
    runner = host.runner
    assert runner is not None
    if host.used_memory + step.memory_mb > runner.memory_mb:
        return False
    if host.used_gpus + step.gpus > runner.gpus:
        return False
    if step.is_filler:
        # A filler beyond what is left over would only slow the others down.
        is_spare = not host.filler_cpu or spare_cpu(host) >= step.cpu_milli
        return is_spare or is_starved
    return host.used_cpu + step.cpu_milli <= runner.cpu_milli


def spare_cpu(host: hosts.Host) -> int:
    """Return the processors that nobody is expected to use, in thousandths.

    Services reserve for their peaks, which do not come together.
    """
    assert host.runner is not None
    idle = int(host.service_cpu * (1.0 - _SERVICE_USE))
    return host.runner.cpu_milli - host.used_cpu + idle - host.filler_cpu


class Effect(t.NamedTuple):
    """What one more filler would do to the services of a host.

    ``pressure`` is the worst latency by its target once all fillers there work at
    full speed, ``rise`` the largest rise of a latency's logarithm by the new one.
    """

    pressure: float
    rise: float


def expect(
    step: jobs.Step, host: hosts.Host, estimates: interference.Estimates
) -> Effect:
    """Return what a filler is expected to do to the services of a host."""
    cores = step.cpu_milli / _MILLI
    slowed = _slowed_cores(host)
    pressure = most = 0.0
    for task in host.tasks.values():
        target_ms, image = task.step.latency_target_ms, task.step.image
        if not target_ms:
            continue
        rise = estimates.per_core(image, step.image) * cores
        later = sum(estimates.per_core(image, f) * x for f, x in slowed.items())
        most = max(most, rise)
        later += task.trend.ahead(_AHEAD_S)
        share = task.figure / target_ms if task.figure else _UNMEASURED
        pressure = max(pressure, share * math.exp(rise + later))
    return Effect(pressure, most)


def _slowed_cores(host: hosts.Host) -> dict[str, float]:
    """Return by image the cores that fillers would use beyond their newest figure."""
    found: dict[str, float] = {}
    for task in host.tasks.values():
        if not task.step.is_filler:
            continue
        unused = task.step.cpu_milli * (1.0 - task.pace / _PERCENT)
        if not task.figure:
            unused = task.step.cpu_milli  # too new to be in the services' figures
        image = task.step.image
        found[image] = found.get(image, 0.0) + unused / _MILLI
    return found


def _score(step: jobs.Step, host: hosts.Host, now: float) -> int:
    assert host.runner is not None
    score = spare_cpu(host)
    if now < host.avoid_until:
        score -= _AVOIDED
    if step.data_rack and step.data_rack not in host.runner.labels:
        score -= _FAR_FROM_DATA
    if step.is_service:
        same = sum(task.step.image == step.image for task in host.tasks.values())
        score += _SAME_IMAGE * same + _BESIDE_SERVICES * bool(host.services)
        score -= host.filler_cpu
    return score
