"""The hosts of a soak: programs, their runners, and the network links between them."""

import contextlib
import itertools
import pathlib
import random
import signal
import threading
import time
import typing as t

from bilberrypass.scheduling import election
from soak import checker, departures, domains, lives, observing, stores, wall_clock
from testing import programs
from testing.standins import link

ELECTION_KEY: t.Final = election.KEY
_RUNNER_STEP_S: t.Final = 0.01
_SHUTDOWN_TIMEOUT_S: t.Final = 15.0  # more than twice the programs' grace_s
SLOW: t.Final = "slow"  # begins the specification of a batch job that runs for long
_FAILURE_SHARE: t.Final = 0.05
_CRASH: t.Final = "crash"  # the planned end of a run that takes its runner down
_CRASH_AGES_S: t.Final = (0.0, 0.02, 0.2, 1.0)
_MIN_DOWN_S: t.Final = 0.4
_MAX_DOWN_S: t.Final = 2.0
_BOUNDS: t.Final = {"evacuation_ms": domains.EVACUATION_S * 1_000}
_SWITCHES: t.Final = ("reservations", "refuse_hopeless_jobs")


class Host:
    """A program with its own network link to the store."""

    def __init__(
        self,
        role: str,
        number: int,
        store: stores.Store,
        folder: str,
        command: tuple[str, ...],
        settings: dict[str, t.Any],
    ) -> None:
        self._settings = settings
        self.store_link = link.Link(store.address)
        self.links = [self.store_link]
        self._folder, self._command = folder, command
        self._is_paused = False
        self.name = f"{role}{number}"
        self._set_up(role, number)

    def _set_up(self, role: str, number: int) -> None:
        """Start the program on the host of this number; the name stays."""
        self._is_terminating = False
        self.ip = programs.loopback_address(number)
        self.program = programs.Program(
            role,
            self.ip,
            self.store_link.address,
            self._folder,
            self._command,
            domains.domain_of(self.name),
            self._settings,
        )
        self.program.start()

    def kill(self) -> None:
        """Kill the process without a grace period."""
        self.resume()
        self.program.end()

    def terminate(self) -> None:
        """Request an orderly shutdown of the process (SIGTERM)."""
        self._is_terminating = True
        self._signal(signal.SIGTERM)

    def wait_for_shutdown(self) -> None:
        """Wait until the process has ended if it was requested to shut down."""
        if self._is_terminating:
            self.program.process.wait(_SHUTDOWN_TIMEOUT_S)

    def reload(self) -> None:
        """Request that the process reloads its settings file (SIGHUP)."""
        self._signal(signal.SIGHUP)

    def pause(self) -> None:
        """Suspend the process (SIGSTOP) until ``resume`` is called."""
        self._is_paused = True
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process if it is suspended."""
        if self._is_paused:
            self._is_paused = False
            self._signal(signal.SIGCONT)

    def _signal(self, number: signal.Signals) -> None:
        if self.program.process.poll() is None:
            self.program.process.send_signal(number)

    def step_clock(self, offset_s: float) -> None:
        """Let the host's time of day jump to this far ahead of the true one."""
        wall_clock.write_offset(self.program.path, offset_s)

    def restart(self) -> None:
        """Start the process again if it has ended."""
        if self.program.process.poll() is not None:
            self._is_terminating = False
            self.program.start()

    def heal(self) -> None:
        """Remove all faults from the host's network links."""
        for host_link in self.links:
            host_link.heal()

    def stop(self) -> None:
        """Kill the process and close the host's network links."""
        self.kill()
        for host_link in self.links:
            host_link.refuse()
            host_link.cut()


@t.final
class Entry(Host):
    """An entry, with a separate network link for callers."""

    def __init__(self, *args: t.Any) -> None:
        super().__init__("entry", *args)
        self.caller_link = link.Link(self.program.front)
        self.links.append(self.caller_link)


