"""Stand-in for the platform's store: transactions, leases, watches and faults."""

import threading
import typing as t

from bilberrypass import clock, errors
from bilberrypass.scheduling import keyvalue


class _Lease(t.NamedTuple):
    ttl_s: float
    deadline: float


class Store(keyvalue.Store):
    """A linearizable store in memory.

    While ``is_down`` is set, every call fails. ``lose_answers`` is the number of
    coming commits that take effect but get no answer. ``hold_commits`` is the number
    of coming commits that get no answer and are kept in ``held_commits``;
    ``apply_held_commits`` applies those whose preconditions still hold.
    ``max_bytes`` limits the values of keys by their prefix, as ``max_value_bytes`` does
    those of all.
    """

    def __init__(self):
        self._lock = threading.Condition()
        self.items: dict[str, keyvalue.Item] = {}
        self._lease_by_key: dict[str, int] = {}
        self._leases: dict[int, _Lease] = {}
        self._history: list[keyvalue.Change] = []
        self._oldest = 0
        self.revision = 100
        self.is_down = False
        self.lose_answers = 0
        self.hold_commits = 0
        self.held_commits: list[tuple] = []
        self.max_bytes: dict[str, int] = {}
        self.calls: list[str] = []

    def _begin_call(self, name):
        self.calls.append(name)
        if self.is_down:
            raise errors.Error(errors.Kind.STORE_DOWN, "the store is down")
        now = clock.now()
        for id, lease in list(self._leases.items()):
            if now > lease.deadline:
                self._end_lease(id)

    def _end_lease(self, id):
        del self._leases[id]
        for key, lease in list(self._lease_by_key.items()):
            if lease == id:
                self._change(key, None)

    def _change(self, key, value, lease=0, revision=None):
        # All writes of one transaction get the same revision.
        self.revision = self.revision + 1 if revision is None else revision
        self._lease_by_key.pop(key, None)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = keyvalue.Item(key, value, self.revision, lease)
            if lease:
                self._lease_by_key[key] = lease
        self._history.append(keyvalue.Change(key, value, self.revision))
        self._lock.notify_all()

    def put(self, key, value):
        """Write a key without precondition or lease, as the operator does."""
        with self._lock:
            self._change(key, value)

    def remove(self, key):
        """Remove a key, as the operator does."""
        with self._lock:
            self._change(key, None)

    def compact(self):
        """Discard all changes so far; a watch from before them raises HistoryLost."""
        with self._lock:
            self._oldest = self.revision
            self._history.clear()

    def get(self, key, deadline):
        with self._lock:
            self._begin_call("get")
            return keyvalue.Lookup(self.items.get(key), self.revision)

    def list(self, prefix, deadline):
        with self._lock:
            self._begin_call("list")
            found = [i for k, i in sorted(self.items.items()) if k.startswith(prefix)]
            return keyvalue.Listing(found, self.revision)

    def watch(self, prefix, after, wait_s):
        deadline = clock.now() + wait_s
        with self._lock:
            self._begin_call("watch")
            while True:
                if after < self._oldest:
                    raise keyvalue.HistoryLost(prefix)
                found = [
                    change
                    for change in self._history
                    if change.revision > after and change.key.startswith(prefix)
                ]
                remaining_s = deadline - clock.now()
                if found or remaining_s <= 0:
                    return keyvalue.WatchBatch(found, self.revision)
                self._lock.wait(remaining_s)

    def commit(self, expected, puts, deadline, removed=()):
        entries = len(expected) + len(puts) + len(removed)
        assert entries <= keyvalue.MAX_COMMIT_ENTRIES, f"{entries} entries"
        with self._lock:
            self._begin_call("commit")
            if self.hold_commits:
                self.hold_commits -= 1
                self.held_commits.append((expected, puts))
                raise errors.Error(
                    errors.Kind.STORE_UNCERTAIN, "commit held back: no answer"
                )
            revision = self._apply(expected, puts, removed)
            if self.lose_answers:
                self.lose_answers -= 1
                raise errors.Error(
                    errors.Kind.STORE_UNCERTAIN, "commit applied: answer lost"
                )
            return revision

    def apply_held_commits(self):
        """Apply the held commits in order; skip those whose preconditions fail."""
        with self._lock:
            for expected, puts in self.held_commits:
                try:
                    self._apply(expected, puts)
                except keyvalue.PreconditionFailed:
                    continue
            self.held_commits.clear()

    def _apply(self, expected, puts, removed=()):
        for key, revision in expected.items():
            item = self.items.get(key)
            if (item.revision if item else 0) != revision:
                found = [self.items[k] for k in expected if k in self.items]
                raise keyvalue.PreconditionFailed(found)
        for put in puts:
            if put.lease and put.lease not in self._leases:
                raise keyvalue.LeaseLost(put.lease)
            limits = [n for key, n in self.max_bytes.items() if put.key.startswith(key)]
            if len(put.value) > min([self.max_value_bytes, *limits]):
                raise keyvalue.Rejected(f"{put.key}: {len(put.value)} bytes")
        revision = self.revision + 1
        for put in puts:
            self._change(put.key, put.value, put.lease, revision)
        for key in removed:
            if key in self.items:
                self._change(key, None, 0, revision)
        return self.revision

    def grant(self, ttl_s, deadline):
        with self._lock:
            self._begin_call("grant")
            self.revision += 1
            id = self.revision
            self._leases[id] = _Lease(ttl_s, clock.now() + ttl_s)
            return keyvalue.Lease(id, ttl_s)

    def renew(self, lease, deadline):
        with self._lock:
            self._begin_call("renew")
            found = self._leases.get(lease)
            if found is None:
                raise keyvalue.LeaseLost(lease)
            self._leases[lease] = found._replace(deadline=clock.now() + found.ttl_s)

    def revoke(self, lease, deadline):
        with self._lock:
            self._begin_call("revoke")
            if lease in self._leases:
                self._end_lease(lease)

    def revoke_all_leases(self):
        """Revoke all leases and delete their keys, as the platform may at any time."""
        with self._lock:
            for id in list(self._leases):
                self._end_lease(id)

    def revoke_lease_of(self, key):
        """Revoke the lease of a key, if it has one, and delete all of its keys."""
        with self._lock:
            if key in self._lease_by_key:
                self._end_lease(self._lease_by_key[key])


class StoreProxy(keyvalue.Store):
    """One host's connection to a store that other hosts can still reach.

    While ``is_cut`` is set, every call fails; while ``drops_commits`` is set, commits
    are discarded and get no answer.
    """

    def __init__(self, store):
        self._store = store
        self.is_cut = False
        self.drops_commits = False

    def _forward(self, name, *args):
        if self.is_cut:
            raise errors.Error(
                errors.Kind.STORE_DOWN, "the connection to the store is cut"
            )
        if self.drops_commits and name == "commit":
            raise errors.Error(errors.Kind.STORE_UNCERTAIN, "commit dropped: no answer")
        return getattr(self._store, name)(*args)

    def get(self, key, deadline):
        return self._forward("get", key, deadline)

    def list(self, prefix, deadline):
        return self._forward("list", prefix, deadline)

    def watch(self, prefix, after, wait_s):
        return self._forward("watch", prefix, after, wait_s)

    def commit(self, expected, puts, deadline, removed=()):
        return self._forward("commit", expected, puts, deadline, removed)

    def grant(self, ttl_s, deadline):
        return self._forward("grant", ttl_s, deadline)

    def renew(self, lease, deadline):
        return self._forward("renew", lease, deadline)

    def revoke(self, lease, deadline):
        return self._forward("revoke", lease, deadline)
