"""One life of the runner, as its agent deals with it: orders, lists, lease."""

import collections.abc as abc
import concurrent.futures as futures
import threading
import typing as t

from bilberrypass import clock, errors
from bilberrypass.hosting import pacing, runner, runs
from bilberrypass.observing import decisions
from bilberrypass.scheduling import messages

_ORDER_TIMEOUT_S: t.Final = 0.7  # a runner on the same machine answers in ms
_RETRY_INTERVAL_S: t.Final = 0.2
_LEASE_WAIT_S: t.Final = 1.5  # three reports to the scheduler
_PACED_HOLD_WAIT_S: t.Final = 0.4  # the runner's figures are renewed twice a second
_HOLD_WAIT_S: t.Final = 1.0  # several renewals within the shortest lease
_NOTE_WAIT_S: t.Final = 0.3
_FAILED_HOLD_INTERVAL_S: t.Final = 0.3
_ORDER_THREADS: t.Final = 6
# The runner's clock may run slow by 2% (PROTOCOL.md); half a percent is ours.
_CLOCK_RATE: t.Final = 0.975
_MS: t.Final = 1_000
# Reasons after which nothing of the run is or comes on the runner.
_BARRED: t.Final = ("old",)


@t.final
class Session:
    """The agent's dealings with one life of the runner.

    Parameters
    ----------
    info : messages.RunnerInfo
        The runner, by its first report.
    client : runner.Runner
        Calls it.
    changed : threading.Event
        Set when the scheduler ought to be told something.
    lease_end : float
        Until when, on ``clock.now``, an earlier agent may have leased.
    """

    def __init__(
        self,
        info: messages.RunnerInfo,
        client: runner.Runner,
        changed: threading.Event,
        lease_end: float,
    ) -> None:
        self.info = info
        self.table = runs.Table(changed)
        self._client = client
        self._epoch = 0
        self._granted_until = 0.0
        self._leased_until = lease_end
        self._clock_ms = 0
        self._clock_at = 0.0
        self._answered_at = clock.now()
        self._is_silent = False
        self._listed = decisions.Dependency("runner")
        self._pacer = pacing.Pacer()
        self._pressing: dict[tuple[str, str], float] = {}
        self._wait_s = _HOLD_WAIT_S
        self._ended = threading.Event()
        self._woken = threading.Event()
        self._pool = futures.ThreadPoolExecutor(
            _ORDER_THREADS, thread_name_prefix="orders"
        )
        self._thread = threading.Thread(target=self._hold, name="hold", daemon=True)

    def start(self) -> None:
        """Begin to keep the lease and to read the lists."""
        self._thread.start()

    def end(self, outcome: str) -> None:
        """Give the life up: nothing of it is on the host any more."""
        self._ended.set()
        self._woken.set()
        self.table.lose_all(outcome)
        self._pool.shutdown(wait=False, cancel_futures=True)

    @property
    def answered_ago_s(self) -> float:
        """The age of the runner's last answer."""
        return clock.now() - self._answered_at

    @property
    def leased_until(self) -> float:
        """Until when the runner may keep a lease, on ``clock.now``."""
        return max(self._leased_until, self._granted_until)

    def grant(self, epoch: int, until: float) -> None:
        """Allow the lease to be renewed up to a time on ``clock.now``."""
        self._granted_until = max(self._granted_until, until)
        if epoch > self._epoch:
            self._epoch = epoch
            self._woken.set()

    def note(self, noted: int, settled: list[runs.RunKey]) -> None:
        """Let the runner forget ends that are stored."""
        self.table.forget(noted, settled)
        self._woken.set()

    def obey(self, epoch: int, orders: list[messages.Order]) -> None:
        """Carry out orders, each once, in the background."""
        self._epoch = max(self._epoch, epoch)
        for order in orders:
            if order.life != self.info.life or self._ended.is_set():
                continue
            run = self.table.take(order)
            if run is not None and run.state is runs.State.STARTING:
                self._submit(self._start_run, run, order)
            elif run is not None:
                self._submit(self._stop_run, run)

    def _submit(self, call: abc.Callable[..., None], *args: t.Any) -> None:
        try:
            self._pool.submit(call, *args)
        except RuntimeError:
            decisions.record("order.dropped", runner=self.info.id, why="the life ended")

    def _lease_end_ms(self) -> int | None:
        """Return the granted lease's end on the runner's clock, if that is known.

        The runner read its clock no later than its answer arrived, and the clock
        may run slow, so the lease never outlasts the grant. A silent runner gets no
        longer lease: a call without an answer may renew it all the same, and its
        runs could never be given up.
        """
        until = self._leased_until if self._is_silent else self._granted_until
        if not self._clock_at or until <= clock.now():
            return None
        left_s = until - self._clock_at
        self._leased_until = max(self._leased_until, until)
        return self._clock_ms + int(left_s * _CLOCK_RATE * _MS)

    def _see_clock(self, clock_ms: int, at: float) -> None:
        self._answered_at = at
        self._is_silent = False
        if clock_ms:
            self._clock_ms, self._clock_at = clock_ms, at

    def _start_run(self, run: runs.Run, order: messages.Order) -> None:
        wanted = runner.Run(
            order.task, order.run, order.spec, order.checkpoint, order.ticket
        )
        # An order that was sent before may have been carried out, or may be yet.
        is_uncertain = order.is_repeated
        give_up_at = clock.now() + _LEASE_WAIT_S
        while not self._ended.is_set() and not run.is_final:
            if run.is_stop_wanted:
                self._stop_run(run)
                return
            lease_end_ms = self._lease_end_ms()
            if lease_end_ms is None:
                if clock.now() > give_up_at and not is_uncertain:
                    self._refuse(run, "no_lease")
                    return
                self._ended.wait(_RETRY_INTERVAL_S)
                continue
            deadline = clock.now() + _ORDER_TIMEOUT_S
            try:
                answer = self._client.start(wanted, lease_end_ms, self._epoch, deadline)
            except errors.Error as exc:
                is_uncertain = is_uncertain or exc.ran is not errors.Ran.NO
                decisions.record(
                    "start.unanswered", task=order.task, run=order.run, why=exc.detail
                )
                self._ended.wait(_RETRY_INTERVAL_S)
                continue
            self._see_clock(answer.clock_ms, clock.now())
            if not answer.reason:
                self.table.confirm(run, clock.now())
            elif is_uncertain:
                self._stop_run(run)
            else:
                self._refuse(run, answer.reason)
            return

    def _refuse(self, run: runs.Run, reason: str) -> None:
        decisions.record(
            "start.rejected", task=run.key[0], run=run.key[1], reason=reason
        )
        self.table.reject(run, reason)

    def _stop_run(self, run: runs.Run) -> None:
        """Stop a run or bar it; the lists tell later what became of it."""
        if not self.table.turn_to_stop(run):
            return
        while not self._ended.is_set() and not run.is_final:
            deadline = clock.now() + _ORDER_TIMEOUT_S
            try:
                answer = self._client.stop(*run.key, self._epoch, deadline)
            except errors.Error as exc:
                decisions.record(
                    "stop.unanswered", task=run.key[0], run=run.key[1], why=exc.detail
                )
                self._ended.wait(_RETRY_INTERVAL_S)
                continue
            self._see_clock(answer.clock_ms, clock.now())
            if not answer.reason or answer.reason in _BARRED:
                self.table.confirm(run, clock.now())
                self._woken.set()
                return
            self._ended.wait(_RETRY_INTERVAL_S)

    def _bar(self, key: runs.RunKey) -> None:
        """Stop a run that was given up; the next lists show whether it worked."""
        deadline = clock.now() + _ORDER_TIMEOUT_S
        try:
            answer = self._client.stop(*key, self._epoch, deadline)
        except errors.Error as exc:
            answer = runner.Answer(exc.detail, 0)
        decisions.record("run.stray", task=key[0], run=key[1], why=answer.reason)

    def _hold(self) -> None:
        while not self._ended.is_set():
            if not self._epoch:
                self._woken.wait(_NOTE_WAIT_S)
                self._woken.clear()
                continue
            asked_at = clock.now()
            wait_s = 0.0 if self.table.has_unnoted_ends() else self._wait_s
            try:
                lists = self._client.hold(
                    self.table.noted, self._lease_end_ms(), self._epoch, wait_s
                )
            except errors.Error as exc:
                self._on_silence(exc)
                self._ended.wait(_FAILED_HOLD_INTERVAL_S)
                continue
            self._listed.worked()
            self._see_clock(lists.clock_ms, clock.now())
            if lists.life and lists.life != self.info.life:
                # The next report of the runner begins a new session.
                self._ended.wait(_FAILED_HOLD_INTERVAL_S)
                continue
            for key in self.table.merge(lists, asked_at):
                self._submit(self._bar, key)
            self._pace()
            if self.table.has_unnoted_ends():
                self._woken.wait(_NOTE_WAIT_S)
                self._woken.clear()

    def learn(self, rows: abc.Iterable[messages.PressRow]) -> None:
        """Take over what the scheduler knows of images that disturb each other."""
        self._pressing.update({(r.service, r.filler): r.per_core for r in rows})

    def _pace(self) -> None:
        """Set the speed of the fillers by what the services beside them measure."""
        live = [run for run in self.table.live() if run.order is not None]
        served = [
            pacing.Served(run.order.image, run.figure, run.order.latency_target_ms)
            for run in live
            if run.order.latency_target_ms and run.figure
        ]
        running = {
            run.key: run
            for run in live
            if run.order.is_filler and run.state is runs.State.RUNNING
        }
        fillers = [
            pacing.Filler(key, run.order.image, run.pace, run.order.cpu_milli / _MS)
            for key, run in running.items()
        ]
        self._wait_s = _PACED_HOLD_WAIT_S if served and fillers else _HOLD_WAIT_S
        paces = self._pacer.decide(served, fillers, self._pressing, clock.now())
        if not paces:
            return
        decisions.record(
            "fillers.paced",
            paces={f"{task}/{run}": pace for (task, run), pace in paces.items()},
            worst=max(
                (round(s.latency_ms / s.target_ms, 2) for s in served), default=0
            ),
        )
        for key, pace in paces.items():
            self._set_pace(running[key], pace)

    def _set_pace(self, run: runs.Run, level: int) -> None:
        deadline = clock.now() + _ORDER_TIMEOUT_S
        try:
            answer = self._client.pace(*run.key, level, self._epoch, deadline)
        except errors.Error as exc:
            answer = runner.Answer(exc.detail, 0)
        if answer.reason:
            decisions.record("pace.failed", task=run.key[0], why=answer.reason)
        else:
            run.pace = level

    def _on_silence(self, exc: errors.Error) -> None:
        self._listed.failed(exc)
        self._is_silent = True
        if clock.now() > self._leased_until:
            self.table.lose_all("lapsed")
