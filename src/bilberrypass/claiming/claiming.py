"""The way to the owner of a claim, wherever it is."""

import queue
import threading
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.claiming import claims
from bilberrypass.connection import channels, messages
from bilberrypass.membership import directory, owners

_log = logbook.Logger("claiming")

_CALL_S: t.Final = 4.0
_RELEASE_S: t.Final = 1.0
_NOTE_CALL_S: t.Final = 1.0
_NOTE_LIFE_S: t.Final = 60.0
_NOTE_PAUSE_S: t.Final = 0.2
_MAX_NOTES: t.Final = 1_000
_MAX_SERVED: t.Final = 16
_SERVED_WAIT_S: t.Final = 0.1
_RETRY_S: t.Final = 1.0
_ABOUT_THE_KEY: t.Final = (
    errors.Kind.KEY_IN_USE,
    errors.Kind.KEY_REUSED,
    errors.Kind.ALREADY_RAN,
)
# An owner that does not answer is no peer of the caller's.
_UNCLAIMED: t.Final = {
    errors.Kind.PEER_UNREACHABLE: errors.Kind.NOT_READY,
    errors.Kind.ANSWER_LOST: errors.Kind.NOT_READY,
    errors.Kind.STALE: errors.Kind.NOT_READY,
    errors.Kind.INTERNAL: errors.Kind.NOT_READY,
}


class _Note(t.NamedTuple):
    """A call that is repeated until it succeeds or its deadline passes."""

    req: messages.ClaimCall
    deadline: float


@t.final
class Router:
    """Brings a call on a claim to the owner of its shard.

    Parameters
    ----------
    names : directory.Directory
        Knows the owners.
    shards : list of claims.Shard
        This entry's part of them.
    max_waiting : int
        Requests that may wait for the store at once.
    """

    def __init__(
        self,
        names: directory.Directory,
        shards: list[claims.Shard],
        max_waiting: int,
    ) -> None:
        self.shards = shards
        # A slow store must hold up neither reports nor requests without a key.
        self._waiting = threading.BoundedSemaphore(max_waiting)
        self._served = threading.BoundedSemaphore(_MAX_SERVED)
        self._owners = owners.Owners(names, "claims")
        self._notes: queue.Queue[_Note] = queue.Queue(_MAX_NOTES)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="claiming", daemon=True)

    def start(self) -> None:
        """Begin to compete for the shards and to send notes."""
        for shard in self.shards:
            shard.start()
        self._thread.start()

    def stop(self) -> None:
        """Send what is noted, then give the shards up."""
        self._stopping.set()
        self._thread.join(_CALL_S)
        for shard in self.shards:
            shard.stop()

    def serve(self, req: messages.ClaimCall) -> messages.ClaimAnswer:
        """Answer a call that another entry sent to this one as the owner."""
        if not 0 <= req.shard < len(self.shards):
            raise errors.Refused(
                errors.Kind.BAD_REQUEST,
                f"there is no claims shard {req.shard}; run the same version at all "
                "entries",
            )
        if not self._served.acquire(timeout=_SERVED_WAIT_S):
            raise _store_is_slow()
        try:
            return self.shards[req.shard].call(req, time.monotonic() + _CALL_S)
        finally:
            self._served.release()

    def take(
        self, claim: messages.ClaimCall, deadline: float
    ) -> messages.Forwarded | None:
        """Claim a key for one attempt.

        Returns
        -------
        messages.Forwarded or None
            The first answer if the key's request ran before; None if the claim
            is this attempt's, which may dispatch once.

        Raises
        ------
        errors.Error
            The attempt must not dispatch. ``ran`` is "no" where nothing is known of
            the key: it speaks of this attempt alone.
        """
        if not self._waiting.acquire(blocking=False):
            raise _store_is_slow()
        try:
            answer = self._call(claim, min(deadline, time.monotonic() + _CALL_S))
        except errors.Error as exc:
            raise self._not_claimed(claim, exc) from None
        finally:
            self._waiting.release()
        if answer.is_mine:
            return None
        if answer.answer is None:
            raise errors.Error(
                errors.Kind.ALREADY_RAN, "the key's request ran; look up its effect"
            )
        return answer.answer

    def _not_claimed(
        self, claim: messages.ClaimCall, exc: errors.Error
    ) -> errors.Error:
        """Give an uncertain claim up for good, and say that nothing ran by it."""
        if exc.kind in _ABOUT_THE_KEY:
            return exc
        if exc.ran is errors.Ran.UNKNOWN:
            self._note(claim._replace(verb=claims.RELEASE))
        return errors.Error(
            _UNCLAIMED.get(exc.kind, exc.kind),
            f"the key is not claimed, nothing was sent: {exc.detail}",
            ran=errors.Ran.NO,
            retry_after_s=exc.retry_after_s,
        )

    def release(self, claim: messages.ClaimCall) -> bool:
        """Free the key of a request that certainly did not run.

        Returns
        -------
        bool
            False if the key is not free yet; it will be tried further.
        """
        req = claim._replace(verb=claims.RELEASE)
        try:
            self._call(req, time.monotonic() + _RELEASE_S)
        except errors.Error as exc:
            _log.warning("claiming: not released yet: {}", exc.detail)
            self._note(req)
            return False
        return True

    def finish(
        self, claim: messages.ClaimCall, answer: messages.Forwarded | None
    ) -> None:
        """Note that the key's request ran, with its answer if there is one."""
        if answer is not None and answer.length > claims.MAX_ANSWER_BYTES:
            answer = None
        self._note(claim._replace(verb=claims.FINISH, answer=answer))

    def _note(self, req: messages.ClaimCall) -> None:
        try:
            self._notes.put_nowait(_Note(req, time.monotonic() + _NOTE_LIFE_S))
        except queue.Full:
            _log.warning("claiming: {} of a claim given up: too many wait", req.verb)

    def _run(self) -> None:
        while not (self._stopping.is_set() and self._notes.empty()):
            try:
                note = self._notes.get(timeout=_NOTE_PAUSE_S)
            except queue.Empty:
                continue
            self._send(note)

    def _send(self, note: _Note) -> None:
        now = time.monotonic()
        try:
            self._call(note.req, min(note.deadline, now + _NOTE_CALL_S))
        except errors.Error as exc:
            if now > note.deadline or self._stopping.is_set():
                _log.warning("claiming: {} given up: {}", note.req.verb, exc.detail)
                return
            self._stopping.wait(_NOTE_PAUSE_S)
            self._requeue(note)
        except Exception:
            _log.exception("claiming: {} failed", note.req.verb)

    def _requeue(self, note: _Note) -> None:
        try:
            self._notes.put_nowait(note)
        except queue.Full:
            _log.warning("claiming: {} given up: too many wait", note.req.verb)

    def _call(self, req: messages.ClaimCall, deadline: float) -> messages.ClaimAnswer:
        shard = self.shards[req.shard]
        if shard.is_owned:
            return shard.call(req, deadline)
        return self._owners.find(req.shard).call(channels.CLAIM, req, deadline)


def _store_is_slow() -> errors.Refused:
    return errors.Refused(
        errors.Kind.OVERLOADED,
        "too many keys wait for the store; come back later",
        retry_after_s=_RETRY_S,
    )
