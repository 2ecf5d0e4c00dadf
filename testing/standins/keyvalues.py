"""A stand-in for the platform's store: transactions, leases, watches, faults."""

import threading
import typing as t

from bilberrypass import clock, errors
from bilberrypass.scheduling import keyvalue


class _Lease(t.NamedTuple):
    ttl_s: float
    deadline: float


class Store(keyvalue.Store):
    """A linearizable store in memory.

    ``is_down`` refuses every call. ``lose_answers`` is the number of commits that
    take effect without an answer; ``held`` keeps commits back that take effect
    when ``release`` is called, if their preconditions still hold.
    """

    def __init__(self):
        self._lock = threading.Condition()
        self.items: dict[str, keyvalue.Item] = {}
        self._attached: dict[str, int] = {}
        self._leases: dict[int, _Lease] = {}
        self._history: list[keyvalue.Change] = []
        self._oldest = 0
        self.revision = 100
        self.is_down = False
        self.lose_answers = 0
        self.hold_commits = 0
        self.held: list[tuple] = []
        self.calls: list[str] = []

    def _enter(self, name):
        self.calls.append(name)
        if self.is_down:
            raise errors.Error(errors.Kind.STORE_DOWN, "the store is down")
        now = clock.now()
        for id, lease in list(self._leases.items()):
            if now > lease.deadline:
                self._end_lease(id)

    def _end_lease(self, id):
        del self._leases[id]
        for key, lease in list(self._attached.items()):
            if lease == id:
                self._change(key, None)

    def _change(self, key, value, lease=0, revision=None):
        # The writes of one transaction share a revision.
        self.revision = self.revision + 1 if revision is None else revision
        self._attached.pop(key, None)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = keyvalue.Item(key, value, self.revision)
            if lease:
                self._attached[key] = lease
        self._history.append(keyvalue.Change(key, value, self.revision))
        self._lock.notify_all()

    def put(self, key, value):
        """Write as the operator does."""
        with self._lock:
            self._change(key, value)

    def drop_history(self):
        """Forget all changes so far."""
        with self._lock:
            self._oldest = self.revision
            self._history.clear()

    def get(self, key, deadline):
        with self._lock:
            self._enter("get")
            return keyvalue.Lookup(self.items.get(key), self.revision)

    def list(self, prefix, deadline):
        with self._lock:
            self._enter("list")
            found = [i for k, i in sorted(self.items.items()) if k.startswith(prefix)]
            return keyvalue.Listing(found, self.revision)

    def watch(self, prefix, after, wait_s):
        deadline = clock.now() + wait_s
        with self._lock:
            self._enter("watch")
            while True:
                if after < self._oldest:
                    raise keyvalue.HistoryLost(prefix)
                found = [
                    change
                    for change in self._history
                    if change.revision > after and change.key.startswith(prefix)
                ]
                left_s = deadline - clock.now()
                if found or left_s <= 0:
                    return keyvalue.WatchBatch(found, self.revision)
                self._lock.wait(left_s)

    def commit(self, expected, puts, deadline, removed=()):
        entries = len(expected) + len(puts) + len(removed)
        assert entries <= keyvalue.MAX_COMMIT_ENTRIES, f"{entries} entries"
        with self._lock:
            self._enter("commit")
            if self.hold_commits:
                self.hold_commits -= 1
                self.held.append((expected, puts))
                raise errors.Error(errors.Kind.STORE_UNCERTAIN, "no answer")
            revision = self._apply(expected, puts, removed)
            if self.lose_answers:
                self.lose_answers -= 1
                raise errors.Error(errors.Kind.STORE_UNCERTAIN, "the answer was lost")
            return revision

    def release(self):
        """Let the commits take effect that were kept back."""
        with self._lock:
            for expected, puts in self.held:
                try:
                    self._apply(expected, puts)
                except keyvalue.PreconditionFailed:
                    continue
            self.held.clear()

    def _apply(self, expected, puts, removed=()):
        for key, revision in expected.items():
            item = self.items.get(key)
            if (item.revision if item else 0) != revision:
                found = [self.items[k] for k in expected if k in self.items]
                raise keyvalue.PreconditionFailed(found)
        for put in puts:
            if put.lease and put.lease not in self._leases:
                raise keyvalue.LeaseLost(put.lease)
        revision = self.revision + 1
        for put in puts:
            self._change(put.key, put.value, put.lease, revision)
        for key in removed:
            if key in self.items:
                self._change(key, None, 0, revision)
        return self.revision

    def grant(self, ttl_s, deadline):
        with self._lock:
            self._enter("grant")
            self.revision += 1
            id = self.revision
            self._leases[id] = _Lease(ttl_s, clock.now() + ttl_s)
            return keyvalue.Lease(id, ttl_s)

    def renew(self, lease, deadline):
        with self._lock:
            self._enter("renew")
            found = self._leases.get(lease)
            if found is None:
                raise keyvalue.LeaseLost(lease)
            self._leases[lease] = found._replace(deadline=clock.now() + found.ttl_s)

    def revoke(self, lease, deadline):
        with self._lock:
            self._enter("revoke")
            if lease in self._leases:
                self._end_lease(lease)

    def revoke_all(self):
        """Take the keys of all leases away, as the platform may at any moment."""
        with self._lock:
            for id in list(self._leases):
                self._end_lease(id)


class Way(keyvalue.Store):
    """One host's way to a store that others reach.

    ``is_cut`` lets nothing through; ``drops_commits`` swallows commits
    without an answer.
    """

    def __init__(self, store):
        self._store = store
        self.is_cut = False
        self.drops_commits = False

    def _pass(self, name, *args):
        if self.is_cut:
            raise errors.Error(errors.Kind.STORE_DOWN, "cut off")
        if self.drops_commits and name == "commit":
            raise errors.Error(errors.Kind.STORE_UNCERTAIN, "no answer")
        return getattr(self._store, name)(*args)

    def get(self, key, deadline):
        return self._pass("get", key, deadline)

    def list(self, prefix, deadline):
        return self._pass("list", prefix, deadline)

    def watch(self, prefix, after, wait_s):
        return self._pass("watch", prefix, after, wait_s)

    def commit(self, expected, puts, deadline, removed=()):
        return self._pass("commit", expected, puts, deadline, removed)

    def grant(self, ttl_s, deadline):
        return self._pass("grant", ttl_s, deadline)

    def renew(self, lease, deadline):
        return self._pass("renew", lease, deadline)

    def revoke(self, lease, deadline):
        return self._pass("revoke", lease, deadline)
