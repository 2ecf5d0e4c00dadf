"""Propagation of the configuration to all processes during partial failures."""

import contextlib
import time

import hypothesis
import hypothesis.strategies as st

from bilberrypass.configuration import synchronizer
from bilberrypass.version import configuration
from testing import collecting, fixtures, system
from testing.batch import fleets


def test_change_reaches_all_entries_without_watch_events():
    with fleets.fleet() as run:
        fleets.control_store(run.store, silent_watches=True)
        assert fleets.put(run.url(0), 0, 1).status == 200
        for number in (0, 1):
            fleets.wait_in_force(run.url(number), 1)


def test_change_reaches_entry_partitioned_from_store():
    with fleets.fleet() as run:
        run.links[1].blackhole()
        accepted = fleets.put(run.url(0), 0, 1)
        assert accepted.status == 200, accepted.body
        fleets.wait_in_force(run.url(1), 1)
        for _ in fixtures.polls(2 * fleets.IN_FORCE_TIMEOUT_S):
            ready = fixtures.http("GET", f"{run.url(1)}/readyz")
            assert (ready.status, ready.json()["current"]) == (200, True), ready.body


def test_change_reaches_partitioned_entry_through_agents_only():
    with fleets.fleet() as run:
        run.entries[1].freeze()
        run.links[1].blackhole()
        assert fleets.put(run.url(0), 0, 1).status == 200
        fleets.wait_in_force(run.url(0), 1)
        run.entries[0].freeze()
        run.entries[1].thaw()
        fleets.wait_in_force(run.url(1), 1)
        run.entries[0].thaw()


def test_change_reaches_all_entries_with_slow_store():
    with fleets.fleet() as run:
        fleets.control_store(run.store, delay_s=2.0, silent_watches=True)
        accepted = system.operator_request(
            "POST", f"{run.url(0)}/hosts/h0/drain", {"reason": "a"}
        )
        assert accepted.status == 200, accepted.body
        for number in (0, 1):
            fleets.wait_in_force(run.url(number), 1)


def test_change_is_refused_and_staleness_shown_while_store_is_down():
    with fleets.fleet() as run:
        assert fleets.put(run.url(0), 0, 1).status == 200
        fleets.wait_in_force(run.url(1), 1)
        fleets.control_store(run.store, down=True)
        refused = fleets.put(run.url(0), 1, 2)
        assert refused.status == 503, refused.body
        assert refused.json()["ran"] in ("no", "unknown"), refused.body
        assert "Retry-After" in refused.headers
        detail = refused.json()["detail"]
        assert "; " in detail and "Disconnected(" not in detail, detail
        for number in (0, 1):
            url = f"{run.url(number)}/readyz"
            answer = fixtures.wait_until(
                lambda url=url: _read_stale_readiness(url),
                3 * fleets.IN_FORCE_TIMEOUT_S,
                "readiness with a stale configuration",
            )
            assert answer["ready"] and answer["doubt"], answer
            assert fleets.get(run.url(number), "/config")["revision"] == 1
        entries = fleets.get(run.url(0), "/status")["entries"]
        assert not any(entry["current"] for entry in entries), entries
        fleets.control_store(run.store, down=False)
        fixtures.wait_until(
            lambda: fleets.put(run.url(1), 1, 3).status == 200,
            10,
            "the accepted change",
        )
        fleets.wait_in_force(run.url(0), 2)
        fleets.wait_members(run.url(0), 2)
        fixtures.wait_until(
            lambda: all(
                s["owner"] for s in fleets.get(run.url(0), "/status")["shards"]
            ),
            fleets.START_TIMEOUT_S,
            "owners of all shards after expiry of the old leases",
        )


def _read_stale_readiness(url):
    answer = fixtures.http("GET", url).json()
    return None if answer["current"] else answer


def test_change_is_applied_once_when_store_answer_is_lost():
    with fleets.fleet(entries=1, hosts=1) as run:
        for number in range(5):
            fleets.control_store(run.store, lose_answers=1)
            accepted = fleets.put(run.url(0), number, number + 1)
            assert accepted.status == 200, accepted.body
            assert accepted.json()["revision"] == number + 1
        history = fleets.get(run.url(0), "/config/history")
        assert [r["revision"] for r in history] == [5, 4, 3, 2, 1], history


