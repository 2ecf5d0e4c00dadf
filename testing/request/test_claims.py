"""Keyed non-idempotent requests run at most once, whatever dies."""

import concurrent.futures as futures
import contextlib
import secrets
import threading
import time

from testing import collecting, fixtures, system
from testing.request import calling


@contextlib.contextmanager
def _system(entries=2, hosts=2, **changes):
    with system.system(entries, hosts, entry_changes=changes) as run:
        calling.wait_ready(run)
        yield run


def _call_in_background(front, key, **options):
    told = []
    thread = threading.Thread(
        target=lambda: told.append(calling.call(front, key, **options))
    )
    thread.start()
    return thread, told


def _wait_for_run(run, key):
    fixtures.wait_until(lambda: calling.runs(run, key) == 1, 10, f"{key} to run")


def test_retry_after_completion_gets_the_first_answer_from_any_entry():
    with _system() as run:
        first = calling.call(run.callers(0), "k1")
        assert first.status == 200, first
        for front in (run.callers(0), run.callers(1)):
            fixtures.wait_until(
                lambda front=front: calling.call(front, "k1").body == first.body,
                10,
                "the first answer",
            )
        assert calling.runs(run, "k1") == 1


def test_one_key_through_two_entries_at_once_runs_once():
    with _system() as run:

        def call_one(number):
            front = run.callers(number % 2)
            return calling.call(front, "k2", X_Delay_S="0.3")

        told = calling.call_often(12, call_one)
        assert calling.runs(run, "k2") == 1
        assert sum(one.status == 200 for one in told) >= 1, told
        assert {one.code for one in told} <= {"", "KEY_IN_USE"}, told
        assert all(one.ran == "unknown" for one in told if one.code), told


def test_key_with_another_request_is_refused():
    with _system(entries=1, hosts=1) as run:
        calling.call(run.callers(), "k3", body=b"1 EUR")
        told = calling.call(run.callers(), "k3", body=b"2 EUR")
        assert (told.status, told.code, told.ran) == (422, "KEY_REUSED", "no"), told
        assert calling.runs(run, "k3") == 1


def test_unkeyed_or_idempotent_requests_need_no_store():
    with _system(entries=1, hosts=1) as run:
        calling.control_store(run, down=True)
        assert calling.call(run.callers()).status == 200
        assert calling.call(run.callers(), "k4", method="PUT").status == 200


def test_store_away_refuses_at_once_and_runs_nothing():
    with _system() as run:
        calling.control_store(run, down=True)
        refused = [calling.call(run.callers(n % 2), f"k5-{n}") for n in range(4)]
        for number, told in enumerate(refused):
            assert (told.status, told.ran) == (503, "no"), told
            assert int(told.retry_after) >= 1
            assert calling.runs(run, f"k5-{number}") == 0
        calling.control_store(run, down=False)
        for number in range(4):
            key = f"k5-{number}"
            calling.wait_answered(run.callers(), 20, "the retry to run", key=key)
            assert calling.runs(run, key) == 1


def test_slow_store_holds_up_no_request_without_a_key():
    with _system(max_requests=64) as run:
        calling.control_store(run, delay_s=0.8)
        stopping = threading.Event()

        def call_keyed(number):
            while not stopping.is_set():
                calling.call(run.callers(number % 2), secrets.token_hex(8))

        with futures.ThreadPoolExecutor(100) as pool:
            for number in range(100):
                pool.submit(call_keyed, number)
            begun = time.monotonic()
            told = []
            while time.monotonic() < begun + 5.0:
                told.append(calling.call(run.callers(len(told) % 2), method="GET"))
            stopping.set()
        calling.control_store(run, delay_s=0.0)
        assert {one.status for one in told} == {200}, told


def test_lost_answer_of_the_store_does_not_run_a_key_twice():
    with _system() as run:
        calling.control_store(run, lose_answers=3)
        for number in range(6):
            key = f"k6-{number}"
            told = [calling.call(run.callers(n % 2), key) for n in range(4)]
            count = calling.runs(run, key)
            assert count <= 1, (key, told)
            assert count == any(one.status == 200 for one in told), (key, told)


def test_entry_killed_after_the_claim_leaves_the_key_unknown():
    with _system() as run:
        thread, told = _call_in_background(run.callers(0), "k7", X_Delay_S="1.0")
        _wait_for_run(run, "k7")
        run.entries[0].kill()
        thread.join()
        assert told[0].ran == "lost", told
        said = fixtures.wait_until(
            lambda: _answer_other_than_not_ready(run.callers(1), "k7"),
            20,
            "an answer from the other entry",
        )
        assert (said.code, said.ran) == ("KEY_IN_USE", "unknown"), said
        assert calling.runs(run, "k7") == 1


def _answer_other_than_not_ready(front, key):
    told = calling.call(front, key)
    return None if told.code in ("NOT_READY", "STORE_UNCERTAIN") else told


def test_agent_killed_in_progress_leaves_the_key_unknown():
    with _system(entries=1, hosts=1) as run:
        thread, told = _call_in_background(run.callers(), "k8", X_Delay_S="1.0")
        _wait_for_run(run, "k8")
        run.agents[0].kill()
        thread.join()
        assert told[0].ran == "unknown", told
        again = calling.call(run.callers(), "k8")
        assert again.ran in ("unknown", "no"), again
        assert calling.runs(run, "k8") == 1


def test_key_of_a_request_that_did_not_run_is_free_again():
    with _system(entries=1, hosts=1) as run:
        port = int(run.endpoints[0].url().rpartition(":")[2])
        run.endpoints[0].kill()
        told = calling.call(run.callers(), "k9")
        assert (told.code, told.ran) == ("ENDPOINT_UNREACHABLE", "no"), told
        agent = run.agents[0].addresses["announcements"]
        args = ["testing.standins.endpoint", "--port", str(port), "--announce"]
        with fixtures.process([*args, f"http://{agent}"]) as back:
            calling.wait_answered(run.callers(), 10, "the retry to run", key="k9")
            found = fixtures.http("GET", f"{back.url()}/_runs").json()
            assert found["by_key"]["k9"] == 1, found


def test_owner_frozen_over_its_lease_cannot_claim():
    with _system() as run:
        run.entries[0].freeze()
        keys = [f"k10-{n}" for n in range(6)]
        for key in keys:
            calling.wait_answered(run.callers(1), 20, f"{key} to run", key=key)
        run.entries[0].thaw()
        begun = time.monotonic()
        while time.monotonic() < begun + 1.0:
            for key in keys:
                calling.call(run.callers(0), key)
        assert [calling.runs(run, key) for key in keys] == [1] * len(keys)


load_tests = collecting.hook(__name__)