@t.final
class AgentHost(Host):
    """An agent and its runner, whose runs end by themselves at random times.

    Parameters
    ----------
    invariants : checker.InvariantChecker
        Receives the runner's observations.
    rng : random.Random
        Draws durations and outcomes of runs.
    life_rng : random.Random
        Draws how the lives of the runner begin.
    """

    def __init__(
        self,
        invariants: checker.InvariantChecker,
        rng: random.Random,
        life_rng: random.Random,
        *args: t.Any,
    ) -> None:
        super().__init__("agent", *args)
        self._invariants = invariants
        self._rng = rng
        self._life_rng = life_rng
        self._stopping = threading.Event()
        self._life = self._create_life(f"{self.name}-0")
        self.runner_link = link.Link(self._life.address)
        self.links.append(self.runner_link)
        self._life.start_reports(self.program.control, self.runner_link)
        self._lock = threading.Lock()
        self._cpu_milli = checker.HOST_CPU_MILLI
        self._crash_rng = random.Random(f"{self.name} crashes")
        self._is_away = False
        self._departure = threading.Thread()
        self._thread = threading.Thread(target=self._run_runner, daemon=True)
        self._thread.start()

    @property
    def runner(self) -> observing.ObservedRunner:
        """The runner in its latest life."""
        return self._life.runner

    def _create_life(self, last_id: str, has_new_id: bool = False) -> lives.Life:
        start = lives.draw_start(self._life_rng, last_id, has_new_id)
        life = lives.Life(start, self._invariants, self.name, self.ip)
        self._invariants.log(f"{self.name}: runner {life.id} born {life.born}")
        return life

    def crash_runner(self) -> None:
        """Crash the runner; all of its runs are lost."""
        with self._lock:
            self._end_life("crashes")

    def _end_life(self, how: str, by_task: bool = False) -> None:
        if not self._life.has_ended:
            self._invariants.log(f"{self.name}: runner {how}")
            self.runner_link.take_target_down()
            self._life.crash(by_task)

    def restart_runner(self) -> None:
        """Start a new life of the runner if it has crashed."""
        with self._lock:
            if self._life.has_ended and not self._is_away:
                self._begin_life(self._life.id)

    def set_capacity(self, cpu_milli: int) -> None:
        """Let the runner shrink or grow to a capacity, which later lives have too."""
        with self._lock:
            self._cpu_milli = self._life.cpu_milli = cpu_milli
            self._invariants.set_capacity(self.name, cpu_milli)

    def restore_capacity(self) -> None:
        """Let the runner grow to its full capacity."""
        self.set_capacity(checker.HOST_CPU_MILLI)

    def _crash_under_task(self) -> None:
        """Crash the runner, and start it again some time later."""
        with self._lock:
            self._end_life("crashes under a task", by_task=True)
        down_s = self._crash_rng.uniform(_MIN_DOWN_S, _MAX_DOWN_S)
        timer = threading.Timer(down_s, self._restart_unless_stopping)
        timer.daemon = True
        timer.start()

    def _restart_unless_stopping(self) -> None:
        if not self._stopping.is_set():
            self.restart_runner()

    def _begin_life(self, last_id: str, has_new_id: bool = False) -> None:
        self._life = self._create_life(last_id, has_new_id)
        self._life.cpu_milli = self._cpu_milli
        self.runner_link.bring_target_up(self._life.address)
        self._life.start_reports(self.program.control, self.runner_link)

    def restart(self) -> None:
        """Start the process again if it has ended and its host was not removed."""
        if not self._is_away:
            super().restart()

    @property
    def is_departing(self) -> bool:
        """Whether the runner drains or has left, and no other has come yet."""
        return self._departure.is_alive()

    def depart(self, plan: departures.Plan) -> None:
        """Let the runner leave, and another come in its place."""
        if not (self.is_departing or self._life.has_ended):
            self._departure = threading.Thread(
                target=self._depart, args=(self._life, plan), daemon=True
            )
            self._departure.start()

    def _depart(self, life: lives.Life, plan: departures.Plan) -> None:
        self._invariants.log(f"{self.name}: runner drains: {plan}")
        life.drain(plan.notice_s)
        if not plan.is_evacuation:
            life.drain_acknowledged.wait(departures.ACK_TIMEOUT_S)
        if life.wait(plan.notice_s + plan.extra_s) or self._stopping.is_set():
            return
        with self._lock:
            self._is_away = True
        if plan.host_gap_s is None:
            has_answer = life.announce_exit(self.program.control)
            life.wait(0.0 if has_answer or plan.is_evacuation else plan.unanswered_s)
        else:
            self._invariants.log(f"{self.name}: host removed")
            self._invariants.disturbances.begin(self.name, "host removed")
            self.kill()
            self._invariants.disturbances.end(self.name, "host removed")
            life.wait(plan.host_gap_s)
        with self._lock:
            self._end_life("leaves")
        self._stopping.wait(departures.ABSENCE_S)
        with self._lock:
            if not self._stopping.is_set():
                self._arrive(plan)

    def _arrive(self, plan: departures.Plan) -> None:
        if plan.new_number:
            self.kill()
            self._set_up("agent", plan.new_number)
        elif plan.host_gap_s is not None:
            super().restart()
        self._begin_life(self._life.id, has_new_id=True)
        self._is_away = False

    def _run_runner(self) -> None:
        while not self._stopping.wait(_RUNNER_STEP_S):
            life = self._life
            runner = life.runner
            runner.advance()
            now = time.monotonic()
            for key in list(runner.running):
                at, outcome = life.planned_ends.setdefault(
                    key, self._draw_end(*key, now)
                )
                if now >= at and outcome == _CRASH:
                    self._crash_under_task()
                    break
                if now >= at:
                    with contextlib.suppress(KeyError):  # the run ended in the meantime
                        runner.end_run(*key, outcome)

    def _draw_end(self, task: str, run: int, now: float) -> tuple[float, str]:
        """Return when and with which outcome a new run ends unless it is stopped."""
        job = self._invariants.jobs[task.split(".")[0]]
        if job.is_deadly(task):
            # Each run of a task crashes at the same age.
            return now + random.Random(task).choice(_CRASH_AGES_S), _CRASH
        if job.is_long_running:
            how = random.Random(f"{task} {run}").choice(("failed", "done"))
            return now + self._rng.uniform(5, 60), how
        if job.body["specification"].startswith(SLOW):
            return now + self._rng.uniform(6, 20), "done"
        is_always_failing = job.body["specification"].startswith("poison")
        is_failing = is_always_failing or self._rng.random() < _FAILURE_SHARE
        return now + self._rng.uniform(0.1, 1.6), "failed" if is_failing else "done"

    def stop(self) -> None:
        """Stop the threads, the process, its links and the runner."""
        self._stopping.set()
        self.crash_runner()
        if self.is_departing:
            self._departure.join(departures.MAX_S)
        super().stop()
        self._thread.join(2)


