"""Threads whose work meets an unexpected error."""

import threading

from bilberrypass import supervision
from testing import collecting


def test_work_begins_again_after_an_unexpected_error():
    stopping, calls, ended = threading.Event(), [], threading.Event()

    def work():
        calls.append(1)
        if len(calls) < 3:
            raise KeyError("unexpected")
        ended.set()

    supervision.SupervisedThread("t", work, stopping).start()
    assert ended.wait(5.0) and len(calls) == 3, calls


def test_duties_are_left_before_work_begins_again():
    stopping, seen, ended = threading.Event(), [], threading.Event()

    def work():
        seen.append("work")
        if len(seen) == 1:
            raise RuntimeError("can't start new thread")
        ended.set()

    def leave():
        seen.append("left")
        raise ValueError("not even that works")

    supervision.SupervisedThread("t", work, stopping, leave).start()
    assert ended.wait(5.0) and seen == ["work", "left", "work"], seen


def test_work_does_not_begin_again_once_it_is_to_stop():
    stopping, calls = threading.Event(), []

    def work():
        calls.append(1)
        stopping.set()
        raise KeyError("unexpected")

    thread = supervision.SupervisedThread("t", work, stopping)
    thread.start()
    thread.join(5.0)
    assert calls == [1]


load_tests = collecting.hook(__name__)
