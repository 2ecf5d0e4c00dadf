"""Grouped writes: few calls to the store, however many changes there are."""

import contextlib
import threading
import time

import msgspec

from bilberrypass.connection import memory
from bilberrypass.membership import directory, grouped
from testing import collecting, fixtures

_CALLERS = 8
_BUSY_S = 2.0
_CALL_S = 10.0


class _Numbers(grouped.Grouped[list[int]]):
    """A list of numbers, as one value."""

    writes = 0

    def empty(self):
        return []

    def copy(self, state):
        return list(state)

    def encode(self, state, write):
        self.writes += 1
        return msgspec.json.encode([write, state])

    def decode(self, value):
        return msgspec.json.decode(value)[1]


@contextlib.contextmanager
def _owned():
    me = directory.Member("e0", "127.0.0.1:1")
    names = directory.Directory(memory.MemoryStore(), "/", me, 10)
    names.start()
    made = _Numbers(names, "numbers", 0, "/")
    made.start()
    try:
        fixtures.wait_until(lambda: made.is_owned, _CALL_S, "the ownership")
        yield made
    finally:
        made.stop()
        names.stop()


def _append_until(made, end, added):
    while time.monotonic() < end:
        number = len(added)
        made.change(
            lambda state, number=number: state.append(number),
            time.monotonic() + _CALL_S,
        )
        added.append(number)


def test_changes_from_all_sides_go_into_few_writes():
    with _owned() as made:
        before, began = made.writes, time.monotonic()
        added = [[] for _ in range(_CALLERS)]
        threads = [
            threading.Thread(target=_append_until, args=(made, began + _BUSY_S, one))
            for one in added
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        most = (time.monotonic() - began) / made.least_gap_s + 1
        assert made.writes - before <= most, (made.writes - before, most)
        assert len(made.state) == sum(map(len, added)) > _CALLERS


def test_change_after_a_quiet_time_is_written_at_once():
    with _owned() as made:
        for _ in range(3):
            fixtures.wait_until(
                lambda: time.monotonic() > made._next_write, _CALL_S, "a quiet time"
            )
            due = made._next_write
            made.change(lambda state: state.append(1), time.monotonic() + _CALL_S)
            assert made._next_write > due
        assert len(made.state) == 3


load_tests = collecting.hook(__name__)
