"""Memory and stored progress of jobs that are bounded by their open tasks."""

import random
import sys

import msgspec

from bilberrypass.scheduling import (
    jobs,
    keyvalue,
    messages,
    state,
    stored_progress,
)
from testing import collecting, fixtures
from testing.scheduling import clusters, job_tasks

STEP = jobs.Step(1, cpu_milli=100)
ID = "a" * 16
DUE_AT = 1_000.0
MAX_BYTES = 100_000


def _job(*steps, repetitions=0, interval_s=60.0):
    return jobs.Job(ID, "q", "", steps, 0.0, repetitions, DUE_AT, interval_s)


def _size(value, seen):
    """Return the bytes of an object and of all that it alone refers to."""
    if id(value) in seen or isinstance(value, type | jobs.Job):
        return 0
    seen.add(id(value))
    size = sys.getsizeof(value)
    if isinstance(value, dict):
        parts = [*value.keys(), *value.values()]
    elif isinstance(value, list | tuple | set):
        parts = list(value)
    else:
        names = [
            n for kind in type(value).__mro__ for n in getattr(kind, "__slots__", ())
        ]
        parts = [getattr(value, n) for n in names if n != "__weakref__"]
        parts += list(getattr(value, "__dict__", {}).values())
    return size + sum(_size(part, seen) for part in parts if not callable(part))


def _run_due(job_state, now, until_left=0):
    """Let all tasks that are due begin and end; leave some running."""
    tasks = []
    for task in job_tasks.waiting(job_state, now):
        job_state.begin_task(task)
        task.run, task.host, task.life = 1, "h1", 7
        task.phase = state.Phase.RUNNING
        tasks.append(task)
    for task in tasks[: len(tasks) - until_left]:
        job_state.finish_task(task)
    return len(tasks)


def test_memory_of_a_job_does_not_grow_with_its_times_and_tasks():
    """Each task of each occurrence took half a kilobyte from the acceptance on.

    Some accepted jobs exceeded the memory of each leader that was elected.
    """
    small = state.JobState(_job(STEP, repetitions=1), 0.0)
    large = state.JobState(_job(STEP._replace(count=10**9), repetitions=10**9), 0.0)
    for job_state in (small, large):
        _run_due(job_state, DUE_AT - 1)
    assert _size(large, set()) <= _size(small, set()) + 200


def test_stored_progress_does_not_grow_with_what_ever_ran():
    """A row for each task that ever ran outgrew a value of the store.

    The store refused it for good, and no other job was stored or started any more.
    """
    job_state = state.JobState(_job(STEP._replace(count=100), repetitions=1_000), 0.0)
    sizes, memory = [], []
    for number in range(1_000):
        assert _run_due(job_state, DUE_AT + 60.0 * number, 5 * (number < 999)) == 100
        for task in list(job_state.occurrences.begun_tasks())[:-5]:
            job_state.finish_task(task)
        job_state.update_status(1.0)
        value = job_state.encode()
        if number in (1, 998):
            sizes.append(len(value))
            memory.append(_size(job_state, set()))
    assert sizes[1] <= sizes[0] + 100 and memory[1] <= memory[0] + 500, (sizes, memory)


def test_stored_progress_of_many_open_tasks_fits_into_a_value():
    """As many tasks may begin as can be stored; their checkpoints are dropped first."""
    job_state = state.JobState(_job(STEP._replace(count=10**6)), 0.0, MAX_BYTES)
    begun = []
    while found := list(job_tasks.waiting(job_state, DUE_AT)):
        for task in found:
            job_state.begin_task(task)
            task.run, task.host, task.life = 3, f"side-zone-{len(begun) % 99}", 1 << 41
            task.phase, task.checkpoint = state.Phase.RUNNING, "c" * 16
            begun.append(task)
        assert len(job_state.encode()) <= MAX_BYTES
    running = 15_200  # on all hosts of the largest installation
    assert len(begun) >= running * MAX_BYTES // keyvalue.DEFAULT_MAX_VALUE_BYTES
    begun[-1].phase, begun[-1].checkpoint = state.Phase.WAITING, "w" * 1_000
    for task in begun[:-1]:
        task.checkpoint = "c" * 4_000
    value = job_state.encode()
    stored = stored_progress.decode(value)
    assert len(value) <= MAX_BYTES
    assert len(stored.tasks) == len(begun)
    by_index = {task.index: task.checkpoint for task in stored.tasks}
    assert by_index[begun[-1].key.index] == "w" * 1_000


