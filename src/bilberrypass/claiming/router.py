"""Routes calls on claims to the owners of their shards, local or remote."""

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

_CALL_TIMEOUT_S: t.Final = 4.0
_RELEASE_TIMEOUT_S: t.Final = 1.0
_QUEUED_CALL_TIMEOUT_S: t.Final = 1.0
_QUEUED_CALL_DEADLINE_S: t.Final = 60.0
_QUEUED_CALL_RETRY_S: t.Final = 0.2
_MAX_QUEUED_CALLS: t.Final = 1_000
_MAX_PEER_CALLS: t.Final = 16
_PEER_CALL_WAIT_S: t.Final = 0.1
_RETRY_AFTER_S: t.Final = 1.0
_KEY_ERROR_KINDS: t.Final = (
    errors.Kind.KEY_IN_USE,
    errors.Kind.KEY_REUSED,
    errors.Kind.ALREADY_RAN,
)
# The caller has no connection to the owner of a shard. Failures between entries are
# therefore reported to the caller as NOT_READY.
_NOT_CLAIMED_KINDS: t.Final = {
    errors.Kind.PEER_UNREACHABLE: errors.Kind.NOT_READY,
    errors.Kind.ANSWER_LOST: errors.Kind.NOT_READY,
    errors.Kind.STALE: errors.Kind.NOT_READY,
    errors.Kind.INTERNAL: errors.Kind.NOT_READY,
}


class _QueuedCall(t.NamedTuple):
    """A call that is retried until it succeeds or its deadline has passed."""

    req: messages.ClaimRequest
    deadline: float


