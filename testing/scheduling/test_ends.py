"""What becomes of ends: stored first, then noted, and counted once."""

from bilberrypass.scheduling import jobs
from testing import collecting, fixtures
from testing.scheduling import offices


def test_an_end_is_not_settled_before_it_is_stored():
    # Seen on nvctg-sched trouble-1: a second report came in while the write of the
    # end was under way, and the end was noted though the store never had it.
    with offices.office() as office:
        host = office.host("h1")
        order = office.run_task(host)
        office.store.hold_commits = 1_000_000
        number = host.end((order.task, order.run), "done")
        for _ in range(3):
            told = host.report()
            assert told.noted < number, told
            assert not told.settled, told


def test_a_done_task_is_not_started_again_by_a_successor():
    with offices.office() as office:
        host = office.host("h1")
        order = office.run_task(host)
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
        order = office.run_task(host)
        number = host.end((order.task, order.run), "done")
        fixtures.wait_until(lambda: host.report().noted >= number, 5.0, "the note")
        assert office.stored().status == "completed"


def test_ends_that_are_stored_out_of_order_are_all_noted():
    # Seen on ringkas-bilberry quiet-1: the later of two ends was stored first, came
    # in again with the next report, and then held all notes of the host up.
    with offices.office() as office:
        host = office.host("h1")
        for id in ("a" * 16, "b" * 16):
            office.submit(jobs.Step(2, cpu_milli=100), id=id)
        host.await_orders(4)
        orders = {order.task[0] + order.task[-1]: order for order in host.obey()}
        first, second = orders["a0"], orders["b0"]
        host.report()
        office.store.hold_commits = 1
        host.end((first.task, first.run), "done")
        host.report()
        number = host.end((second.task, second.run), "done")
        fixtures.wait_until(lambda: host.report().noted >= number, 5.0, "the notes")


def test_an_end_that_comes_after_a_run_was_given_up_is_noted():
    with offices.office() as office:
        host = office.host("h1")
        order = office.run_task(host)
        host.report()
        key = order.task, order.run
        host.rows[key] = host.rows[key]._replace(state=int(offices.State.GONE))
        host.report()
        number = host.end(key, "stopped")
        fixtures.wait_until(lambda: host.report().noted >= number, 5.0, "the note")


load_tests = collecting.hook(__name__)
