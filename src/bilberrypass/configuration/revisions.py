"""Configuration changes: accepted by compare-and-swap, and archived."""

import collections.abc as abc
import queue
import secrets
import threading
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.configuration import synchronizer
from bilberrypass.connection import store
from bilberrypass.membership import directory
from bilberrypass.version import configuration, schema

_log = logbook.Logger("revisions")

_CALL_TIMEOUT_S: t.Final = 5.0
_WRITE_ATTEMPT_TIMEOUT_S: t.Final = 3.5
_SETTLE_TIMEOUT_S: t.Final = 5.0
_RETRY_AFTER_S: t.Final = 2.0
_MAX_DRAIN_ATTEMPTS: t.Final = 10
_MAX_ARCHIVED_REVISIONS: t.Final = 1_000
_MAX_QUEUED_FOR_ARCHIVE: t.Final = 100


class _Base(t.NamedTuple):
    """The document that a change is based on, and its key's revision in the store."""

    document: configuration.Document
    expected: int


class HostDrain(t.NamedTuple):
    """The exception that drains a host, or None, and the configuration's revision."""

    host: str
    drain: schema.Exemption | None
    revision: int


@t.final
class RevisionStore:
    """Accepts configuration changes, and reads archived revisions.

    Parameters
    ----------
    entry_directory : directory.Directory
        Gives access to the store, and holds the newest value read from it.
    active_config : synchronizer.ActiveConfig
        The active configuration of this entry.
    prefix : str
        Prefix of each key in the store.
    """

    def __init__(
        self,
        entry_directory: directory.Directory,
        active_config: synchronizer.ActiveConfig,
        prefix: str,
    ) -> None:
        self._directory = entry_directory
        self._active_config = active_config
        self._archive_prefix = f"{prefix}config-history/"
        self._archive_queue: queue.Queue[configuration.Document] = queue.Queue(
            _MAX_QUEUED_FOR_ARCHIVE
        )
        threading.Thread(
            target=self._run_archive, name="config-history", daemon=True
        ).start()

    def propose(
        self, value: object, revision: int, author: str, key: str = ""
    ) -> configuration.Document:
        """Replace a revision, and return the accepted document.

        A repeated key, or a proposal that changes nothing, returns the current one.

        Parameters
        ----------
        value : object
            The decoded JSON of a ``schema.Proposal``.
        revision : int
            The revision that the change is based on.
        author : str
            The name of the operator token.
        key : str, optional
            The idempotency key of this change, the same on each retry.

        Raises
        ------
        errors.Error
            INVALID_CONFIG, CONFLICT, STORE_DOWN, or STORE_UNCERTAIN if the
            outcome could not be determined before the deadline.
        """
        base = self._read_base(revision)
        if key and _find_record(base.document, key) is not None:
            return base.document
        if base.document.revision != revision:
            raise _make_conflict(base.document, revision)
        proposal = configuration.check(value, base.document, configuration.today())
        write = key or secrets.token_hex(16)
        new = configuration.build_next_revision(
            base.document, proposal, author, time.time(), write
        )
        if not configuration.diff(base.document, new):
            return base.document
        self._accept(new, base.expected)
        return new

    def _read_base(self, revision: int) -> _Base:
        """Return the newest document, from the store unless the cache is current."""
        cached = self._directory.config()
        cached_deadline = (
            self._directory.last_read_at + synchronizer.MAX_CONFIRMATION_AGE_S
        )
        if cached is not None and time.monotonic() < cached_deadline:
            newest = configuration.decode(cached.value)
            if newest.revision == revision >= self._active_config.revision:
                return _Base(newest, cached.revision)
        item = self._directory.kv.get(
            self._directory.config_key, time.monotonic() + _CALL_TIMEOUT_S
        )
        newest = configuration.decode(item.value) if item else configuration.INITIAL
        expected = item.revision if item else store.ABSENT
        known = self._active_config.document
        # A store restored to an older state must not revert the fleet.
        if known.revision > newest.revision:
            newest = known
        if not newest.is_whole:
            raise errors.Error(
                errors.Kind.NOT_READY,
                f"only parts of revision {newest.revision} are known here; "
                "use another entry, or retry",
                retry_after_s=_RETRY_AFTER_S,
            )
        return _Base(newest, expected)

    def _accept(self, new: configuration.Document, expected: int) -> None:
        try:
            swap = self._write(configuration.encode(new), expected)
        except errors.Error as exc:
            raise _describe_store_error(exc, new) from exc
        if not swap.done:
            self._check_superseded(new, swap.current)
        self._active_config.adopt(new)
        _log.info("revisions: revision {} accepted from {}", new.revision, new.author)
        try:
            self._archive_queue.put_nowait(new)
        except queue.Full:
            _log.warning(
                "revisions: revision {} not archived: archive queue full", new.revision
            )

    def _write(self, value: bytes, expected: int) -> store.Swap:
        """Write once, with time for a slow store; then settle an uncertain outcome."""
        kv, key = self._directory.kv, self._directory.config_key
        try:
            swap = kv.swap(
                key, value, expected, time.monotonic() + _WRITE_ATTEMPT_TIMEOUT_S
            )
        except errors.Error as exc:
            if exc.kind is not errors.Kind.STORE_UNCERTAIN:
                raise
            deadline = time.monotonic() + _SETTLE_TIMEOUT_S
            swap = store.swap_until_certain(kv, key, value, expected, deadline)
        return swap

    def _check_superseded(
        self, new: configuration.Document, item: store.Item | None
    ) -> None:
        """Raise a conflict unless the history shows that the write was accepted.

        The stored document may be a successor of an accepted write.
        """
        stored = configuration.decode(item.value) if item else configuration.INITIAL
        if _find_record(stored, new.write) is None:
            self._active_config.adopt(stored)
            raise _make_conflict(stored, new.revision - 1)

    def get_revision(self, revision: int) -> configuration.Document:
        """Return the whole document of one revision.

        Raises
        ------
        errors.Error
            NOT_FOUND, or STORE_DOWN.
        """
        known = self._active_config.document
        if known.revision == revision and known.is_whole:
            return known
        item = self._directory.kv.get(
            self._archive_key(revision), time.monotonic() + _CALL_TIMEOUT_S
        )
        if item is None:
            raise errors.Error(
                errors.Kind.NOT_FOUND,
                f"revision {revision} is not archived; see GET /config/history",
            )
        return configuration.decode(item.value)

    def _archive_key(self, revision: int) -> str:
        return f"{self._archive_prefix}{revision:010d}"

    def _run_archive(self) -> None:
        while True:
            new = self._archive_queue.get()
            try:
                self._archive(new)
            except errors.Error as exc:
                _log.warning(
                    "revisions: revision {} not archived: {}", new.revision, exc.detail
                )

    def _archive(self, new: configuration.Document) -> None:
        kv = self._directory.kv
        key, value = self._archive_key(new.revision), configuration.encode(new)
        store.swap_until_certain(
            kv, key, value, store.ABSENT, time.monotonic() + _SETTLE_TIMEOUT_S
        )
        if new.revision <= _MAX_ARCHIVED_REVISIONS:
            return
        oldest = self._archive_key(new.revision - _MAX_ARCHIVED_REVISIONS)
        item = kv.get(oldest, time.monotonic() + _CALL_TIMEOUT_S)
        if item is not None:
            kv.delete(oldest, item.revision, time.monotonic() + _CALL_TIMEOUT_S)

    def drain(self, host: str, reason: str, author: str) -> HostDrain:
        """Drain a host by adding an exception with a reason."""

        def add(exceptions: abc.Iterable[t.Any]) -> list[t.Any]:
            exemption = {
                "match": {"host": host},
                "set": {"drain": True},
                "reason": reason,
                "author": author,
            }
            return [*_remove_drain(exceptions, host), exemption]

        return self._change_drain(host, add, author, f"drain {host}")

    def resume(self, host: str, author: str) -> HostDrain:
        """End a host's drain by removing it from the exceptions."""

        def remove(exceptions: abc.Iterable[t.Any]) -> list[t.Any]:
            return _remove_drain(exceptions, host)

        return self._change_drain(host, remove, author, f"end the drain of {host}")

    def _change_drain(
        self,
        host: str,
        change: abc.Callable[[abc.Iterable[t.Any]], list[t.Any]],
        author: str,
        note: str,
    ) -> HostDrain:
        """Change the exceptions, with a retry after each conflicting change."""
        for _ in range(_MAX_DRAIN_ATTEMPTS):
            current = self._read_base(self._active_config.revision).document
            value = {
                "defaults": current.defaults,
                "exceptions": change(current.exceptions),
                "note": note,
            }
            try:
                new = self.propose(value, current.revision, author)
            except errors.Conflict:
                continue
            return HostDrain(host, find_drain(new, host), new.revision)
        raise errors.Error(
            errors.Kind.OVERLOADED,
            "the configuration keeps changing concurrently; retry",
            retry_after_s=_RETRY_AFTER_S,
        )


