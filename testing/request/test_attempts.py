"""A revoked request never begins, and one that has begun is never revoked."""

import time

from bilberrypass import errors
from bilberrypass.request import attempts
from testing import collecting

_NO_AGE_S = 0.0
_REFUSED_CLOCK_AGE_S = 11.0
_UNRECORDED_CLOCK_AGE_S = 31.0


def _clock(age_s: float = _NO_AGE_S) -> float:
    return time.monotonic() - age_s


def _refused_kind(call, *args) -> errors.Kind | None:
    try:
        call(*args)
    except errors.Refused as exc:
        assert exc.ran is errors.Ran.NO
        return exc.kind
    return None


def test_request_revoked_before_arrival_is_refused_on_arrival():
    """Guards against a late request running after its revocation overtook it."""
    tracker = attempts.AttemptTracker()
    assert tracker.revoke("r1", _clock())
    assert _refused_kind(tracker.register, "r1", _clock()) is errors.Kind.STALE


def test_request_revoked_while_waiting_does_not_begin():
    """Guards against a queued request that begins after its revocation succeeded."""
    tracker = attempts.AttemptTracker()
    tracker.register("r1", _clock())
    assert tracker.revoke("r1", _clock())
    assert _refused_kind(tracker.mark_begun, "r1") is errors.Kind.STALE
    tracker.mark_ended("r1")
    assert tracker.revoke("r1", _clock())


def test_begun_request_is_not_revoked_during_or_after_its_run():
    """Guards against a second run elsewhere of a request that has run here."""
    tracker = attempts.AttemptTracker()
    tracker.register("r1", _clock())
    tracker.mark_begun("r1")
    assert not tracker.revoke("r1", _clock())
    tracker.mark_ended("r1")
    assert not tracker.revoke("r1", _clock())


def test_request_that_ended_before_it_began_is_revoked():
    """Guards against an unknown outcome where the agent refused the request."""
    tracker = attempts.AttemptTracker()
    tracker.register("r1", _clock())
    tracker.mark_ended("r1")
    assert tracker.revoke("r1", _clock())


def test_request_in_transit_for_too_long_is_refused():
    """Guards against a late request whose revocation record has been dropped."""
    tracker = attempts.AttemptTracker()
    refused_kind = _refused_kind(tracker.register, "r1", _clock(_REFUSED_CLOCK_AGE_S))
    assert refused_kind is errors.Kind.STALE


def test_revocation_older_than_the_records_is_not_confirmed():
    """Guards against a confirmation for a run whose record has been dropped."""
    tracker = attempts.AttemptTracker()
    assert not tracker.revoke("r1", _clock(_UNRECORDED_CLOCK_AGE_S))


load_tests = collecting.hook(__name__)
