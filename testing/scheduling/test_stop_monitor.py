"""Log events and a metric that tell why a run outlasts its job's cancellation."""

import prometheus_client as prometheus

from bilberrypass import clock, errors
from bilberrypass.connection import channels
from bilberrypass.scheduling import jobs, messages, sending, stop_monitor
from testing import collecting, events, fixtures
from testing.scheduling import clusters

State = clusters.State
Verb = clusters.Verb


def _await_event(found, event, *hosts):
    """Report from the given hosts until an event is recorded; return its lines."""

    def lines():
        for host in hosts:
            host.report()
        return found.named(event)

    return fixtures.wait_until(lines, 5.0, event)


def _overdue_runs():
    return prometheus.REGISTRY.get_sample_value("bilberrypass_runs_stop_overdue")


def _cancel(cluster):
    cluster.submissions.cancel("a" * 16, clock.now() + 2)


def test_run_that_is_not_stopped_is_recorded_and_counted_while_it_lasts():
    """Guards against a cancelled task that runs on without a line that says so."""
    with clusters.running_cluster() as cluster, events.recorded() as found:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        host.report()
        _cancel(cluster)
        line = _await_event(found, "run.stop_overdue", host)[0]
        assert 2.0 <= line.pop("since_s") < 4.0
        assert 0.0 <= line.pop("order_ago_s") < 1.6
        assert line.pop("reported_ago_s") < 1.0
        assert line == {
            "task": order.task,
            "run": 1,
            "host": "h1",
            "life": clusters.LIFE,
            "host_life": clusters.LIFE,
            "phase": "STOPPING",
            "stored": True,
            "row": "RUNNING",
            "agent_restarted": False,
            "runner_silent_s": 0.0,
        }
        assert found.named("job.cancelling") == [{"job": "a" * 16, "runs": 1}]
        assert _overdue_runs() == 1
        host.execute_orders()
        cluster.await_status("cancelled", host)
        fixtures.wait_until(lambda: not _overdue_runs(), 5.0, "no overdue run")


def test_run_whose_stop_waits_for_the_store_is_recorded_as_not_ordered():
    with clusters.running_cluster() as cluster, events.recorded() as found:
        host = cluster.add_host("h1")
        cluster.store.hold_commits = 1_000_000
        job = jobs.Job(
            "a" * 16, clusters.QUEUE, "spec", (jobs.Step(1, cpu_milli=100),), 0.0
        )
        cluster.scheduler._on_job(job)
        fixtures.wait_until(lambda: cluster.store.held_commits, 5.0, "the write")
        cluster.scheduler._on_cancel(job.id)
        line = _await_event(found, "run.stop_overdue", host)[0]
        found_fields = line["phase"], line["stored"], line["row"], line["order_ago_s"]
        assert found_fields == ("STOPPING", False, "", None), line


def test_stop_in_time_is_not_recorded():
    """Guards against a line for each cancelled run on a calm day."""
    with clusters.running_cluster() as cluster, events.recorded() as found:
        host = cluster.add_host("h1")
        cluster.run_task(host)
        _cancel(cluster)
        host.await_orders(1, Verb.STOP)
        host.execute_orders()
        cluster.await_status("cancelled", host)
        names = {line["event"] for line in found.lines}
        assert not names & {"run.stop_overdue", "run.unwanted"}, names


def test_active_row_of_a_settled_run_is_recorded_as_unwanted():
    with clusters.running_cluster() as cluster, events.recorded() as found:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        _cancel(cluster)
        host.await_orders(1, Verb.STOP)
        key = order.task, order.run
        gone = messages.RunRow(*key, int(State.GONE), "missing")
        host.rows[key] = gone
        fixtures.wait_until(lambda: host.report().settled, 5.0, "the settled row")
        host.rows[key] = gone._replace(state=int(State.RUNNING), outcome="")
        host.report()
        line = _await_event(found, "run.unwanted")[0]
        assert (line["task"], line["run"], line["host"]) == (*key, "h1"), line
        assert line["state"] == "RUNNING" and line["job_status"] == "cancelled", line


def test_cancellation_of_an_unknown_job_is_recorded():
    with clusters.running_cluster() as cluster, events.recorded() as found:
        cluster.scheduler._on_cancel("b" * 16)
        assert _await_event(found, "job.cancel_early") == [{"job": "b" * 16}]


def test_metric_of_a_scheduler_that_has_stopped_is_zero():
    """Guards against an alert on the last figure of an earlier leader."""
    monitor = stop_monitor.StopMonitor()
    monitor._overdue, monitor._checked_at = 3, clock.now()
    assert _overdue_runs() == 3
    monitor._checked_at -= 60.0
    assert _overdue_runs() == 0


def test_orders_that_a_host_does_not_take_are_recorded_with_their_stops():
    """Guards against a lost stop whose run can't be told from the log."""
    orders = [
        messages.Order(Verb.STOP, "a.0.0.0", 2, 1),
        messages.Order(Verb.START, "b.0.0.0", 1, 1),
    ]
    failed = []

    def serve(req):
        if not failed:
            return messages.OrdersResponse(False, 9)
        raise errors.Error(errors.Kind.PEER_UNREACHABLE, "down")

    server = channels.Server("127.0.0.1:0", {messages.ORDERS: serve}, threads=1)
    server.start()
    sender = sending.PeerOrderSender(1, "s:1", lambda *args: failed.append(args))
    try:
        with events.recorded() as found:
            sender.send("h1", server.address, orders, 5, 1)
            fixtures.wait_until(lambda: failed, 5.0, "the refusal")
            sender.send("h1", server.address, orders, 5, 2)
            fixtures.wait_until(lambda: len(failed) == 2, 5.0, "the failure")
        fields = {"host": "h1", "orders": 2, "stops": ["a.0.0.0/2"]}
        assert found.named("orders.refused") == [{**fields, "epoch": 9}]
        unanswered = found.named("orders.unanswered")
        assert len(unanswered) == 3 and unanswered[0].pop("why")
        assert unanswered[0] == fields
    finally:
        sender.stop()
        server.stop(0)


load_tests = collecting.hook(__name__)
