"""Operators' bearer tokens: created, stored as salted hashes, verified, reloaded."""

import collections
import hashlib
import hmac
import pathlib
import secrets
import threading
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.version import settings

_log = logbook.Logger("tokens")

READ: t.Final = "read"
WRITE: t.Final = "write"

_SECRET_BYTES: t.Final = 32
_SALT_BYTES: t.Final = 16
_HASH_BYTES: t.Final = 32
_SCRYPT_COST: t.Final = 1 << 12
_SCRYPT_BLOCK_SIZE: t.Final = 8
_MAX_TOKEN_CHARS: t.Final = 200
_MAX_FAILED_ATTEMPTS: t.Final = 10
_FAILURE_WINDOW_S: t.Final = 60.0
_MAX_TRACKED_ADDRESSES: t.Final = 1_000
_MAX_CACHED_TOKENS: t.Final = 100
_RELOAD_INTERVAL_S: t.Final = 1.0


class NewToken(t.NamedTuple):
    """A new token, and its entry in the settings, which holds only a salted hash."""

    token: str
    kept: settings.OperatorToken


class Holder(t.NamedTuple):
    """The name of a token's holder, and the role that the token grants."""

    name: str
    role: str


def create_token(name: str, role: str) -> NewToken:
    """Create a token with a random secret.

    Parameters
    ----------
    name : str
        The holder of the token, recorded as the author of changes made with it.
    role : str
        ``read`` or ``write``.

    Returns
    -------
    NewToken
        The token, which is shown only once, and its entry for ``operator_tokens``.
    """
    token = f"{name}:{secrets.token_urlsafe(_SECRET_BYTES)}"
    salt = secrets.token_bytes(_SALT_BYTES)
    entry = {"name": name, "role": role, "salt": salt.hex()}
    entry["hash"] = _hash(token, salt).hex()
    return NewToken(token, t.cast(settings.OperatorToken, entry))


def _hash(token: str, salt: bytes) -> bytes:
    return hashlib.scrypt(
        token.encode(),
        salt=salt,
        n=_SCRYPT_COST,
        r=_SCRYPT_BLOCK_SIZE,
        p=1,
        dklen=_HASH_BYTES,
    )


