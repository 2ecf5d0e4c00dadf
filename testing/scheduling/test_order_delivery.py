"""Delivery of orders: lost ones are resent, and none precedes its stored start."""

import time

from bilberrypass import clock
from bilberrypass.scheduling import jobs
from testing import collecting, fixtures
from testing.scheduling import offices

Verb = offices.Verb


def test_dropped_stop_is_resent():
    """Cancelled tasks continued to run (ringkas-bilberry scale-1, after kill_all).

    The agent dropped the stop because it had no response from its runner so far.
    """
    with offices.office() as office:
        host = office.host("h1")
        job = office.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)
        host.obey()
        host.report()
        office.submissions.cancel(job.id, clock.now() + 2)
        host.await_orders(1, Verb.STOP)
        host.orders.clear()
        host.await_orders(1, Verb.STOP)
        host.obey()
        office.await_status("cancelled", host)


def test_dropped_start_is_resent():
    with offices.office() as office:
        host = office.host("h1")
        office.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)
        host.orders.clear()
        (order,) = host.await_orders(1)
        assert order.run == 1 and order.is_repeated


def test_orders_are_resent_to_a_restarted_agent():
    with offices.office() as office:
        host = office.host("h1")
        office.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)
        host.orders.clear()
        host.agent += 1
        (order,) = host.await_orders(1)
        assert order.run == 1 and order.is_repeated


def test_start_is_not_sent_before_it_is_stored():
    """A scheduler elected meanwhile would not know the run and start the task again."""
    with offices.office() as office:
        host = office.host("h1")
        office.submit(jobs.Step(1, cpu_milli=100))
        office.store.hold_commits = 1_000_000
        fixtures.wait_until(lambda: office.store.held, 5.0, "the write")
        host.report()
        assert not host.orders
        office.store.hold_commits = 0
        host.await_orders(1)
        assert office.stored().tasks[0].run == 1


def test_scheduler_that_lost_the_election_sends_no_orders():
    with offices.office() as office:
        host = office.host("h1")
        old = office.scheduler
        office.store.put("leader", b"another")
        office.submit(jobs.Step(1, cpu_milli=100))
        fixtures.wait_until(lambda: office.deposed, 5.0, "the loss of leadership")
        time.sleep(0.2)
        assert old is office.scheduler and not host.orders


load_tests = collecting.hook(__name__)
