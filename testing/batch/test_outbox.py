"""Starts sent by an owner, and the certainty of a refusal after a resend."""

import concurrent.futures as futures
import time
import typing as t
import unittest.mock

from bilberrypass import errors, resources
from bilberrypass.batch import liveness, outbox
from bilberrypass.connection import messages
from bilberrypass.membership import fleet
from bilberrypass.version import work
from testing import collecting, fakes

_SENDER = outbox.SenderIdentity("e", 0, 1, 60.0)
_REPORT = fakes.make_report(capacity=fakes.CAPACITY)


class _Hosts(t.NamedTuple):
    answers: list

    def get(self, name):
        return fleet.Host(_REPORT, time.monotonic(), self)

    def call(self, method, req, deadline):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return messages.StartResponse(
            [messages.StartOutcome(s.task, answer) for s in req.specs]
        )


class _Listener:
    def __init__(self):
        self.calls = []
        self.epoch = _SENDER.epoch

    def is_owner(self, epoch):
        return epoch == self.epoch

    def on_started(self, task, position):
        self.calls.append("started")

    def on_refused(self, task, detail, is_certain, epoch):
        self.calls.append(f"refused, certain: {is_certain}")


def _spec():
    return work.Spec(work.TaskId("t", "j", 0, 1), resources.Demand(1, 1), "")


def _send(answers, is_first_send=True):
    listener = _Listener()
    sender = outbox.Outbox(
        _Hosts(list(answers)),
        liveness.LivenessTracker(60.0),
        listener,
        fakes.InlineExecutor(),
    )
    if is_first_send:
        sender.mark_first_send([_spec().task], _SENDER.epoch)
    for _ in answers:
        sender._sent_at.clear()
        sender.start(_SENDER, "h0", [_spec()])
    return listener.calls


def test_first_refusal_is_certain():
    assert _send([errors.Kind.NO_ROOM]) == ["refused, certain: True"]


def test_refusal_after_a_lost_start_is_not_certain():
    """The lost start may still arrive, so the task may run despite the refusal."""
    lost = errors.Error(errors.Kind.ANSWER_LOST, "lost")
    leaving = errors.Refused(errors.Kind.LEAVING, "leaves")
    assert _send([lost, leaving]) == ["refused, certain: False"]


def test_refusal_of_what_another_owner_may_have_sent_is_not_certain():
    calls = _send([errors.Kind.NO_ROOM], is_first_send=False)
    assert calls == ["refused, certain: False"]


def test_refusal_after_an_unreadable_outcome_is_not_certain():
    assert _send(["NEWER_KIND", errors.Kind.NO_ROOM]) == ["refused, certain: False"]


def test_refusal_after_a_start_refused_as_stale_is_certain():
    stale = errors.Refused(errors.Kind.STALE, "quote a newer one")
    assert _send([stale, errors.Kind.NO_ROOM]) == ["refused, certain: True"]


def test_start_refused_as_stale_is_resent():
    stale = errors.Refused(errors.Kind.STALE, "quote a newer one")
    assert _send([stale, ""]) == ["started"]


class _DeferringExecutor(futures.Executor):
    def __init__(self):
        self.calls = []

    def submit(self, fn, /, *args, **kwargs):
        self.calls.append(lambda: fn(*args, **kwargs))


def test_start_queued_before_the_shard_changed_its_owner_is_not_sent():
    listener, pool, hosts = _Listener(), _DeferringExecutor(), _Hosts([""])
    sender = outbox.Outbox(hosts, liveness.LivenessTracker(60.0), listener, pool)
    sender.start(_SENDER, "h0", [_spec()])
    listener.epoch = _SENDER.epoch + 1
    pool.calls.pop()()
    assert hosts.answers == [""], "the start was sent"
    assert listener.calls == []


def test_refusal_is_not_certain_after_the_shard_had_another_owner():
    listener = _Listener()
    sender = outbox.Outbox(
        _Hosts([errors.Kind.LEAVING]),
        liveness.LivenessTracker(60.0),
        listener,
        fakes.InlineExecutor(),
    )
    sender.mark_first_send([_spec().task], _SENDER.epoch)
    listener.epoch = _SENDER.epoch + 2
    sender.start(_SENDER._replace(epoch=listener.epoch), "h0", [_spec()])
    assert listener.calls == ["refused, certain: False"]


def test_stop_is_not_held_back_by_the_start_of_its_task():
    ended = messages.TaskState(
        _spec().task, "stopped", resources.Demand(1, 1), "", "never ran"
    )
    hosts, listener = _Hosts([""]), _Listener()
    listener.on_ended = listener.calls.append
    sender = outbox.Outbox(
        hosts, liveness.LivenessTracker(60.0), listener, fakes.InlineExecutor()
    )
    sender.start(_SENDER, "h0", [_spec()])
    with unittest.mock.patch.object(
        _Hosts, "call", lambda *args: messages.StopResponse([ended])
    ):
        sender.stop("h0", [_spec().task], checkpoint=False)
        sender.stop("h0", [_spec().task], checkpoint=False)
    assert listener.calls == ["started", ended], "the stop was not sent once"


load_tests = collecting.hook(__name__)
