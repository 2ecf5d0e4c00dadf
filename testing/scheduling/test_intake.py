"""Submissions and cancellations while the store fails."""

import threading
import time

from bilberrypass import clock, errors
from bilberrypass.scheduling import intake, jobs, stored_progress
from testing import collecting, fixtures
from testing.scheduling import clusters
from testing.standins import keyvalues

STEP = jobs.Step(1, cpu_milli=100)
ID = "a" * 16


def _job(id=ID):
    return jobs.Job(id, clusters.QUEUE, "spec", (STEP,), time.time())


def test_cancellation_listed_before_its_job_takes_effect():
    """A cancellation was ignored because its job was not known (nvctg-sched scale-1).

    The store dropped its history, and the list that is read instead has
    cancellations before jobs.
    """
    with clusters.running_cluster() as cluster:
        store = cluster.store
        host = cluster.add_host("h1")
        with store._lock:
            store._change(intake.JOB_PREFIX + ID, stored_progress.encode_job(_job()))
            store._change(intake.CANCEL_PREFIX + ID, b"")
            store._oldest = store.revision
            store._history.clear()
        cluster.await_status("cancelled", host)
        assert not [o for o in host.orders if o.verb == clusters.Verb.START]


def test_resubmission_of_the_same_id_is_not_new():
    store = keyvalues.Store()
    submissions = intake.Submissions(store)
    assert submissions.submit(_job(), clock.now() + 1)
    assert not submissions.submit(_job(), clock.now() + 1)


def test_submission_with_lost_response_is_retried():
    store = keyvalues.Store()
    store.lose_answers = 1
    intake.Submissions(store).submit(_job(), clock.now() + 2)
    assert intake.JOB_PREFIX + ID in store.items


def test_delayed_create_changes_nothing():
    """The store applies the first attempt after the retry has created the key."""
    store = keyvalues.Store()
    store.hold_commits = 1
    intake.Submissions(store).submit(_job(), clock.now() + 2)
    before = store.items[intake.JOB_PREFIX + ID]
    store.apply_held_commits()
    assert store.items[intake.JOB_PREFIX + ID] == before


def test_submission_fails_fast_with_store_down():
    store = keyvalues.Store()
    store.is_down = True
    began = clock.now()
    exc = fixtures.error_of(
        errors.Error, intake.Submissions(store).submit, _job(), clock.now() + 3
    )
    assert exc.kind is errors.Kind.STORE_DOWN and clock.now() - began < 1.0


def test_create_with_unknown_outcome_is_reported_as_uncertain():
    """The first attempt had no response; the retry certainly failed.

    The first one may still take effect, so STORE_DOWN would be wrong.
    """
    store = keyvalues.Store()
    store.hold_commits = 1

    def go_down():
        store.is_down = True

    timer = threading.Timer(0.05, go_down)
    timer.start()
    exc = fixtures.error_of(
        errors.Error, intake.Submissions(store).submit, _job(), clock.now() + 0.8
    )
    timer.join()
    assert exc.kind is errors.Kind.STORE_UNCERTAIN


def test_cancellation_of_unknown_job_returns_false():
    assert not intake.Submissions(keyvalues.Store()).cancel(ID, clock.now() + 1)


def test_submission_that_takes_effect_after_its_cancel_never_starts():
    """The submission had no answer, and the answer to its cancel was "unknown"."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.store.hold_commits = 1
        late = fixtures.error_of(
            errors.Error, cluster.submissions.submit, _job(), clock.now() + 0.1
        )
        assert late.kind is errors.Kind.STORE_UNCERTAIN
        assert not cluster.submissions.cancel(ID, clock.now() + 1)
        cluster.store.apply_held_commits()
        cluster.await_status("cancelled", host)
        assert not host.orders


def test_job_that_the_store_cannot_hold_is_refused_with_its_size():
    """It was sent to the store again and again until its caller gave up."""
    store = keyvalues.Store()
    submissions = intake.Submissions(store)
    job = jobs.Job(ID, "q", "x" * store.max_value_bytes, (STEP,), time.time())
    exc = fixtures.error_of(errors.Refused, submissions.check_size, job)
    assert (exc.kind, exc.ran) == (errors.Kind.BODY_TOO_LARGE, errors.Ran.NO)
    assert str(store.max_value_bytes) in exc.detail, exc
    submissions.check_size(job._replace(spec="x"))


load_tests = collecting.hook(__name__)
