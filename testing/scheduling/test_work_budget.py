"""The memory of all jobs together is bounded, and nothing stands still at the bound."""

import random

from bilberrypass import clock, errors
from bilberrypass.scheduling import (
    election,
    intake,
    intake_limit,
    jobs,
    keyvalue,
    refusing,
    state,
    work_budget,
)
from testing import collecting, fixtures
from testing.scheduling import clusters, job_tasks
from testing.standins import keyvalues

STEP = jobs.Step(1, cpu_milli=10)
LARGE = (STEP, STEP._replace(required_label="ssd", after=(0,)))
ID = "b" * 16
EPOCH = 7
# Room for some hundred open occurrences.
MAX_OPEN_BYTES = 400 * work_budget.occurrence_bytes(2)


def _job(*steps, id=ID, repetitions=0):
    return jobs.Job(id, clusters.QUEUE, "spec", steps, 0.0, repetitions)


def _open_all(job_state):
    """Let all tasks of first steps begin and end that may; return their number."""
    count = 0
    while found := [t for t in job_tasks.waiting(job_state, 1.0) if not t.key.step]:
        for task in found:
            job_state.begin_task(task)
            job_state.finish_task(task)
        count += len(found)
    return count


def _large(budget, number):
    job = _job(*LARGE, id=f"{number:016x}", repetitions=10**6)
    return state.JobState(job, 0.0, budget=budget)


def test_open_occurrences_of_all_jobs_together_are_bounded():
    """Each job was bounded by its own stored value only (review/11)."""
    budget = work_budget.WorkBudget(max_open_bytes=MAX_OPEN_BYTES)
    held = [_large(budget, number) for number in range(20)]
    counts = [_open_all(job_state) for job_state in held]
    assert budget.open_bytes <= MAX_OPEN_BYTES, counts
    assert sum(counts) < 400 and min(counts) >= 1, counts


def test_large_jobs_leave_room_for_small_ones():
    """By order of arrival, the first large job would take all that there is."""
    budget = work_budget.WorkBudget(max_open_bytes=MAX_OPEN_BYTES)
    large = [_large(budget, number) for number in range(3)]
    for job_state in large:
        _open_all(job_state)
    small = state.JobState(_job(*LARGE, repetitions=10), 0.0, budget=budget)
    assert _open_all(small) == 10, [each.occurrences.next for each in large]


def test_open_occurrences_go_on_when_no_more_may_begin():
    budget = work_budget.WorkBudget(max_open_bytes=MAX_OPEN_BYTES)
    held = [_large(budget, number) for number in range(3)]
    for job_state in held:
        _open_all(job_state)
    for job_state in held:
        opened = job_state.occurrences.next
        found = list(job_tasks.waiting(job_state, 1.0))
        assert len(found) > 10 and all(t.key.occurrence < opened for t in found)


def test_job_beyond_all_bounds_runs_one_task_after_another():
    """A new leader may restore more than it would have begun itself."""
    budget = work_budget.WorkBudget(max_open_bytes=0)
    job_state = state.JobState(_job(*LARGE, repetitions=3), 0.0, budget=budget)
    for _ in range(6):
        (task, *others) = job_tasks.waiting(job_state, 1.0)
        assert not others
        job_state.begin_task(task)
        task.phase = state.Phase.RUNNING
        assert not list(job_tasks.waiting(job_state, 1.0))
        job_state.finish_task(task)
    assert not job_state.occurrences.has_open_tasks


def test_held_bytes_match_what_is_open_whatever_happens():
    """A byte that is counted and never returned would end all work in time."""
    for seed in range(200):
        rng = random.Random(seed)
        budget = work_budget.WorkBudget()
        steps = (STEP._replace(count=rng.randint(1, 3)), STEP._replace(after=(0,)))
        job = _job(*steps, repetitions=rng.randint(0, 3))
        current = state.JobState(job, 0.0, budget=budget)
        while not current.is_final:
            waiting = list(job_tasks.waiting(current, 1.0))
            begun = list(current.occurrences.begun_tasks())
            if waiting and rng.random() < 0.6:
                current.begin_task(waiting[0])
                waiting[0].phase = state.Phase.RUNNING
            elif begun and rng.random() < 0.7:
                current.finish_task(rng.choice(begun))
            elif begun:
                current.keep_checkpoint(rng.choice(begun), "c" * rng.randint(0, 20))
            current.update_status(1.0)
            if rng.random() < 0.2 and not current.is_final:
                value = current.encode()
                current.release()
                assert (budget.open_bytes, budget.jobs_bytes) == (0, 0), seed
                current = state.JobState(job, 0.0, budget=budget)
                current.restore(value, 1, 1.0)
            open_tasks = list(current.occurrences.begun_tasks())
            expected = len(open_tasks) * work_budget.TASK_BYTES
            expected += sum(len(task.checkpoint) for task in open_tasks)
            expected += (
                current.occurrences.open_occurrences * work_budget.occurrence_bytes(2)
            )
            assert budget.open_bytes == expected, seed
        current.release()
        assert (budget.open_bytes, budget.jobs_bytes) == (0, 0), seed


