"""Evacuated failure domains: nothing starts there until they are returned."""

import contextlib

from bilberrypass import clock, errors
from bilberrypass.scheduling import evacuations, jobs
from testing import collecting, fixtures
from testing.scheduling import clusters
from testing.standins import keyvalues

KEY = clusters.EVACUATION_PREFIX + "z"  # all hosts of a cluster are in z
Verb = clusters.Verb


@contextlib.contextmanager
def _evacuated_cluster():
    with clusters.running_cluster() as cluster:
        cluster.store.put(KEY, b"{}")
        fixtures.wait_until(lambda: _is_evacuated(cluster), 5.0, "the evacuation")
        yield cluster


def _is_evacuated(cluster):
    return cluster.scheduler._evacuations.is_evacuated("z")


def _return_domain(cluster):
    cluster.store.remove(KEY)


def test_nothing_starts_in_an_evacuated_domain_until_it_is_returned():
    with _evacuated_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(jobs.Step(4, cpu_milli=100))
        for _ in fixtures.polls(0.5):
            host.report()
        assert not host.orders
        _return_domain(cluster)
        host.await_orders(4)


def test_runs_in_an_evacuated_domain_go_on():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        host.report()
        cluster.store.put(KEY, b"{}")
        fixtures.wait_until(lambda: _is_evacuated(cluster), 5.0, "the evacuation")
        for _ in fixtures.polls(1.5):
            host.report()
        assert not host.orders
        host.end_run((order.task, order.run), "done")
        cluster.await_status("completed", host)


def test_order_held_up_on_its_way_is_stopped_and_starts_in_another_domain():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(jobs.Step(1, cpu_milli=100))
        host.await_orders(1)
        host.orders.clear()  # on its way for seconds
        cluster.store.put(KEY, b"{}")
        fixtures.wait_until(lambda: _is_evacuated(cluster), 5.0, "the evacuation")
        host.await_orders(1, Verb.STOP)
        host.execute_orders()
        host.report()
        for _ in fixtures.polls(0.5):
            host.report()
        assert not [order for order in host.orders if order.verb == Verb.START]
        _return_domain(cluster)
        (order,) = host.await_orders(1)
        assert order.run == 2


def test_next_leader_starts_nothing_before_it_knows_the_evacuations():
    store = keyvalues.Store()
    proxy = keyvalues.StoreProxy(store)
    store.put(KEY, b"{}")
    followed = evacuations.StoredEvacuations(proxy, clusters.EVACUATION_PREFIX)
    assert followed.is_behind(clock.now())
    followed.start()
    try:
        fixtures.wait_until(lambda: followed.is_evacuated("z"), 5.0, "the first read")
        assert not followed.is_behind(clock.now())
        assert followed.is_behind(clock.now() + 3.0)
    finally:
        followed.stop()


def test_evacuation_survives_lost_history_and_an_outage_of_the_store():
    """Guards against a domain counted as returned after the watch was interrupted."""
    store = keyvalues.Store()
    proxy = keyvalues.StoreProxy(store)
    followed = evacuations.StoredEvacuations(proxy, clusters.EVACUATION_PREFIX)
    store.put(KEY, b"not readable \xff")
    followed.start()
    try:
        fixtures.wait_until(lambda: followed.is_evacuated("z"), 5.0, "the first read")
        store.is_down = True
        store.put(clusters.EVACUATION_PREFIX + "y", b"")
        store.compact()
        with contextlib.suppress(errors.Error):
            proxy.list(clusters.EVACUATION_PREFIX, clock.now() + 1.0)
        assert followed.is_evacuated("z")
        store.is_down = False
        fixtures.wait_until(lambda: followed.is_evacuated("y"), 5.0, "the next read")
        assert followed.is_evacuated("z")
    finally:
        followed.stop()


load_tests = collecting.hook(__name__)
