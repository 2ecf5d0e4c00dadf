"""Failure domains that operators have evacuated: no run starts on their hosts."""

import abc
import collections.abc as cabc
import threading
import typing as t

from bilberrypass import clock, errors, supervision
from bilberrypass.observing import decisions
from bilberrypass.scheduling import hosts, keyvalue, leader_gauges, state

_READ_TIMEOUT_S: t.Final = 1.0
_WATCH_TIMEOUT_S: t.Final = 0.7
_READ_INTERVAL_S: t.Final = 1.4  # a watch may miss changes without an error
_RETRY_DELAY_S: t.Final = 0.15
# Starts wait when the evacuations are not known to be this recent. With the time of a
# start, an evacuation is in force well within the time that operators allow.
_MAX_AGE_S: t.Final = 2.7
# A run that was ordered before the evacuation was seen is reported as started within
# two reports of its agent. A later start would come too late.
_START_TIMEOUT_S: t.Final = 1.0

_evacuated = leader_gauges.create(
    "bilberrypass_evacuated_domains", "Failure domains that are evacuated"
)


class Evacuations(abc.ABC):
    """Knows which failure domains are evacuated."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start to follow the evacuations."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop following the evacuations."""

    @abc.abstractmethod
    def is_evacuated(self, domain: str) -> bool:
        """Return whether operators want nothing to start in a failure domain."""

    @abc.abstractmethod
    def is_behind(self, now: float) -> bool:
        """Return whether an evacuation may have been requested too long ago, unseen."""


@t.final
class NoEvacuations(Evacuations):
    """For deployments whose operators evacuate no failure domains."""

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def is_evacuated(self, domain: str) -> bool:
        """Return False."""
        return False

    def is_behind(self, now: float) -> bool:
        """Return False."""
        return False


NONE: t.Final = NoEvacuations()


@t.final
class StoredEvacuations(Evacuations):
    """Follows the keys of the store that name the evacuated failure domains.

    Parameters
    ----------
    store : keyvalue.Store
        Store in which operators create and remove the keys.
    prefix : str
        Prefix of the keys; the rest of a key is the name of the failure domain.
    """

    def __init__(self, store: keyvalue.Store, prefix: str) -> None:
        self._store = store
        self._prefix = prefix
        self._domains: frozenset[str] = frozenset()
        self._read_until = 0.0  # all changes before this time, on clock.now, are known
        self._store_state = decisions.Dependency("evacuations.store")
        self._stopping = threading.Event()
        self._thread = supervision.SupervisedThread(
            "evacuations", self._run, self._stopping
        )

    def start(self) -> None:
        """Start the thread that reads and watches the keys."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after the call to the store in progress."""
        self._stopping.set()

    def is_evacuated(self, domain: str) -> bool:
        """Return whether the store names a failure domain as evacuated."""
        return domain in self._domains

    def is_behind(self, now: float) -> bool:
        """Return whether the keys have not been read recently."""
        return now - self._read_until > _MAX_AGE_S

    def _run(self) -> None:
        while not self._stopping.is_set():
            sent_at = clock.now()
            try:
                listing = self._store.list(self._prefix, sent_at + _READ_TIMEOUT_S)
                self._set({item.key for item in listing.items}, sent_at)
                self._store_state.worked()
                self._watch(listing.revision, sent_at + _READ_INTERVAL_S)
            except errors.Error as exc:
                self._store_state.failed(exc)
                self._stopping.wait(_RETRY_DELAY_S)

    def _watch(self, revision: int, until: float) -> None:
        """Apply changes until the keys have to be read again."""
        while not self._stopping.is_set() and (sent_at := clock.now()) < until:
            try:
                batch = self._store.watch(self._prefix, revision, _WATCH_TIMEOUT_S)
            except keyvalue.HistoryLost:
                return
            revision = max(revision, batch.revision)
            keys = {self._prefix + domain for domain in self._domains}
            for change in batch.changes:
                if change.value is None:
                    keys.discard(change.key)
                else:
                    keys.add(change.key)
            self._set(keys, sent_at)

    def _set(self, keys: cabc.Set[str], read_at: float) -> None:
        if self._stopping.is_set():
            return
        before = self._domains
        self._domains = frozenset(key.removeprefix(self._prefix) for key in keys)
        self._read_until = max(self._read_until, read_at)
        _evacuated.set(len(self._domains))
        for domain in sorted(self._domains - before):
            decisions.record("domain.evacuated", domain=domain)
        for domain in sorted(before - self._domains):
            decisions.record("domain.returned", domain=domain)


Stop = cabc.Callable[[hosts.Host, state.Task], None]


def stop_late_starts(
    evacuations: Evacuations, fleet: cabc.Iterable[hosts.Host], stop: Stop
) -> None:
    """Stop the runs on evacuated hosts that were ordered and have not started in time.

    Handles orders that are held up on their way while a failure domain is evacuated.
    Runs that have started go on: only new ones are unwanted there.

    Parameters
    ----------
    evacuations : Evacuations
        The failure domains that are evacuated.
    fleet : iterable of hosts.Host
        All hosts.
    stop : callable
        Orders the stop of a run on a host.
    """
    for host in fleet:
        if not evacuations.is_evacuated(host.zone):
            continue
        for task in list(host.tasks.values()):
            # A report later than that lacks the run, or shows that it has not started.
            is_late = host.reported_at - task.started_at > _START_TIMEOUT_S
            if task.phase is state.Phase.ORDERED and task.is_stored and is_late:
                decisions.record(
                    "start.late", task=str(task.key), run=task.run, host=host.name
                )
                stop(host, task)
