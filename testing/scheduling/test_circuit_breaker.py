"""Fast failure of calls while the store accepts calls without responding."""

import threading
import time

from bilberrypass import clock, errors
from bilberrypass.scheduling import circuit_breaker, intake, jobs
from testing import collecting, events, fixtures
from testing.standins import keyvalues

_CALLER_TIMEOUT_S = 1.5


class SilentStore(keyvalues.Store):
    """Does not respond while ``is_silent``; calls block until their deadlines.

    ``lose_reads`` is the number of coming reads without an answer.
    """

    def __init__(self):
        super().__init__()
        self.is_silent = False
        self.lose_reads = 0

    def _wait(self, deadline):
        if self.is_silent:
            time.sleep(max(0.0, deadline - clock.now()))
            raise errors.Error(errors.Kind.STORE_UNCERTAIN, "no response")

    def get(self, key, deadline):
        self._wait(deadline)
        if self.lose_reads:
            self.lose_reads -= 1
            raise errors.Error(errors.Kind.STORE_UNCERTAIN, "answer lost")
        return super().get(key, deadline)

    def commit(self, expected, puts, deadline, removed=()):
        self._wait(deadline)
        return super().commit(expected, puts, deadline, removed)


def _job(number):
    return jobs.Job(f"{number:016x}", "h/q/", "s", (jobs.Step(1),), time.time())


def _submit(submissions, number):
    """Return the error kind of a submission, and how long its caller waited."""
    began = clock.now()
    try:
        submissions.submit(_job(number), began + _CALLER_TIMEOUT_S)
        kind = None
    except errors.Error as exc:
        kind = exc.kind
    return kind, clock.now() - began


def test_submissions_to_a_silent_store_fail_fast_with_store_down():
    """Each caller would otherwise wait until its deadline for an uncertain result."""
    store = SilentStore()
    submissions = intake.Submissions(store)
    _silence_after_response(store, submissions)
    first = threading.Thread(target=_submit, args=(submissions, 0))
    first.start()
    time.sleep(0.5)
    outcomes = [_submit(submissions, number) for number in range(1, 20)]
    assert {kind for kind, _ in outcomes} == {errors.Kind.STORE_DOWN}
    waits = [wait_s for _, wait_s in outcomes]
    assert max(waits) < _CALLER_TIMEOUT_S and sum(waits) < _CALLER_TIMEOUT_S * 4, waits
    first.join()


def test_outage_is_detected_before_the_first_write():
    store = SilentStore()
    submissions = intake.Submissions(store)
    assert _submit(submissions, 0)[0] is None
    time.sleep(0.3)  # the last response is no longer recent
    store.is_silent = True
    kind, wait_s = _submit(submissions, 1)
    assert kind is errors.Kind.STORE_DOWN and wait_s < _CALLER_TIMEOUT_S
    assert store.calls.count("commit") == 1


def _silence_after_response(store, submissions):
    """Make the store silent just after a response."""
    submissions.submit(_job(99), clock.now() + 1)
    store.is_silent = True


def test_failed_fast_submission_is_not_sent_to_the_store():
    store = SilentStore()
    submissions = intake.Submissions(store)
    _silence_after_response(store, submissions)
    assert _submit(submissions, 0)[0] is errors.Kind.STORE_UNCERTAIN
    assert _submit(submissions, 1)[0] is errors.Kind.STORE_DOWN
    assert store.calls.count("commit") == 1


def test_submissions_succeed_once_the_store_responds_again():
    store = SilentStore()
    submissions = intake.Submissions(store)
    _silence_after_response(store, submissions)
    assert _submit(submissions, 0)[0] is errors.Kind.STORE_UNCERTAIN
    assert _submit(submissions, 1)[0] is errors.Kind.STORE_DOWN
    store.is_silent = False
    fixtures.wait_until(lambda: _submit(submissions, 2)[0] is None, 2.0, "a submission")


def test_status_reads_and_cancellations_fail_fast_too():
    store = SilentStore()
    submissions = intake.Submissions(store)
    submissions.submit(_job(1), clock.now() + 1)
    _silence_after_response(store, submissions)
    assert _submit(submissions, 2)[0] is errors.Kind.STORE_UNCERTAIN
    for call in (submissions.cancel, submissions.read_status):
        began = clock.now()
        exc = fixtures.error_of(
            errors.Error, call, _job(1).id, began + _CALLER_TIMEOUT_S
        )
        assert exc.kind is errors.Kind.STORE_DOWN
        assert clock.now() - began < 1.0


