"""Large tasks among small ones: reservations of room, and what may use it."""

import contextlib
import random
from unittest import mock

from bilberrypass import clock
from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    full_demands,
    jobs,
    reservation_promises,
    reservations,
)
from testing import collecting
from testing.scheduling import streams

LARGE = "f" * 16
LARGE_STEP = jobs.Step(1, cpu_milli=14_000, memory_mb=500, estimate_s=4.0)
LARGE_S = 4.0
SMALL = jobs.Step(1, cpu_milli=4_000, memory_mb=500, estimate_s=10.0)
LARGE_AT_S = 8.0
END_S = 24.0
MAX_TIMES_AS_LONG = 2.0  # as on an empty fleet, from acceptance to end
MIN_SHARE_OF_SMALL = 0.9  # of those that end without reservations


@contextlib.contextmanager
def recorded_decisions():
    """Collect the events of reservations instead of logging them."""
    lines = []

    def record(event, **fields):
        if event.startswith("reservation."):
            lines.append({"event": event} | fields)

    with mock.patch.object(decisions, "record", record):
        yield lines


def _play(seed, load, error=1.0, has_large=True, **options):
    """Play small tasks of 1 to 3 cores that arrive at a share of what 8 hosts can do.

    The callers' estimates are ``error`` times the true durations.
    """
    rng = random.Random(seed)
    stream = streams.Stream(8, **options)
    rate = load * 8 * 16 / (2.0 * 1.5)
    count, next_s = 0, rng.expovariate(rate)
    while stream.elapsed_s < END_S:
        while next_s <= stream.elapsed_s:
            duration_s, cpu = rng.uniform(1, 2), rng.randrange(1_000, 3_000)
            step = jobs.Step(1, cpu, 500, estimate_s=error * duration_s)
            stream.submit(f"{count:016x}", step, duration_s=duration_s)
            count, next_s = count + 1, next_s + rng.expovariate(rate)
        if has_large and stream.elapsed_s >= LARGE_AT_S and LARGE not in stream.jobs:
            step = LARGE_STEP._replace(estimate_s=error * LARGE_S)
            stream.submit(LARGE, step, duration_s=LARGE_S)
        stream.step()
    return stream


