"""The agent's session with one life of the runner: orders, run snapshots and lease."""

import collections.abc as abc
import concurrent.futures as futures
import threading
import typing as t

from bilberrypass import clock, errors, supervision
from bilberrypass.hosting import (
    admission,
    crash_monitor,
    filler_paces,
    leases,
    run_events,
    runner,
    runs,
    stop_monitor,
)
from bilberrypass.observing import decisions
from bilberrypass.scheduling import messages

_ORDER_TIMEOUT_S: t.Final = 0.7  # a runner on the same machine answers within ms
_RETRY_INTERVAL_S: t.Final = 0.2
# A start without a lease is rejected after three reports to the scheduler.
_LEASE_GRANT_TIMEOUT_S: t.Final = 1.5
# Used while fillers are paced, because the runner updates its figures twice a second.
_PACED_POLL_WAIT_S: t.Final = 0.4
_POLL_WAIT_S: t.Final = 1.0  # allows several renewals within the shortest lease
_ACK_WAIT_S: t.Final = 0.3
# A capacity that has shrunk counts 3 s and one report later.
_MAX_DESCRIPTION_AGE_S: t.Final = 3.0
_POLL_RETRY_INTERVAL_S: t.Final = 0.3
_EXIT_CHECK_INTERVAL_S: t.Final = 0.1
_START_THREADS: t.Final = 6
_STOP_THREADS: t.Final = 4
_STRAY_THREADS: t.Final = 2
# Refusals after which the run is not on the runner and cannot start there.
_BARRED_REASONS: t.Final = ("old",)
_REFUSED: t.Final = (admission.Admission.NO_ROOM, admission.Admission.LEAVING)
_ENDED_OUTCOME: t.Final = "the session has ended"