class Fleet(t.NamedTuple):
    """All hosts and the store."""

    store: stores.Store
    entries: list[Entry]
    agent_hosts: list[AgentHost]

    @property
    def hosts(self) -> list[Host]:
        """All hosts, entries first."""
        return [*self.entries, *self.agent_hosts]

    def heal(self) -> None:
        """End all faults, and restart processes and runners that have ended."""
        self.store.store.is_down = False
        self.store.delay_s = 0.0
        for host in self.hosts:
            host.resume()
            host.step_clock(0.0)
            host.heal()
        for host in self.hosts:
            host.wait_for_shutdown()
            host.restart()
        for agent_host in self.agent_hosts:
            agent_host.runner.orders_to_lose = agent_host.runner.holds_to_lose = 0
            agent_host.restart_runner()

    def find_leader(self) -> Entry | None:
        """Return the entry that holds the election's key, or None."""
        leader = election.decode_leader(self.store.store.items.get(ELECTION_KEY))
        for entry in self.entries:
            if leader is not None and leader.name == entry.program.node_name:
                return entry
        return None

    def stop(self) -> None:
        """Stop all hosts and the store."""
        for host in self.hosts:
            host.stop()
        self.store.stop()


def start_fleet(
    invariants: checker.InvariantChecker,
    seed: int,
    entries: int,
    agent_hosts: int,
    folder: pathlib.Path,
    command: tuple[str, ...],
) -> Fleet:
    """Start the store and all hosts.

    Raises
    ------
    OSError
        If an address cannot be listened on.
    """
    store = stores.Store()
    host_numbers = itertools.count(1)
    rng = random.Random(f"{seed} switches")
    switches = {name: rng.random() < 0.5 for name in _SWITCHES}
    settings = {"bounds": _BOUNDS, "scheduling": switches}
    common_args = store, str(folder), command, settings
    return Fleet(
        store,
        [Entry(next(host_numbers), *common_args) for _ in range(entries)],
        [
            AgentHost(
                invariants,
                random.Random(seed * 1_000 + n),
                random.Random(f"{seed} lives {n}"),
                next(host_numbers),
                *common_args,
            )
            for n in range(agent_hosts)
        ],
    )
