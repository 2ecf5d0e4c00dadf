"""For how long an attempt must not start again on its host."""

import time
import unittest.mock

from bilberrypass.execution import barred
from bilberrypass.version import work
from testing import collecting

_MANY = 5_000
_LONG_S = 3_600.0


def _attempts(count):
    return [work.TaskId("t", "j", index, 1) for index in range(count)]


def test_attempt_stays_barred_while_many_others_end():
    """Guards against a late start that runs after 4,096 other ends on its host."""
    found = barred.BarredAttempts()
    for task in _attempts(_MANY):
        found.add(task)
    assert all(task in found for task in _attempts(_MANY))


def test_attempts_barred_long_ago_are_dropped_beyond_their_limit():
    found = barred.BarredAttempts()
    for task in _attempts(_MANY):
        found.add(task)
    later = time.monotonic() + _LONG_S
    with unittest.mock.patch.object(time, "monotonic", lambda: later):
        found.add(work.TaskId("t", "k", 0, 1))
    kept = [task for task in _attempts(_MANY) if task in found]
    assert kept == _attempts(_MANY)[-4_095:], len(kept)


def test_attempt_barred_again_is_not_dropped_for_its_first_bar():
    found = barred.BarredAttempts()
    first, *others = _attempts(_MANY)
    found.add(first)
    later = time.monotonic() + _LONG_S
    with unittest.mock.patch.object(time, "monotonic", lambda: later):
        found.add(first)
        for task in others:
            found.add(task)
        assert first in found


load_tests = collecting.hook(__name__)