@t.final
class RunnerSession:
    """Executes orders on one life of the runner and renews its lease.

    ``is_confirmed`` is set once the runner itself has stated that life.

    Parameters
    ----------
    info : messages.RunnerInfo
        The runner as described by its first report.
    client : runner.Runner
        Client of the runner.
    changed : threading.Event
        Set when a report to the scheduler is due.
    lease_end : float
        Latest end of a lease set by an earlier agent, on ``clock.now``.
    """

    def __init__(
        self,
        info: messages.RunnerInfo,
        client: runner.Runner,
        changed: threading.Event,
        lease_end: float,
    ) -> None:
        self.info = info
        self.described_at = clock.now()
        self.is_confirmed = False
        self._changed = changed
        self.table = runs.RunTable(changed)
        self._client = client
        self._epoch = 0
        self._lease = leases.RunnerLease(lease_end)
        self._answered_at = clock.now()
        self._runner_calls = decisions.Dependency("runner")
        self.fillers = filler_paces.FillerPaces(self.table, self._set_pace)
        self._stop_monitor = stop_monitor.StopMonitor(info)
        self._crash_monitor = crash_monitor.CrashMonitor(self.table)
        self._ended = threading.Event()
        self._exit_thread: supervision.SupervisedThread | None = None
        self._strays_in_progress: set[runs.RunKey] = set()
        self._wakeup = threading.Event()
        # Stops never wait for starts or strays, which may be repeated without end.
        self._start_pool = futures.ThreadPoolExecutor(
            _START_THREADS, thread_name_prefix="starts"
        )
        self._stop_pool = futures.ThreadPoolExecutor(
            _STOP_THREADS, thread_name_prefix="stops"
        )
        self._stray_pool = futures.ThreadPoolExecutor(
            _STRAY_THREADS, thread_name_prefix="strays"
        )
        self._thread = supervision.SupervisedThread(
            "hold", self._poll_repeatedly, self._ended
        )

    def start(self) -> None:
        """Start the thread that renews the lease and reads the run snapshots."""
        self._thread.start()

    def end(self, outcome: str) -> None:
        """End the session and set all live runs to GONE with this outcome."""
        was_ended = self._ended.is_set()
        self._ended.set()
        self._wakeup.set()
        live = self.table.mark_all_gone(outcome)
        if not was_ended:
            run_events.record_session_end(self.info, outcome, live)
        for pool in (self._start_pool, self._stop_pool, self._stray_pool):
            pool.shutdown(wait=False, cancel_futures=True)

    def await_exit(self) -> None:
        """End the session, in the background, once the runner refuses connections.

        The runner has announced its exit, but may live on for some seconds.
        """
        if self._exit_thread is None:
            self._exit_thread = supervision.SupervisedThread(
                "exit", self._check_exit, self._ended
            )
            self._exit_thread.start()

    def _check_exit(self) -> None:
        while not self._ended.is_set():
            try:
                self._client.poll(self.table.acknowledged_end, None, self._epoch, 0.0)
            except runner.NotListening:
                self.end("left")
                return
            except errors.Error as exc:
                self._runner_calls.failed(exc)
            self._ended.wait(_EXIT_CHECK_INTERVAL_S)

    @property
    def is_down(self) -> bool:
        """Whether nothing listens at the runner's address."""
        return self._crash_monitor.is_down

    def describe_crash(self) -> messages.RunnerCrash | None:
        """Return what was lost since the runner's last answer.

        None if no connection to it broke since, or if it has left as announced.
        """
        expected_end = None
        if self.info.is_draining:
            expected_end = self.described_at + self.info.time_left_s
        return self._crash_monitor.describe_crash(self.info.life, expected_end)

    @property
    def answered_ago_s(self) -> float:
        """The age of the runner's last answer, in seconds."""
        return clock.now() - self._answered_at

    @property
    def leased_until(self) -> float:
        """The latest time, on ``clock.now``, at which the runner's lease may end."""
        return self._lease.latest_end

    def learn_epoch(self, epoch: int) -> None:
        """Use the epoch of a scheduler from now on, unless a higher one is known."""
        self._epoch = max(self._epoch, epoch)
        self._wakeup.set()

    def grant_lease(self, epoch: int, until: float, has_lapsed: bool = False) -> None:
        """Allow lease renewals up to this time on ``clock.now``.

        Starts that were ordered before are barred if ``has_lapsed`` is set or the
        session's earlier grant has expired: the scheduler may have given them up.
        """
        self._lease.grant(until, has_lapsed)
        self.learn_epoch(epoch)

    def acknowledge_ends(
        self, acknowledged_end: int, settled: list[runs.RunKey]
    ) -> None:
        """Acknowledge to the runner the ends that the scheduler has stored."""
        self.table.remove_acknowledged(acknowledged_end, settled)
        self._wakeup.set()

    def execute_orders(self, epoch: int, orders: list[messages.Order]) -> None:
        """Execute each order once, in the background; skip those for another life."""
        self._epoch = max(self._epoch, epoch)
        skipped = []
        for order in orders:
            is_ended = self._ended.is_set()
            if order.life != self.info.life or is_ended:
                skipped.append(order)
            if order.life != self.info.life:
                continue
            run = self.table.apply_order(order)
            if run is None or is_ended:
                continue
            if run.state is runs.State.STARTING:
                received_at = clock.now()
                self._execute_async(
                    self._start_pool, self._start_run, run, order, received_at
                )
            else:
                self._execute_async(self._stop_pool, self._stop_run, run)
        run_events.record_skipped_orders(skipped, self.info.life)
        if self._ended.is_set():
            self.table.mark_all_gone(_ENDED_OUTCOME)

    def _execute_async(
        self, pool: futures.Executor, call: abc.Callable[..., None], *args: t.Any
    ) -> None:
        try:
            pool.submit(call, *args)
        except RuntimeError:
            decisions.record("order.dropped", runner=self.info.id, why=_ENDED_OUTCOME)

    def _on_answer(self, clock_ms: int, at: float) -> None:
        self._answered_at = at
        self._crash_monitor.on_answer(clock_ms)
        self._lease.record_answer(clock_ms, at)

    def _start_run(
        self, run: runs.Run, order: messages.Order, received_at: float
    ) -> None:
        spec = runner.RunSpec(
            order.task, order.run, order.spec, order.checkpoint, order.ticket
        )
        # An order that was sent before may have been executed, or may still be.
        is_uncertain = order.is_repeated
        attempts = 0
        reject_at = clock.now() + _LEASE_GRANT_TIMEOUT_S
        # A snapshot may list the run, and another thread may stop it.
        while not self._ended.is_set() and run.state is runs.State.STARTING:
            lease_end_ms = self._lease.renew()
            if received_at < self._lease.resumed_at:
                run_events.record_barred(run, self.info.life)
                self._stop_run(run)
                return
            admitted = self._admit(run)
            is_overdue = clock.now() > reject_at
            is_unknown = admitted is admission.Admission.UNKNOWN
            if admitted in _REFUSED or (is_unknown and is_overdue):
                is_leaving = admitted is admission.Admission.LEAVING
                if is_uncertain:
                    self._stop_run(run)
                else:
                    self._reject(run, "leaving" if is_leaving else "room")
                return
            if lease_end_ms is None or is_unknown:
                if is_overdue and not is_uncertain:
                    self._reject(run, "no_lease")
                    return
                self._ended.wait(_RETRY_INTERVAL_S)
                continue
            sent_at = clock.now()
            attempts += 1
            self.table.record_attempt(run, sent_at)
            try:
                answer = runner.call(
                    self._client.start,
                    spec,
                    lease_end_ms,
                    self._epoch,
                    sent_at + _ORDER_TIMEOUT_S,
                )
            except errors.Error as exc:
                if exc.ran is errors.Ran.NO:
                    self.table.record_failed_attempt(run, sent_at)
                else:
                    is_uncertain = True
                self._crash_monitor.on_failure(exc)
                run_events.record_unanswered(
                    "start.unanswered", run, self.info.life, exc
                )
                self._ended.wait(_RETRY_INTERVAL_S)
                continue
            self._on_answer(answer.clock_ms, clock.now())
            if not answer.reason:
                self.table.record_start(run, clock.now(), answer.clock_ms)
                run_events.record_delayed_start(
                    run, self.info.life, attempts, received_at, answer
                )
            elif run.state is runs.State.STARTING and not is_uncertain:
                self._reject(run, answer.reason)
            elif run.state is not runs.State.STOPPING:
                self._stop_run(run)
            return

    def _admit(self, run: runs.Run) -> admission.Admission:
        """Decide on a start by the runner's state and recently reported capacity."""
        if self.info.is_draining:
            return admission.Admission.LEAVING
        if clock.now() - self.described_at > _MAX_DESCRIPTION_AGE_S:
            return admission.Admission.UNKNOWN
        return self.table.admit(run, self.info)

    def _reject(self, run: runs.Run, reason: str) -> None:
        run_events.record_rejected(run, self.info.life, reason)
        self.table.record_rejection(run, reason)

    def _stop_run(self, run: runs.Run) -> None:
        """Stop a run or prevent its start; later snapshots show its outcome."""
        if not self.table.begin_stop(run):
            return
        attempts, refusal = 0, ""
        while not self._ended.is_set() and not run.is_final:
            deadline = clock.now() + _ORDER_TIMEOUT_S
            attempts += 1
            try:
                answer = runner.call(self._client.stop, *run.key, self._epoch, deadline)
            except errors.Error as exc:
                self._crash_monitor.on_failure(exc)
                run_events.record_unanswered(
                    "stop.unanswered", run, self.info.life, exc
                )
                self._ended.wait(_RETRY_INTERVAL_S)
                continue
            self._on_answer(answer.clock_ms, clock.now())
            if not answer.reason or answer.reason in _BARRED_REASONS:
                self.table.record_stop(run, clock.now())
                self._wakeup.set()
                run_events.record_delayed_stop(run, self.info.life, attempts)
                return
            if answer.reason != refusal:
                refusal = answer.reason
                run_events.record_refused_stop(run, self.info.life, attempts, refusal)
            self._ended.wait(_RETRY_INTERVAL_S)

    def _stop_stray(self, key: runs.RunKey) -> None:
        """Try to stop a run that should not be present; each snapshot repeats it."""
        deadline = clock.now() + _ORDER_TIMEOUT_S
        try:
            answer = runner.call(self._client.stop, *key, self._epoch, deadline)
        except errors.Error as exc:
            answer = runner.Answer(exc.detail, 0)
        finally:
            self._strays_in_progress.discard(key)
        decisions.record("run.stray", task=key[0], run=key[1], why=answer.reason)

    def _poll_repeatedly(self) -> None:
        # The first snapshot is due at once: starts need the runner's clock, and the
        # runner may have runs of an earlier agent.
        while not self._ended.is_set():
            if not self._epoch:
                self._wakeup.wait(_ACK_WAIT_S)
                self._wakeup.clear()
                continue
            requested_at = clock.now()
            is_due = not self.is_confirmed or self.table.has_unacknowledged_ends()
            wait_s = 0.0 if is_due else self._poll_wait_s()
            try:
                snapshot = self._client.poll(
                    self.table.acknowledged_end,
                    self._lease.renew(),
                    self._epoch,
                    wait_s,
                )
            except errors.Error as exc:
                self._on_poll_failure(exc)
                self._ended.wait(_POLL_RETRY_INTERVAL_S)
                continue
            self._runner_calls.worked()
            self._on_answer(snapshot.clock_ms, clock.now())
            if snapshot.life and snapshot.life != self.info.life:
                # The next report of the runner starts a new session.
                self._ended.wait(_POLL_RETRY_INTERVAL_S)
                continue
            unexpected = self.table.apply_snapshot(snapshot, requested_at)
            if not self.is_confirmed:
                self.is_confirmed = True
                self._changed.set()
            run_events.record_found(self.info, unexpected.found)
            self._stop_monitor.check(self.table, snapshot, requested_at)
            for key in unexpected.strays:
                if key not in self._strays_in_progress:
                    self._strays_in_progress.add(key)
                    self._execute_async(self._stray_pool, self._stop_stray, key)
            self.fillers.adjust(clock.now())
            if self.table.has_unacknowledged_ends():
                self._wakeup.wait(_ACK_WAIT_S)
                self._wakeup.clear()

    def _poll_wait_s(self) -> float:
        return _PACED_POLL_WAIT_S if self.fillers.has_contention else _POLL_WAIT_S

    def _set_pace(self, key: runs.RunKey, percent: int) -> str:
        """Set the pace of a run; return why it failed, empty if it did not."""
        deadline = clock.now() + _ORDER_TIMEOUT_S
        try:
            answer = self._client.set_pace(*key, percent, self._epoch, deadline)
        except errors.Error as exc:
            self._crash_monitor.on_failure(exc)
            return exc.detail
        return answer.reason

    def _on_poll_failure(self, exc: errors.Error) -> None:
        self._runner_calls.failed(exc)
        self._crash_monitor.on_failure(exc)
        self._lease.record_failure()
        if self._lease.lapse():
            self.table.mark_all_gone("lapsed")