@t.final
class FailureLimiter:
    """Limits the failed attempts from each address."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._failure_expiries: collections.OrderedDict[str, list[float]] = (
            collections.OrderedDict()
        )

    def blocked_for_s(self, address: str) -> float:
        """Return the seconds until an address may try again, or 0 if it may now."""
        now = time.monotonic()
        with self._lock:
            recent = [
                expiry
                for expiry in self._failure_expiries.get(address, [])
                if expiry > now
            ]
            return recent[0] - now if len(recent) >= _MAX_FAILED_ATTEMPTS else 0.0

    def record_failure(self, address: str) -> None:
        """Record a failed attempt, which counts until the end of its time window."""
        now = time.monotonic()
        with self._lock:
            recent = [
                expiry
                for expiry in self._failure_expiries.pop(address, [])
                if expiry > now
            ]
            self._failure_expiries[address] = [*recent, now + _FAILURE_WINDOW_S]
            while len(self._failure_expiries) > _MAX_TRACKED_ADDRESSES:
                self._failure_expiries.popitem(last=False)


@t.final
class TokenVerifier:
    """Verifies tokens against the salted hashes in the settings.

    Parameters
    ----------
    accepted : list of settings.OperatorToken
        The tokens that are accepted.
    """

    def __init__(self, accepted: list[settings.OperatorToken]) -> None:
        self._failure_limiter = FailureLimiter()
        self._lock = threading.Lock()
        self._hmac_key = secrets.token_bytes(_HASH_BYTES)
        self._decoy_salt = secrets.token_bytes(_SALT_BYTES)
        self._accepted_by_name: dict[str, list[settings.OperatorToken]] = {}
        self._cached_holders: dict[bytes, Holder] = {}
        self.replace_tokens(accepted)

    def replace_tokens(self, accepted: list[settings.OperatorToken]) -> None:
        """Replace all accepted tokens, and clear the cache of verified ones."""
        by_name: dict[str, list[settings.OperatorToken]] = {}
        for token in accepted:
            by_name.setdefault(token["name"], []).append(token)
        with self._lock:
            self._accepted_by_name = by_name
            self._cached_holders = {}

    def verify(self, authorization: str, address: str) -> Holder:
        """Return the holder of the token in an ``Authorization`` header.

        Raises
        ------
        errors.Error
            UNAUTHORIZED, or TOO_MANY_ATTEMPTS after repeated failures from the
            address.
        """
        token = _parse_bearer_token(authorization)
        holder = self._find_cached(token)
        if holder is not None:
            return holder
        blocked_s = self._failure_limiter.blocked_for_s(address)
        if blocked_s:
            raise errors.Error(
                errors.Kind.TOO_MANY_ATTEMPTS,
                f"{_MAX_FAILED_ATTEMPTS} wrong tokens sent from {address}; retry later",
                retry_after_s=blocked_s,
            )
        holder = self._find_by_hash(token) if token else None
        if holder is None:
            self._failure_limiter.record_failure(address)
            raise errors.Error(
                errors.Kind.UNAUTHORIZED,
                "the token is missing or unknown; send Authorization: Bearer <token>",
            )
        return holder

    def _cache_key(self, token: str) -> bytes:
        return hmac.digest(self._hmac_key, token.encode(), "sha256")

    def _find_cached(self, token: str) -> Holder | None:
        """Return the holder of a token verified before, without the slow hash."""
        with self._lock:
            return self._cached_holders.get(self._cache_key(token)) if token else None

    def _find_by_hash(self, token: str) -> Holder | None:
        with self._lock:
            accepted = self._accepted_by_name
        candidates = accepted.get(token.partition(":")[0], [])
        if not candidates:
            # Checking an unknown name must take as long as checking a wrong token.
            _hash(token, self._decoy_salt)
        found = None
        for candidate in candidates:
            expected = bytes.fromhex(candidate["hash"])
            actual = _hash(token, bytes.fromhex(candidate["salt"]))
            if hmac.compare_digest(actual, expected):
                found = Holder(candidate["name"], candidate["role"])
        if found is not None:
            self._cache_holder(token, found, accepted)
        return found

    def _cache_holder(self, token: str, holder: Holder, accepted: object) -> None:
        with self._lock:
            # Tokens replaced during the verification must not be cached again.
            if self._accepted_by_name is not accepted:
                return
            if len(self._cached_holders) >= _MAX_CACHED_TOKENS:
                self._cached_holders = {}
            self._cached_holders[self._cache_key(token)] = holder


def _parse_bearer_token(authorization: str) -> str:
    scheme, _, token = authorization.strip().partition(" ")
    token = token.strip()
    is_bearer = scheme.lower() == "bearer" and len(token) <= _MAX_TOKEN_CHARS
    return token if is_bearer and token.isascii() else ""


@t.final
class TokenReloader:
    """Reloads the tokens when the settings file changes.

    Parameters
    ----------
    path : pathlib.Path
        The settings file of the entry.
    verifier : TokenVerifier
        Receives the tokens.
    """

    def __init__(self, path: pathlib.Path, verifier: TokenVerifier) -> None:
        self._path = path
        self._verifier = verifier
        self._last_text = self._read()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="tokens", daemon=True)

    def start(self) -> None:
        """Start the thread that polls the file."""
        self._thread.start()

    def stop(self) -> None:
        """Signal the thread to stop, without waiting for it."""
        self._stopping.set()

    def _read(self) -> bytes:
        try:
            return self._path.read_bytes()
        except OSError:
            return b""

    def _run(self) -> None:
        while not self._stopping.wait(_RELOAD_INTERVAL_S):
            text = self._read()
            if text and text != self._last_text:
                self._last_text = text
                self._reload()

    def _reload(self) -> None:
        try:
            cfg = settings.check_entry(settings.read(self._path))
        except errors.Invalid as exc:
            _log.warning("tokens: kept as they were, since {}", exc.detail)
            return
        self._verifier.replace_tokens(cfg["operator_tokens"])
        _log.info(
            "tokens: {} reloaded from the settings file", len(cfg["operator_tokens"])
        )
