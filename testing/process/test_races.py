"""Concurrent operators, and entries replaced while the configuration changes."""

import contextlib
import json
import random
import threading
import time

from bilberrypass.connection import etcd
from testing import collecting, fixtures, system
from testing.batch import fleets

_SEED = 20261203
_CHANGES_PER_OPERATOR = 100
_CHANGE_INTERVAL_S = 0.1
_CHANGE_TIMEOUT_S = 30.0


class _Operator:
    """Adds quotas one by one to the current configuration and records accepted ones."""

    def __init__(self, name, urls, seed):
        self.name = name
        self.urls = urls
        self.accepted = {}
        self.teams = []
        self.conflicts = 0
        self._random = random.Random(seed)

    def change(self, number):
        """Repeat one change with one idempotency key until it is accepted."""
        team = f"{self.name}-{number:03d}"
        deadline = time.monotonic() + _CHANGE_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(*fixtures.HTTP_ERRORS):
                if self._try_change(team):
                    self.teams.append(team)
                    return
        raise AssertionError(f"{team} not accepted within {_CHANGE_TIMEOUT_S} s")

    def _try_change(self, team):
        url = self._random.choice(self.urls)
        shown = system.operator_request("GET", f"{url}/config")
        if shown.status != 200:
            return False
        current = shown.json()
        defaults = current["defaults"]
        defaults["quotas"][team] = {"cpu_milli": 1000}
        body = {"defaults": defaults, "exceptions": current["exceptions"]}
        headers = {"If_Match": shown.headers["ETag"]}
        headers["Idempotency_Key"] = f"change-{team}"
        sent_at = time.monotonic()
        answer = system.operator_request("PUT", f"{url}/config", body, **headers)
        assert answer.status in (200, 409, 412, 503), answer.body
        self.conflicts += answer.status == 412
        if answer.status == 200:
            self.accepted[answer.json()["revision"]] = sent_at
        return answer.status == 200


def _start_changing(operators, is_over):
    """Start threads that change the configuration until ``is_over`` returns true."""

    def run(operator):
        number = 0
        while not is_over(number):
            operator.change(number)
            number += 1

    threads = [threading.Thread(target=run, args=(op,)) for op in operators]
    for thread in threads:
        thread.start()
    return threads


def _wait_newest_in_force(operators, urls):
    """Wait until the newest accepted revision is in force everywhere; return it."""
    newest = max(max(operator.accepted) for operator in operators)
    for url in urls:
        fleets.wait_in_force(url, newest)
    return newest


def _check_changes(operators, sampler, url, prefix=""):
    assert sampler.decreases == [], sampler.decreases
    quotas = fleets.get(url, "/config")["defaults"]["quotas"]
    lost = {team for op in operators for team in op.teams} - quotas.keys()
    assert not lost, lost
    for operator in operators:
        longest = sampler.longest_delay_s(operator.accepted, prefix)
        print(f"{operator.name}: in force after {longest:.2f} s at most,", end=" ")
        print(f"{len(operator.accepted)} accepted, {operator.conflicts} conflicts")
        assert longest < fleets.IN_FORCE_TIMEOUT_S, longest


def test_concurrent_config_changes_are_not_lost_late_or_reverted():
    """Guards against lost updates when operators replace the same revision.

    A request that is rejected, or whose response is lost, is repeated with the same
    idempotency key.
    """
    with fleets.fleet(entries=2, hosts=3) as run:
        urls = [run.url(0), run.url(1)]
        pair = [_Operator(f"op{n}", urls, _SEED + n) for n in range(2)]
        with fleets.RevisionSampler(urls) as sampler:
            for thread in _start_changing(
                pair, lambda number: number == _CHANGES_PER_OPERATOR
            ):
                thread.join()
            newest = _wait_newest_in_force(pair, urls)
            seen = lambda: sampler.has_seen(newest)
            fixtures.wait_until(seen, fleets.IN_FORCE_TIMEOUT_S, "the last sample")
        assert newest == 2 * _CHANGES_PER_OPERATOR, newest
        _check_changes(pair, sampler, urls[0])
        history = fleets.get(urls[0], "/config/history")
        revisions = [record["revision"] for record in history]
        assert revisions == sorted(revisions, reverse=True), revisions


def _start_replacements(stack, run, numbers):
    """Start entries with the former ids at new addresses; return these and the URLs."""
    settings = [fleets.entry_settings(n, run.links[n].address) for n in numbers]
    started = fleets.start_all(stack, "entry", settings)
    return started, [entry.url("operators") for entry in started]


def _wait_complete(urls, hosts=2):
    for url in urls:
        fleets.wait_hosts(url, hosts)
        fleets.wait_members(url, len(urls))


def test_rolling_entry_replacement_loses_and_reverts_no_config_change():
    """Guards against revisions lost or reverted by a rolling replacement.

    Each entry stops, and its successor starts at a new address, while an operator
    changes the configuration.
    """
    with fleets.fleet() as run, contextlib.ExitStack() as stack:
        urls = [run.url(0), run.url(1)]
        operator, over = _Operator("roll", urls, _SEED), threading.Event()
        with fleets.RevisionSampler(urls) as sampler:
            (changing,) = _start_changing(
                [operator], lambda number: over.wait(_CHANGE_INTERVAL_S)
            )
            for number in (0, 1):
                run.entries[number].terminate()
                assert run.entries[number].wait() == 0
                _, (urls[number],) = _start_replacements(stack, run, [number])
                sampler.watch(urls[number])
                _wait_complete(urls)
            over.set()
            changing.join()
            newest = _wait_newest_in_force([operator], urls)
            seen = lambda: sampler.has_seen(newest, "h")
            fixtures.wait_until(seen, fleets.IN_FORCE_TIMEOUT_S, "the last sample")
        _check_changes([operator], sampler, urls[0], "h")


def test_entries_replaced_at_once_are_found_and_revert_no_config_change():
    """Guards against agents that know only addresses of dead entries.

    All entries are killed and start at new addresses, so the agents must be found
    through the list in the store.
    """
    with fleets.fleet() as run, contextlib.ExitStack() as stack:
        urls = [run.url(0), run.url(1)]
        operator, over = _Operator("once", urls, _SEED), threading.Event()
        _wait_agents_listed(run, 2)
        with fleets.RevisionSampler(urls) as sampler:
            (changing,) = _start_changing(
                [operator], lambda number: over.wait(_CHANGE_INTERVAL_S)
            )
            fixtures.wait_until(
                lambda: len(operator.teams) > 10, fleets.START_TIMEOUT_S, "some changes"
            )
            for entry in run.entries:
                entry.kill()
            _, urls[:] = _start_replacements(stack, run, [0, 1])
            for url in urls:
                sampler.watch(url)
            _wait_complete(urls)
            over.set()
            changing.join()
            _wait_newest_in_force([operator], urls)
        assert sampler.decreases == [], sampler.decreases
        quotas = fleets.get(urls[0], "/config")["defaults"]["quotas"]
        assert set(operator.teams) <= quotas.keys()


def _wait_agents_listed(run, count):
    """Wait until the store lists a number of agents."""
    kv = etcd.EtcdStore([run.store.addresses["store"]])

    def is_listed():
        item = kv.get(
            "/bilberrypass/agents", time.monotonic() + fleets.IN_FORCE_TIMEOUT_S
        )
        return item is not None and len(json.loads(item.value)) == count

    fixtures.wait_until(is_listed, fleets.START_TIMEOUT_S, "the list of agents")
    kv.close()


load_tests = collecting.hook(__name__)
