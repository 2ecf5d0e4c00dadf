"""What callers are answered while the store fails, as the wire shows it."""

import json

from bilberrypass import errors
from bilberrypass.platform import front
from bilberrypass.scheduling import changing
from testing import collecting
from testing.scheduling import clusters

_BODY = json.dumps({"specification": "s", "steps": [{"count": 1, "cpu": 100}]}).encode()


class _Body:
    def read(self, limit):
        return _BODY


class _Entry:
    """An entry whose changes fail with a given error."""

    table = clusters.table()

    def __init__(self, exc, outage_age_s):
        self._exc = exc
        self.store_outage_age_s = outage_age_s

    def submit(self, job, deadline):
        raise self._exc

    def cancel(self, id, deadline):
        raise self._exc


def _answer(exc, outage_age_s, method, patience_ms="3000"):
    """Return the status, and the value of Retry-After."""
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": "/q/" + "a" * 16,
        "HTTP_HOST": "h",
        "HTTP_TIME_REMAINING": patience_ms,
        "wsgi.input": _Body(),
    }
    found = []
    application = front.CallerApplication(_Entry(exc, outage_age_s))
    application(environ, lambda status, headers: found.append((status, headers)))
    ((status, headers),) = found
    return int(status.split()[0]), dict(headers).get("Retry-After")


def _error(kind, **fields):
    return errors.Error(kind, "x", **fields)


def test_refusals_say_when_to_return_and_unknown_outcomes_are_no_refusals():
    """Retry-After was 2 s whatever the cause, the age and the caller's patience."""
    down = _error(errors.Kind.STORE_DOWN, ran=errors.Ran.NO)
    lost = _error(errors.Kind.STORE_UNCERTAIN)
    cut = _error(errors.Kind.ANSWER_LOST)
    for exc, age_s, patience_ms, status, retry_after in [
        (down, 0.0, "3000", 503, "1"),
        (down, 0.5, "3000", 503, "1"),
        (down, 3.5, "3000", 503, "2"),
        (down, 60.0, "3000", 503, "3"),
        (down, 60.0, "900", 503, "1"),
        (lost, 0.5, "3000", 502, "2"),
        (cut, 0.5, "3000", 502, "2"),
    ]:
        for method in ("POST", "DELETE"):
            assert _answer(exc, age_s, method, patience_ms) == (status, retry_after)


def test_change_that_failed_on_all_paths_without_effect_is_a_503():
    """A peer that did not accept connections turned it into a 502."""

    def refuse(until):
        raise _error(errors.Kind.STORE_DOWN)

    def connect(until):
        raise errors.Refused(errors.Kind.PEER_UNREACHABLE, "x", ran=errors.Ran.NO)

    paths = changing.ChangePaths()
    for _ in range(2):
        try:
            paths.change(refuse, connect, 10**9, "e2")
        except errors.Error as exc:
            assert _answer(exc, 0.0, "POST")[0] == 503


load_tests = collecting.hook(__name__)
