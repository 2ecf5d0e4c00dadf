"""Delivery of orders: lost ones are resent, and none precedes its stored start."""

import threading
import time

from bilberrypass import clock
from bilberrypass.connection import channels
from bilberrypass.scheduling import jobs, messages, sending
from testing import collecting, fixtures
from testing.scheduling import clusters

Verb = clusters.Verb


def test_dropped_stop_is_resent():
    """Cancelled tasks continued to run (ringkas-bilberry scale-1, after kill_all).

    The agent dropped the stop because it had no response from its runner so far.
    """
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        job = cluster.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)
        host.execute_orders()
        host.report()
        cluster.submissions.cancel(job.id, clock.now() + 2)
        host.await_orders(1, Verb.STOP)
        host.orders.clear()
        host.await_orders(1, Verb.STOP)
        host.execute_orders()
        cluster.await_status("cancelled", host)


def test_dropped_start_is_resent():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)
        host.orders.clear()
        (order,) = host.await_orders(1)
        assert order.run == 1 and order.is_repeated


def test_orders_are_resent_to_a_restarted_agent():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)
        host.orders.clear()
        host.agent += 1
        (order,) = host.await_orders(1)
        assert order.run == 1 and order.is_repeated


def test_start_is_not_sent_before_it_is_stored():
    """A scheduler elected meanwhile would not know the run and start the task again."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(jobs.Step(1, cpu_milli=100))
        cluster.store.hold_commits = 1_000_000
        fixtures.wait_until(lambda: cluster.store.held_commits, 5.0, "the write")
        host.report()
        assert not host.orders
        cluster.store.hold_commits = 0
        host.await_orders(1)
        assert cluster.stored().tasks[0].run == 1


def test_scheduler_that_lost_the_election_sends_no_orders():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        old = cluster.scheduler
        cluster.store.put("leader", b"another")
        cluster.submit(jobs.Step(1, cpu_milli=100))
        fixtures.wait_until(
            lambda: cluster.lost_leadership, 5.0, "the loss of leadership"
        )
        time.sleep(0.2)
        assert old is cluster.scheduler and not host.orders


def test_first_report_of_a_restarted_agent_does_not_stop_a_running_task():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.run_task(host)
        host.report()
        time.sleep(0.1)
        host.orders.clear()
        host.agent, host.rows = 2, {}
        host.report()
        time.sleep(0.3)
        assert not host.orders or host.orders[0].verb != Verb.STOP, host.orders


def test_orders_name_the_newest_report_that_they_follow():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        host.report()
        cluster.submit(jobs.Step(1, cpu_milli=100))
        fixtures.wait_until(lambda: host.orders, 5.0, "an order")
        assert cluster.followed == [("h1", host.agent, host.sequence)]


def test_orders_sent_together_name_the_report_that_the_oldest_follows():
    received, may_answer = [], threading.Event()

    def serve(req):
        received.append((req.agent, req.sequence, len(req.orders)))
        may_answer.wait(0.9)
        return messages.OrdersResponse(True, 1)

    server = channels.Server("127.0.0.1:0", {messages.ORDERS: serve}, threads=1)
    server.start()
    sender = sending.PeerOrderSender(1, "s:1", lambda *_: None)
    order = messages.Order(Verb.START, "a.0.0.0", 1, 1)
    try:
        sender.send("h1", server.address, [order], 5, 1)
        fixtures.wait_until(lambda: received, 5.0, "the first call")
        sender.send("h1", server.address, [order], 5, 2)
        sender.send("h1", server.address, [order], 5, 3)
        may_answer.set()
        fixtures.wait_until(lambda: len(received) == 2, 5.0, "the second call")
        assert received == [(5, 1, 1), (5, 2, 2)], received
    finally:
        sender.stop()
        server.stop(0)


def test_orders_that_exceed_one_message_are_sent_in_parts():
    """They exceeded the limit of a message, and no order reached the host any more."""
    received, failed = [], []

    def serve(req):
        received.extend(order.task for order in req.orders)
        return messages.OrdersResponse(True, 1)

    server = channels.Server("127.0.0.1:0", {messages.ORDERS: serve}, threads=1)
    server.start()
    sender = sending.PeerOrderSender(1, "s:1", lambda *args: failed.append(args))
    spec = "s" * (1 << 20)
    orders = [
        messages.Order(Verb.START, f"{'a' * 16}.0.0.{n}", 1, 1, spec) for n in range(70)
    ]
    stop = messages.Order(Verb.STOP, f"{'b' * 16}.0.0.0", 1, 1)
    try:
        sender.send("h1", server.address, [*orders, stop], 5, 1)
        fixtures.wait_until(lambda: stop.task in received or failed, 20.0, "the stop")
        assert not failed and received == [o.task for o in [*orders, stop]]
    finally:
        sender.stop()
        server.stop(0)


load_tests = collecting.hook(__name__)
