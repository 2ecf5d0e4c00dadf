"""Workers that use a generation again, or count generations anew, after a restart."""

import contextlib
import json
import time

from bilberrypass import errors, resources
from bilberrypass.connection import http_worker
from bilberrypass.version import work
from testing import collecting, fixtures
from testing.standins import serving

_TIMEOUT_S = 10.0
_LEASE_S = 30.0
_SPEC = work.Spec(work.TaskId("t", "j", 0, 1), resources.Demand(1, 1, 0), "")


class _Worker:
    """A worker that assigns ``generation``; its clock starts anew with a restart."""

    def __init__(self):
        self.generation = 1
        self.on_inventory = lambda: None
        self.lease_times = []
        self._started_at = 0.0

    def restart(self):
        self._started_at = time.monotonic()

    def handle(self, req):
        now = time.monotonic() - self._started_at
        inventory = [[1, 1, 0], [], now]
        if req.path == "/attach":
            return serving.json_reply([self.generation, inventory])
        if req.headers[http_worker.GENERATION_HEADER.lower()] != str(self.generation):
            return serving.problem_reply(409, "STALE", "attach again")
        if req.path == "/inventory":
            self.on_inventory()
            return serving.json_reply(inventory)
        body = json.loads(req.body)
        self.lease_times.append(body[1] - now)
        return serving.json_reply([body[0], "running"])


@contextlib.contextmanager
def _attached(generation=1):
    standin = _Worker()
    standin.generation = generation
    with serving.listening(standin.handle) as address:
        host, port = address.split(":")
        with contextlib.closing(http_worker.HttpWorker(host, int(port))) as client:
            client.attach(_deadline())
            yield standin, client


def _deadline(seconds=_TIMEOUT_S):
    return time.monotonic() + seconds


def _start(client, generation=None):
    return client.start(_SPEC, _deadline(_LEASE_S), _deadline(), generation)


def test_start_admitted_before_a_restart_is_not_sent_to_a_reused_generation():
    with _attached() as (standin, client):
        admitted = client.generation
        standin.restart()
        client.attach(_deadline())
        exc = fixtures.error_of(errors.Refused, _start, client, admitted)
        assert exc.kind is errors.Kind.STALE, exc
        assert standin.lease_times == []


def test_inventory_of_the_earlier_worker_does_not_set_the_clock_of_a_later_one():
    with _attached() as (standin, client):

        def restart_once():
            standin.on_inventory = lambda: None
            standin.restart()
            client.attach(_deadline())

        standin.on_inventory = restart_once
        client.inventory(_deadline())
        _start(client, client.generation)
        assert standin.lease_times[0] < _LEASE_S + 1.0, standin.lease_times


def test_worker_that_counts_its_generations_anew_is_attached_to():
    with _attached(generation=5) as (standin, client):
        standin.restart()
        standin.generation = 1
        client.attach(_deadline())
        assert _start(client, client.generation).state == "running"


load_tests = collecting.hook(__name__)
