"""The configuration in force at a process, and how an entry keeps it current."""

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

_INTERVAL_S: t.Final = 1.0
_DOUBT_S: t.Final = 1.5
_CALL_S: t.Final = 1.0
_PEER_THREADS: t.Final = 12
_CACHED_VALUES: t.Final = 4_096
_HEARSAY_S: t.Final = 10.0

CURRENT_LIMIT_S: t.Final = 4.0
"""Age of the newest confirmation up to which a revision counts as current."""


@t.final
class InForce:
    """The newest revision that a process knows; it never goes down."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.document = configuration.FIRST
        self.since = time.time()
        self._resolve = self._make_cache(configuration.FIRST)

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.document.revision

    def adopt(self, document: configuration.Document) -> bool:
        """Put a document in force if it is newer; tell whether it was."""
        with self._lock:
            known = self.document
            if document.revision < known.revision:
                return False
            is_newer = document.revision > known.revision
            if not is_newer:
                document = configuration.join(known, document)
            if document == known:
                return False
            self._put(document, is_newer)
        if is_newer:
            _log.info("config: revision {} in force", document.revision)
        return is_newer

    def _put(self, document: configuration.Document, is_newer: bool) -> None:
        self.document = document
        self._resolve = self._make_cache(document)
        if is_newer:
            self.since = time.time()

    @staticmethod
    def _make_cache(document: configuration.Document) -> t.Any:
        resolve = functools.partial(configuration.resolve, document)
        return functools.lru_cache(_CACHED_VALUES)(resolve)

    def values(
        self, subject: configuration.Subject = configuration.FLEET
    ) -> configuration.Values:
        """Return the values that hold for a subject today."""
        return self._resolve(subject, configuration.today())

    def slice_for(self, host: configuration.Subject, revision: int) -> bytes:
        """Return what concerns a host that has a revision, if there is a newer one.

        A part may lack what concerns that host, so nothing is cut from a part.
        """
        document = self.document
        if document.revision <= revision or not document.is_whole:
            return b""
        return configuration.encode(configuration.part_for(document, host))


class _Heard(t.NamedTuple):
    """A revision that some process has in force, until the deadline (monotonic)."""

    revision: int
    deadline: float


class _Told(t.NamedTuple):
    """A process's answer, and when it was asked (monotonic)."""

    answer: messages.ConfigResponse
    asked_at: float