def _open_all(job_state):
    """Let all occurrences that may begin do so, and run their first step."""
    while found := [t for t in job_tasks.waiting(job_state, DUE_AT) if not t.key.step]:
        for task in found:
            job_state.begin_task(task)
            task.phase = state.Phase.RUNNING
            job_state.finish_task(task)
        job_state.encode()


def _between_steps(max_bytes=MAX_BYTES):
    """Return a job with as many occurrences between two steps as may be open."""
    steps = [STEP, *(STEP._replace(after=(number,)) for number in range(63))]
    job_state = state.JobState(
        _job(*steps, repetitions=20_000, interval_s=0.0), 0.0, max_bytes
    )
    _open_all(job_state)
    return job_state


def test_open_occurrences_take_memory_in_proportion_to_their_stored_form():
    """Each had an object for each step, 13 KB with 64 steps and 71 bytes as stored.

    Three accepted jobs exceeded the memory of each leader (review/11).
    """
    job_state = _between_steps()
    assert job_state.occurrences.next > 200
    assert _size(job_state, set()) <= 4 * len(job_state.encode())


def test_job_with_as_many_open_occurrences_as_can_be_stored_goes_on():
    """They filled the stored value, so that no task could begin any more (review/12).

    Nothing was done then, and the value never shrank.
    """
    job_state = _between_steps()
    opened = job_state.occurrences.next
    found = list(job_tasks.waiting(job_state, DUE_AT))
    assert found and all(task.key.occurrence < opened for task in found)
    while found := list(job_tasks.waiting(job_state, DUE_AT)):
        for task in found:
            job_state.begin_task(task)
            job_state.finish_task(task)
        assert len(job_state.encode()) <= MAX_BYTES
    job_state.update_status(1.0)
    assert job_state.status is state.Status.COMPLETED


def test_progress_of_an_earlier_release_full_of_open_occurrences_goes_on():
    """Its value stayed as full, with the next leader too."""
    job_state = _between_steps()
    value = job_state.encode()
    restored = state.JobState(job_state.job, 0.0, len(value))
    restored.restore(value, 1, 1.0)
    restored.encode()
    assert list(job_tasks.waiting(restored, DUE_AT))


def _earlier_value(rows, status="running"):
    return msgspec.msgpack.encode((status, rows, 0.0))


def test_progress_that_an_earlier_release_stored_is_read():
    """Its rows name each task that ever ran, done ones too, in a host's own words."""
    job = _job(STEP._replace(count=3), STEP._replace(after=(0,)), repetitions=5)
    rows = [(0, 0, n, 4, 1, "h1", 7, 0, "") for n in range(3)]
    rows += [(0, 1, 0, 4, 2, "h2", 7, 1, "")]
    rows += [(1, 0, 0, 4, 1, "h1", 7, 0, ""), (1, 0, 2, 1, 3, "h2", 8, 1, "c")]
    rows += [(3, 0, 0, 0, 1, "h1", 7, 0, "", [], 0)]
    restored = state.JobState(job, 0.0)
    restored.restore(_earlier_value(rows), 9, 1.0)
    found = restored.occurrences
    open_counts = [(found.open_count(k, 0), found.open_count(k, 1)) for k in range(5)]
    assert open_counts == [(0, 0), (2, 1), (3, 1), (3, 1), (3, 1)]
    task = found.find_task(jobs.TaskKey(ID, 1, 0, 2))
    assert (task.run, task.host, task.life, task.failures) == (3, "h2", 8, 1)
    assert (task.checkpoint, task.phase) == ("c", state.Phase.ORDERED)
    again = state.JobState(job, 0.0)
    again.restore(restored.encode(), 10, 2.0)
    assert again.occurrences.to_stored() == found.to_stored()
    assert again.encode() == restored.encode()
    eligible = [step.key[1:] for step in again.eligible_steps(DUE_AT + 1e6)]
    assert eligible == [(1, 0), (2, 0), (3, 0), (4, 0)]


