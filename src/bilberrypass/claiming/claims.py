"""Claims on idempotency keys: a keyed, non-idempotent request runs at most once."""

import collections
import collections.abc as abc
import hashlib
import secrets
import threading
import time
import typing as t

import msgspec

from bilberrypass import errors
from bilberrypass.claiming import released, retention
from bilberrypass.connection import messages
from bilberrypass.membership import directory, owned_shard

_KEY_BYTES: t.Final = 12
_DIGEST_BYTES: t.Final = 8
_CLAIM_BYTES: t.Final = 8
# Limits the size of a page, and the memory of an entry that owns all shards.
_MAX_CLAIMS_PER_SHARD: t.Final = 8_000
_EXPIRY_INTERVAL_S: t.Final = 10.0
_SHARD_FULL_RETRY_AFTER_S: t.Final = 30.0
_RETRY_AFTER_S: t.Final = 1.0
_ANSWER_CACHE_BYTES: t.Final = 512 << 10

MAX_ANSWER_BYTES: t.Final = 64 << 10
SHARDS: t.Final = 8
"""Must not change: with another number, held keys would map to other shards."""

CLAIM: t.Final = "claim"
RELEASE: t.Final = "release"
FINISH: t.Final = "finish"


class Claim(t.NamedTuple):
    """The claim on one key; ``expires_at`` is in seconds on the shard's clock.

    ``digest`` identifies the request and ``claim`` the attempt that holds the key.
    ``is_done`` is True once the request has run.
    """

    digest: bytes
    claim: bytes
    expires_at: int
    is_done: bool = False


Claims = dict[bytes, Claim]


class _Page(t.NamedTuple):
    """The value of a shard in the store; ``write`` is the unique id of the write.

    ``retention_clock_s`` is the time of the write on the shard's clock, see
    ``retention.RetentionClock``; 0 in pages of releases that had none.
    """

    epoch: int
    write: str
    claims: Claims
    retention_clock_s: float = 0.0


