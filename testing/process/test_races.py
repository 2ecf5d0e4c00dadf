"""Operators at once, and entries replaced while the configuration changes."""

import contextlib
import json
import random
import threading
import time

from bilberrypass.connection import etcd
from testing import collecting, fixtures, system
from testing.batch import fleets

_SEED = 20261203
_CHANGES_EACH = 100
_PAUSE_S = 0.1
_GIVE_UP_S = 30.0


class _Operator:
    """Adds quotas one by one to whatever stands, and notes what was accepted."""

    def __init__(self, name, urls, seed):
        self.name = name
        self.urls = urls
        self.accepted = {}
        self.teams = []
        self.conflicts = 0
        self._random = random.Random(seed)

    def change(self, number):
        """Repeat one change, under one key, until it is accepted."""
        team = f"{self.name}-{number:03d}"
        deadline = time.monotonic() + _GIVE_UP_S
        while time.monotonic() < deadline:
            with contextlib.suppress(*fixtures.HTTP_ERRORS):
                if self._try(team):
                    self.teams.append(team)
                    return
        raise AssertionError(f"{team} not accepted in {_GIVE_UP_S} s")

    def _try(self, team):
        url = self._random.choice(self.urls)
        shown = system.operate("GET", f"{url}/config")
        if shown.status != 200:
            return False
        current = shown.json()
        defaults = current["defaults"]
        defaults["quotas"][team] = {"cpu_milli": 1000}
        body = {"defaults": defaults, "exceptions": current["exceptions"]}
        headers = {"If_Match": shown.headers["ETag"]}
        headers["Idempotency_Key"] = f"change-{team}"
        sent_at = time.monotonic()
        answer = system.operate("PUT", f"{url}/config", body, **headers)
        assert answer.status in (200, 409, 412, 503), answer.body
        self.conflicts += answer.status == 412
        if answer.status == 200:
            self.accepted[answer.json()["revision"]] = sent_at
        return answer.status == 200


def _run_all(operators, is_over):
    """Let operators change the configuration until it is over."""

    def run(operator):
        number = 0
        while not is_over(number):
            operator.change(number)
            number += 1

    threads = [threading.Thread(target=run, args=(op,)) for op in operators]
    for thread in threads:
        thread.start()
    return threads


def _wait_newest(operators, urls):
    """Wait until the newest accepted revision is in force; return it."""
    newest = max(max(operator.accepted) for operator in operators)
    for url in urls:
        fleets.wait_in_force(url, newest)
    return newest


def _judge(operators, sampler, url, prefix=""):
    assert sampler.decreases == [], sampler.decreases
    quotas = fleets.get(url, "/config")["defaults"]["quotas"]
    lost = {team for op in operators for team in op.teams} - quotas.keys()
    assert not lost, lost
    for operator in operators:
        longest = sampler.longest_delay_s(operator.accepted, prefix)
        print(f"{operator.name}: in force after {longest:.2f} s at the most,", end=" ")
        print(f"{len(operator.accepted)} accepted, {operator.conflicts} conflicts")
        assert longest < fleets.IN_FORCE_TIMEOUT_S, longest


def test_two_operators_race_and_no_change_is_lost_late_or_reverted():
    with fleets.fleet(entries=2, hosts=3) as run:
        urls = [run.url(0), run.url(1)]
        pair = [_Operator(f"op{n}", urls, _SEED + n) for n in range(2)]
        with fleets.RevisionSampler(urls) as sampler:
            for thread in _run_all(pair, lambda number: number == _CHANGES_EACH):
                thread.join()
            newest = _wait_newest(pair, urls)
            seen = lambda: sampler.has_seen(newest)
            fixtures.wait_until(seen, fleets.IN_FORCE_TIMEOUT_S, "the last sample")
        assert newest == 2 * _CHANGES_EACH, newest
        _judge(pair, sampler, urls[0])
        history = fleets.get(urls[0], "/config/history")
        revisions = [record["revision"] for record in history]
        assert revisions == sorted(revisions, reverse=True), revisions


def _start_anew(stack, run, numbers):
    """Start entries of the former ids at new addresses; give their URLs."""
    settings = [fleets.entry_settings(n, run.links[n].address) for n in numbers]
    started = fleets.start_all(stack, "entry", settings)
    return started, [entry.url("operators") for entry in started]


def _wait_complete(urls, hosts=2):
    for url in urls:
        fleets.wait_hosts(url, hosts)
        fleets.wait_members(url, len(urls))


def test_entries_replaced_one_after_another_lose_and_revert_nothing():
    with fleets.fleet() as run, contextlib.ExitStack() as stack:
        urls = [run.url(0), run.url(1)]
        operator, over = _Operator("roll", urls, _SEED), threading.Event()
        with fleets.RevisionSampler(urls) as sampler:
            (changing,) = _run_all([operator], lambda number: over.wait(_PAUSE_S))
            for number in (0, 1):
                run.entries[number].terminate()
                assert run.entries[number].wait() == 0
                _, (urls[number],) = _start_anew(stack, run, [number])
                sampler.watch(urls[number])
                _wait_complete(urls)
            over.set()
            changing.join()
            newest = _wait_newest([operator], urls)
            seen = lambda: sampler.has_seen(newest, "h")
            fixtures.wait_until(seen, fleets.IN_FORCE_TIMEOUT_S, "the last sample")
        _judge([operator], sampler, urls[0], "h")


def test_entries_all_replaced_at_once_are_found_and_revert_nothing():
    with fleets.fleet() as run, contextlib.ExitStack() as stack:
        urls = [run.url(0), run.url(1)]
        operator, over = _Operator("once", urls, _SEED), threading.Event()
        _wait_listed(run, 2)
        with fleets.RevisionSampler(urls) as sampler:
            (changing,) = _run_all([operator], lambda number: over.wait(_PAUSE_S))
            fixtures.wait_until(
                lambda: len(operator.teams) > 10, fleets.START_TIMEOUT_S, "some changes"
            )
            for entry in run.entries:
                entry.kill()
            _, urls[:] = _start_anew(stack, run, [0, 1])
            for url in urls:
                sampler.watch(url)
            _wait_complete(urls)
            over.set()
            changing.join()
            _wait_newest([operator], urls)
        assert sampler.decreases == [], sampler.decreases
        quotas = fleets.get(urls[0], "/config")["defaults"]["quotas"]
        assert set(operator.teams) <= quotas.keys()


def _wait_listed(run, count):
    """Wait until the store lists the agents."""
    kv = etcd.EtcdStore([run.store.addresses["store"]])

    def is_listed():
        item = kv.get(
            "/bilberrypass/agents", time.monotonic() + fleets.IN_FORCE_TIMEOUT_S
        )
        return item is not None and len(json.loads(item.value)) == count

    fixtures.wait_until(is_listed, fleets.START_TIMEOUT_S, "the list of agents")
    kv.close()


load_tests = collecting.hook(__name__)
