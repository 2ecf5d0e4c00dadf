"""Claims on idempotency keys: a keyed non-idempotent request runs at most once."""

import collections
import collections.abc as abc
import hashlib
import secrets
import threading
import time
import typing as t

import msgspec

from bilberrypass import errors
from bilberrypass.connection import messages
from bilberrypass.membership import directory, grouped

_KEY_BYTES: t.Final = 12
_DIGEST_BYTES: t.Final = 8
_CLAIM_BYTES: t.Final = 8
# Bounds the page and the memory of an entry that owns all shards.
_MAX_CLAIMS: t.Final = 8_000
_SWEEP_INTERVAL_S: t.Final = 10.0
_FULL_RETRY_S: t.Final = 30.0
_RETRY_S: t.Final = 1.0
_MAX_ANSWERS_BYTES: t.Final = 512 << 10

MAX_ANSWER_BYTES: t.Final = 64 << 10
SHARDS: t.Final = 8
"""Fixed: with another number a held key would be looked up in another shard."""

CLAIM: t.Final = "claim"
RELEASE: t.Final = "release"
FINISH: t.Final = "finish"


class Claim(t.NamedTuple):
    """One key's claim; ``expires_at`` is Unix time."""

    digest: bytes
    claim: bytes
    expires_at: int
    is_done: bool = False


Claims = dict[bytes, Claim]


class _Page(t.NamedTuple):
    """The value of a shard in the store."""

    epoch: int
    write: str
    claims: Claims


@t.final
class Answers:
    """The newest answers of finished claims, bounded in bytes."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._kept: collections.OrderedDict[bytes, messages.Forwarded] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def keep(self, claim: bytes, answer: messages.Forwarded) -> None:
        """Keep an answer, and drop the oldest ones that it displaces."""
        if answer.length > MAX_ANSWER_BYTES:
            return
        with self._lock:
            if claim in self._kept:
                return
            self._kept[claim] = answer
            self._bytes += answer.length
            while self._bytes > _MAX_ANSWERS_BYTES:
                self._bytes -= self._kept.popitem(last=False)[1].length

    def get(self, claim: bytes) -> messages.Forwarded | None:
        """Return a claim's answer while it is kept."""
        return self._kept.get(claim)


