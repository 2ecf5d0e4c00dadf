"""Removes one guard from a program, to show that the soak test detects it."""

import collections.abc as abc
import typing as t

from bilberrypass.hosting import agent
from bilberrypass.platform import store
from bilberrypass.scheduling import (
    crash_counting,
    election,
    evacuations,
    hosts,
    reconciling,
)


def _remove_precondition() -> None:
    """Let a scheduler write after it has lost the election."""
    commit = store.Store.commit

    def commit_without_precondition(
        self: store.Store, expected: dict[str, int], *args: t.Any, **kwargs: t.Any
    ) -> int:
        remaining = {} if expected.get(election.KEY) else expected
        return commit(self, remaining, *args, **kwargs)

    store.Store.commit = commit_without_precondition


def _remove_lease_wait() -> None:
    """Treat the lease of a host as expired 0.3 s after its last report."""

    def lease_end(self: hosts.Host) -> float:
        return self.reported_at + 0.3

    hosts.Host.granted_until = property(lease_end, lambda self, value: None)


def _acknowledge_early() -> None:
    """Acknowledge an end before it is stored."""

    def record_unstored_end(self: hosts.Host, number: int) -> None:
        self.noted = max(self.noted, number)

    hosts.Host.record_unstored_end = record_unstored_end


def _keep_cancelled_runs() -> None:
    """Stop no run of a job that is cancelled while its tasks run."""
    reconciling.Reconciler.stop_job = lambda self, job: None


def _ignore_crashes() -> None:
    """Count no crash of a runner against a task."""
    crash_counting.CrashCounter.count = lambda self, host, report: []


def _keep_first_capacity() -> None:
    """Keep the capacity that a life of the runner reported first."""
    update_info = agent.Agent._update_info

    def update_other_info(self: agent.Agent, current: t.Any, info: t.Any) -> None:
        first = current.info
        kept = info._replace(
            cpu_milli=first.cpu_milli, memory_mb=first.memory_mb, gpus=first.gpus
        )
        update_info(self, current, kept)

    agent.Agent._update_info = update_other_info


def _ignore_evacuations() -> None:
    """Start runs in evacuated failure domains, too."""
    evacuations.StoredEvacuations.is_evacuated = lambda self, domain: False


_MUTATIONS: t.Final[dict[str, abc.Callable[[], None]]] = {
    "no-precondition": _remove_precondition,
    "no-lease-wait": _remove_lease_wait,
    "early-note": _acknowledge_early,
    "no-cancel-stop": _keep_cancelled_runs,
    "no-crash-count": _ignore_crashes,
    "first-capacity": _keep_first_capacity,
    "no-evacuation": _ignore_evacuations,
}
NAMES: t.Final = tuple(_MUTATIONS)


def apply(name: str) -> None:
    """Remove one guard from the modules of this process."""
    _MUTATIONS[name]()
