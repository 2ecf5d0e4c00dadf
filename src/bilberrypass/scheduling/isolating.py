"""The choice of a host for a task that may crash its runner."""

import collections.abc as abc

from bilberrypass import crash_limits
from bilberrypass.observing import decisions
from bilberrypass.scheduling import hosts, state


def choose_host(
    task: state.Task,
    usable: list[hosts.Host],
    choose: abc.Callable[[bool], hosts.Host | None],
    now: float,
) -> hosts.Host | None:
    """Return the host on which a suspect starts as far apart as it needs, or None.

    A host is held for a run that is to be alone if each that has room for it is too
    busy: other tasks that start again and again would keep it out for good.

    Parameters
    ----------
    task : state.Task
        The suspect.
    usable : list of hosts.Host
        The hosts to which runs may be sent.
    choose : callable
        Returns the best host, only among quiet ones or not.
    now : float
        Time on ``clock.now``.
    """
    isolation = task.isolation(now)
    if isolation is not crash_limits.Isolation.ALONE:
        return choose(True)
    taken = sum(host.is_reserved(now) or host.is_held(task, now) for host in usable)
    if taken >= crash_limits.max_reserved_hosts(len(usable)):
        return None
    found = choose(True)
    if found is None and not any(host.is_held_for(task, now) for host in usable):
        busy = choose(False)
        if busy is not None:
            busy.hold_for(task, now)
            decisions.record("host.held", host=busy.name, task=str(task.key))
    return found
