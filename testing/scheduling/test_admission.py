"""Refusals by forecast: what callers get under load, and forecasts that fail."""

import msgspec

from bilberrypass.scheduling import admission, jobs, queue_forecast
from testing import collecting
from testing.scheduling import admissions, overloads

QUEUE = overloads.QUEUE
STEP = jobs.Step(7, 7_000, estimate_s=3.0)
WORK = 7 * 7 * 3.0
NOW = 5_000.0
EPOCH = 7


def _job(id="a" * 16, steps=(STEP,), **fields):
    return jobs.Job(id, "q", "", steps, 0.0, **fields)


def _record(wait_s, epoch=EPOCH, sequence=1):
    kind = queue_forecast.Kind("q", queue_forecast.size_of(WORK), False)
    row = queue_forecast.Row(*kind, wait_s, overloads.CORES, overloads.CORES)
    return queue_forecast.Record(epoch, sequence, queue_forecast.VALID_S, [row])


def _gate(record=None, known_since=NOW):
    gate = admission.Admission()
    if record is not None:
        gate.update(record, known_since)
    return gate


def _compare(draw):
    """Return what callers get without and with refusals by eight entries, and a share.

    The share is that of refused jobs that would have ended in time or late.
    """
    before, after = admissions.play(draw()), admissions.play(draw(), entries=8)
    objectives = {a.job.job.id: a.objective_s for a in draw()}
    wrong = [id for id in after.refused if before.took_s[id] <= 3 * objectives[id]]
    return before, after, len(wrong) / max(1, len(after.refused))


def test_nothing_is_refused_where_the_hosts_keep_up():
    for seed in range(4):
        before, after, _ = _compare(lambda seed=seed: overloads.draw(seed, 0.7))
        assert not after.refused and after == before


def test_no_caller_loses_by_refusals_in_an_overload_of_one_queue():
    for seed in range(3):
        for load in (1.3, 2.0):
            before, after, wrong = _compare(lambda s=seed, x=load: overloads.draw(s, x))
            assert wrong < 0.05, (seed, load, wrong)
            assert after.value >= before.value, (seed, load, before, after)


def test_jobs_behind_a_pile_of_urgent_ones_are_refused_at_once():
    """Urgent work of 73 s goes first; the other jobs are of use for 21 s."""
    before, after, wrong = _compare(
        lambda: overloads.draw_pile(100, 10, "urgent") + overloads.draw_pile(60, 60)
    )
    assert len(after.refused) >= 30 and wrong < 0.05, (len(after.refused), wrong)
    assert all(id.startswith("q") for id in after.refused)
    assert after.value >= before.value, (before.value, after.value)
    assert after.never <= before.never


def test_entries_together_admit_no_more_than_the_stated_bound():
    """Each of eight entries sees its own admissions only."""
    gates = [_gate(_record(20.0)) for _ in range(8)]
    # room until the margin: 26.25 s of use less 20 s of wait and 3 s of its own
    room = (1.25 * 21.0 - 20.0 - 3.0) * overloads.CORES
    admitted = 0.0
    for number in range(400):
        if not gates[number % 8].decide(_job(), QUEUE, EPOCH, NOW).is_refused:
            admitted += WORK
    assert room < admitted <= 8 * (room + WORK), (admitted, room)


def test_job_is_accepted_without_a_valid_forecast_of_the_leader():
    far = _record(100.0)
    cases = {
        "no forecast": (None, NOW, EPOCH, NOW),
        "forecast of another leader": (far, NOW, EPOCH + 1, NOW),
        "forecast too old": (far, NOW, EPOCH, NOW + queue_forecast.VALID_S),
    }
    for why, (record, since, epoch, now) in cases.items():
        verdict = _gate(record, since).decide(_job(), QUEUE, epoch, now)
        assert verdict.why == why and not verdict.is_refused, (why, verdict)
    assert _gate(far).decide(_job(), QUEUE, EPOCH, NOW + 1).is_refused
    assert not _gate(far).decide(_job(), QUEUE, EPOCH, NOW - 1).is_refused
    assert not _gate(far).decide(_job(), QUEUE, 0, NOW + 1).is_refused


def test_forecast_seen_again_is_not_valid_for_longer():
    gate = _gate(_record(100.0))
    gate.update(_record(100.0), NOW + 30)
    gate.update(_record(100.0, EPOCH - 1, 9), NOW + 30)
    assert not gate.decide(_job(), QUEUE, EPOCH, NOW + 31).is_refused


def test_services_repetitions_and_queues_without_objective_are_exempt():
    service = STEP._replace(is_service=True)
    without = QUEUE._replace(latency_objective_s=0.0)
    for job, queue in (
        (_job(steps=(service,)), QUEUE),
        (_job(repetitions=3), QUEUE),
        (_job(), without),
        (_job(), QUEUE._replace(stretch=0.0)),
    ):
        verdict = _gate(_record(100.0)).decide(job, queue, EPOCH, NOW)
        assert not verdict.is_refused, (job, queue)


def test_callers_return_in_the_order_of_their_refusals():
    gate = _gate(_record(60.0))
    verdicts = [gate.decide(_job(), QUEUE, EPOCH, NOW + n / 10) for n in range(20)]
    returns = [NOW + n / 10 + v.retry_after_s for n, v in enumerate(verdicts)]
    gaps = [b - a for a, b in zip(returns, returns[1:], strict=False)]
    assert min(gaps) >= WORK / overloads.CORES - 1e-6, gaps
    assert verdicts[0].retry_after_s >= 60.0 + 3.0 - 21.0


def test_forecast_with_impossible_figures_is_unreadable():
    for record in (
        _record(float("nan")),
        _record(-1.0),
        _record(1.0)._replace(valid_s=1e9),
        _record(1.0)._replace(rows=[_record(1.0).rows[0]._replace(rate=0.0)]),
        _record(1.0)._replace(rows=_record(1.0).rows * 2_000),
    ):
        try:
            queue_forecast.decode(queue_forecast.encode(record))
        except (msgspec.MsgspecError, ValueError):
            continue
        raise AssertionError(record)


def test_record_of_the_most_rows_and_longest_names_can_be_read():
    name = "é" * (queue_forecast.MAX_NAME_BYTES // 2)
    row = queue_forecast.Row(name, 30, True, 1e300, 1e300, 1e300)
    full = _record(1.0)._replace(rows=[row] * queue_forecast.MAX_ROWS)
    assert queue_forecast.decode(queue_forecast.encode(full)) == full


load_tests = collecting.hook(__name__)
