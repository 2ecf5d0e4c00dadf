"""The active configuration of a process, and how an entry keeps it current."""

import concurrent.futures as futures
import functools
import threading
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.connection import channels, messages
from bilberrypass.membership import directory
from bilberrypass.version import configuration

_log = logbook.Logger("config")

_SYNC_INTERVAL_S: t.Final = 1.0
_MAX_STORE_READ_AGE_S: t.Final = 1.5
_CALL_TIMEOUT_S: t.Final = 1.0
_MAX_CONCURRENT_CALLS: t.Final = 12
_MAX_CACHED_VALUES: t.Final = 4_096
_REPORTED_REVISION_TTL_S: t.Final = 10.0

MAX_CONFIRMATION_AGE_S: t.Final = 4.0
"""Maximum age of the last confirmation, in seconds, for a revision to be current."""


@t.final
class ActiveConfig:
    """The newest revision known to a process; it never decreases."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.document = configuration.INITIAL
        self.since = time.time()
        self._resolve = self._make_cache(configuration.INITIAL)

    @property
    def revision(self) -> int:
        """The number of the revision in force."""
        return self.document.revision

    def adopt(self, document: configuration.Document) -> bool:
        """Put a document in force if it is newer, and return whether it was.

        Two parts of the same revision are merged, which does not count as newer.
        """
        with self._lock:
            known = self.document
            if document.revision < known.revision:
                return False
            is_newer = document.revision > known.revision
            if not is_newer:
                document = configuration.merge_parts(known, document)
            if document == known:
                return False
            self._replace_document(document, is_newer)
        if is_newer:
            _log.info("config: revision {} in force", document.revision)
        return is_newer

    def _replace_document(
        self, document: configuration.Document, is_newer: bool
    ) -> None:
        self.document = document
        self._resolve = self._make_cache(document)
        if is_newer:
            self.since = time.time()

    @staticmethod
    def _make_cache(document: configuration.Document) -> t.Any:
        resolve = functools.partial(configuration.resolve, document)
        return functools.lru_cache(_MAX_CACHED_VALUES)(resolve)

    def values(
        self, subject: configuration.Subject = configuration.FLEET_WIDE
    ) -> configuration.Values:
        """Return the values that apply to a subject today, in UTC."""
        return self._resolve(subject, configuration.today())

    def encode_slice(self, host: configuration.Subject, revision: int) -> bytes:
        """Return the encoded part for a host, or empty bytes if it is up to date.

        The result is also empty while only parts of the document are known here,
        since these may lack the exceptions for that host.
        """
        document = self.document
        if document.revision <= revision or not document.is_whole:
            return b""
        return configuration.encode(configuration.extract_part(document, host))


class _ReportedRevision(t.NamedTuple):
    """A revision reported by another process, valid until a monotonic deadline."""

    revision: int
    deadline: float


class _PeerResponse(t.NamedTuple):
    """The response of a peer, and the monotonic time of the request."""

    response: messages.ConfigResponse
    requested_at: float


@t.final
class ConfigSynchronizer:
    """Keeps an entry's configuration current, even while the store is unavailable.

    The primary source is the directory, which watches and polls the store. Agents
    and other entries are queried if one of them reports a newer revision, if only
    parts of the document are known, or if the store has not answered.

    Parameters
    ----------
    entry_directory : directory.Directory
        Reads the configuration from the store.
    """

    def __init__(self, entry_directory: directory.Directory) -> None:
        self.active_config = ActiveConfig()
        self._directory = entry_directory
        self._reported = _ReportedRevision(0, 0.0)
        self._agents_to_query: set[str] = set()
        self._queried_agents: set[str] = set()
        self._queried_revision = 0
        self._discovered_peers: set[str] = set()
        self._confirmed_at = 0.0
        self._has_informed_peer = False
        self._wake = threading.Event()
        self._stopping = False
        self._pool = futures.ThreadPoolExecutor(
            _MAX_CONCURRENT_CALLS, thread_name_prefix="config"
        )
        self._thread = threading.Thread(target=self._run, name="config", daemon=True)
        entry_directory.on_config = self.adopt_encoded

    def start(self) -> None:
        """Start the thread that keeps the configuration current."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread, and cancel queries that have not started."""
        self._stopping = True
        self._wake.set()
        self._thread.join(_CALL_TIMEOUT_S)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def adopt_encoded(self, value: bytes) -> None:
        """Put an encoded document from the store in force if it is newer."""
        try:
            self.active_config.adopt(configuration.decode(value))
        except errors.Error as exc:
            _log.error("config: {}", exc.detail)

    def record_agent_revision(self, revision: int, address: str) -> None:
        """Record the revision that an agent has in force, and query it if needed."""
        if revision > self.active_config.revision:
            self._record_revision(revision)
            self._schedule_query(address)
        elif self._is_query_needed(revision, address):
            self._queried_agents.add(address)
            self._schedule_query(address)

    def _is_query_needed(self, revision: int, address: str) -> bool:
        """Return whether an agent may supply a part or a peer address missing here.

        Peer addresses are missing while no peer is known and the store was never read.
        An agent is queried at most once for each revision in force here.
        """
        if self._queried_revision != self.active_config.revision:
            self._queried_revision = self.active_config.revision
            self._queried_agents = set()
        if address in self._queried_agents:
            return False
        has_other_part = (
            revision == self.active_config.revision and not self._is_whole()
        )
        return has_other_part or not (
            self._directory.last_read_at or self._peer_addresses()
        )

    def _schedule_query(self, address: str) -> None:
        self._agents_to_query.add(address)
        self._wake.set()

    def _record_revision(self, revision: int) -> None:
        if revision >= self._reported_revision():
            self._reported = _ReportedRevision(
                revision, time.monotonic() + _REPORTED_REVISION_TTL_S
            )

    def _reported_revision(self) -> int:
        """Return the highest revision reported recently, or 0.

        Reports expire, so that a revision that no process can supply any more
        does not keep the entry unready.
        """
        reported = self._reported
        return reported.revision if time.monotonic() < reported.deadline else 0

    def handle_config_request(
        self, request: messages.ConfigRequest
    ) -> messages.ConfigResponse:
        """Respond to a process, with the document if its own is older or incomplete."""
        document = self.active_config.document
        needs_document = request.revision < document.revision or (
            request.revision == document.revision and not request.is_whole
        )
        return messages.ConfigResponse(
            revision=document.revision,
            since=self.active_config.since,
            age_s=self.age_s(),
            is_informed=self._has_configuration(),
            why_not_ready=self.why_not_ready(),
            document=configuration.encode(document) if needs_document else b"",
            entries=[member.peers for member in self._directory.members()],
        )

    def age_s(self) -> float:
        """Return the age of the last confirmation, in seconds."""
        return time.monotonic() - max(self._directory.last_read_at, self._confirmed_at)

    def is_current(self) -> bool:
        """Return whether the revision in force was recently confirmed as the newest."""
        return self.why_not_current() == ""

    def why_not_current(self) -> str:
        """Return why the revision may be out of date, or an empty string."""
        if self._reported_revision() > self.active_config.revision:
            return (
                f"revision {self._reported_revision()} is in force elsewhere, "
                f"{self.active_config.revision} here; this entry is requesting it"
            )
        if self.age_s() > MAX_CONFIRMATION_AGE_S:
            return "neither the store nor an up-to-date entry answers; check them"
        return ""

    def why_not_ready(self) -> str:
        """Return why this configuration does not permit work, or an empty string."""
        if self._reported_revision() > self.active_config.revision:
            return self.why_not_current()
        if not self._has_configuration():
            return "no configuration is known; neither the store nor any peer answers"
        return ""

    def _has_configuration(self) -> bool:
        has_source = self._directory.last_read_at > 0 or self._has_informed_peer
        return has_source or self.active_config.revision > 0

    def _run(self) -> None:
        while not self._stopping:
            self._wake.wait(_SYNC_INTERVAL_S)
            self._wake.clear()
            try:
                self._synchronize()
            except Exception:
                _log.exception("config: peers not queried because of an internal error")

    def _synchronize(self) -> None:
        agents, self._agents_to_query = self._agents_to_query, set()
        list(self._pool.map(self._query, agents))
        is_store_silent = (
            time.monotonic() - self._directory.last_read_at > _MAX_STORE_READ_AGE_S
        )
        if is_store_silent or self._is_incomplete():
            list(self._pool.map(self._query, self._peer_addresses()))

    def _is_incomplete(self) -> bool:
        is_behind = self._reported_revision() > self.active_config.revision
        return is_behind or not self._is_whole()

    def _is_whole(self) -> bool:
        return self.active_config.document.is_whole

    def _peer_addresses(self) -> list[str]:
        known = {member.peers for member in self._directory.members()}
        return sorted(
            (known | self._discovered_peers) - {self._directory.own_member.peers}
        )

    def query_peers(self) -> dict[str, messages.ConfigResponse | None]:
        """Return the response of each other entry by peer address, None on failure."""
        peers = self._peer_addresses()
        return dict(zip(peers, self._pool.map(self._query, peers), strict=True))

    def _query(self, address: str) -> messages.ConfigResponse | None:
        requested_at = time.monotonic()
        document = self.active_config.document
        request = messages.ConfigRequest(document.revision, document.is_whole)
        peer = channels.Peer(address)
        try:
            response = peer.call(
                channels.CONFIG, request, requested_at + _CALL_TIMEOUT_S
            )
        except errors.Error as exc:
            _log.debug("config: request to peer {} failed: {}", address, exc.detail)
            return None
        finally:
            peer.close()
        self._apply_response(_PeerResponse(response, requested_at))
        return response

    def _apply_response(self, peer_response: _PeerResponse) -> None:
        response = peer_response.response
        if response.document:
            self.active_config.adopt(configuration.decode(response.document))
        self._has_informed_peer = self._has_informed_peer or response.is_informed
        self._discovered_peers.update(response.entries)
        if response.revision > self.active_config.revision:
            self._record_revision(response.revision)
            return
        self._confirmed_at = max(
            self._confirmed_at, peer_response.requested_at - response.age_s
        )
