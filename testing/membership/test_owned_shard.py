"""Batched writes limit the calls to the store, however many changes there are."""

import contextlib
import threading
import time

import msgspec

from bilberrypass import errors
from bilberrypass.connection import memory
from bilberrypass.membership import directory, owned_shard
from testing import collecting, fixtures

_CALLERS = 8
_LOAD_S = 2.0
_TIMEOUT_S = 10.0


class _Numbers(owned_shard.OwnedShard[list[int]]):
    """A list of numbers, as one value."""

    writes = 0

    def initial_state(self):
        return []

    def copy(self, state):
        return list(state)

    def encode(self, state, write):
        self.writes += 1
        return msgspec.json.encode([write, state])

    def decode(self, value):
        return msgspec.json.decode(value)[1]


@contextlib.contextmanager
def _running_numbers():
    own_member = directory.Member("e0", "127.0.0.1:1")
    entry_directory = directory.Directory(memory.MemoryStore(), "/", own_member, 10)
    entry_directory.start()
    numbers = _Numbers(entry_directory, "numbers", 0, "/")
    numbers.start()
    try:
        fixtures.wait_until(lambda: numbers.is_owned, _TIMEOUT_S, "the ownership")
        yield numbers
    finally:
        numbers.stop()
        entry_directory.stop()


def _append_until(numbers, deadline, added):
    while time.monotonic() < deadline:
        number = len(added)
        numbers.change(
            lambda state, number=number: state.append(number),
            time.monotonic() + _TIMEOUT_S,
        )
        added.append(number)


def test_concurrent_changes_are_batched_into_few_writes():
    """Guards against one store write per change under load."""
    with _running_numbers() as numbers:
        before, began = numbers.writes, time.monotonic()
        added = [[] for _ in range(_CALLERS)]
        threads = [
            threading.Thread(target=_append_until, args=(numbers, began + _LOAD_S, one))
            for one in added
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        max_writes = (time.monotonic() - began) / numbers.min_write_interval_s + 1
        assert numbers.writes - before <= max_writes, (
            numbers.writes - before,
            max_writes,
        )
        assert len(numbers.state) == sum(map(len, added)) > _CALLERS


def test_change_after_an_idle_period_is_written_at_once():
    """Guards against a change that waits for a write interval although none is due."""
    with _running_numbers() as numbers:
        for _ in range(3):
            fixtures.wait_until(
                lambda: time.monotonic() > numbers._next_write,
                _TIMEOUT_S,
                "an idle period",
            )
            due_at = numbers._next_write
            numbers.change(lambda state: state.append(1), time.monotonic() + _TIMEOUT_S)
            assert numbers._next_write > due_at
        assert len(numbers.state) == 3


def test_changes_dropped_with_one_that_fails_are_answered_at_once():
    """Guards against callers that wait for changes which nobody will apply."""
    with _running_numbers() as numbers:
        batch = []

        def submit_one_that_fails(state):
            state.append(1)
            batch.append(numbers.submit(lambda state: state.index("missing")))

        batch.append(numbers.submit(submit_one_that_fails))
        fixtures.wait_until(lambda: len(batch) == 2, _TIMEOUT_S, "the batch")
        for fut in batch:
            exc = fut.exception(_TIMEOUT_S)
            assert exc.kind is errors.Kind.STALE, exc
        fixtures.wait_until(lambda: numbers.is_owned, _TIMEOUT_S, "the ownership")
        assert numbers.state == []


load_tests = collecting.hook(__name__)
