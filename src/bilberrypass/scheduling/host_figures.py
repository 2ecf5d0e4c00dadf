"""Updates the interference estimates from the figures that a host reports."""

import math

from bilberrypass.scheduling import hosts, interference, jobs, state


def update_estimates(host: hosts.Host, estimates: interference.Estimates) -> None:
    """Update the estimates and the loads of services from a host's latest report."""
    if not host.service_count or host.runner is None:
        host.filler_shares = {}
        return
    now, cores = host.reported_at, max(1, host.runner.cpu_milli)
    shares: dict[str, float] = {}  # in use
    recent = dict(host.filler_shares)  # in use now, lately or from now on
    services: list[state.Task] = []
    for task in host.tasks.values():
        step = task.step
        if step.latency_target_ms and task.figure:
            services.append(task)
        elif step.is_filler and task.figure:
            shares[step.image] = shares.get(step.image, 0.0) + task.figure / cores
        elif step.is_filler and task.phase is state.Phase.RUNNING and task.pace:
            recent[step.image] = recent.get(step.image, 0.0) + step.cpu_milli / cores
    for image, share in shares.items():
        recent[image] = max(recent.get(image, 0.0), share)
    host.filler_shares = shares
    for task in services:
        image, margin = task.step.image, task.step.latency_target_ms / task.figure
        load = estimates.loads.of(jobs.step_key(task.key))
        lost = estimates.lost_margin(image, shares)
        load.observe(now, margin, lost, estimates.lost_margin(image, recent))
        if recent:
            load.forecast(now)  # for the host's agent
        if shares:
            own = load.measure(now)
            sd = 1.0 / math.sqrt(own.weight)
            estimates.observe_margin(image, own.margin, margin, shares, sd)
    estimates.loads.forget_idle(now)
