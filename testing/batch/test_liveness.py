"""Which reports prove that a host has lost a task."""

import time

from bilberrypass import resources
from bilberrypass.batch import liveness
from bilberrypass.connection import messages
from bilberrypass.version import work
from testing import collecting, fakes

_TASK = work.TaskId("t", "j", 0, 1)


def _state():
    return messages.TaskState(_TASK, "running", resources.Demand(1, 1), "", "")


def _report(incarnation, sequence, has_task=False):
    listed = [_state()] if has_task else []
    return fakes.make_report(incarnation=incarnation, sequence=sequence, tasks=listed)


def _find_lost(*reports):
    tracker = liveness.LivenessTracker(60.0)
    return [tracker.find_lost(report, [_TASK]) for report in reports]


def test_task_missing_from_two_reports_is_lost():
    found = _find_lost(_report(1, 1, True), _report(1, 2), _report(1, 3))
    assert found == [[], [], [_TASK]]


def test_task_missing_from_one_report_of_each_of_two_agents_is_not_lost():
    assert _find_lost(_report(1, 1, True), _report(1, 2), _report(2, 1))[2] == []


def test_reports_of_a_replaced_agent_do_not_prove_a_task_lost():
    found = _find_lost(_report(2, 1, True), _report(1, 8), _report(1, 9))
    assert found == [[], [], []]


def test_older_agent_counts_once_the_leases_of_the_newer_one_have_expired():
    tracker = liveness.LivenessTracker(0.01)
    tracker.find_lost(_report(2, 1, True), [_TASK])
    time.sleep(0.02)
    tracker.find_lost(_report(1, 8), [_TASK])
    assert tracker.find_lost(_report(1, 9), [_TASK]) == [_TASK]


def test_reports_sent_before_a_start_do_not_prove_its_task_lost():
    tracker = liveness.LivenessTracker(60.0)
    tracker.confirm(_TASK, liveness.Position(1, 9))
    assert tracker.find_lost(_report(1, 7), [_TASK]) == []
    assert tracker.find_lost(_report(1, 8), [_TASK]) == []
    tracker.find_lost(_report(1, 10), [_TASK])
    assert tracker.find_lost(_report(1, 11), [_TASK]) == [_TASK]


def test_reports_handled_late_do_not_prove_a_task_lost():
    found = _find_lost(_report(1, 9, True), _report(1, 7), _report(1, 8))
    assert found == [[], [], []]


load_tests = collecting.hook(__name__)