def _run_until(cluster, condition, what):
    """Let the hosts execute their orders, and end all runs, until a condition holds."""

    def step():
        for host in cluster.hosts.values():
            host.report()
            host.execute_orders()
            for key, row in list(host.rows.items()):
                if row.state == clusters.State.RUNNING:
                    host.end_run(key, "done")
        return condition()

    fixtures.wait_until(step, 20.0, what)


def test_small_job_runs_and_large_one_goes_on_at_the_bound():
    """With a full stored value or a full memory, nothing else was started."""
    with clusters.running_cluster() as cluster:
        cluster.add_host("h1")
        cluster.scheduler.budget.max_open_bytes = MAX_OPEN_BYTES
        cluster.submit(*LARGE, id="a" * 16, repetitions=300)
        large = fixtures.wait_until(
            lambda: cluster.scheduler.jobs.get("a" * 16), 5.0, "the job"
        )
        _run_until(cluster, lambda: _is_at_bound(large), "the bound")
        cluster.submit(STEP._replace(count=30), id=ID)
        _run_until(
            cluster,
            lambda: cluster.scheduler.status(ID) == "completed",
            "the small job",
        )
        assert large.occurrences.next < 300
        cluster.add_host("h2").labels = ("a", "r1", "ssd")
        _run_until(
            cluster,
            lambda: cluster.scheduler.status("a" * 16) == "completed",
            "the large job",
        )
        assert cluster.scheduler.budget.open_bytes == 0


def _is_at_bound(large):
    is_quiet = not any(True for _ in large.occurrences.begun_tasks())
    return is_quiet and not large.open_work.room_to_open()


def _gate(store, epoch=EPOCH):
    submissions = intake.Submissions(store)
    return refusing.Gate(submissions.refuse, lambda name: None, lambda: epoch, False)


def _published(is_full, epoch=EPOCH):
    """Return the store of a leader that has published its limit."""
    store = keyvalues.Store()
    store.put(election.KEY, b"{}")
    budget = work_budget.WorkBudget(max_jobs_bytes=0 if is_full else 10**6)
    state.JobState(_job(STEP, id="c" * 16), 0.0, budget=budget)
    epoch_in_store = store.items[election.KEY].revision
    publisher = intake_limit.Publisher(store, epoch_in_store, budget)
    publisher.publish_if_due(clock.now())
    return store, publisher, budget, epoch_in_store


def _tell(gate, store, known_since):
    item = store.items[intake_limit.LIMIT_KEY]
    change = keyvalue.Change(item.key, item.value, item.revision)
    gate.on_change(change, known_since)


def test_new_jobs_are_refused_while_the_accepted_ones_fill_the_memory():
    """Nothing bounded how many jobs were accepted, each with its text and steps."""
    store, publisher, budget, epoch = _published(is_full=True)
    gate = _gate(store, epoch)
    _tell(gate, store, clock.now())
    exc = fixtures.error_of(errors.Refused, gate.check, _job(STEP), clock.now() + 1.0)
    assert exc.kind is errors.Kind.OVERLOADED and 1 <= exc.retry_after_s <= 5
    budget.max_jobs_bytes = 10**6
    publisher.publish_if_due(clock.now())
    _tell(gate, store, clock.now())
    gate.check(_job(STEP), clock.now() + 1.0)


def test_stored_job_is_not_refused_when_its_caller_repeats_it():
    store, _, _, epoch = _published(is_full=True)
    gate = _gate(store, epoch)
    intake.Submissions(store).submit(_job(STEP), clock.now() + 1.0)
    _tell(gate, store, clock.now())
    gate.check(_job(STEP), clock.now() + 1.0)


def test_limit_of_an_earlier_leader_or_an_old_one_refuses_nothing():
    store, _, _, epoch = _published(is_full=True)
    for gate, known_since in (
        (_gate(store, epoch + 1), clock.now()),
        (_gate(store, epoch), clock.now() - intake_limit.VALID_S),
    ):
        _tell(gate, store, known_since)
        gate.check(_job(STEP), clock.now() + 1.0)


def test_leader_with_room_writes_no_limit():
    store, publisher, _, _ = _published(is_full=False)
    for number in range(10):
        publisher.publish_if_due(clock.now() + number)
    assert intake_limit.LIMIT_KEY not in store.items


def test_full_limit_is_renewed_before_it_lapses():
    store, publisher, _, _ = _published(is_full=True)
    now = clock.now()
    first = store.items[intake_limit.LIMIT_KEY].revision
    publisher.publish_if_due(now + 0.1)
    assert store.items[intake_limit.LIMIT_KEY].revision == first
    publisher.publish_if_due(now + intake_limit.VALID_S / 2)
    assert store.items[intake_limit.LIMIT_KEY].revision > first


load_tests = collecting.hook(__name__)
