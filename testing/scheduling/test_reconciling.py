"""Log events that tell why a run is not where the scheduler expected it."""

import time

from bilberrypass import clock
from bilberrypass.scheduling import (
    grants,
    hosts,
    intake,
    messages,
    reconciling,
    scheduler,
    state,
)
from testing import collecting, events
from testing.scheduling import clusters


def test_lost_run_is_recorded_with_the_lives_of_its_host():
    with clusters.running_cluster() as cluster, events.recorded() as found:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        host.report()
        host.life, host.rows = 2_000, {}
        host.report()
        assert [line["earlier_life"] for line in found.named("host.new_life")] == [
            0,
            1_000,
        ]
        (lost,) = found.named("run.lost")
        assert lost == {
            "task": order.task,
            "run": 1,
            "host": "h1",
            "why": "the runner started anew",
            "life": 1_000,
            "host_life": 2_000,
        }


def test_unwanted_run_is_recorded_with_life_and_state():
    with clusters.running_cluster() as cluster, events.recorded() as found:
        host = cluster.add_host("h1")
        task = "b" * 16 + ".0.0.0"
        running = messages.RunRow(task, 1, int(clusters.State.RUNNING))
        host.rows[task, 1] = running
        before = reconciling._unwanted_runs._value.get()
        host.report()
        host.rows[task, 1] = running._replace(state=int(clusters.State.STOPPING))
        host.report()
        assert found.named("run.unwanted") == [
            {
                "task": task,
                "run": 1,
                "host": "h1",
                "life": 1_000,
                "state": "RUNNING",
                "job_status": "",
            }
        ]
        assert reconciling._unwanted_runs._value.get() - before == 1


def test_lease_granted_before_the_load_is_waited_for():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.run_task(host)
        host.report()
        found = cluster.scheduler
        successor = scheduler.Scheduler(
            cluster.store,
            cluster.epoch + 1,
            found.cfg,
            lambda: cluster.table,
            clock.now,
            cluster.lost_leadership.append,
            lambda on_failed: clusters.RecordingOrderSender(cluster),
        )
        successor.earlier_leases_end -= grants.STORE_CONTACT_TIMEOUT_S  # a slow load
        cluster.scheduler = successor
        granted_at = clock.now()
        lease_s = host.report().lease_s
        successor._events.get()()
        initial = []
        intake.IntakeWatcher(cluster.store, initial.append, None, None, None)._load(
            cluster.store.list(intake.INTAKE_PREFIX, clock.now() + 1.0)
        )
        successor._load(*initial)
        left_s = successor.hosts["h1"].leased_until(0.0) - granted_at
        cluster.scheduler = found
        assert left_s >= lease_s, (left_s, lease_s)


def test_late_report_of_an_earlier_agent_does_not_requeue_a_run():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1", life=2_000)
        host.agent, host.leased_s = 2, 30.0
        cluster.run_task(host)
        host.report()
        (task,) = cluster.scheduler.jobs["a" * 16].occurrences.begun_tasks()
        time.sleep(hosts.SILENCE_TIMEOUT_S + 0.2)
        host.agent, host.life, host.rows = 1, 1_000, {}
        host.report()
        time.sleep(0.2)
        assert (task.phase, task.run) == (state.Phase.RUNNING, 1), task.phase


def test_late_reports_of_an_earlier_agent_never_count_and_get_no_lease():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1", life=2_000)
        host.agent, host.leased_s = 2, 30.0
        cluster.run_task(host)
        host.report()
        found = cluster.scheduler.hosts["h1"]
        (task,) = cluster.scheduler.jobs["a" * 16].occurrences.begun_tasks()
        found.reported_at -= 5.0
        host.agent, host.life, host.rows = 1, 1_000, {}
        for _ in range(3):
            host.challenges.clear()  # a late report answers no response
            assert host.report().lease_s == 0.0
        assert (found.agent, task.phase) == (2, state.Phase.RUNNING), task.phase


def test_challenge_from_before_a_newer_agent_proves_nothing():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        found = cluster.scheduler.hosts["h1"]
        host.agent, found.highest_agent = 2, 3
        found.reported_at -= 5.0
        assert host.report().challenge
        late_answer = dict(host.challenges)
        host.agent = 4
        host.report()
        found.reported_at -= 5.0
        host.agent, host.challenges = 2, late_answer
        host.report()
        assert found.agent == 4


def test_replaced_agent_is_not_accepted_again_after_a_clock_step_back():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        found = cluster.scheduler.hosts["h1"]
        host.agent = 5
        host.report()
        found.reported_at -= 5.0
        host.agent = 4
        host.report()
        host.report()
        assert found.agent == 4
        host.agent = 5
        host.report()
        assert found.agent == 4


def test_response_does_not_carry_settled_rows_of_an_earlier_life():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        host.end_run((order.task, order.run), "done")
        cluster.await_status("completed", host)
        found = cluster.scheduler.hosts["h1"]
        assert found.settled

        class _OpenEnds(dict):
            def clear(self):
                time.sleep(0.3)  # the response is built while the life begins
                super().clear()

        found.open_ends = _OpenEnds(found.open_ends)
        host.life, host.rows = 2_000, {}
        response = host.report()
        assert found.life == 2_000
        assert (response.noted, response.settled) == (0, []), response


def test_late_report_that_a_new_scheduler_gets_first_does_not_requeue_a_run():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1", life=2_000)
        host.agent, host.leased_s = 2, 30.0
        cluster.run_task(host)
        host.report()
        cluster.elect_scheduler()
        (task,) = cluster.scheduler.jobs["a" * 16].occurrences.begun_tasks()
        rows = host.rows
        host.agent, host.life, host.rows = 1, 1_000, {}
        assert host.report().lease_s == 0.0
        host.agent, host.life, host.rows = 2, 2_000, rows
        host.report()
        found = cluster.scheduler.hosts["h1"]
        assert (found.agent, task.phase, task.run) == (2, state.Phase.RUNNING, 1)


def test_restarted_agent_with_a_new_life_of_its_runner_is_accepted_soon():
    with clusters.running_cluster() as cluster, events.recorded() as found:
        host = cluster.add_host("h1")
        cluster.run_task(host)
        host.report()
        host.agent, host.life, host.rows = 2, 2_000, {}
        assert not host.report().is_counted
        assert host.report().is_counted
        assert len(found.named("run.lost")) == 1
        assert len(found.named("host.agent_challenged")) == 1


load_tests = collecting.hook(__name__)
