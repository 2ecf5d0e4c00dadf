"""Keyed, non-idempotent requests run at most once, whichever process is killed."""

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
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(calling.call(front, key, **options))
    )
    thread.start()
    return thread, answers


def _wait_for_run(run, key):
    fixtures.wait_until(lambda: calling.count_runs(run, key) == 1, 10, f"{key} to run")


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
        assert calling.count_runs(run, "k1") == 1


def test_key_sent_to_two_entries_concurrently_runs_once():
    with _system() as run:

        def call_one(number):
            front = run.callers(number % 2)
            return calling.call(front, "k2", X_Delay_S="0.3")

        answers = calling.call_concurrently(12, call_one)
        assert calling.count_runs(run, "k2") == 1
        assert sum(answer.status == 200 for answer in answers) >= 1, answers
        assert {answer.code for answer in answers} <= {"", "KEY_IN_USE"}, answers
        assert all(answer.ran == "unknown" for answer in answers if answer.code), (
            answers
        )


def test_key_reused_for_a_different_request_is_refused():
    with _system(entries=1, hosts=1) as run:
        calling.call(run.callers(), "k3", body=b"1 EUR")
        answer = calling.call(run.callers(), "k3", body=b"2 EUR")
        assert (answer.status, answer.code, answer.ran) == (422, "KEY_REUSED", "no"), (
            answer
        )
        assert calling.count_runs(run, "k3") == 1


def test_unkeyed_or_idempotent_requests_need_no_store():
    with _system(entries=1, hosts=1) as run:
        calling.control_store(run, down=True)
        assert calling.call(run.callers()).status == 200
        assert calling.call(run.callers(), "k4", method="PUT").status == 200


def test_unavailable_store_refuses_keyed_requests_and_runs_none():
    with _system() as run:
        calling.control_store(run, down=True)
        answers = [calling.call(run.callers(n % 2), f"k5-{n}") for n in range(4)]
        for number, answer in enumerate(answers):
            assert (answer.status, answer.ran) == (503, "no"), answer
            assert int(answer.retry_after) >= 1
            assert calling.count_runs(run, f"k5-{number}") == 0
        calling.control_store(run, down=False)
        for number in range(4):
            key = f"k5-{number}"
            calling.wait_answered(run.callers(), 20, "the retry to run", key=key)
            assert calling.count_runs(run, key) == 1


def test_slow_store_does_not_delay_requests_without_a_key():
    """Keyed requests that wait for a slow store must not use up the threads."""
    with _system(max_requests=64) as run:
        calling.control_store(run, delay_s=0.8)
        stopping = threading.Event()

        def call_keyed(number):
            while not stopping.is_set():
                calling.call(run.callers(number % 2), secrets.token_hex(8))

        with futures.ThreadPoolExecutor(100) as pool:
            for number in range(100):
                pool.submit(call_keyed, number)
            started_at = time.monotonic()
            answers = []
            while time.monotonic() < started_at + 5.0:
                answers.append(
                    calling.call(run.callers(len(answers) % 2), method="GET")
                )
            stopping.set()
        calling.control_store(run, delay_s=0.0)
        assert {answer.status for answer in answers} == {200}, answers


def test_lost_store_answer_does_not_run_a_key_twice():
    """A claim may be written although the answer of the store is lost.

    The request must then run at most once, and only if an attempt succeeded.
    """
    with _system() as run:
        calling.control_store(run, lose_answers=3)
        for number in range(6):
            key = f"k6-{number}"
            answers = [calling.call(run.callers(n % 2), key) for n in range(4)]
            count = calling.count_runs(run, key)
            assert count <= 1, (key, answers)
            assert count == any(answer.status == 200 for answer in answers), (
                key,
                answers,
            )


def test_entry_killed_after_the_claim_leaves_the_outcome_unknown():
    """A retry must not run the request again when its first entry died in progress.

    The claim stays, and nobody knows whether the request has finished.
    """
    with _system() as run:
        thread, answers = _call_in_background(run.callers(0), "k7", X_Delay_S="1.0")
        _wait_for_run(run, "k7")
        run.entries[0].kill()
        thread.join()
        assert answers[0].ran == "lost", answers
        retried = fixtures.wait_until(
            lambda: _answer_other_than_not_ready(run.callers(1), "k7"),
            20,
            "an answer from the other entry",
        )
        assert (retried.code, retried.ran) == ("KEY_IN_USE", "unknown"), retried
        assert calling.count_runs(run, "k7") == 1


def _answer_other_than_not_ready(front, key):
    answer = calling.call(front, key)
    return None if answer.code in ("NOT_READY", "STORE_UNCERTAIN") else answer


def test_agent_killed_in_progress_leaves_the_outcome_unknown():
    """A retry must not run the request again when its agent died in progress."""
    with _system(entries=1, hosts=1) as run:
        thread, answers = _call_in_background(run.callers(), "k8", X_Delay_S="1.0")
        _wait_for_run(run, "k8")
        run.agents[0].kill()
        thread.join()
        assert answers[0].ran == "unknown", answers
        retried = calling.call(run.callers(), "k8")
        assert retried.ran in ("unknown", "no"), retried
        assert calling.count_runs(run, "k8") == 1


def test_key_is_released_if_the_request_did_not_run():
    with _system(entries=1, hosts=1) as run:
        port = int(run.endpoints[0].url().rpartition(":")[2])
        run.endpoints[0].kill()
        answer = calling.call(run.callers(), "k9")
        assert (answer.code, answer.ran) == ("ENDPOINT_UNREACHABLE", "no"), answer
        agent = run.agents[0].addresses["announcements"]
        args = ["testing.standins.endpoint", "--port", str(port), "--announce"]
        with fixtures.process([*args, f"http://{agent}"]) as endpoint:
            calling.wait_answered(run.callers(), 10, "the retry to run", key="k9")
            counts = fixtures.http("GET", f"{endpoint.url()}/_runs").json()
            assert counts["by_key"]["k9"] == 1, counts


def test_owner_frozen_past_its_lease_cannot_claim():
    """A former owner that resumes after its lease expired must not grant a claim.

    Otherwise a key that ran through the new owner would run again.
    """
    with _system() as run:
        run.entries[0].freeze()
        keys = [f"k10-{n}" for n in range(6)]
        for key in keys:
            calling.wait_answered(run.callers(1), 20, f"{key} to run", key=key)
        run.entries[0].thaw()
        started_at = time.monotonic()
        while time.monotonic() < started_at + 1.0:
            for key in keys:
                calling.call(run.callers(0), key)
        assert [calling.count_runs(run, key) for key in keys] == [1] * len(keys)


load_tests = collecting.hook(__name__)