@t.final
class Shard(grouped.Grouped[Claims]):
    """One shard of the claims, while this entry owns it.

    Parameters
    ----------
    number : int
        The shard.
    names : directory.Directory
        The shared keys, and the entry's lease.
    prefix : str
        First part of each key.
    retention_s : callable
        Returns the life of a new claim, in seconds.
    """

    # Time brings a claim nothing but its end, and each pass compares all claims.
    pass_interval_s = 1.0
    least_gap_s = 0.05

    def __init__(
        self,
        number: int,
        names: directory.Directory,
        prefix: str,
        retention_s: abc.Callable[[], float],
    ) -> None:
        super().__init__(names, "claims", number, prefix)
        self._retention_s = retention_s
        self._next_sweep = 0.0
        self._answers = Answers()

    def empty(self) -> Claims:
        """Return no claims."""
        return {}

    def copy(self, state: Claims) -> Claims:
        """Return the same claims in another dict; a claim never changes."""
        return dict(state)

    def encode(self, state: Claims, write: str) -> bytes:
        """Write the claims as a page."""
        return msgspec.msgpack.encode(_Page(self.ownership.epoch, write, state))

    def decode(self, value: bytes) -> Claims:
        """Read the claims from a page."""
        return msgspec.msgpack.decode(value, type=_Page).claims

    def step(self, state: Claims) -> None:
        """Drop the claims whose retention has ended."""
        if time.monotonic() < self._next_sweep:
            return
        self._next_sweep = time.monotonic() + _SWEEP_INTERVAL_S
        now = time.time()
        for key in [k for k, c in state.items() if c.expires_at < now]:
            del state[key]

    def call(self, req: messages.ClaimCall, deadline: float) -> messages.ClaimAnswer:
        """Answer a call on a claim of this shard.

        Raises
        ------
        errors.Error
            KEY_REUSED, KEY_IN_USE or ALREADY_RAN; otherwise nothing is claimed,
            or (``ran`` unknown) the claim may stand and must be released.
        """
        if not self.is_owned:
            raise errors.Refused(
                errors.Kind.NOT_READY,
                f"claims shard {self.number} is owned elsewhere; ask again",
                retry_after_s=_RETRY_S,
            )
        if req.verb == CLAIM:
            return self._claim(req, deadline)
        if req.verb == RELEASE:
            self.change(lambda state: self._release(state, req), deadline)
        else:
            self._note_finish(req)
        return messages.ClaimAnswer(is_mine=False)

    def _note_finish(self, req: messages.ClaimCall) -> None:
        """Keep the answer; the next write notes the end, and nobody waits for it."""
        if req.answer is not None:
            self._answers.keep(req.claim, req.answer)
        self.submit(lambda state: self._finish(state, req), hurry=False)

    def _claim(self, req: messages.ClaimCall, deadline: float) -> messages.ClaimAnswer:
        known = self.state.get(req.key)
        if known is not None and known.claim != req.claim:
            # What the store holds is enough; it takes no write to say so.
            return self._answer_known(known, req)
        return self.change(lambda state: self._create(state, req), deadline)

    def _create(self, state: Claims, req: messages.ClaimCall) -> messages.ClaimAnswer:
        known = state.get(req.key)
        if known is not None:
            return self._answer_known(known, req)
        if len(state) >= _MAX_CLAIMS:
            raise errors.Refused(
                errors.Kind.OVERLOADED,
                f"claims shard {self.number} holds {_MAX_CLAIMS} keys; "
                "shorten limits.claim_retention_s or come back later",
                retry_after_s=_FULL_RETRY_S,
            )
        expires_at = int(time.time() + self._retention_s()) + 1
        state[req.key] = Claim(req.digest, req.claim, expires_at)
        return messages.ClaimAnswer(is_mine=True)

    def _answer_known(
        self, known: Claim, req: messages.ClaimCall
    ) -> messages.ClaimAnswer:
        if known.digest != req.digest:
            raise errors.Refused(
                errors.Kind.KEY_REUSED,
                "the key was sent with another request before; choose a new one",
            )
        if known.claim == req.claim:
            return messages.ClaimAnswer(is_mine=not known.is_done)
        answer = self._answers.get(known.claim)
        if answer is not None:
            return messages.ClaimAnswer(is_mine=False, answer=answer)
        if known.is_done:
            raise errors.Refused(
                errors.Kind.ALREADY_RAN,
                "the key's request ran and its answer is no longer held; "
                "look up its effect",
            )
        raise errors.Refused(
            errors.Kind.KEY_IN_USE,
            "the key's request is in progress, or its outcome was lost; ask again, "
            "or look up its effect",
            retry_after_s=_RETRY_S,
        )

    def _finish(self, state: Claims, req: messages.ClaimCall) -> None:
        known = state.get(req.key)
        if known is not None and known.claim == req.claim:
            state[req.key] = known._replace(is_done=True)

    def _release(self, state: Claims, req: messages.ClaimCall) -> None:
        known = state.get(req.key)
        if known is not None and known.claim == req.claim and not known.is_done:
            del state[req.key]


def identify(key: str, req: messages.Forward) -> messages.ClaimCall:
    """Return the claim of one attempt at a keyed request.

    Parameters
    ----------
    key : str
        The caller's name for the request.
    req : messages.Forward
        The request.
    """
    hashed = hashlib.sha256(f"{req.service}\0{key}".encode()).digest()
    content = hashlib.sha256(f"{req.method}\0{req.target}\0".encode() + req.body)
    return messages.ClaimCall(
        shard=int.from_bytes(hashed[-4:]) % SHARDS,
        verb=CLAIM,
        key=hashed[:_KEY_BYTES],
        digest=content.digest()[:_DIGEST_BYTES],
        claim=secrets.token_bytes(_CLAIM_BYTES),
    )
