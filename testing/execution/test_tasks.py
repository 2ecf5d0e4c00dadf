"""The tasks of one host, against the worker's stand-in."""

import contextlib
import time

from bilberrypass import errors, resources
from bilberrypass.connection import messages
from bilberrypass.execution import tasks
from bilberrypass.version import work
from testing import collecting, fakes, fixtures

_LEASE_S = 60.0


@contextlib.contextmanager
def _agent():
    fake = fakes.Worker()
    own = tasks.Tasks("h0", fake.handle(), 1)
    own.attach()
    yield fake, own


def _spec(index=0, attempt=1, cpu_milli=2):
    task = work.TaskId("t", "j", index, attempt)
    return work.Spec(task, resources.Demand(cpu_milli, 1, 0), "")


def _start(own, *specs, sent_at=None, lease_s=_LEASE_S):
    req = messages.Start("e", 0, 1, 1, 1, lease_s, list(specs))
    sent_at = time.monotonic() if sent_at is None else sent_at
    return [outcome.kind for outcome in own.start(req, sent_at).outcomes]


def test_refuses_what_the_host_cannot_hold():
    with _agent() as (fake, own):
        kinds = _start(own, _spec(0), _spec(1), _spec(2))
        assert kinds == ["", "", errors.Kind.NO_ROOM], kinds
        assert len(fake.live()) == 2


def test_replaced_agent_counts_what_runs_before_it_admits():
    with _agent() as (fake, own):
        _start(own, _spec(0, cpu_milli=4))
        newer = tasks.Tasks("h0", fake.handle(), 2)
        newer.attach()
        assert _start(newer, _spec(1)) == [errors.Kind.NO_ROOM]
        assert len(fake.live()) == 1


def test_start_after_its_lease_lapsed_is_refused():
    with _agent() as (fake, own):
        kinds = _start(own, _spec(), sent_at=time.monotonic() - 2, lease_s=1.0)
        assert kinds == [errors.Kind.STALE], kinds
        assert not fake.live()


def test_uncertain_start_keeps_its_room_until_it_is_stopped():
    with _agent() as (fake, own):
        fake.faults.extend(["late"])
        assert _start(own, _spec(0, cpu_milli=4)) == [errors.Kind.ANSWER_LOST]
        assert _start(own, _spec(1)) == [errors.Kind.NO_ROOM]
        own.poll()
        fake.late_start_arrives()
        assert not fake.live(), "the late start must not run any more"
        assert _start(own, _spec(1)) == [""]


def test_stopped_attempt_does_not_start_on_a_replaced_worker():
    with _agent() as (fake, own):
        own.stop([_spec().task], checkpoint=False)
        fake.tombstones.clear()
        assert _start(own, _spec()) == [errors.Kind.STALE]
        assert not fake.live()


def test_task_that_the_worker_lost_gives_its_room_back():
    with _agent() as (fake, own):
        _start(own, _spec(0, cpu_milli=4))
        fake.runs.clear()
        own.poll()
        assert own.states() == []
        assert _start(own, _spec(1, cpu_milli=4)) == [""]


def test_lapsing_task_is_checkpointed_and_stopped():
    with _agent() as (fake, own):
        _start(own, _spec(), lease_s=0.9)
        own.poll()
        (state,) = own.states()
        assert (state.state, state.checkpoint) == ("stopped", "step:1"), state


def test_older_owner_is_refused():
    with _agent() as (_, own):
        own.check_epoch(0, 5)
        exc = fixtures.error_of(errors.Refused, _start, own, _spec())
        assert exc.kind is errors.Kind.STALE, exc


def test_followed_agent_is_fenced():
    with _agent() as (fake, own):
        fake.incarnation = 2
        fake.generation += 1
        try:
            own.poll()
        except errors.Refused:
            own._attach_again()
        assert own.is_fenced


load_tests = collecting.hook(__name__)