@t.final
class AnswerCache:
    """A cache of the answers of finished claims, bounded in bytes.

    The oldest answers are evicted first.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_claim: collections.OrderedDict[bytes, messages.ForwardResponse] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def put(self, claim: bytes, answer: messages.ForwardResponse) -> None:
        """Add an answer and evict the oldest ones; too large an answer is not added."""
        if answer.length > MAX_ANSWER_BYTES:
            return
        with self._lock:
            if claim in self._by_claim:
                return
            self._by_claim[claim] = answer
            self._bytes += answer.length
            while self._bytes > _ANSWER_CACHE_BYTES:
                self._bytes -= self._by_claim.popitem(last=False)[1].length

    def get(self, claim: bytes) -> messages.ForwardResponse | None:
        """Return the answer of a claim, or None if it is not in the cache."""
        return self._by_claim.get(claim)


@t.final
class Shard(owned_shard.OwnedShard[Claims]):
    """One shard of the claims, while this entry owns it.

    Parameters
    ----------
    number : int
        The number of the shard, from 0 to ``SHARDS`` - 1.
    entry_directory : directory.Directory
        The shared store keys and the entry's lease.
    prefix : str
        Prefix of all store keys.
    retention_s : callable
        Returns the retention period of a new claim, in seconds.
    """

    # Without a request, claims change only by expiring, and each step compares all of
    # them. Steps without a request are therefore rare.
    idle_step_interval_s = 1.0
    min_write_interval_s = 0.05

    def __init__(
        self,
        number: int,
        entry_directory: directory.Directory,
        prefix: str,
        retention_s: abc.Callable[[], float],
    ) -> None:
        super().__init__(entry_directory, "claims", number, prefix)
        self._retention_s = retention_s
        self._next_expiry = 0.0
        self._retention_clock = retention.RetentionClock()
        self._answers = AnswerCache()
        self._released = released.ReleasedClaims()

    def initial_state(self) -> Claims:
        """Return the state of a shard without claims."""
        return {}

    def copy(self, state: Claims) -> Claims:
        """Return a shallow copy; claims are immutable."""
        return dict(state)

    def encode(self, state: Claims, write: str) -> bytes:
        """Encode the claims as a page; ``write`` is the unique id of the write."""
        now = self._retention_clock.now()
        return msgspec.msgpack.encode(_Page(self.ownership.epoch, write, state, now))

    def decode(self, value: bytes) -> Claims:
        """Decode the claims from a page, by key, and continue the page's clock."""
        page = msgspec.msgpack.decode(value, type=_Page)
        if page.retention_clock_s:
            self._retention_clock.resume(page.retention_clock_s)
        return page.claims

    def update_before_write(self, state: Claims) -> None:
        """Remove the claims whose retention period has ended."""
        if time.monotonic() < self._next_expiry:
            return
        self._next_expiry = time.monotonic() + _EXPIRY_INTERVAL_S
        now = self._retention_clock.now()
        for key in [k for k, c in state.items() if c.expires_at < now]:
            del state[key]

    def call(
        self, req: messages.ClaimRequest, deadline: float
    ) -> messages.ClaimResponse:
        """Handle a call to claim, release or finish a key of this shard.

        Raises
        ------
        errors.Error
            KEY_REUSED, KEY_IN_USE or ALREADY_RAN if the key has a claim. With any
            other kind nothing was claimed, unless ``ran`` is unknown: then the claim
            may have been written and must be released.
        """
        if not self.is_owned:
            raise errors.Refused(
                errors.Kind.NOT_READY,
                f"claims shard {self.number} is not owned by this entry; retry",
                retry_after_s=_RETRY_AFTER_S,
            )
        if req.verb == CLAIM:
            return self._acquire(req, deadline)
        if req.verb == RELEASE:
            self.change(lambda state: self._release(state, req), deadline)
        else:
            self._submit_finish(req)
        return messages.ClaimResponse(is_mine=False)

    def _submit_finish(self, req: messages.ClaimRequest) -> None:
        """Cache the answer, and mark the claim done without waiting for the write."""
        if req.answer is not None:
            self._answers.put(req.claim, req.answer)
        self.submit(lambda state: self._finish(state, req), wake=False)

    def _acquire(
        self, req: messages.ClaimRequest, deadline: float
    ) -> messages.ClaimResponse:
        existing = self.state.get(req.key)
        if existing is not None and existing.claim != req.claim:
            # The state in the store decides this; no write is needed.
            return self._answer_existing(existing, req)
        return self.change(lambda state: self._create(state, req), deadline)

    def _create(
        self, state: Claims, req: messages.ClaimRequest
    ) -> messages.ClaimResponse:
        existing = state.get(req.key)
        if existing is not None:
            return self._answer_existing(existing, req)
        if req.claim in self._released:
            raise errors.Refused(
                errors.Kind.STALE, "the claim was released before it arrived"
            )
        if len(state) >= _MAX_CLAIMS_PER_SHARD:
            raise errors.Refused(
                errors.Kind.OVERLOADED,
                f"claims shard {self.number} holds {_MAX_CLAIMS_PER_SHARD} keys; "
                "shorten limits.claim_retention_s or retry later",
                retry_after_s=_SHARD_FULL_RETRY_AFTER_S,
            )
        expires_at = int(self._retention_clock.now() + self._retention_s()) + 1
        state[req.key] = Claim(req.digest, req.claim, expires_at)
        return messages.ClaimResponse(is_mine=True)

    def _answer_existing(
        self, existing: Claim, req: messages.ClaimRequest
    ) -> messages.ClaimResponse:
        if existing.digest != req.digest:
            raise errors.Refused(
                errors.Kind.KEY_REUSED,
                "the key was used for a different request; choose a new key",
            )
        if existing.claim == req.claim:
            return messages.ClaimResponse(is_mine=not existing.is_done)
        answer = self._answers.get(existing.claim)
        if answer is not None:
            return messages.ClaimResponse(is_mine=False, answer=answer)
        if existing.is_done:
            raise errors.Refused(
                errors.Kind.ALREADY_RAN,
                "the request with this key ran and its answer is no longer cached; "
                "look up its effect",
            )
        raise errors.Refused(
            errors.Kind.KEY_IN_USE,
            "the request with this key is in progress, or its outcome was lost; retry, "
            "or look up its effect",
            retry_after_s=_RETRY_AFTER_S,
        )

    def _finish(self, state: Claims, req: messages.ClaimRequest) -> None:
        existing = state.get(req.key)
        if existing is not None and existing.claim == req.claim:
            state[req.key] = existing._replace(is_done=True)

    def _release(self, state: Claims, req: messages.ClaimRequest) -> None:
        self._released.add(req.claim)
        existing = state.get(req.key)
        if (
            existing is not None
            and existing.claim == req.claim
            and not existing.is_done
        ):
            del state[req.key]


def make_claim_call(key: str, req: messages.ForwardRequest) -> messages.ClaimRequest:
    """Return the call that claims a key for one new attempt at a request.

    Parameters
    ----------
    key : str
        The idempotency key that the caller sent.
    req : messages.ForwardRequest
        The request; its service, method, target and body are hashed.
    """
    hashed = hashlib.sha256(f"{req.service}\0{key}".encode()).digest()
    content = hashlib.sha256(f"{req.method}\0{req.target}\0".encode() + req.body)
    return messages.ClaimRequest(
        shard=int.from_bytes(hashed[-4:]) % SHARDS,
        verb=CLAIM,
        key=hashed[:_KEY_BYTES],
        digest=content.digest()[:_DIGEST_BYTES],
        claim=secrets.token_bytes(_CLAIM_BYTES),
    )
