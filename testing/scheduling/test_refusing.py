"""Refused submissions at an entry: never stored, and forecasts that go astray."""

import time

from bilberrypass import clock, errors
from bilberrypass.scheduling import (
    committing,
    intake,
    jobs,
    keyvalue,
    loading,
    queue_forecast,
    queues,
    refusing,
    stored_progress,
)
from testing import collecting, fixtures
from testing.scheduling import clusters
from testing.standins import keyvalues

ID = "a" * 16
EPOCH = 7
STEP = jobs.Step(2, cpu_milli=8_000, estimate_s=4.0)
QUEUE = jobs.Queue("q", "p", stretch=1.0, latency_objective_s=1.0)
Refused = errors.Refused


def _job():
    return jobs.Job(ID, clusters.QUEUE, "spec", (STEP,), time.time())


def _forecast(wait_s=500.0, epoch=EPOCH):
    kind = queue_forecast.Kind(clusters.QUEUE, queue_forecast.size_of(64.0), False)
    row = queue_forecast.Row(*kind, wait_s, 64.0, 64.0)
    record = queue_forecast.Record(epoch, 1, queue_forecast.VALID_S, [row])
    return queue_forecast.encode(record)


class _Entry:
    """The store, the submissions and the gate of an entry that was told a forecast."""

    def __init__(self, value, is_enabled=True):
        self.store = keyvalues.Store()
        self.submissions = intake.Submissions(self.store)
        self.gate = refusing.Gate(
            self.submissions.refuse, lambda name: QUEUE, lambda: EPOCH, is_enabled
        )
        change = keyvalue.Change(committing.FORECAST_KEY, value, 1)
        self.gate.on_change(change, clock.now())

    def check(self):
        self.gate.check(_job(), clock.now() + 1)

    def submit(self):
        return self.submissions.submit(_job(), clock.now() + 0.6)

    @property
    def is_stored(self):
        return intake.JOB_PREFIX + ID in self.store.items


def test_hopeless_job_is_refused_with_a_time_to_return():
    entry = _Entry(_forecast())
    exc = fixtures.error_of(Refused, entry.check)
    assert exc.kind is errors.Kind.OVERLOADED and exc.ran is errors.Ran.NO
    assert exc.retry_after_s > 1 and not entry.is_stored


def test_submission_that_takes_effect_late_is_not_stored_after_a_refusal():
    """An earlier attempt without an answer would run although its caller was told no.

    A read that finds no job cannot rule that out.
    """
    entry = _Entry(_forecast())
    entry.store.hold_commits = 9
    late = fixtures.error_of(errors.Error, entry.submit)
    assert late.kind is errors.Kind.STORE_UNCERTAIN
    entry.store.hold_commits = 0
    fixtures.error_of(Refused, entry.check)
    entry.store.apply_held_commits()
    assert not entry.is_stored


def test_attempt_in_progress_during_a_refusal_stores_nothing():
    entry = _Entry(_forecast())
    refuse, commits = entry.store.commit, []

    def commit(expected, puts, deadline, removed=()):
        commits.append(expected)
        if len(commits) == 1:
            entry.submissions.refuse(ID, 1.0, deadline)
            raise errors.Error(errors.Kind.STORE_UNCERTAIN, "no answer")
        return refuse(expected, puts, deadline, removed)

    entry.store.commit = commit
    exc = fixtures.error_of(Refused, entry.submit)
    assert exc.ran is errors.Ran.NO and not entry.is_stored


def test_caller_who_returns_is_stored_with_the_time_told_by_refusals():
    """As a new one, the job would take the room of one that can still be served."""
    entry = _Entry(_forecast())
    told_s = sum(
        fixtures.error_of(Refused, entry.check).retry_after_s for _ in range(2)
    )
    assert entry.submit()
    stored = stored_progress.decode_job(entry.store.items[intake.JOB_PREFIX + ID].value)
    assert abs(stored.waited_s - told_s) < 1e-6, (stored.waited_s, told_s)
    assert loading.accepted_at(stored, 500.0, 500.0) == 500.0 - stored.waited_s


def test_known_job_is_never_refused():
    entry = _Entry(_forecast())
    assert entry.submit()
    entry.check()
    assert not entry.submit()


def test_job_goes_on_if_the_store_does_not_confirm_its_refusal():
    entry = _Entry(_forecast())
    entry.store.is_down = True
    entry.check()
    entry = _Entry(_forecast())
    entry.store.lose_answers = 1
    entry.check()
    assert entry.submit() and entry.is_stored


def test_refusal_after_the_store_revoked_all_leases_needs_a_new_lease():
    entry = _Entry(_forecast())
    fixtures.error_of(Refused, entry.check)
    entry.store.revoke_all_leases()
    entry.check()
    fixtures.error_of(Refused, entry.check)


def test_nothing_is_refused_by_an_unreadable_or_foreign_forecast_or_if_switched_off():
    for entry in (
        _Entry(b"\xc1garbled"),
        _Entry(b""),
        _Entry(None),
        _Entry(_forecast(wait_s=float("inf"))),
        _Entry(_forecast(epoch=EPOCH - 1)),
        _Entry(_forecast(), is_enabled=False),
    ):
        entry.check()


def test_leader_writes_forecasts_only_while_jobs_lack_room():
    """Thirty urgent jobs wait for a host that has room for one of them."""
    with clusters.running_cluster() as cluster:
        queue = QUEUE._replace(service=clusters.SERVICE, priority=2)
        routes = (
            queues.Route("h", "/q/", queue),
            queues.Route("h", "/urgent/", queue._replace(priority=0)),
        )
        cluster.table = queues.RouteTable(queues.Config(1, routes, queues.Limits()))
        host = cluster.add_host("h1", cpu=16_000)
        cluster.submit(STEP, id=ID)
        host.await_orders(2)
        time.sleep(2.0)
        host.execute_orders()
        host.end_run((f"{ID}.0.0.0", 1), "done")
        host.report()
        fixtures.wait_until(lambda: cluster.stored().tasks, 2.0, "a write")
        assert committing.FORECAST_KEY not in cluster.store.items
        cluster.submit(STEP, id="b" * 16)
        for number in range(30):
            cluster.submit(STEP, id=f"{number:016x}", queue="h/urgent/")
        began, ended = clock.now(), []

        def found():
            host.report()
            host.execute_orders()
            live = [key for key, row in host.rows.items() if not row.end]
            if live and clock.now() - began > 0.5 * len(ended):
                ended.append(host.end_run(live[0], "done"))
            return cluster.store.items.get(committing.FORECAST_KEY)

        item = fixtures.wait_until(found, 8.0, "a forecast")
        record = queue_forecast.decode(item.value)
        assert record.epoch == cluster.epoch
        assert any(row.queue == "h/q/" and row.wait_s > 60.0 for row in record.rows)


load_tests = collecting.hook(__name__)
