"""Shards of claims over stores in memory."""

import contextlib
import time

from bilberrypass.claiming import claims
from bilberrypass.connection import memory, messages
from bilberrypass.membership import directory
from testing import fixtures

TIMEOUT_S = 10.0
RETENTION_S = 60.0


@contextlib.contextmanager
def running_shard(kv=None, retention_s=RETENTION_S):
    """Run the owner of a shard, in the given store or in one of its own."""
    own_member = directory.Member("e0", "127.0.0.1:1")
    kv = kv or memory.MemoryStore()
    entry_directory = directory.Directory(kv, "/", own_member, 10)
    entry_directory.start()
    shard = claims.Shard(0, entry_directory, "/", lambda: retention_s)
    shard.start()
    try:
        fixtures.wait_until(lambda: shard.is_owned, TIMEOUT_S, "the ownership")
        yield shard
    finally:
        shard.stop()
        entry_directory.stop()


def call(shard, verb, claim, key=b"key"):
    """Claim, release or finish a key of the shard for one attempt."""
    req = messages.ClaimRequest(0, verb, key, b"digest", claim)
    return shard.call(req, time.monotonic() + TIMEOUT_S)
