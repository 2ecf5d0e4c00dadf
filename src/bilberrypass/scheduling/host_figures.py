"""Updates the interference estimates from the figures that a host reports."""

from bilberrypass.scheduling import hosts, interference, jobs, state


def update_estimates(host: hosts.Host, estimates: interference.Estimates) -> None:
    """Update the estimates and the trends of services from a host's latest report."""
    services: dict[str, tuple[str, float]] = {}
    cores: dict[str, float] = {}
    trends: list[state.Task] = []
    for task in host.tasks.values():
        step = task.step
        if step.latency_target_ms and task.figure:
            services[str(task.key)] = step.image, float(task.figure)
            trends.append(task)
        elif step.is_filler:
            used = task.figure / jobs.MILLI_PER_CORE
            cores[step.image] = cores.get(step.image, 0.0) + used
    for task in trends:
        rise = sum(estimates.per_core(task.step.image, f) * x for f, x in cores.items())
        task.trend.observe(host.reported_at, task.figure, rise)
    if services:
        sample = interference.Sample(host.reported_at, services, cores)
        host.sample = interference.update_from_samples(estimates, host.sample, sample)
