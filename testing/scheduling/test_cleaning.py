"""Jobs leave the store once nobody may ask for them any more."""

import time

from bilberrypass import clock
from bilberrypass.scheduling import cleaning, jobs, keyvalue
from testing import collecting, fixtures
from testing.scheduling import offices

STEP = jobs.Step(1, cpu_milli=100)


def _complete(office, host, id):
    office.submit(STEP, id=id)
    host.await_orders(1)
    (order,) = host.obey()
    host.end((order.task, order.run), "done")
    office.await_status("completed", host, id=id)


def test_a_job_stays_as_long_as_callers_may_ask_and_no_longer():
    with offices.office() as office:
        host = office.host("h1")
        _complete(office, host, "a" * 16)
        office.scheduler._cleaner.clean()
        assert office.status() == "completed"
        office.scheduler.jobs["a" * 16].finished_at = time.time() - 131.0
        office.scheduler._cleaner.clean()
        fixtures.wait_until(lambda: office.status() == "", 5.0, "the removal")
        left = [k for k in cleaning.keys("a" * 16) if k in office.store.items]
        assert not left, left


def test_a_job_that_is_not_final_stays():
    with offices.office() as office:
        host = office.host("h1")
        office.submit(STEP)
        host.await_orders(1)
        office.scheduler._cleaner.clean()
        assert office.status() == "running"
        assert all(
            key in office.store.items
            for key in cleaning.keys("a" * 16)
            if "cancel" not in key
        )


def test_a_deposed_scheduler_removes_nothing():
    with offices.office() as office:
        host = office.host("h1")
        _complete(office, host, "a" * 16)
        office.scheduler.jobs["a" * 16].finished_at = time.time() - 131.0
        office.store.put("leader", b"another")
        office.scheduler._cleaner.clean()
        assert "intake/job/" + "a" * 16 in office.store.items


def test_a_full_group_of_removals_fits_a_transaction():
    with offices.office() as office:
        gone = []
        ids = [f"{n:016x}" for n in range(25)]
        for id in ids:
            office.store.put(f"intake/job/{id}", b"x")
        cleaner = cleaning.Cleaner(office.store, office.epoch, lambda: ids, gone.extend)
        cleaner.clean()
        assert gone == ids
        found = office.store.list("intake/job/", clock.now())
        assert isinstance(found, keyvalue.Listing) and not found.items


load_tests = collecting.hook(__name__)
