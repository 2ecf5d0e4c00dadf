"""Changes of the configuration: accepted by compare-and-swap, and kept."""

import collections.abc as abc
import queue
import secrets
import threading
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.configuration import configuring
from bilberrypass.connection import store
from bilberrypass.membership import directory
from bilberrypass.version import configuration, schema

_log = logbook.Logger("revisions")

_CALL_S: t.Final = 5.0
_WRITE_S: t.Final = 3.5
_SETTLE_S: t.Final = 5.0
_RETRY_AFTER_S: t.Final = 2.0
_DRAIN_ATTEMPTS: t.Final = 10
_KEPT_REVISIONS: t.Final = 1_000
_MAX_ARCHIVE_QUEUE: t.Final = 100


class _Base(t.NamedTuple):
    """The revision that a change starts from, and the store's revision of it."""

    document: configuration.Document
    expected: int


class Drain(t.NamedTuple):
    """A host's drain as the configuration has it; None where it is not drained."""

    host: str
    drain: schema.Exemption | None
    revision: int


@t.final
class Revisions:
    """Accepts changes, and finds older revisions.

    Parameters
    ----------
    names : directory.Directory
        The store, and the newest value seen there.
    in_force : configuring.InForce
        What is in force at this entry.
    prefix : str
        First part of each key.
    """

    def __init__(
        self,
        names: directory.Directory,
        in_force: configuring.InForce,
        prefix: str,
    ) -> None:
        self._names = names
        self._in_force = in_force
        self._root = f"{prefix}config-history/"
        self._archive: queue.Queue[configuration.Document] = queue.Queue(
            _MAX_ARCHIVE_QUEUE
        )
        threading.Thread(target=self._run, name="config-history", daemon=True).start()

    def propose(
        self, value: object, revision: int, author: str, key: str = ""
    ) -> configuration.Document:
        """Replace a revision, and return the accepted one.

        Parameters
        ----------
        value : object
            The decoded JSON of a ``schema.Proposal``.
        revision : int
            The revision that the change was made from.
        author : str
            The name of the operator's token.
        key : str, optional
            The caller's name for this change, the same on each retry.

        Raises
        ------
        errors.Error
            INVALID_CONFIG, CONFLICT, STORE_DOWN, or STORE_UNCERTAIN if the
            outcome could not be found out in time.
        """
        base = self._base(revision)
        if key and _find_write(base.document, key) is not None:
            return base.document
        if base.document.revision != revision:
            raise _conflict(base.document, revision)
        proposal = configuration.check(value, base.document, configuration.today())
        write = key or secrets.token_hex(16)
        made = configuration.succeed(
            base.document, proposal, author, time.time(), write
        )
        if not configuration.diff(base.document, made):
            return base.document
        self._accept(made, base.expected)
        return made

    def _base(self, revision: int) -> _Base:
        """Return what stands in the store, read afresh if it is not as expected."""
        seen = self._names.config()
        seen_deadline = self._names.last_read_at + configuring.CURRENT_LIMIT_S
        if seen is not None and time.monotonic() < seen_deadline:
            found = configuration.decode(seen.value)
            if found.revision == revision >= self._in_force.revision:
                return _Base(found, seen.revision)
        item = self._names.kv.get(self._names.config_key, time.monotonic() + _CALL_S)
        found = configuration.decode(item.value) if item else configuration.FIRST
        expected = item.revision if item else store.ABSENT
        known = self._in_force.document
        # A store that was set back must not set the fleet back.
        if known.revision > found.revision:
            found = known
        if not found.is_whole:
            raise errors.Error(
                errors.Kind.NOT_READY,
                f"only parts of revision {found.revision} are known here; "
                "ask another entry, or again",
                retry_after_s=_RETRY_AFTER_S,
            )
        return _Base(found, expected)

    def _accept(self, made: configuration.Document, expected: int) -> None:
        try:
            swap = self._write(configuration.encode(made), expected)
        except errors.Error as exc:
            raise _explain(exc, made) from exc
        if not swap.done:
            self._check_superseded(made, swap.current)
        self._in_force.adopt(made)
        _log.info("revisions: {} accepted from {}", made.revision, made.author)
        try:
            self._archive.put_nowait(made)
        except queue.Full:
            _log.warning("revisions: {} not kept whole", made.revision)

    def _write(self, value: bytes, expected: int) -> store.Swap:
        """Write once, giving a slow store time; then find out what became of it."""
        kv, key = self._names.kv, self._names.config_key
        try:
            swap = kv.swap(key, value, expected, time.monotonic() + _WRITE_S)
        except errors.Error as exc:
            if exc.kind is not errors.Kind.STORE_UNCERTAIN:
                raise
            deadline = time.monotonic() + _SETTLE_S
            swap = store.swap_until_certain(kv, key, value, expected, deadline)
        return swap

    def _check_superseded(
        self, made: configuration.Document, item: store.Item | None
    ) -> None:
        """Tell a write that was accepted and then followed from one that lost."""
        found = configuration.decode(item.value) if item else configuration.FIRST
        if _find_write(found, made.write) is None:
            self._in_force.adopt(found)
            raise _conflict(found, made.revision - 1)

    def find(self, revision: int) -> configuration.Document:
        """Return one whole revision.

        Raises
        ------
        errors.Error
            NOT_FOUND, or STORE_DOWN.
        """
        known = self._in_force.document
        if known.revision == revision and known.is_whole:
            return known
        item = self._names.kv.get(self._key(revision), time.monotonic() + _CALL_S)
        if item is None:
            raise errors.Error(
                errors.Kind.NOT_FOUND,
                f"revision {revision} is not kept; see GET /config/history",
            )
        return configuration.decode(item.value)

    def _key(self, revision: int) -> str:
        return f"{self._root}{revision:010d}"

    def _run(self) -> None:
        while True:
            made = self._archive.get()
            try:
                self._keep(made)
            except errors.Error as exc:
                _log.warning(
                    "revisions: {} not kept whole: {}", made.revision, exc.detail
                )

    def _keep(self, made: configuration.Document) -> None:
        kv = self._names.kv
        key, value = self._key(made.revision), configuration.encode(made)
        store.swap_until_certain(
            kv, key, value, store.ABSENT, time.monotonic() + _SETTLE_S
        )
        if made.revision <= _KEPT_REVISIONS:
            return
        oldest = self._key(made.revision - _KEPT_REVISIONS)
        item = kv.get(oldest, time.monotonic() + _CALL_S)
        if item is not None:
            kv.delete(oldest, item.revision, time.monotonic() + _CALL_S)

    def drain(self, host: str, reason: str, author: str) -> Drain:
        """Drain a host by an exception with a reason."""

        def add(exceptions: abc.Iterable[t.Any]) -> list[t.Any]:
            added = {
                "match": {"host": host},
                "set": {"drain": True},
                "reason": reason,
                "author": author,
            }
            return [*_without_drain(exceptions, host), added]

        return self._change_drain(host, add, author, f"drain {host}")

    def resume(self, host: str, author: str) -> Drain:
        """End a host's drain."""

        def remove(exceptions: abc.Iterable[t.Any]) -> list[t.Any]:
            return _without_drain(exceptions, host)

        return self._change_drain(host, remove, author, f"end the drain of {host}")

    def _change_drain(
        self,
        host: str,
        change: abc.Callable[[abc.Iterable[t.Any]], list[t.Any]],
        author: str,
        note: str,
    ) -> Drain:
        """Change the list of exceptions again after each change by somebody else."""
        for _ in range(_DRAIN_ATTEMPTS):
            current = self._base(self._in_force.revision).document
            value = {
                "defaults": current.defaults,
                "exceptions": change(current.exceptions),
                "note": note,
            }
            try:
                made = self.propose(value, current.revision, author)
            except errors.Conflict:
                continue
            return Drain(host, find_drain(made, host), made.revision)
        raise errors.Error(
            errors.Kind.OVERLOADED,
            "others change the configuration without pause; ask again",
            retry_after_s=_RETRY_AFTER_S,
        )


