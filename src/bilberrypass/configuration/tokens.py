"""Operators' bearer tokens: made, kept as salted hashes, checked, replaced."""

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
_SCRYPT_BLOCK: t.Final = 8
_MAX_TOKEN_CHARS: t.Final = 200
_MAX_FAILURES: t.Final = 10
_FAILURE_WINDOW_S: t.Final = 60.0
_MAX_ADDRESSES: t.Final = 1_000
_MAX_REMEMBERED: t.Final = 100
_REREAD_INTERVAL_S: t.Final = 1.0


class Made(t.NamedTuple):
    """A new token, and what the settings keep of it."""

    token: str
    kept: settings.OperatorToken


class Holder(t.NamedTuple):
    """Who holds a token, and what it may do."""

    name: str
    role: str


def make(name: str, role: str) -> Made:
    """Make a token.

    Parameters
    ----------
    name : str
        Who is to hold it; the author of changes made with it.
    role : str
        ``read`` or ``write``.

    Returns
    -------
    Made
        The token, to be shown once, and the entry for ``operator_tokens``.
    """
    token = f"{name}:{secrets.token_urlsafe(_SECRET_BYTES)}"
    salt = secrets.token_bytes(_SALT_BYTES)
    kept = {"name": name, "role": role, "salt": salt.hex()}
    kept["hash"] = _hash(token, salt).hex()
    return Made(token, t.cast(settings.OperatorToken, kept))


def _hash(token: str, salt: bytes) -> bytes:
    return hashlib.scrypt(
        token.encode(),
        salt=salt,
        n=_SCRYPT_COST,
        r=_SCRYPT_BLOCK,
        p=1,
        dklen=_HASH_BYTES,
    )


@t.final
class Attempts:
    """Bounds the failed attempts from one address."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._failed: collections.OrderedDict[str, list[float]] = (
            collections.OrderedDict()
        )

    def blocked_for_s(self, address: str) -> float:
        """Return for how long no further attempt is taken; 0 if it is now."""
        now = time.monotonic()
        with self._lock:
            recent = [d for d in self._failed.get(address, []) if d > now]
            return recent[0] - now if len(recent) >= _MAX_FAILURES else 0.0

    def note_failure(self, address: str) -> None:
        """Count a failed attempt until it is forgotten."""
        now = time.monotonic()
        with self._lock:
            recent = [d for d in self._failed.pop(address, []) if d > now]
            self._failed[address] = [*recent, now + _FAILURE_WINDOW_S]
            while len(self._failed) > _MAX_ADDRESSES:
                self._failed.popitem(last=False)


@t.final
class Keeper:
    """Checks tokens against the salted hashes of the settings.

    Parameters
    ----------
    kept : list of settings.OperatorToken
        The tokens that are accepted.
    """

    def __init__(self, kept: list[settings.OperatorToken]) -> None:
        self._attempts = Attempts()
        self._lock = threading.Lock()
        self._key = secrets.token_bytes(_HASH_BYTES)
        self._decoy = secrets.token_bytes(_SALT_BYTES)
        self._kept: dict[str, list[settings.OperatorToken]] = {}
        self._remembered: dict[bytes, Holder] = {}
        self.replace(kept)

    def replace(self, kept: list[settings.OperatorToken]) -> None:
        """Accept these tokens from now on, and no others."""
        by_name: dict[str, list[settings.OperatorToken]] = {}
        for token in kept:
            by_name.setdefault(token["name"], []).append(token)
        with self._lock:
            self._kept = by_name
            self._remembered = {}

    def check(self, authorization: str, address: str) -> Holder:
        """Return the holder of the token in an ``Authorization`` header.

        Raises
        ------
        errors.Error
            UNAUTHORIZED, or TOO_MANY_ATTEMPTS after several of them.
        """
        token = _bearer(authorization)
        holder = self._recall(token)
        if holder is not None:
            return holder
        blocked_s = self._attempts.blocked_for_s(address)
        if blocked_s:
            raise errors.Error(
                errors.Kind.TOO_MANY_ATTEMPTS,
                f"{_MAX_FAILURES} wrong tokens came from {address}; come back later",
                retry_after_s=blocked_s,
            )
        holder = self._find(token) if token else None
        if holder is None:
            self._attempts.note_failure(address)
            raise errors.Error(
                errors.Kind.UNAUTHORIZED,
                "no known token was sent; send Authorization: Bearer <token>",
            )
        return holder

    def _digest(self, token: str) -> bytes:
        return hmac.digest(self._key, token.encode(), "sha256")

    def _recall(self, token: str) -> Holder | None:
        """Find a token that was right before, without the slow hash."""
        with self._lock:
            return self._remembered.get(self._digest(token)) if token else None

    def _find(self, token: str) -> Holder | None:
        with self._lock:
            kept = self._kept
        candidates = kept.get(token.partition(":")[0], [])
        if not candidates:
            # An unknown name takes as long as a wrong token.
            _hash(token, self._decoy)
        found = None
        for candidate in candidates:
            expected = bytes.fromhex(candidate["hash"])
            given = _hash(token, bytes.fromhex(candidate["salt"]))
            if hmac.compare_digest(given, expected):
                found = Holder(candidate["name"], candidate["role"])
        if found is not None:
            self._remember(token, found, kept)
        return found

    def _remember(self, token: str, holder: Holder, kept: object) -> None:
        with self._lock:
            # Meanwhile replaced tokens must not come back.
            if self._kept is not kept:
                return
            if len(self._remembered) >= _MAX_REMEMBERED:
                self._remembered = {}
            self._remembered[self._digest(token)] = holder


def _bearer(authorization: str) -> str:
    scheme, _, token = authorization.strip().partition(" ")
    token = token.strip()
    is_one = scheme.lower() == "bearer" and len(token) <= _MAX_TOKEN_CHARS
    return token if is_one and token.isascii() else ""


@t.final
class Rereader:
    """Replaces the tokens when the settings file changes.

    Parameters
    ----------
    path : pathlib.Path
        The settings file of the entry.
    keeper : Keeper
        Takes the tokens.
    """

    def __init__(self, path: pathlib.Path, keeper: Keeper) -> None:
        self._path = path
        self._keeper = keeper
        self._seen = self._read()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="tokens", daemon=True)

    def start(self) -> None:
        """Begin to look at the file."""
        self._thread.start()

    def stop(self) -> None:
        """Look no more."""
        self._stopping.set()

    def _read(self) -> bytes:
        try:
            return self._path.read_bytes()
        except OSError:
            return b""

    def _run(self) -> None:
        while not self._stopping.wait(_REREAD_INTERVAL_S):
            text = self._read()
            if text and text != self._seen:
                self._seen = text
                self._reread()

    def _reread(self) -> None:
        try:
            cfg = settings.check_entry(settings.read(self._path))
        except errors.Invalid as exc:
            _log.warning("tokens: kept as they were, since {}", exc.detail)
            return
        self._keeper.replace(cfg["operator_tokens"])
        _log.info("tokens: {} read anew", len(cfg["operator_tokens"]))