def _fill(count=4):
    """Return hosts that small tasks fill, and that end one after the other.

    A large task waits for them; the last tasks of the first host end in 3 s.
    """
    stream = streams.Stream(count)
    for number in range(4 * count):
        duration_s = 3.0 + number // 4
        step = SMALL._replace(estimate_s=duration_s)
        stream.submit(f"{number:016x}", step, duration_s=duration_s)
        if number % 4 == 3:  # fills one host after the other
            names = sorted(stream.hosts)
            others = [stream.hosts.pop(name) for name in names[number // 4 + 1 :]]
            stream.step()
            stream.hosts.update((host.name, host) for host in others)
    stream.submit(LARGE, LARGE_STEP, duration_s=LARGE_S)
    stream.step()
    return stream


def test_large_task_among_small_ones_starts_soon():
    """Load: small tasks for four fifths of the cores, of higher value density."""
    for seed in range(2):
        without = _play(seed, 0.8, has_reservations=False)
        for error in (0.5, 1.0, 1.5):
            stream = _play(seed, 0.8, error)
            took_s = stream.ends[LARGE] - LARGE_AT_S
            assert took_s <= MAX_TIMES_AS_LONG * LARGE_S, (seed, error, took_s)
            small = len(stream.ends.keys() - {LARGE})
            assert small >= MIN_SHARE_OF_SMALL * len(without.ends), (seed, error)


def test_placements_stay_as_they_were_if_all_work_finds_room():
    """Load: small tasks for a third of the cores, so that none has to wait."""
    with_reservations, without = (
        _play(3, 0.35, has_large=False, has_reservations=is_on)
        for is_on in (True, False)
    )
    assert with_reservations.starts == without.starts
    assert not with_reservations.reservations


def test_reservation_is_made_where_room_is_first():
    stream = _fill()
    assert list(stream.reservations) == ["h0"]
    stream.run_until(lambda: LARGE in stream.starts)
    assert stream.starts[LARGE][0][0] == "h0"


def test_switched_off_reserves_nothing():
    with mock.patch.object(streams.Stream, "has_reservations", False):
        assert not _fill().reservations


def test_only_tasks_that_end_before_or_leave_the_room_start_on_the_host():
    stream = _fill(1)
    host = stream.hosts["h0"]
    for task in list(host.tasks.values())[:2]:
        host.remove(task)  # 8 cores are free, 8 more in 3 s
    cases = (
        ("long", 4_000, 9.0, False),
        ("unknown", 4_000, 0.0, False),
        ("small", 2_000, 9.0, True),
        ("short", 4_000, 0.8, True),
    )
    for name, cpu, estimate_s, is_started in cases:
        step = jobs.Step(1, cpu, 500, estimate_s=estimate_s)
        stream.submit(name, step, duration_s=0.05)
        stream.step()
        assert bool(stream.starts[name]) is is_started, name
        if is_started:
            stream.step()
        else:
            stream.cancel(name)


def test_work_of_higher_priority_is_not_held_back():
    stream = _fill()
    kept = stream.reservations["h0"]
    owner, book = kept.precedence, stream.scheduler._placer._reservations
    book.begin_round(list(stream.hosts.values()), stream.now)
    later = owner._replace(accepted_at=owner.accepted_at + 1)
    earlier = owner._replace(accepted_at=owner.accepted_at - 1)
    task = next(iter(stream.hosts["h1"].tasks.values()))
    for other, is_bound in (
        (later, True),
        (earlier, False),
        (later._replace(priority=owner.priority - 1), False),
    ):
        guard = book.guard(task, other)
        hosts_kept = guard.hosts if guard is not None else frozenset()
        assert hosts_kept == ({"h0"} if is_bound else set()), other


def test_loss_of_the_reserved_host_moves_the_reservation():
    stream = _fill()
    stream.lose("h0")
    stream.step()
    assert list(stream.reservations) == ["h1"]


def test_next_leader_derives_the_same_reservations():
    """Guards against room given away after an election; the start times are lost."""
    stream = _fill()
    for _ in range(10):
        stream.step()
    before = stream.reservations
    stream.elect()
    stream.step()
    after = stream.reservations
    assert after is not before
    assert [(kept.key, name) for name, kept in after.items()] == [
        (kept.key, name) for name, kept in before.items()
    ]
    assert abs(after["h0"].at - before["h0"].at) < 0.5


def test_cancelled_job_releases_its_reservation():
    stream = _fill()
    stream.cancel(LARGE)
    stream.step()
    assert not stream.reservations


def test_reservation_that_slips_again_and_again_is_given_up():
    """Load: runs that go on for ten times their estimate, without progress."""
    with recorded_decisions() as lines:
        stream = _fill()
        for id in list(stream.durations_s):
            stream.durations_s[id] = 1_000.0
        held = []
        while stream.elapsed_s < 60:
            stream.step()
            held.append(len(stream.reservations))
    assert max(held) == 1
    assert 0 in held
    events = [line["event"] for line in lines]
    assert events.count("reservation.given_up") >= 1
    slips = [line for line in lines if line["event"] == "reservation.slipped"]
    assert slips[0]["job"] == LARGE
    assert "end later than expected" in slips[0]["why"]
    assert len(lines) <= 4 * 60, "more than four lines a second"


def test_at_most_a_stated_share_of_hosts_is_reserved():
    """Load: ten wide steps of large tasks, and all hosts full."""
    stream = _fill(16)
    for number in range(10):
        step = LARGE_STEP._replace(count=8)
        stream.submit(f"{number:015x}e", step, duration_s=LARGE_S)
    held = []
    for _ in range(40):
        stream.step()
        held.append(len(stream.reservations))
    assert max(held) == 2, "more or less than an eighth of 16 hosts"


def test_services_get_no_reservations_where_they_hold_most_cores():
    """Load: services that no host can hold, beside batch work; they return no room."""
    for cores, count in ((7, 1), (13, 0)):
        stream = streams.Stream(2)
        service = jobs.Step(2, 1_000 * cores, 500, is_service=True, max_per_host=1)
        stream.submit("5" * 16, service, duration_s=1.0)
        stream.step()
        free = 16 - cores
        for number in range(2 * 3):
            step = SMALL._replace(cpu_milli=1_000 * free // 3)
            stream.submit(f"{number:016x}", step, duration_s=10.0)
        stream.step()
        wanted = jobs.Step(1, 1_000 * (free - 1), 500, is_service=True)
        stream.submit("6" * 16, wanted, duration_s=1.0)
        stream.step()
        assert len(stream.reservations) == count, cores


def test_step_near_its_room_keeps_no_other_label_from_reservations():
    """Guards against a small task that waits for hosts of which none ends soon."""
    stream = streams.Stream(2)
    labelled = stream.hosts["h1"]
    labelled.runner = labelled.runner._replace(labels=("b",))
    tasks = (
        ("a", 4, jobs.Step(4, 4_000, 500, estimate_s=3.0, required_label="a")),
        ("b", 16, jobs.Step(16, 1_000, 500, estimate_s=3.0, required_label="b")),
        ("near", 0, SMALL._replace(estimate_s=0.5, required_label="a")),
        ("far", 0, jobs.Step(1, 3_000, 500, estimate_s=9.0, required_label="b")),
    )
    for name, count, step in tasks:
        stream.submit(name, step, duration_s=3.0)
        stream.step()
        assert len(stream.starts[name]) == count, name
    assert list(stream.reservations) == ["h1"]


def test_reservations_of_a_wide_step_keep_their_time():
    """Guards against slips that count the second reservation as the first."""
    with recorded_decisions() as lines:
        stream = _fill(32)
        wide = LARGE_STEP._replace(count=4)
        stream.submit("e" * 16, wide, duration_s=LARGE_S)
        stream.run_until(lambda: len(stream.starts["e" * 16]) == 4)
    assert not [line for line in lines if line["event"] != "reservation.made"]


def test_held_demand_covers_only_longer_tasks_bound_by_the_same_hosts():
    guard = mock.Mock(duration_s=2.0, hosts=frozenset(["h0"]))
    full = full_demands.FullDemands()
    full.add_held(SMALL, "p", guard)
    assert full.covers_held(SMALL, "p", guard)
    shorter = mock.Mock(duration_s=1.0, hosts=guard.hosts)
    free = mock.Mock(duration_s=2.0, hosts=frozenset())
    assert not full.covers_held(SMALL, "p", shorter)
    assert not full.covers_held(SMALL, "p", free)
    assert not full.covers(SMALL, "p")


def test_forgotten_promises_do_not_pile_up():
    book = reservations.Reservations()
    now = clock.now()
    for number in range(100):
        book._promises["j", 0, number] = reservation_promises.Promise()
    book.begin_round([], now)
    book.end_round()
    assert not book._promises


load_tests = collecting.hook(__name__)
