"""When callers that were refused in an outage return, in simulated time."""

import heapq
import itertools
import random
import typing as t

from bilberrypass.scheduling import retry_advice
from testing import collecting

_RETRIES = 4
_PATIENCE_S = 3.0
_ENTRIES = 8
_ARRIVALS_PER_S = 6.0
_PROBE_S = 0.6  # the first caller of an outage finds that the store is silent


class _Return(t.NamedTuple):
    at: float
    entry: int
    refused_at: float


class _Play(t.NamedTuple):
    lost: int
    served_late_s: list[float]  # from the end of the outage, of callers refused before
    returns: list[_Return]


def _play_outage(length_s, seed, arrivals_per_s=_ARRIVALS_PER_S, hold_s=0.0):
    """Play callers that honour Retry-After, each at another entry each time."""
    rng = random.Random(seed)
    begins, ends = 5.0, 5.0 + length_s
    health = [retry_advice.StoreHealth() for _ in range(_ENTRIES)]
    schedules = [retry_advice.ReturnSchedule() for _ in range(_ENTRIES)]
    tiebreak = itertools.count()
    queue, at = [], 0.0
    while at < ends + 10.0:
        at += rng.expovariate(arrivals_per_s)
        queue.append((at, next(tiebreak), _RETRIES, -1))
    heapq.heapify(queue)
    lost, late, returns = 0, [], []
    while queue:
        now, _, retries_left, last = heapq.heappop(queue)
        entry = rng.choice([n for n in range(_ENTRIES) if n != last])
        if not begins <= now < ends:
            health[entry].record_answer(now)
            if last >= 0 and now >= ends:
                late.append(now - ends)
            continue
        if not health[entry].outage_age_s(now):
            now += hold_s
        health[entry].record_failure(now)
        if not retries_left:
            lost += 1
            continue
        age_s = health[entry].outage_age_s(now)
        wait_s = schedules[entry].assign(now, age_s, _PATIENCE_S)
        returns.append(_Return(now + wait_s, entry, now))
        heapq.heappush(queue, (now + wait_s, next(tiebreak), retries_left - 1, entry))
    return _Play(lost, late, returns)


def test_four_retries_outlast_an_outage_of_five_seconds():
    """12 callers used up their retries in 4.5 s (mod-prix, the store resets calls)."""
    for hold_s in (0.0, _PROBE_S):
        for seed in range(200):
            play = _play_outage(5.0, seed, hold_s=hold_s)
            assert play.lost == 0, (seed, hold_s, play.lost)
            assert max(play.served_late_s, default=0.0) <= _PATIENCE_S, seed


def test_short_outage_sends_nobody_away_for_long():
    """A constant of 1 s with jitter was rounded up to 2 s for each refusal."""
    for seed in range(200):
        play = _play_outage(0.5, seed, arrivals_per_s=40.0)
        assert play.lost == 0
        assert all(r.at - r.refused_at <= 2.0 for r in play.returns), seed


def test_callers_return_in_order_and_not_together():
    for seed in range(20):
        play = _play_outage(5.0, seed, arrivals_per_s=100.0)
        for entry in range(_ENTRIES):
            mine = [r for r in play.returns if r.entry == entry]
            mine.sort(key=lambda r: r.refused_at)
            times = [r.at for r in mine]
            assert times == sorted(times), (seed, entry)


def test_burst_returns_over_the_seconds():
    schedule = retry_advice.ReturnSchedule()
    waits = [schedule.assign(10.0, 0.0, 10.0) for _ in range(90)]
    assert waits == sorted(waits)
    assert [waits.count(n) for n in (1, 2, 3, 4)] == [20] * 4


def test_nobody_is_sent_away_for_longer_than_it_would_have_waited():
    for age_s, patience_s, most_s in [
        (60.0, 3.0, 3),
        (60.0, 0.4, 1),
        (60.0, 100.0, 5),
        (0.0, 3.0, 1),
    ]:
        schedule = retry_advice.ReturnSchedule()
        assert schedule.assign(100.0, age_s, patience_s) == most_s


def test_advice_is_short_again_once_the_store_responds():
    health = retry_advice.StoreHealth()
    schedule = retry_advice.ReturnSchedule()
    health.record_answer(0.0)
    health.record_failure(0.1)
    assert schedule.assign(9.0, health.outage_age_s(9.0), 9.0) > 2
    health.record_answer(15.0)
    health.record_failure(15.1)
    assert schedule.assign(15.2, health.outage_age_s(15.2), 9.0) == 1


load_tests = collecting.hook(__name__)
