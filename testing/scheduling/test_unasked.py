"""Stops that reach every run of a cancelled job that a report lists."""

import time

from bilberrypass import clock
from bilberrypass.scheduling import jobs, messages, state, stored_progress
from testing import collecting, fixtures
from testing.scheduling import clusters

State = clusters.State
Verb = clusters.Verb


def _cancel(cluster, id="a" * 16):
    cluster.submissions.cancel(id, clock.now() + 2)
    job = cluster.scheduler.jobs[id]
    fixtures.wait_until(lambda: job.cancelled, 2.0, "the cancellation")
    return job


def _job(id):
    step = jobs.Step(1, cpu_milli=100)
    return jobs.Job(id, clusters.QUEUE, "spec", (step,), time.time())


def _row(key, run_state, outcome=""):
    return messages.RunRow(*key, int(run_state), outcome)


def _await_stop(host, key, timeout_s=2.0):
    """Report until a stop of the run arrives."""

    def found():
        host.report()
        return [o for o in host.orders if (o.verb, o.task, o.run) == (Verb.STOP, *key)]

    return fixtures.wait_until(found, timeout_s, f"a stop of {key}")


def test_run_listed_again_after_it_was_settled_as_gone_is_stopped():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        key = (order.task, order.run)
        host.report()
        _cancel(cluster)
        host.rows[key] = _row(key, State.GONE, "missing")
        host.orders.clear()
        fixtures.wait_until(
            lambda: host.report() and key not in host.rows, 2.0, "the settled row"
        )
        assert cluster.status() == state.Status.CANCELLED
        host.rows[key] = _row(key, State.RUNNING)
        _await_stop(host, key)


def test_run_listed_again_while_its_loss_is_being_stored_is_stopped():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        key = (order.task, order.run)
        host.report()
        _cancel(cluster)
        time.sleep(0.1)
        host.orders.clear()
        cluster.store.is_down = True
        host.rows[key] = _row(key, State.GONE, "lapsed")
        host.report()
        host.rows[key] = _row(key, State.RUNNING)
        host.report()
        cluster.store.is_down = False
        _await_stop(host, key, 4.0)


def test_lost_stop_of_a_starting_run_is_sent_again():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(jobs.Step(1, cpu_milli=100))
        (order,) = host.await_orders(1)
        key = (order.task, order.run)
        host.rows[key] = _row(key, State.STARTING)
        host.report()
        _cancel(cluster)
        lost = _await_stop(host, key)
        host.orders.clear()
        cluster.scheduler._on_orders_failed(host.name, lost)
        _await_stop(host, key)


def test_stop_of_a_new_scheduler_reaches_a_starting_run():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(jobs.Step(1, cpu_milli=100))
        (order,) = host.await_orders(1)
        key = (order.task, order.run)
        cluster.scheduler.stop()
        cluster.submissions.cancel("a" * 16, clock.now() + 2)
        cluster.elect_scheduler()
        time.sleep(0.2)  # the first round of orders, before the host is known
        host.rows[key] = _row(key, State.STARTING)
        _await_stop(host, key)


def test_cancel_stored_while_no_scheduler_leads_stops_the_run():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        host.report()
        cluster.scheduler.stop()
        cluster.submissions.cancel("a" * 16, clock.now() + 2)
        cluster.elect_scheduler()
        time.sleep(0.2)  # the first round of orders, before the host is known
        _await_stop(host, (order.task, order.run))
        host.execute_orders()
        cluster.await_status("cancelled", host)


def test_cancel_during_the_write_of_a_start_bars_the_run():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.store.hold_commits = 1_000_000
        cluster.store.put(
            "intake/job/" + "a" * 16, stored_progress.encode_job(_job("a" * 16))
        )
        fixtures.wait_until(lambda: cluster.store.held_commits, 5.0, "the write")
        cluster.store.put("intake/cancel/" + "a" * 16, b"")
        job = cluster.scheduler.jobs["a" * 16]
        fixtures.wait_until(lambda: job.cancelled, 2.0, "the cancellation")
        cluster.store.hold_commits = 0
        _await_stop(host, ("a" * 16 + ".0.0.0", 1), 5.0)
        assert all(o.verb == Verb.STOP for o in host.orders), host.orders


def test_cancel_during_a_move_whose_stop_is_lost_stops_the_run():
    with clusters.running_cluster() as cluster:
        old = cluster.add_host("old")
        cluster.submit(jobs.Step(1, cpu_milli=100, is_service=True))
        old.await_orders(1)
        (order,) = old.execute_orders()
        new = cluster.add_host("new")
        old.is_draining = True

        def moved():
            new.report()
            old.report()
            return [o for o in old.orders if o.verb == Verb.STOP]

        lost = fixtures.wait_until(moved, 5.0, "the stop of the move")
        _cancel(cluster)
        old.orders.clear()
        cluster.scheduler._on_orders_failed(old.name, lost)
        _await_stop(old, (order.task, order.run))
        old.execute_orders()
        cluster.await_status("cancelled", old, new)
        assert not new.orders


def test_cancel_seen_only_in_a_list_after_lost_history_stops_the_run():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        host.report()
        cluster.store.is_down = True
        time.sleep(0.3)
        cluster.store.put("intake/cancel/" + "a" * 16, b"")
        cluster.store.compact()
        cluster.store.is_down = False
        _await_stop(host, (order.task, order.run), 4.0)


load_tests = collecting.hook(__name__)
