"""The hosts of a soak: programs, their runners, and the ways between them."""

import contextlib
import itertools
import json
import pathlib
import random
import signal
import threading
import time
import typing as t

import urllib3

from bilberrypass.connection import serving
from soak import book
from testing import programs
from testing.standins import keyvalues, kvhttp, link, runhttp

CONFIG_KEY: t.Final = "op/config"
MAX_ATTEMPTS: t.Final = 3
_STORE_THREADS: t.Final = 200  # each watch of each entry holds one
_RUNNER_THREADS: t.Final = 8
_MAX_BODY_BYTES: t.Final = 4 << 20
_BEAT_S: t.Final = 0.3
_TURN_S: t.Final = 0.01
_CLOCK_RATE: t.Final = 0.98  # as slow as runners' clocks may be
_FAILURE_SHARE: t.Final = 0.05
_lives = itertools.count(1_000)


class Store(kvhttp.Server):
    """The store, with ``delay_s`` before each answer."""

    def __init__(self) -> None:
        super().__init__(keyvalues.Store())
        self.delay_s = 0.0
        self._listener = serving.Listener(
            "127.0.0.1:0", self, _STORE_THREADS, _MAX_BODY_BYTES
        )
        self._listener.start()
        self.address = self._listener.address
        self._version = 0
        self.configure()

    def _serve(self, environ: dict[str, t.Any]) -> t.Any:
        time.sleep(self.delay_s)
        return super()._serve(environ)

    def configure(self) -> None:
        """Write a newer configuration, as the operator does."""
        self._version += 3
        route = {"host": "h.example", "service": "planner"}
        queue = {"max_attempts": MAX_ATTEMPTS, "stretch": 2, "target_latency_ms": 900}
        routes = [
            route | queue | {"name": "jobs", "prefix": "/q/"},
            route | {"name": f"r{self._version}", "prefix": f"/r{self._version}/"},
        ]
        value = {"version": self._version, "routes": routes}
        self.store.put(CONFIG_KEY, json.dumps(value).encode())

    def stop(self) -> None:
        """Serve no longer."""
        self._listener.stop()


class Host:
    """A program with its own way to the store."""

    def __init__(
        self,
        role: str,
        number: int,
        store: Store,
        folder: str,
        command: tuple[str, ...],
    ) -> None:
        self.name = f"{role}{number}"
        self.ip = programs.loopback(number)
        self.store_link = link.Link(store.address)
        self.program = programs.Program(
            role, self.ip, self.store_link.address, folder, command
        )
        self.links = [self.store_link]
        self._is_frozen = False
        self.program.start()

    def kill(self) -> None:
        """End the process at once."""
        self.thaw()
        self.program.end()

    def terminate(self) -> None:
        """Ask the process to leave."""
        self._signal(signal.SIGTERM)

    def reload(self) -> None:
        """Say that the settings file has changed."""
        self._signal(signal.SIGHUP)

    def freeze(self) -> None:
        """Stop the process for a while."""
        self._is_frozen = True
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let the process go on."""
        if self._is_frozen:
            self._is_frozen = False
            self._signal(signal.SIGCONT)

    def _signal(self, number: signal.Signals) -> None:
        if self.program.process.poll() is None:
            self.program.process.send_signal(number)

    def restart(self) -> None:
        """Start the process again if it has ended."""
        if self.program.process.poll() is not None:
            self.program.start()

    def heal(self) -> None:
        """Mend the host's ways."""
        for way in self.links:
            way.heal()

    def stop(self) -> None:
        """End everything of the host."""
        self.kill()
        for way in self.links:
            way.refuse()
            way.cut()


@t.final
class Entry(Host):
    """An entry; callers reach it over a way of their own."""

    def __init__(self, *args: t.Any) -> None:
        super().__init__("entry", *args)
        self.caller_link = link.Link(self.program.front)
        self.links.append(self.caller_link)


