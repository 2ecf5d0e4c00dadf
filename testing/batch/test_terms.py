"""What an owner learnt in one term, or by its time of day, is not misapplied."""

import json
import time
import typing as t

from bilberrypass import errors
from bilberrypass.batch import owner, placement, placer, records
from bilberrypass.connection import channels, memory, messages, store
from bilberrypass.membership import directory, fleet
from bilberrypass.version import page
from testing import collecting, fakes, fixtures

_LEASE_S = 600.0
_KEY = ("t", "j")


class _Directory(t.NamedTuple):
    kv: store.Store
    own_member: directory.Member
    lease: int

    def owner_key(self, kind, shard):
        return f"/owners/{kind}/{shard}"

    def owner(self, kind, shard):
        return None

    def owner_epoch(self, kind, shard):
        return store.ABSENT

    def preferred_owner(self, kind, shard):
        return self.own_member.id


class _Peer:
    """An agent that starts tasks; before its next answer it calls ``interrupt``."""

    def __init__(self):
        self.interrupt = None
        self.kind = ""

    def call(self, method, req, deadline):
        assert method is channels.START, method
        interrupt, self.interrupt = self.interrupt, None
        kind, self.kind = self.kind, ""
        if interrupt is not None:
            interrupt()
        return messages.StartResponse(
            [messages.StartOutcome(spec.task, kind) for spec in req.specs]
        )


def _make_shard(peer):
    kv = memory.MemoryStore()
    lease = kv.grant(600, time.monotonic() + 10)
    hosts = fleet.Fleet(_LEASE_S)
    report = fakes.make_report(capacity=fakes.CAPACITY)
    hosts._hosts["h0"] = fleet.Host(report, time.monotonic(), peer)
    hosts.available = lambda: list(hosts._hosts.values())
    shard = owner.Shard(
        0,
        _Directory(kv, directory.Member("e", "a"), lease),
        hosts,
        placer.make_context(placement.FirstFit()),
        _LEASE_S,
        "/",
        fakes.InlineExecutor(),
    )
    _begin_term(shard)
    return shard


def _begin_term(shard):
    shard.ownership.release()
    assert shard.ownership.acquire()
    shard._load()


def _write(shard):
    shard._next_write = 0.0
    shard._wake.set()
    shard._write_pending()


def _place(shard):
    demand = {"cpu_milli": 1, "memory_bytes": 1}
    body = json.dumps({"team": "t", "tasks": 1, "demand": demand})
    job = page.parse_job("j", body.encode(), time.time(), "")
    shard.submit(lambda jobs: records.put(jobs, job))
    _write(shard)


def _placement(shard):
    (record,) = shard.state[_KEY].tasks
    return record.state, record.attempt


def test_refusal_in_an_earlier_term_does_not_requeue_a_task_started_since():
    peer = _Peer()
    shard = _make_shard(peer)
    peer.kind = errors.Kind.NO_ROOM
    peer.interrupt = lambda: _begin_term(shard)
    _place(shard)
    _write(shard)
    assert _placement(shard) == (page.PLACED, 1)


def test_refusal_in_this_term_requeues_its_task():
    peer = _Peer()
    shard = _make_shard(peer)
    peer.kind = errors.Kind.NO_ROOM
    _place(shard)
    _write(shard)
    assert _placement(shard) == (page.PLACED, 2)


def test_loss_reported_in_an_earlier_term_does_not_requeue_a_task_started_since():
    shard = _make_shard(_Peer())
    _place(shard)
    for sequence in (1, 2):
        shard.handle_report(fakes.make_report(sequence=sequence))
    _begin_term(shard)
    _write(shard)
    assert _placement(shard) == (page.PLACED, 1)


def test_end_reported_in_an_earlier_term_does_not_requeue_a_task_started_since():
    shard = _make_shard(_Peer())
    _place(shard)
    job = shard.state[_KEY]
    state = messages.TaskState(job.task_id(0), "stopped", job.demand, "", "")
    shard.handle_report(fakes.make_report(tasks=[state]))
    _begin_term(shard)
    _write(shard)
    assert _placement(shard) == (page.PLACED, 1)


def test_placement_on_a_slow_host_is_kept_when_the_owners_clock_jumps_forward():
    peer = _Peer()
    peer.kind = "NEWER_KIND"
    shard = _make_shard(peer)
    _place(shard)
    with fixtures.stepped_time_of_day(3_600.0):
        _write(shard)
        _write(shard)
    assert _placement(shard) == (page.PLACED, 1)


load_tests = collecting.hook(__name__)