@t.final
class Configuring:
    """Keeps an entry's configuration current, also while the store is away.

    The directory's watch and polls are the first source. Agents and other entries
    are asked when one of them knows more, or when the store has not answered.

    Parameters
    ----------
    names : directory.Directory
        Reads the store.
    """

    def __init__(self, names: directory.Directory) -> None:
        self.in_force = InForce()
        self._names = names
        self._heard = _Heard(0, 0.0)
        self._tellers: set[str] = set()
        self._asked: set[str] = set()
        self._asked_revision = 0
        self._learned_peers: set[str] = set()
        self._confirmed_at = 0.0
        self._is_informed = False
        self._wake = threading.Event()
        self._stopping = False
        self._pool = futures.ThreadPoolExecutor(
            _PEER_THREADS, thread_name_prefix="config"
        )
        self._thread = threading.Thread(target=self._run, name="config", daemon=True)
        names.on_config = self.adopt_value

    def start(self) -> None:
        """Begin to keep the configuration current."""
        self._thread.start()

    def stop(self) -> None:
        """Ask nobody any more."""
        self._stopping = True
        self._wake.set()
        self._thread.join(_CALL_S)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def adopt_value(self, value: bytes) -> None:
        """Put what the store holds in force if it is newer."""
        try:
            self.in_force.adopt(configuration.decode(value))
        except errors.Error as exc:
            _log.error("config: {}", exc.detail)

    def hear(self, revision: int, address: str) -> None:
        """Note the revision that an agent has in force."""
        if revision > self.in_force.revision:
            self._note(revision)
            self._ask_soon(address)
        elif self._may_know_more(revision, address):
            self._asked.add(address)
            self._ask_soon(address)

    def _may_know_more(self, revision: int, address: str) -> bool:
        """Tell whether an agent may know another part, or an entry, not asked for."""
        if self._asked_revision != self.in_force.revision:
            self._asked_revision = self.in_force.revision
            self._asked = set()
        if address in self._asked:
            return False
        knows_part = revision == self.in_force.revision and not self._is_whole()
        return knows_part or not (self._names.last_read_at or self._peers())

    def _ask_soon(self, address: str) -> None:
        self._tellers.add(address)
        self._wake.set()

    def _note(self, revision: int) -> None:
        if revision >= self._heard_revision():
            self._heard = _Heard(revision, time.monotonic() + _HEARSAY_S)

    def _heard_revision(self) -> int:
        """Return the highest revision heard of lately.

        One that nobody can show any more must not keep the entry unready.
        """
        heard = self._heard
        return heard.revision if time.monotonic() < heard.deadline else 0

    def tell(self, ask: messages.ConfigRequest) -> messages.ConfigResponse:
        """Answer another process, with the document if that one's is older."""
        document = self.in_force.document
        asks_more = ask.revision < document.revision or (
            ask.revision == document.revision and not ask.is_whole
        )
        return messages.ConfigResponse(
            revision=document.revision,
            since=self.in_force.since,
            age_s=self.age_s(),
            is_informed=self._is_known(),
            why_not_ready=self.why_not_ready(),
            document=configuration.encode(document) if asks_more else b"",
            entries=[member.peers for member in self._names.members()],
        )

    def age_s(self) -> float:
        """Return how old the newest confirmation is, in seconds."""
        return time.monotonic() - max(self._names.last_read_at, self._confirmed_at)

    def is_current(self) -> bool:
        """Tell whether the revision in force is certainly the newest, or was lately."""
        return self.why_not_current() == ""

    def why_not_current(self) -> str:
        """Tell why the revision may be out of date; empty if it is not."""
        if self._heard_revision() > self.in_force.revision:
            return (
                f"revision {self._heard_revision()} is in force elsewhere, "
                f"{self.in_force.revision} here; it is being asked for"
            )
        if self.age_s() > CURRENT_LIMIT_S:
            return "neither the store nor a better informed entry answers; check them"
        return ""

    def why_not_ready(self) -> str:
        """Tell why no work may be taken on this configuration; empty if it may."""
        if self._heard_revision() > self.in_force.revision:
            return self.why_not_current()
        if not self._is_known():
            return "no configuration is known yet; the store and all peers are silent"
        return ""

    def _is_known(self) -> bool:
        informed = self._names.last_read_at > 0 or self._is_informed
        return informed or self.in_force.revision > 0

    def _run(self) -> None:
        while not self._stopping:
            self._wake.wait(_INTERVAL_S)
            self._wake.clear()
            try:
                self._catch_up()
            except Exception:
                _log.exception("config: peers not asked")

    def _catch_up(self) -> None:
        tellers, self._tellers = self._tellers, set()
        list(self._pool.map(self._ask, tellers))
        is_doubted = time.monotonic() - self._names.last_read_at > _DOUBT_S
        if is_doubted or self._lacks_some():
            list(self._pool.map(self._ask, self._peers()))

    def _lacks_some(self) -> bool:
        is_behind = self._heard_revision() > self.in_force.revision
        return is_behind or not self._is_whole()

    def _is_whole(self) -> bool:
        return self.in_force.document.is_whole

    def _peers(self) -> list[str]:
        known = {member.peers for member in self._names.members()}
        return sorted((known | self._learned_peers) - {self._names.own_member.peers})

    def ask_all(self) -> dict[str, messages.ConfigResponse | None]:
        """Ask each other entry by its peer address; None where one is silent."""
        peers = self._peers()
        return dict(zip(peers, self._pool.map(self._ask, peers), strict=True))

    def _ask(self, address: str) -> messages.ConfigResponse | None:
        asked_at = time.monotonic()
        document = self.in_force.document
        ask = messages.ConfigRequest(document.revision, document.is_whole)
        peer = channels.Peer(address)
        try:
            answer = peer.call(channels.CONFIG, ask, asked_at + _CALL_S)
        except errors.Error as exc:
            _log.debug("config: {} did not answer: {}", address, exc.detail)
            return None
        finally:
            peer.close()
        self._take(_Told(answer, asked_at))
        return answer

    def _take(self, told: _Told) -> None:
        answer = told.answer
        if answer.document:
            self.in_force.adopt(configuration.decode(answer.document))
        self._is_informed = self._is_informed or answer.is_informed
        self._learned_peers.update(answer.entries)
        if answer.revision > self.in_force.revision:
            self._note(answer.revision)
            return
        self._confirmed_at = max(self._confirmed_at, told.asked_at - answer.age_s)