def test_progress_of_an_earlier_release_that_fills_its_value_begins_tasks():
    """It was stuck: nothing of the job could be stored any more."""
    rows = [(0, 0, n, 4, 1, "side-zone-a-101", 1 << 41, 0, "") for n in range(4_000)]
    job = _job(STEP._replace(count=4_001))
    restored = state.JobState(job, 0.0, len(_earlier_value(rows)))
    restored.restore(_earlier_value(rows), 9, 1.0)
    (task,) = job_tasks.waiting(restored, DUE_AT)
    assert task.key.index == 4_000


def test_stored_progress_that_contradicts_itself_is_refused():
    job_state = state.JobState(_job(STEP._replace(count=2)), 0.0)
    _run_due(job_state, DUE_AT, 2)
    value = msgspec.msgpack.decode(job_state.encode())
    for fault in ({"hosts": []}, {"open": []}, {"open": [(0, [2, 2])]}):
        restored = state.JobState(_job(STEP._replace(count=2)), 0.0)
        broken = msgspec.msgpack.encode(value | fault)
        fixtures.error_of(Exception, restored.restore, broken, 1, 1.0)


def _play_changes_of_leader(rng):
    """Play starts, ends and losses, with leaders that read what the last one wrote.

    Returns
    -------
    tuple of jobs.Job, state.JobState and list of jobs.TaskKey
        The job, its final state, and the tasks that were done.
    """
    steps = [
        STEP._replace(
            count=rng.randint(1, 4), after=(n - 1,) * (n and rng.randint(0, 1))
        )
        for n in range(rng.randint(1, 3))
    ]
    job = _job(*steps, repetitions=rng.randint(0, 4))
    current, done, now = state.JobState(job, 0.0), [], DUE_AT
    while not current.is_final:
        event = rng.choice(("start", "end", "lose", "time"))
        now += 60.0 * (event == "time")
        for task in job_tasks.waiting(current, now) if event == "start" else ():
            if rng.random() < 0.3:
                break
            current.begin_task(task)
            task.run += 1
            task.host, task.phase = "h1", state.Phase.RUNNING
        running = [t for t in current.occurrences.begun_tasks() if t.is_active]
        if running and event in ("end", "lose"):
            task = rng.choice(running)
            if event == "lose":
                task.phase = state.Phase.WAITING
            else:
                done.append(task.key)
                current.finish_task(task)
        current.update_status(1.0)
        value = current.encode()
        if rng.random() < 0.5:
            following = state.JobState(job, 0.0)
            following.restore(value, 1, 1.0)
            assert following.status == current.status
            assert following.is_final or following.encode() == value
            current = following
    return job, current, done


def test_each_task_is_done_once_whenever_the_leader_changes():
    """No task may be skipped or done twice, whatever was dropped from the store."""
    for seed in range(300):
        job, ended, done = _play_changes_of_leader(random.Random(seed))
        assert ended.status is state.Status.COMPLETED, seed
        expected = sum(step.count for step in job.steps) * max(1, job.repetitions)
        assert len(done) == len(set(done)) == expected, seed


def test_host_forgets_the_steps_and_orders_of_what_ran():
    """A count for each step that ever ran stayed in the leader's memory."""
    with clusters.running_cluster() as cluster:
        host = cluster.add_host("h1")
        for number in range(3):
            cluster.submit(STEP, id=f"{number:016x}")
            (order,) = [
                o for o in host.await_orders(1) if o.verb == clusters.Verb.START
            ]
            host.execute_orders()
            host.end_run((order.task, order.run), "done")
            cluster.await_status("completed", host, id=f"{number:016x}")
        host.rows["gone.0.0.0", 1] = messages.RunRow(
            "gone.0.0.0", 1, int(clusters.State.RUNNING)
        )
        host.await_orders(1, clusters.Verb.STOP)
        host.execute_orders()
        fixtures.wait_until(lambda: not host.report() or not host.rows, 5.0, "the end")
        known = cluster.scheduler.hosts["h1"]
        assert known.step_counts == {} and known.sent == {}


load_tests = collecting.hook(__name__)
