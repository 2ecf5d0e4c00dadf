"""The figures by which an operator sees large jobs wait, and gaps shrink."""

from unittest import mock

from bilberrypass import clock
from bilberrypass.observing import decisions
from bilberrypass.scheduling import jobs, load, state, wait_figures, work_budget
from testing import collecting
from testing.scheduling import streams


def _job(queue, cores, now):
    step = jobs.Step(1, cpu_milli=1_000 * cores, estimate_s=2.0)
    return state.JobState(jobs.Job(f"j{cores}", queue, "", (step,), 0.0), now)


def test_waits_of_the_largest_tenth_stand_apart():
    now, waits = clock.now(), wait_figures.FirstStartWaits()
    for cores in range(1, 21):
        waits.observe(_job("q", cores, now), now + (9.0 if cores > 18 else 1.0))
    waits.observe(_job("other", 1, now), now + 2.0)
    assert waits.by_queue() == {"q": (1.8, 9.0), "other": (2.0, 2.0)}


def test_load_line_names_the_largest_gap_and_the_waits():
    stream = streams.Stream(2)
    step = jobs.Step(3, cpu_milli=6_000, memory_mb=4_000, estimate_s=9.0)
    stream.submit("a" * 16, step, duration_s=9.0)
    stream.step()
    placer = stream.scheduler._placer
    lines = []
    with mock.patch.object(decisions, "record", lambda event, **f: lines.append(f)):
        logger = load.LoadLogger(placer.waits, work_budget.WorkBudget())
        logger.tick(stream.jobs.values(), stream.hosts.values(), stream.now, 0.0)
    assert lines[0]["largest_gaps"] == {"p-16c": (10.0, 60_000)}
    assert lines[0]["waits"] == {"h/q/": [0.1, 0.1]}


load_tests = collecting.hook(__name__)
