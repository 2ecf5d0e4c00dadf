"""Tasks of services: over when their job is cancelled, never by an end of their own."""

import msgspec

from bilberrypass import clock
from bilberrypass.scheduling import jobs, state
from testing import collecting, fixtures
from testing.scheduling import clusters, job_tasks

STEP = jobs.Step(1, cpu_milli=100)
SERVICE = STEP._replace(is_service=True)
ID = "a" * 16
OUTCOMES = ("done", "failed", "stopped", "lapsed", "broken", "alone")
Verb = clusters.Verb
_RESTART_S = 3.0  # within 9 s of the last end, a leader's election included


def _start(host):
    """Wait for one order to start, execute it and return it."""
    host.await_orders(1)
    (order,) = (o for o in host.execute_orders() if o.verb == Verb.START)
    return order


def _end(host, order, outcome="done"):
    number = host.end_run((order.task, order.run), outcome)
    fixtures.wait_until(lambda: host.report().noted >= number, 5.0, "the end's note")


def _starts(host):
    """Return the orders to start that a host gets within some reports."""
    for _ in fixtures.polls(0.6):
        host.report()
    return [order for order in host.orders if order.verb == Verb.START]


def test_lasting_task_is_restarted_soon_after_each_kind_of_end():
    """A lasting task that ended ``done`` was never started again (review/8)."""
    with clusters.running_cluster(max_attempts=1) as cluster:
        host = cluster.add_host("h1")
        cluster.submit(SERVICE)
        order = _start(host)
        for run, outcome in enumerate(OUTCOMES * 2, 2):
            ended_at = clock.now()
            _end(host, order, outcome)
            order = _start(host)
            assert clock.now() - ended_at < _RESTART_S, outcome
            assert order.run == run, (outcome, order)
            assert cluster.status() == "running", outcome


def test_end_that_the_last_leader_stored_starts_a_lasting_task_once():
    """The end is stored, not noted, when the leader changes."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(SERVICE)
        order = _start(host)
        host.is_draining = True  # keeps the task waiting
        host.report()
        host.end_run((order.task, order.run), "done")
        host.report()
        is_stored = lambda: cluster.stored().tasks[0].phase == state.Phase.WAITING
        fixtures.wait_until(is_stored, 5.0, "the stored end")
        cluster.elect_scheduler()
        host.is_draining = False
        again = _start(host)
        assert (again.task, again.run) == (order.task, 2)
        assert not _starts(host)


def test_end_that_no_leader_stored_starts_a_lasting_task_once():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(SERVICE)
        order = _start(host)
        cluster.store.hold_commits = 1_000_000
        host.end_run((order.task, order.run), "done")
        for _ in range(3):
            host.report()
        cluster.store.hold_commits = 0
        cluster.elect_scheduler()
        again = _start(host)
        assert (again.task, again.run) == (order.task, 2)
        assert not _starts(host)


def test_end_of_a_run_that_counted_as_gone_restarts_a_lasting_task_once():
    """The agent lists the run as gone, then its runner lists the end."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(SERVICE)
        order = _start(host)
        host.is_draining = True
        key = order.task, order.run
        host.rows[key] = host.rows.get(key, clusters.messages.RunRow(*key, 0))._replace(
            state=int(clusters.State.GONE), outcome="left"
        )
        host.report()
        _end(host, order)
        host.is_draining = False
        assert _start(host).run == 2
        assert not _starts(host)
        assert cluster.status() == "running"


def test_job_of_batch_and_lasting_steps_ends_by_its_cancellation_alone():
    """Its batch tasks run once; a step after a lasting one has no turn."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(
            STEP, SERVICE, STEP._replace(after=(0,)), STEP._replace(after=(1,))
        )
        host.await_orders(2)
        first = {order.task[-3:]: order for order in host.execute_orders()}
        assert set(first) == {"0.0", "1.0"}
        for order in first.values():
            host.end_run((order.task, order.run), "done")
        host.await_orders(2)
        second = {order.task[-3:]: order for order in host.execute_orders()}
        assert {key: order.run for key, order in second.items()} == {"1.0": 2, "2.0": 1}
        host.end_run((second["2.0"].task, 1), "done")
        assert not _starts(host)
        assert cluster.status() == "running"
        cluster.submissions.cancel(ID, clock.now() + 1)
        host.await_orders(1, Verb.STOP)
        host.execute_orders()
        cluster.await_status("cancelled", host)


def test_lasting_task_is_not_restarted_once_its_job_is_cancelled():
    """The cancellation comes between an end and the next start."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(SERVICE._replace(count=2))
        host.await_orders(2)
        first, second = host.execute_orders()
        host.is_draining = True
        _end(host, first)
        cluster.submissions.cancel(ID, clock.now() + 1)
        host.await_orders(1, Verb.STOP)
        host.orders.clear()
        _end(host, second)  # of its own, while the order to stop is on its way
        cluster.await_status("cancelled", host)
        host.is_draining = False
        assert not _starts(host)