def find_drain(document: configuration.Document, host: str) -> schema.Exemption | None:
    """Return the exception that drains a host."""
    for exemption in document.exceptions:
        if _is_drain(exemption, host) and exemption["set"]["drain"]:
            return exemption
    return None


def _is_drain(exemption: schema.Exemption, host: str) -> bool:
    return exemption["match"].get("host") == host and "drain" in exemption["set"]


def _without_drain(exceptions: abc.Iterable[t.Any], host: str) -> list[t.Any]:
    kept = []
    for exemption in exceptions:
        if _is_drain(exemption, host):
            rest = {k: v for k, v in exemption["set"].items() if k != "drain"}
            exemption = exemption | {"set": rest}
        if exemption["set"]:
            kept.append(exemption)
    return kept


def _find_write(
    document: configuration.Document, write: str
) -> configuration.Record | None:
    return next((r for r in document.history if r.write == write), None)


def _conflict(current: configuration.Document, revision: int) -> errors.Conflict:
    changed = [r._asdict() for r in current.history if r.revision > revision]
    for record in changed:
        record["changes"] = [change._asdict() for change in record["changes"]]
    return errors.Conflict(
        f"the configuration is at revision {current.revision}, not {revision}; "
        "look at what changed, and send the change anew",
        changed,
    )


def _explain(exc: errors.Error, made: configuration.Document) -> errors.Error:
    if exc.kind is errors.Kind.STORE_DOWN:
        return errors.Error(
            exc.kind,
            "the store is out of reach and nothing was changed; ask again",
            retry_after_s=_RETRY_AFTER_S,
        )
    return errors.Error(
        exc.kind,
        f"revision {made.revision} may have been accepted; look for the write "
        f"{made.write} in GET /config/history, or repeat with the same Idempotency-Key",
        ran=errors.Ran.UNKNOWN,
        retry_after_s=_RETRY_AFTER_S,
    )
