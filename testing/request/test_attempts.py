"""A revoked request never begins; one that began is never called off."""

import time

from bilberrypass import errors
from bilberrypass.request import attempts
from testing import collecting

_NOW_S = 0.0
_OLD_CLOCK_S = 11.0
_FORGOTTEN_CLOCK_S = 31.0


def _clock(age_s: float = _NOW_S) -> float:
    return time.monotonic() - age_s


def _refusal(call, *args) -> errors.Kind | None:
    try:
        call(*args)
    except errors.Refused as exc:
        assert exc.ran is errors.Ran.NO
        return exc.kind
    return None


def test_revoked_before_arrival_is_refused_when_it_arrives():
    known = attempts.Attempts()
    assert known.revoke("r1", _clock())
    assert _refusal(known.enter, "r1", _clock()) is errors.Kind.STALE


def test_revoked_while_waiting_does_not_begin():
    known = attempts.Attempts()
    known.enter("r1", _clock())
    assert known.revoke("r1", _clock())
    assert _refusal(known.begin, "r1") is errors.Kind.STALE
    known.end("r1")
    assert known.revoke("r1", _clock())


def test_begun_is_not_revoked_neither_during_nor_after():
    known = attempts.Attempts()
    known.enter("r1", _clock())
    known.begin("r1")
    assert not known.revoke("r1", _clock())
    known.end("r1")
    assert not known.revoke("r1", _clock())


def test_refused_before_it_began_is_revoked():
    known = attempts.Attempts()
    known.enter("r1", _clock())
    known.end("r1")
    assert known.revoke("r1", _clock())


def test_request_that_was_long_on_the_way_is_refused():
    known = attempts.Attempts()
    refusal = _refusal(known.enter, "r1", _clock(_OLD_CLOCK_S))
    assert refusal is errors.Kind.STALE


def test_revoke_past_the_records_is_not_certain():
    known = attempts.Attempts()
    assert not known.revoke("r1", _clock(_FORGOTTEN_CLOCK_S))


load_tests = collecting.hook(__name__)