def find_drain(document: configuration.Document, host: str) -> schema.Exemption | None:
    """Return the exception that drains a host, or None."""
    for exemption in document.exceptions:
        if _is_drain(exemption, host) and exemption["set"]["drain"]:
            return exemption
    return None


def _is_drain(exemption: schema.Exemption, host: str) -> bool:
    return exemption["match"].get("host") == host and "drain" in exemption["set"]


def _remove_drain(exceptions: abc.Iterable[t.Any], host: str) -> list[t.Any]:
    kept = []
    for exemption in exceptions:
        if _is_drain(exemption, host):
            rest = {k: v for k, v in exemption["set"].items() if k != "drain"}
            exemption = exemption | {"set": rest}
        if exemption["set"]:
            kept.append(exemption)
    return kept


def _find_record(
    document: configuration.Document, write: str
) -> configuration.Record | None:
    return next((r for r in document.history if r.write == write), None)


def _make_conflict(current: configuration.Document, revision: int) -> errors.Conflict:
    changed = [r._asdict() for r in current.history if r.revision > revision]
    for record in changed:
        record["changes"] = [change._asdict() for change in record["changes"]]
    return errors.Conflict(
        f"the configuration is at revision {current.revision}, not {revision}; "
        "review what changed, and resend the change",
        changed,
    )


def _describe_store_error(
    exc: errors.Error, new: configuration.Document
) -> errors.Error:
    if exc.kind is errors.Kind.STORE_DOWN:
        return errors.Error(
            exc.kind,
            "the store is unreachable and nothing was changed; retry",
            retry_after_s=_RETRY_AFTER_S,
        )
    return errors.Error(
        exc.kind,
        f"revision {new.revision} may have been accepted; look for the write "
        f"{new.write} in GET /config/history, or retry with the same Idempotency-Key",
        ran=errors.Ran.UNKNOWN,
        retry_after_s=_RETRY_AFTER_S,
    )
