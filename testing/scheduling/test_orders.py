"""Orders that get lost on their way to an agent are sent again."""

import time

from bilberrypass import clock
from bilberrypass.scheduling import jobs
from testing import collecting, fixtures
from testing.scheduling import offices

Verb = offices.Verb


def test_a_stop_that_an_agent_dropped_is_sent_again():
    # Seen on ringkas-bilberry scale-1 after kill_all: the agent had not heard its
    # runner yet and dropped the stop, and the cancelled tasks ran on.
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


def test_a_start_that_an_agent_dropped_is_sent_again():
    with offices.office() as office:
        host = office.host("h1")
        office.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)
        host.orders.clear()
        (order,) = host.await_orders(1)
        assert order.run == 1 and order.is_repeated


def test_a_new_agent_gets_the_orders_of_the_one_before():
    with offices.office() as office:
        host = office.host("h1")
        office.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)
        host.orders.clear()
        host.agent += 1
        (order,) = host.await_orders(1)
        assert order.run == 1 and order.is_repeated


def test_no_order_goes_out_before_its_start_is_stored():
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


def test_a_deposed_scheduler_orders_nothing_more():
    with offices.office() as office:
        host = office.host("h1")
        old = office.scheduler
        office.store.put("leader", b"another")
        office.submit(jobs.Step(1, cpu_milli=100))
        fixtures.wait_until(lambda: office.deposed, 5.0, "the deposition")
        time.sleep(0.2)
        assert old is office.scheduler and not host.orders


load_tests = collecting.hook(__name__)