def test_change_repeated_with_idempotency_key_is_accepted_once():
    with fleets.fleet(entries=2, hosts=1) as run:
        key = {"Idempotency_Key": "change-0001"}
        assert fleets.put(run.url(0), 0, 1, **key).status == 200
        assert fleets.put(run.url(1), 1, 2).json()["revision"] == 2
        again = fleets.put(run.url(1), 0, 1, **key)
        assert (again.status, again.json()["revision"]) == (200, 2), again.body


def test_resumed_stale_entry_does_not_revert_others():
    with fleets.fleet() as run, fleets.RevisionSampler([run.url(0)]) as sampler:
        run.entries[1].freeze()
        for number in range(10):
            assert fleets.put(run.url(0), number, number + 1).status == 200
        fleets.wait_in_force(run.url(0), 10)
        run.entries[1].thaw()
        fleets.wait_in_force(run.url(1), 10)
        assert sampler.decreases == [], sampler.decreases


@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
@hypothesis.given(st.lists(st.integers(0, 9), max_size=30))
def test_revision_never_decreases_in_any_order_of_arrival(arrivals):
    active_config = synchronizer.ActiveConfig()
    highest = 0
    for revision in arrivals:
        active_config.adopt(configuration.INITIAL._replace(revision=revision))
        highest = max(highest, revision)
        assert active_config.revision == highest


def test_slices_are_extracted_from_whole_documents_only():
    drain = {"match": {"host": "h1"}, "set": {"drain": True}, "reason": "a"}
    whole = configuration.INITIAL._replace(revision=1, exceptions=[drain])
    other, drained = configuration.Subject("h0"), configuration.Subject("h1")
    active_config = synchronizer.ActiveConfig()
    active_config.adopt(configuration.extract_part(whole, other))
    assert active_config.encode_slice(drained, 0) == b""
    active_config.adopt(whole)
    part = configuration.decode(active_config.encode_slice(drained, 0))
    assert part.exceptions == [drain]
    assert active_config.encode_slice(drained, 1) == b""


def test_rollback_creates_new_revision():
    with fleets.fleet(entries=1, hosts=1) as run:
        url = run.url(0)
        assert fleets.put(url, 0, 1).status == 200
        assert fleets.put(url, 1, 2).status == 200
        old = fixtures.wait_until(
            lambda: system.operator_request("GET", f"{url}/config/1"), 10, "revision 1"
        ).json()
        body = {"defaults": old["defaults"], "exceptions": old["exceptions"]}
        back = system.operator_request("PUT", f"{url}/config", body, If_Match='"2"')
        assert back.json()["revision"] == 3, back.body
        assert back.json()["defaults"] == old["defaults"]


def test_entry_started_without_store_gets_configuration_from_peers():
    with fleets.fleet() as run:
        assert fleets.put(run.url(0), 0, 1).status == 200
        fleets.wait_in_force(run.url(1), 1)
        fleets.control_store(run.store, down=True)
        run.entries[1].kill()
        with _restart_second_entry(run) as url:
            fleets.wait_in_force(url, 1)
            shown = fleets.get(url, "/config")
            assert shown == fleets.get(run.url(0), "/config"), shown


def test_entry_started_without_store_or_peers_gets_configuration_from_agents():
    with fleets.fleet() as run:
        drained = system.operator_request(
            "POST", f"{run.url(0)}/hosts/h1/drain", {"reason": "a"}
        )
        assert drained.status == 200, drained.body
        fleets.wait_in_force(run.url(0), 1)
        fleets.control_store(run.store, down=True)
        for entry in run.entries:
            entry.kill()
        with _restart_second_entry(run) as url:
            fleets.wait_in_force(url, 1)
            fixtures.wait_until(
                lambda: (
                    {h["id"]: h["drain"] for h in fleets.get(url, "/hosts")}
                    == {"h0": "", "h1": "a"}
                ),
                10,
                "the configuration parts of both agents",
            )
            refused = fleets.put(url, 1, 2)
            assert refused.status == 503, refused.body


@contextlib.contextmanager
def _restart_second_entry(run):
    """Restart the second entry at its former address, and yield its operators' URL."""
    peers = run.entries[1].addresses["peers"]
    cfg = fleets.entry_settings(1, run.links[1].address, peers=peers)
    with system.daemon("entry", cfg) as entry:
        began = time.monotonic()
        fleets.wait_hosts(entry.url("operators"), 2)
        assert time.monotonic() - began < fleets.START_TIMEOUT_S
        yield entry.url("operators")


load_tests = collecting.hook(__name__)