@t.final
class Router:
    """Routes each call on a claim to the owner of its shard.

    A background queue retries failed releases and records finished requests.

    Parameters
    ----------
    entry_directory : directory.Directory
        The directory of shard owners.
    shards : list of claims.Shard
        All shards, by number; this entry owns some of them.
    max_waiting : int
        Maximum number of requests that wait for the store at the same time.
    """

    def __init__(
        self,
        entry_directory: directory.Directory,
        shards: list[claims.Shard],
        max_waiting: int,
    ) -> None:
        self.shards = shards
        # Limits the threads that a slow store can block, so that reports and requests
        # without a key are not delayed.
        self._waiting = threading.BoundedSemaphore(max_waiting)
        self._peer_calls = threading.BoundedSemaphore(_MAX_PEER_CALLS)
        self._owners = owners.OwnerConnections(entry_directory, "claims")
        self._queued: queue.Queue[_QueuedCall] = queue.Queue(_MAX_QUEUED_CALLS)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="claiming", daemon=True)

    def start(self) -> None:
        """Start to compete for the shards and to send queued calls."""
        for shard in self.shards:
            shard.start()
        self._thread.start()

    def stop(self) -> None:
        """Send the queued calls, then release the shards."""
        self._stopping.set()
        self._thread.join(_CALL_TIMEOUT_S)
        for shard in self.shards:
            shard.stop()

    def handle_peer_call(self, req: messages.ClaimRequest) -> messages.ClaimResponse:
        """Handle a call that another entry sent to this one as the owner.

        Raises
        ------
        errors.Error
            BAD_REQUEST if there is no such shard, OVERLOADED if too many calls are in
            progress, or an error of ``claims.Shard.call``.
        """
        if not 0 <= req.shard < len(self.shards):
            raise errors.Refused(
                errors.Kind.BAD_REQUEST,
                f"there is no claims shard {req.shard}; run the same version on all "
                "entries",
            )
        if not self._peer_calls.acquire(timeout=_PEER_CALL_WAIT_S):
            raise _overloaded()
        try:
            return self.shards[req.shard].call(req, time.monotonic() + _CALL_TIMEOUT_S)
        finally:
            self._peer_calls.release()

    def claim(
        self, claim: messages.ClaimRequest, deadline: float
    ) -> messages.ForwardResponse | None:
        """Claim a key for one attempt.

        Returns
        -------
        messages.ForwardResponse or None
            The first answer if the request with this key ran before; None if this
            attempt has the claim and may dispatch the request once.

        Raises
        ------
        errors.Error
            The attempt must not dispatch. ``ran`` is "no" if the state of the key is
            unknown: it then refers to this attempt only.
        """
        if not self._waiting.acquire(blocking=False):
            raise _overloaded()
        try:
            answer = self._call(
                claim, min(deadline, time.monotonic() + _CALL_TIMEOUT_S)
            )
        except errors.Error as exc:
            raise self._abandon_claim(claim, exc) from None
        finally:
            self._waiting.release()
        if answer.is_mine:
            return None
        if answer.answer is None:
            raise errors.Error(
                errors.Kind.ALREADY_RAN,
                "the request with this key ran; look up its effect",
            )
        return answer.answer

    def _abandon_claim(
        self, claim: messages.ClaimRequest, exc: errors.Error
    ) -> errors.Error:
        """Return the error for a failed claim; release the claim if it may exist."""
        if exc.kind in _KEY_ERROR_KINDS:
            return exc
        if exc.ran is errors.Ran.UNKNOWN:
            self._enqueue(claim._replace(verb=claims.RELEASE))
        return errors.Error(
            _NOT_CLAIMED_KINDS.get(exc.kind, exc.kind),
            f"the key was not claimed and nothing was sent: {exc.detail}",
            ran=errors.Ran.NO,
            retry_after_s=exc.retry_after_s,
        )

    def release(self, claim: messages.ClaimRequest) -> bool:
        """Release the key of a request that certainly did not run.

        Returns
        -------
        bool
            False if the key is still claimed; the release is retried in the background.
        """
        req = claim._replace(verb=claims.RELEASE)
        try:
            self._call(req, time.monotonic() + _RELEASE_TIMEOUT_S)
        except errors.Error as exc:
            _log.warning(
                "claiming: release of a claim failed and will be retried: {}",
                exc.detail,
            )
            self._enqueue(req)
            return False
        return True

    def finish(
        self, claim: messages.ClaimRequest, answer: messages.ForwardResponse | None
    ) -> None:
        """Queue the record that a request ran, with its answer.

        An answer larger than ``claims.MAX_ANSWER_BYTES`` is left out.
        """
        if answer is not None and answer.length > claims.MAX_ANSWER_BYTES:
            answer = None
        self._enqueue(claim._replace(verb=claims.FINISH, answer=answer))

    def _enqueue(self, req: messages.ClaimRequest) -> None:
        try:
            self._queued.put_nowait(
                _QueuedCall(req, time.monotonic() + _QUEUED_CALL_DEADLINE_S)
            )
        except queue.Full:
            _log.warning("claiming: {} of a claim dropped: the queue is full", req.verb)

    def _run(self) -> None:
        while not (self._stopping.is_set() and self._queued.empty()):
            try:
                queued = self._queued.get(timeout=_QUEUED_CALL_RETRY_S)
            except queue.Empty:
                continue
            self._send(queued)

    def _send(self, queued: _QueuedCall) -> None:
        now = time.monotonic()
        try:
            self._call(queued.req, min(queued.deadline, now + _QUEUED_CALL_TIMEOUT_S))
        except errors.Error as exc:
            if now > queued.deadline or self._stopping.is_set():
                _log.warning(
                    "claiming: {} of a claim dropped: {}", queued.req.verb, exc.detail
                )
                return
            self._stopping.wait(_QUEUED_CALL_RETRY_S)
            self._requeue(queued)
        except Exception:
            _log.exception("claiming: {} of a claim failed", queued.req.verb)

    def _requeue(self, queued: _QueuedCall) -> None:
        try:
            self._queued.put_nowait(queued)
        except queue.Full:
            _log.warning(
                "claiming: retry of {} dropped: the queue is full", queued.req.verb
            )

    def _call(
        self, req: messages.ClaimRequest, deadline: float
    ) -> messages.ClaimResponse:
        shard = self.shards[req.shard]
        if shard.is_owned:
            return shard.call(req, deadline)
        return self._owners.get_connection(req.shard).call(
            channels.CLAIM, req, deadline
        )


def _overloaded() -> errors.Refused:
    return errors.Refused(
        errors.Kind.OVERLOADED,
        "too many keys wait for the store; retry later",
        retry_after_s=_RETRY_AFTER_S,
    )
