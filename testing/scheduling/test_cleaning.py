"""Removal of finished jobs from the store after their retention period."""

import time

from bilberrypass import clock
from bilberrypass.scheduling import cleaning, jobs, keyvalue
from testing import collecting, fixtures
from testing.scheduling import offices

STEP = jobs.Step(1, cpu_milli=100)


def _run_to_completion(office, host, id):
    office.submit(STEP, id=id)
    host.await_orders(1)
    (order,) = host.obey()
    host.end((order.task, order.run), "done")
    office.await_status("completed", host, id=id)


def test_finished_job_is_removed_only_after_its_retention_period():
    with offices.office() as office:
        host = office.host("h1")
        _run_to_completion(office, host, "a" * 16)
        office.scheduler._cleaner.clean()
        assert office.status() == "completed"
        office.scheduler.jobs["a" * 16].finished_at = time.time() - 131.0
        office.scheduler._cleaner.clean()
        fixtures.wait_until(lambda: office.status() == "", 5.0, "the removal")
        remaining = [k for k in cleaning.job_keys("a" * 16) if k in office.store.items]
        assert not remaining, remaining


def test_unfinished_job_is_not_removed():
    with offices.office() as office:
        host = office.host("h1")
        office.submit(STEP)
        host.await_orders(1)
        office.scheduler._cleaner.clean()
        assert office.status() == "running"
        assert all(
            key in office.store.items
            for key in cleaning.job_keys("a" * 16)
            if "cancel" not in key
        )


def test_scheduler_that_lost_the_election_removes_nothing():
    """A scheduler that does not know that it lost leadership must not remove jobs."""
    with offices.office() as office:
        host = office.host("h1")
        _run_to_completion(office, host, "a" * 16)
        office.scheduler.jobs["a" * 16].finished_at = time.time() - 131.0
        office.store.put("leader", b"another")
        office.scheduler._cleaner.clean()
        assert "intake/job/" + "a" * 16 in office.store.items


def test_many_removals_are_split_to_fit_transactions():
    """The store rejects a transaction that has more entries than its limit."""
    with offices.office() as office:
        removed = []
        ids = [f"{n:016x}" for n in range(25)]
        for id in ids:
            office.store.put(f"intake/job/{id}", b"x")
        cleaner = cleaning.Cleaner(
            office.store, office.epoch, lambda: ids, removed.extend
        )
        cleaner.clean()
        assert removed == ids
        found = office.store.list("intake/job/", clock.now())
        assert isinstance(found, keyvalue.Listing) and not found.items


load_tests = collecting.hook(__name__)