@t.final
class Side(Host):
    """An agent beside a runner, which ends its runs by itself.

    Parameters
    ----------
    seen : book.Book
        Told what the runner sees.
    rng : random.Random
        Draws durations and ends.
    """

    def __init__(self, seen: book.Book, rng: random.Random, *args: t.Any) -> None:
        super().__init__("agent", *args)
        self._book = seen
        self._rng = rng
        self._ends: dict[tuple[str, int], tuple[float, str]] = {}
        self._stopping = threading.Event()
        self._app = runhttp.Server("", None)
        self._listener = serving.Listener(
            f"{self.ip}:0", self._app, _RUNNER_THREADS, _MAX_BODY_BYTES
        )
        self._listener.start()
        self.runner_link = link.Link(self._listener.address)
        self.links.append(self.runner_link)
        self._is_down = False
        self._sequence = 0
        self.begin()
        self._threads = [
            threading.Thread(target=target, daemon=True)
            for target in (self._turn, self._beat)
        ]
        for thread in self._threads:
            thread.start()

    def begin(self) -> None:
        """Begin a new life of the runner."""
        self.life = next(_lives) * 1_000
        self.runner = book.Runner(
            self._book, self.name, life=self.life, clock_rate=_CLOCK_RATE
        )
        self._app.id = f"{self.name}-{self.life}"
        self._app.runner = self.runner
        self._is_down = False

    def crash(self) -> None:
        """Let the runner go down with all that it runs."""
        self._is_down = True
        self.runner.crash()

    def revive(self) -> None:
        """Begin a new life if the runner is down."""
        if self._is_down:
            self.begin()

    def _turn(self) -> None:
        while not self._stopping.wait(_TURN_S):
            found = self.runner
            found.turn()
            now = time.monotonic()
            for key in list(found.running):
                at, outcome = self._ends.setdefault(key, self._draw(key[0], now))
                if now >= at:
                    with contextlib.suppress(KeyError):  # it ended meanwhile
                        found.end(*key, outcome)

    def _draw(self, task: str, now: float) -> tuple[float, str]:
        """Return when and how a new run ends by itself."""
        job = self._book.jobs[task.split(".")[0]]
        if job.lasts:
            return now + self._rng.uniform(5, 60), "failed"
        is_poison = job.body["specification"].startswith("poison")
        is_failing = is_poison or self._rng.random() < _FAILURE_SHARE
        return now + self._rng.uniform(0.1, 1.6), "failed" if is_failing else "done"

    def _beat(self) -> None:
        while not self._stopping.wait(_BEAT_S):
            self._sequence += 1
            if self._is_down:
                continue
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                runhttp.report(
                    self.program.control,
                    self._app.id,
                    self.runner_link.address,
                    self.life,
                    self._sequence,
                )

    def stop(self) -> None:
        """End everything of the host."""
        self._stopping.set()
        super().stop()
        for thread in self._threads:
            thread.join(2)
        self._listener.stop()


class Fleet(t.NamedTuple):
    """All hosts and the store."""

    store: Store
    entries: list[Entry]
    sides: list[Side]

    @property
    def hosts(self) -> list[Host]:
        """All hosts, entries first."""
        return [*self.entries, *self.sides]

    def heal(self) -> None:
        """Mend everything, and start what has ended."""
        self.store.store.is_down = False
        self.store.delay_s = 0.0
        for host in self.hosts:
            host.thaw()
            host.heal()
            host.restart()
        for side in self.sides:
            side.runner.lose = 0
            side.revive()

    def stop(self) -> None:
        """End everything that this soak started."""
        for host in self.hosts:
            host.stop()
        self.store.stop()


def build(
    seen: book.Book,
    seed: int,
    entries: int,
    sides: int,
    folder: pathlib.Path,
    command: tuple[str, ...],
) -> Fleet:
    """Start a fleet.

    Raises
    ------
    OSError
        If an address cannot be listened on.
    """
    store = Store()
    numbers = itertools.count(1)
    rest = store, str(folder), command
    return Fleet(
        store,
        [Entry(next(numbers), *rest) for _ in range(entries)],
        [
            Side(seen, random.Random(seed * 1_000 + n), next(numbers), *rest)
            for n in range(sides)
        ],
    )
