"""Faults at each step of a request's path, and the judge of what callers were told."""

import collections.abc as abc
import random
import threading
import time
import typing as t

from testing import fixtures
from testing.request import calling, linked

_CALLERS = 8
_ATTEMPTS = 3
_DEADLINE_S = 3.0
_FAULT_S = 1.5
_LONG_FAULT_S = 4.0
_RECOVERY_S = 25.0


class Fault(t.NamedTuple):
    """A fault and its end."""

    begin: abc.Callable[[linked.Linked], None]
    end: abc.Callable[[linked.Linked], None]
    length_s: float = _FAULT_S


def _nothing(run: linked.Linked) -> None:
    pass


def _store_control(run: linked.Linked, **switches) -> None:
    url = f"http://{run.store.addresses['store']}/_control"
    assert fixtures.http("PUT", url, switches).status == 200


def _endpoint_control(run: linked.Linked, **switches) -> None:
    for name, value in switches.items():
        setattr(run.hosts[0].endpoint._control, name, value)


def _kill_endpoint(run: linked.Linked) -> None:
    run.hosts[0].endpoint_link.refuse()
    run.hosts[0].endpoint_link.cut()


FAULTS: dict[str, Fault] = {
    "entry killed": Fault(
        lambda run: run.entries[0].proc.kill(), lambda run: run.entries[0].restart()
    ),
    "entry frozen": Fault(
        lambda run: run.entries[0].proc.freeze(),
        lambda run: run.entries[0].proc.thaw(),
        _LONG_FAULT_S,
    ),
    "agent killed": Fault(
        lambda run: run.hosts[0].agent.proc.kill(),
        lambda run: run.hosts[0].agent.restart(),
    ),
    "agent frozen": Fault(
        lambda run: run.hosts[0].agent.proc.freeze(),
        lambda run: run.hosts[0].agent.proc.thaw(),
        _LONG_FAULT_S,
    ),
    "endpoint killed": Fault(
        _kill_endpoint, lambda run: run.hosts[0].endpoint_link.heal()
    ),
    "endpoint dies in its answers": Fault(
        lambda run: _endpoint_control(run, die_in_answer=True),
        lambda run: _endpoint_control(run, die_in_answer=False),
    ),
    "caller-entry cut": Fault(lambda run: run.caller_links[0].cut(), _nothing),
    "caller-entry silent": Fault(lambda run: run.caller_links[0].swallow(), _nothing),
    "entry-agent cut": Fault(lambda run: run.hosts[0].agent_link.cut(), _nothing),
    "entry-agent silent": Fault(
        lambda run: run.hosts[0].agent_link.swallow(), _nothing
    ),
    "entry-agent away": Fault(
        lambda run: run.hosts[0].agent_link.blackhole(),
        lambda run: run.hosts[0].agent_link.heal(),
    ),
    "agent-endpoint cut": Fault(lambda run: run.hosts[0].endpoint_link.cut(), _nothing),
    "agent-endpoint silent": Fault(
        lambda run: run.hosts[0].endpoint_link.swallow(), _nothing
    ),
    "store away": Fault(
        lambda run: _store_control(run, down=True),
        lambda run: _store_control(run, down=False),
    ),
    "store silent": Fault(
        lambda run: run.store_link.blackhole(), lambda run: run.store_link.heal()
    ),
    "store loses answers": Fault(
        lambda run: _store_control(run, lose_answers=3), _nothing
    ),
}


class Sent(t.NamedTuple):
    """One attempt of a caller, and what it was told."""

    key: str
    name: str
    body: bytes
    told: calling.Told


class Round:
    """Callers that retry while faults come and go."""

    def __init__(self, run: linked.Linked, name: str, rng: random.Random) -> None:
        self._run = run
        self._name = name
        self._rng = rng
        self._lock = threading.Lock()
        self.sent: list[Sent] = []

    def play(self, faults: list[Fault]) -> None:
        threads = [
            threading.Thread(target=self._call, args=(number, self._rng.random()))
            for number in range(_CALLERS)
        ]
        threads += [
            threading.Thread(target=self._apply, args=(fault, self._rng.random()))
            for fault in faults
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _apply(self, fault: Fault, delay: float) -> None:
        time.sleep(0.2 + 0.4 * delay)
        fault.begin(self._run)
        time.sleep(fault.length_s)
        fault.end(self._run)

    def _call(self, number: int, delay: float) -> None:
        """Send a request until it is answered; a third of them has no key."""
        is_keyed = number % 3 > 0
        key = f"{self._name}-{number}"
        body = f"pay {key}".encode()
        time.sleep(0.6 * delay)
        for attempt in range(_ATTEMPTS):
            name = f"{key}.{attempt}"
            front = self._run.front((number + attempt) % len(self._run.caller_links))
            told = calling.call(
                front,
                key if is_keyed else "",
                deadline_s=_DEADLINE_S,
                body=body,
                X_Request_Name=name,
                X_Delay_S=f"{0.5 * delay:.3f}",
            )
            with self._lock:
                self.sent.append(Sent(key if is_keyed else "", name, body, told))
            if told.status == 200:
                return


def wait_recovered(run: linked.Linked, name: str) -> None:
    """Wait until a new keyed request is answered through each entry."""
    for number in range(len(run.entries)):
        for shard in range(4):
            key, what = f"{name}-after-{number}-{shard}", f"{name}: recovery"
            options = {"key": key, "deadline_s": _DEADLINE_S}
            calling.wait_answered(run.front(number), _RECOVERY_S, what, **options)


def judge(run: linked.Linked, sent: list[Sent]) -> None:
    """Hold what the endpoints ran against what the callers were told."""
    fixtures.wait_until(
        lambda: all(host.endpoint.is_quiet() for host in run.hosts), 10, "quiet"
    )
    by_key, by_name = run.runs()
    for key, count in by_key.items():
        assert count <= 1, (f"{key} ran {count} times", by_name, sent)
    for one in sent:
        _judge_one(one, by_key, by_name)


def _judge_one(one: Sent, by_key: dict[str, int], by_name: dict[str, int]) -> None:
    count = by_name.get(one.name, 0)
    assert count <= 1, (f"{one.name} ran {count} times", one)
    if one.told.ran == "no":
        assert count == 0, ("told that it did not run, and it ran", one)
        assert one.told.status >= 400, one
    elif not one.key:
        assert one.told.retry_after is None, ("asked to run it twice", one)
    if one.told.status == 200:
        ran = by_key.get(one.key, 0) if one.key else count
        assert ran == 1, ("answered, but did not run", one)
        assert one.body in one.told.body, ("answer to another request", one)
    if one.told.ran == "yes" and one.told.code:
        assert by_key.get(one.key, 0) == 1 or count == 1, one
