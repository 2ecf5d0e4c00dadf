"""What becomes of ends: stored first, then noted, and counted once."""

from bilberrypass.scheduling import jobs
from testing import collecting, fixtures
from testing.scheduling import offices


def test_an_end_is_not_settled_before_it_is_stored():
    # Seen on nvctg-sched trouble-1: a second report came in while the write of the
    # end was under way, and the end was noted though the store never had it.
    with offices.office() as office:
        host = office.host("h1")
        office.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)
        (order,) = host.obey()
        office.store.hold_commits = 1_000_000
        number = host.end((order.task, order.run), "done")
        for _ in range(3):
            told = host.report()
            assert told.noted < number, told
            assert not told.settled, told


def test_a_done_task_is_not_started_again_by_a_successor():
    with offices.office() as office:
        host = office.host("h1")
        office.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)
        (order,) = host.obey()
        office.store.hold_commits = 1_000_000
        host.end((order.task, order.run), "done")
        for _ in range(3):
            host.report()
        office.store.hold_commits = 0
        office.elect()
        office.await_status("completed", host)
        assert not [o for o in host.orders if o.verb == offices.Verb.START]


def test_an_end_is_noted_once_it_is_stored():
    with offices.office() as office:
        host = office.host("h1")
        office.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)
        (order,) = host.obey()
        number = host.end((order.task, order.run), "done")
        fixtures.wait_until(lambda: host.report().noted >= number, 5.0, "the note")
        assert office.stored().status == "completed"


load_tests = collecting.hook(__name__)