def test_write_with_too_little_time_left_is_not_sent():
    store = SilentStore()
    submissions = intake.Submissions(store)
    exc = fixtures.error_of(
        errors.Error,
        submissions.submit,
        _job(1),
        clock.now() + circuit_breaker.MIN_WRITE_TIME_S / 2,
    )
    assert exc.kind is errors.Kind.STORE_DOWN and exc.ran is errors.Ran.NO
    assert "commit" not in store.calls


def test_wait_for_another_callers_probe_ends_at_the_own_deadline():
    store = SilentStore()
    submissions = intake.Submissions(store)
    _silence_after_response(store, submissions)
    time.sleep(0.3)  # the last response is no longer recent
    probing = threading.Thread(target=_submit, args=(submissions, 1))
    probing.start()
    time.sleep(0.05)
    began = clock.now()
    exc = fixtures.error_of(errors.Error, submissions.submit, _job(2), began + 0.1)
    assert exc.kind is errors.Kind.STORE_DOWN
    assert probing.is_alive(), "the call waited for the other caller's probe"
    probing.join()


def test_write_just_after_a_response_is_preceded_by_a_probe():
    """Writes within 0.25 s of a response went into a new outage and ended as 502."""
    store = SilentStore()
    submissions = intake.Submissions(store)
    submissions.submit(_job(1), clock.now() + 1)
    time.sleep(0.1)
    store.is_silent = True
    assert _submit(submissions, 2)[0] is errors.Kind.STORE_DOWN
    assert store.calls.count("commit") == 1


def test_one_lost_answer_to_a_probe_is_no_outage():
    store = SilentStore()
    store.lose_reads = 1
    assert _submit(intake.Submissions(store), 1)[0] is None


def test_cancellation_whose_read_had_no_answer_changed_nothing():
    """Callers got 502, as if the cancellation might be stored."""
    store = SilentStore()
    submissions = intake.Submissions(store)
    submissions.submit(_job(1), clock.now() + 1)
    reads = store.calls.count("get")
    submissions._breaker._responded_at = clock.now()
    store.lose_reads = 1
    exc = fixtures.error_of(
        errors.Error, submissions.cancel, _job(1).id, clock.now() + 1
    )
    assert store.calls.count("get") == reads, "no probe went ahead"
    assert exc.kind is errors.Kind.STORE_DOWN and exc.ran is errors.Ran.NO
    assert store.calls.count("commit") == 1


def test_callers_in_an_outage_do_not_wait_for_the_probe_of_another():
    """Each waited for the lock of the probe, up to its own deadline."""
    store = SilentStore()
    store.is_silent = True
    submissions = intake.Submissions(store)
    _submit(submissions, 0)
    time.sleep(0.3)  # a new probe is due
    outcomes = []
    threads = [
        threading.Thread(target=lambda n=n: outcomes.append(_submit(submissions, n)))
        for n in range(1, 13)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert {kind for kind, _ in outcomes} == {errors.Kind.STORE_DOWN}
    waits = sorted(wait_s for _, wait_s in outcomes)
    assert waits[-2] < 0.25 and waits[-1] < 0.6, waits


def test_outage_is_logged_once():
    store = SilentStore()
    submissions = intake.Submissions(store)
    with events.recorded() as recorded:
        submissions.submit(_job(1), clock.now() + 1)
        store.is_silent = True
        time.sleep(0.1)
        for _ in fixtures.polls(1.5):
            _submit(submissions, 2)
        assert submissions.outage_age_s > 1.5
        store.is_silent = False
        fixtures.wait_until(lambda: _submit(submissions, 3)[0] is None, 2.0, "success")
    assert len(recorded.named("store.silent")) == 1
    (ended,) = recorded.named("store.responds")
    assert ended["refused"] > 1 and ended["lost_s"] > 1.5
    assert submissions.outage_age_s == 0.0


def test_slow_store_does_not_open_the_breaker():
    """Calls of 240 ms each must not be taken for an outage."""
    store = SilentStore()
    get, commit = store.get, store.commit
    store.get = lambda *args: (time.sleep(0.24), get(*args))[1]
    store.commit = lambda *args: (time.sleep(0.24), commit(*args))[1]
    submissions = intake.Submissions(store)
    outcomes = []
    threads = [
        threading.Thread(target=lambda n=n: outcomes.append(_submit(submissions, n)[0]))
        for n in range(8)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert outcomes == [None] * 8


load_tests = collecting.hook(__name__)
