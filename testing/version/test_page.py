"""Encoding, size and retention of job pages, and validation of job bodies."""

import json
import random

from bilberrypass import errors
from bilberrypass.version import page
from testing import collecting, fixtures

_SEED = 7
_STORE_LIMIT_BYTES = 1 << 20


def _job(number, tasks=1, state=page.RUNNING, changed_at=100.0):
    body = {
        "team": f"team{number % 5}",
        "tasks": tasks,
        "demand": {"cpu_milli": 500, "memory_bytes": 1 << 30},
        "payload": json.dumps({"plan": number}),
    }
    job = page.parse_job(f"plan-{number}", json.dumps(body).encode(), 1.0, "")
    draw = random.Random(_SEED + number)
    records = [
        record._replace(
            state=state,
            attempt=draw.randrange(1, 5),
            host=f"host-{draw.randrange(1_100)}",
            checkpoint=f"step:{draw.randrange(10_000)}",
            changed_at=changed_at + draw.random(),
        )
        for record in job.tasks
    ]
    return job._replace(tasks=records)


def _size(jobs):
    return len(page.encode(page.Page(0, 1, "w", jobs)))


def test_page_round_trips_through_encoding():
    original = page.Page(3, 9, "write", [_job(1, tasks=3), _job(2)])
    assert page.decode(page.encode(original)) == original


def test_shard_of_largest_fleet_fits_in_page():
    # The largest fleet runs 15,200 tasks on 1,100 hosts, in 8 shards by default.
    jobs = [_job(number, tasks=10) for number in range(190)]
    size = _size(jobs)
    assert size < page.MAX_BYTES / 5, size


def test_full_page_with_largest_job_stays_below_store_limit():
    largest = _size([_job(0, tasks=2_000)]) + 4_096
    assert page.MAX_BYTES + largest < _STORE_LIMIT_BYTES, largest


def test_ended_jobs_are_kept_for_an_hour():
    old, new = (_job(n, state=page.FINISHED, changed_at=c) for n, c in ((1, 0), (2, 9)))
    live = _job(3, changed_at=0)
    assert page.find_expired_jobs([old, new, live], 3_605.0) == [old]


def test_number_of_ended_tasks_is_bounded():
    jobs = [
        _job(n, tasks=8, state=page.FINISHED, changed_at=100.0 + 2 * n)
        for n in range(1_010)
    ]
    expired = page.find_expired_jobs(jobs, 2_000.0)
    assert len(expired) == 10
    assert sorted(expired) == sorted(jobs[:10])


def test_all_faults_of_job_are_reported():
    body = b'{"team": "t", "demand": {"cpu_milli": 0}, "rules": {"rack": ["r1"]}}'
    exc = fixtures.error_of(errors.Invalid, page.parse_job, "j", body, 1.0, "")
    paths = {fault.split(":")[0] for fault in exc.faults}
    assert paths == {"demand.cpu_milli", "demand.memory_bytes", "rules.rack"}, exc


def test_deeply_nested_body_is_rejected_as_malformed():
    # The decoder raises RecursionError for such bodies, which led to 500 INTERNAL.
    for body in (b"[" * 100_000, b'{"team":' * 100_000, b"[" * 9_000 + b"]" * 9_000):
        exc = fixtures.error_of(errors.Error, page.parse_job, "j", body, 0.0, "")
        assert exc.kind is errors.Kind.BAD_BODY and "correct it" in exc.detail


load_tests = collecting.hook(__name__)
