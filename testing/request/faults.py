"""Faults at each hop of a request, and checks of what the callers received."""

import collections.abc as abc
import random
import threading
import time
import typing as t

from testing import fixtures
from testing.request import calling, linked

_CALLERS = 8
_MAX_ATTEMPTS = 3
_DEADLINE_S = 3.0
_FAULT_DURATION_S = 1.5
_LONG_FAULT_DURATION_S = 4.0
_RECOVERY_TIMEOUT_S = 25.0


class Fault(t.NamedTuple):
    """How to inject a fault, and how to end it after ``duration_s`` seconds."""

    begin: abc.Callable[[linked.LinkedSystem], None]
    end: abc.Callable[[linked.LinkedSystem], None]
    duration_s: float = _FAULT_DURATION_S


def _end_nothing(run: linked.LinkedSystem) -> None:
    pass


def _store_control(run: linked.LinkedSystem, **switches) -> None:
    url = f"http://{run.store.addresses['store']}/_control"
    assert fixtures.http("PUT", url, switches).status == 200


def _endpoint_control(run: linked.LinkedSystem, **switches) -> None:
    for name, value in switches.items():
        setattr(run.hosts[0].endpoint._control, name, value)


def _kill_endpoint(run: linked.LinkedSystem) -> None:
    run.hosts[0].endpoint_link.refuse()
    run.hosts[0].endpoint_link.cut()


FAULTS: dict[str, Fault] = {
    "entry killed": Fault(
        lambda run: run.entries[0].proc.kill(), lambda run: run.entries[0].restart()
    ),
    "entry frozen": Fault(
        lambda run: run.entries[0].proc.freeze(),
        lambda run: run.entries[0].proc.thaw(),
        _LONG_FAULT_DURATION_S,
    ),
    "agent killed": Fault(
        lambda run: run.hosts[0].agent.proc.kill(),
        lambda run: run.hosts[0].agent.restart(),
    ),
    "agent frozen": Fault(
        lambda run: run.hosts[0].agent.proc.freeze(),
        lambda run: run.hosts[0].agent.proc.thaw(),
        _LONG_FAULT_DURATION_S,
    ),
    "endpoint killed": Fault(
        _kill_endpoint, lambda run: run.hosts[0].endpoint_link.heal()
    ),
    "endpoint dies in its answers": Fault(
        lambda run: _endpoint_control(run, die_in_answer=True),
        lambda run: _endpoint_control(run, die_in_answer=False),
    ),
    "caller-entry cut": Fault(lambda run: run.caller_links[0].cut(), _end_nothing),
    "caller-entry silent": Fault(
        lambda run: run.caller_links[0].discard_open(), _end_nothing
    ),
    "entry-agent cut": Fault(lambda run: run.hosts[0].agent_link.cut(), _end_nothing),
    "entry-agent silent": Fault(
        lambda run: run.hosts[0].agent_link.discard_open(), _end_nothing
    ),
    "entry-agent away": Fault(
        lambda run: run.hosts[0].agent_link.blackhole(),
        lambda run: run.hosts[0].agent_link.heal(),
    ),
    "agent-endpoint cut": Fault(
        lambda run: run.hosts[0].endpoint_link.cut(), _end_nothing
    ),
    "agent-endpoint silent": Fault(
        lambda run: run.hosts[0].endpoint_link.discard_open(), _end_nothing
    ),
    "store away": Fault(
        lambda run: _store_control(run, down=True),
        lambda run: _store_control(run, down=False),
    ),
    "store silent": Fault(
        lambda run: run.store_link.blackhole(), lambda run: run.store_link.heal()
    ),
    "store loses answers": Fault(
        lambda run: _store_control(run, lose_answers=3), _end_nothing
    ),
}


class Attempt(t.NamedTuple):
    """One attempt of a caller, and its result."""

    key: str
    name: str
    body: bytes
    result: calling.CallResult


class Round:
    """Callers that retry while faults are injected and ended."""

    def __init__(self, run: linked.LinkedSystem, name: str, rng: random.Random) -> None:
        self._system = run
        self._name = name
        self._rng = rng
        self._lock = threading.Lock()
        self.attempts: list[Attempt] = []

    def run(self, faults: list[Fault]) -> None:
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
        fault.begin(self._system)
        time.sleep(fault.duration_s)
        fault.end(self._system)

    def _call(self, number: int, delay: float) -> None:
        """Send a request until it succeeds; a third of the callers send no key."""
        is_keyed = number % 3 > 0
        key = f"{self._name}-{number}"
        body = f"pay {key}".encode()
        time.sleep(0.6 * delay)
        for attempt in range(_MAX_ATTEMPTS):
            name = f"{key}.{attempt}"
            front = self._system.front(
                (number + attempt) % len(self._system.caller_links)
            )
            result = calling.call(
                front,
                key if is_keyed else "",
                deadline_s=_DEADLINE_S,
                body=body,
                X_Request_Name=name,
                X_Delay_S=f"{0.5 * delay:.3f}",
            )
            with self._lock:
                self.attempts.append(
                    Attempt(key if is_keyed else "", name, body, result)
                )
            if result.status == 200:
                return


def wait_recovered(run: linked.LinkedSystem, name: str) -> None:
    """Wait until a new keyed request is answered through each entry."""
    for number in range(len(run.entries)):
        for shard in range(4):
            key, what = f"{name}-after-{number}-{shard}", f"{name}: recovery"
            options = {"key": key, "deadline_s": _DEADLINE_S}
            calling.wait_answered(
                run.front(number), _RECOVERY_TIMEOUT_S, what, **options
            )


def check_attempts(run: linked.LinkedSystem, attempts: list[Attempt]) -> None:
    """Check that what the endpoints ran agrees with what the callers received."""
    fixtures.wait_until(
        lambda: all(host.endpoint.is_idle() for host in run.hosts), 10, "quiet"
    )
    by_key, by_name = run.runs()
    for key, count in by_key.items():
        assert count <= 1, (f"{key} ran {count} times", by_name, attempts)
    for attempt in attempts:
        _check_attempt(attempt, by_key, by_name)


def _check_attempt(
    attempt: Attempt, by_key: dict[str, int], by_name: dict[str, int]
) -> None:
    count = by_name.get(attempt.name, 0)
    assert count <= 1, (f"{attempt.name} ran {count} times", attempt)
    if attempt.result.ran == "no":
        assert count == 0, ("reported as not run, but ran", attempt)
        assert attempt.result.status >= 400, attempt
    elif not attempt.key:
        assert attempt.result.retry_after is None, (
            "Retry-After invites a second run",
            attempt,
        )
    if attempt.result.status == 200:
        ran = by_key.get(attempt.key, 0) if attempt.key else count
        assert ran == 1, ("answered, but did not run", attempt)
        assert attempt.body in attempt.result.body, (
            "got the answer to another request",
            attempt,
        )
    if attempt.result.ran == "yes" and attempt.result.code:
        assert by_key.get(attempt.key, 0) == 1 or count == 1, attempt