def test_cancelled_job_whose_lasting_tasks_have_ended_is_cancelled_at_once():
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        cluster.submit(SERVICE)
        order = _start(host)
        host.is_draining = True
        _end(host, order)
        cluster.submissions.cancel(ID, clock.now() + 1)
        cluster.await_status("cancelled", host)


def _job(*steps, repetitions=0):
    return jobs.Job(ID, clusters.QUEUE, "", steps, 0.0, repetitions, 0.0, 1.0)


def _as_earlier_release(job_state):
    """Let all begun tasks end done as an earlier release counted lasting ones too."""
    for task in list(job_state.occurrences.begun_tasks()):
        job_state.finish_task(task)


def _restore(job, value):
    restored = state.JobState(job, 0.0)
    restored.restore(value, 9, 1.0)
    return restored


def test_lasting_tasks_that_an_earlier_release_dropped_as_done_are_restored():
    """It stored no rows for them, so their next run needs a number above all theirs."""
    job = _job(SERVICE._replace(count=2), STEP, STEP._replace(after=(1,)))
    stored = state.JobState(job, 0.0)
    for task in job_tasks.waiting(stored, 1.0):
        stored.begin_task(task)
        task.run, task.host, task.life = 7, "h1", 1
    stored.has_begun = True
    _as_earlier_release(stored)
    stored.update_status(1.0)
    restored = _restore(job, stored.encode())
    waiting = list(job_tasks.waiting(restored, 1.0))
    assert [task.key[2:] for task in waiting] == [(0, 0), (0, 1), (2, 0)]
    assert all(task.run > 10**6 for task in waiting[:2])
    again = _restore(job, restored.encode())
    assert again.encode() == restored.encode()


def test_lasting_tasks_of_repetitions_that_an_earlier_release_closed_are_restored():
    job = _job(SERVICE, STEP, repetitions=3)
    stored = state.JobState(job, 0.0)
    for _ in range(2):
        for task in list(job_tasks.waiting(stored, 1.0))[:2]:
            stored.begin_task(task)
            task.run, task.host, task.life = 1, "h1", 1
        _as_earlier_release(stored)
    stored.update_status(1.0)
    restored = _restore(job, stored.encode())
    begun = [task.key[1:] for task in restored.occurrences.begun_tasks()]
    assert begun == [(0, 0, 0), (1, 0, 0)]
    assert restored.occurrences.open_count(0, 1) == 0
    assert restored.occurrences.first_open() == 0


def test_no_more_lasting_tasks_are_restored_than_can_be_stored():
    job = _job(SERVICE, repetitions=1 << 40)
    stored = state.JobState(job, 0.0)
    stored.occurrences.next = 1 << 30
    value = stored.encode()
    restored = state.JobState(job, 0.0, 10_000)
    restored.restore(value, 9, 1.0)
    begun = list(restored.occurrences.begun_tasks())
    assert begun
    assert len(restored.encode()) <= 10_000


def test_done_rows_of_lasting_tasks_in_the_first_stored_form_are_restored():
    rows = [(0, 0, n, 4, 3, "h1", 7, 0, "") for n in range(2)]
    rows += [(0, 1, 0, 4, 1, "h1", 7, 0, "")]
    value = msgspec.msgpack.encode(("running", rows, 0.0))
    restored = _restore(_job(SERVICE._replace(count=2), STEP), value)
    begun = list(restored.occurrences.begun_tasks())
    assert [(task.key[2:], task.run) for task in begun] == [((0, 0), 3), ((0, 1), 3)]
    assert all(task.is_waiting for task in begun)


def test_job_that_was_shown_as_completed_stays_so():
    """A start after that would break TWICE, whatever ended the tasks."""
    value = msgspec.msgpack.encode(("completed", [], 5.0))
    restored = _restore(_job(SERVICE), value)
    assert restored.is_final
    assert not list(restored.occurrences.begun_tasks())


load_tests = collecting.hook(__name__)
