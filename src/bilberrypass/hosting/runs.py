"""The agent's table of the runs on its host during one life of the runner."""

import collections.abc as abc
import threading
import typing as t

from bilberrypass import clock
from bilberrypass.hosting import admission, runner, settled_runs
from bilberrypass.scheduling import messages

State = messages.RunState
FINAL_STATES: t.Final = (State.ENDED, State.REJECTED, State.GONE)

RunKey = tuple[str, int]

# A runner needs up to 0.9 s to stop a run and to list its end.
_MAX_LISTING_DELAY_S: t.Final = 1.0
# An executed start is listed by each answer after that, on the same machine.
_START_LISTING_DELAY_S: t.Final = 0.1


class Run:
    """The state of a run as known to the agent.

    ``answered_at`` is when the runner last answered an order for the run; only a
    snapshot requested after that time can show that the run is missing. ``listed_at``
    is when the first snapshot that lists the run was requested. ``started_at`` is the
    earliest time at which the runner may have begun the run, None if it has not.
    ``was_unlisted`` is set while the runner has not answered the start, and a later
    snapshot does not list the run, which so had not begun by then.
    ``begun_clock_ms`` is what the runner's clock showed when the run first was there.
    ``holds_room`` is set from the admission of the start on.
    """

    __slots__ = (
        "answered_at",
        "begun_clock_ms",
        "checkpoint",
        "end_number",
        "figure",
        "holds_room",
        "key",
        "listed_at",
        "order",
        "outcome",
        "pace",
        "progress",
        "started_at",
        "state",
        "stop_wanted_at",
        "was_unlisted",
    )

    def __init__(self, key: RunKey, state: messages.RunState) -> None:
        self.key = key
        self.state = state
        self.order: messages.Order | None = None
        self.holds_room = False
        self.outcome = ""
        self.end_number = 0
        self.checkpoint = ""
        self.progress = 0
        self.figure = 0
        self.pace = 100
        self.answered_at: float | None = None
        self.listed_at: float | None = None
        self.started_at: float | None = None
        self.begun_clock_ms: int | None = None
        self.stop_wanted_at: float | None = None
        self.was_unlisted = False

    @property
    def is_final(self) -> bool:
        """Return whether the run is certainly not on the host and never will be."""
        return self.state in FINAL_STATES

    def row(self) -> messages.RunRow:
        """Return the row that reports this run to the scheduler."""
        return messages.RunRow(
            self.key[0],
            self.key[1],
            int(self.state),
            self.outcome,
            self.end_number,
            self.checkpoint,
            self.progress,
            self.figure,
            self.pace,
        )


class Unexpected(t.NamedTuple):
    """Runs in a snapshot of the runner that the table did not expect there.

    ``found`` maps the runs that were not in the table to their outcome, empty while
    they are active. ``strays`` are present although they are final in the table, were
    settled, or should have stopped by now.
    """

    found: dict[RunKey, str]
    strays: list[RunKey]


def _is_overdue(run: Run, requested_at: float) -> bool:
    """Return whether a snapshot should show the effect of the last answered order."""
    return (
        run.answered_at is not None
        and run.answered_at + _MAX_LISTING_DELAY_S < requested_at
    )


@t.final
class RunTable:
    """The runs of one life of the runner; its methods are thread-safe.

    Parameters
    ----------
    changed : threading.Event
        Set after a change that is to be reported to the scheduler soon.
    """

    def __init__(self, changed: threading.Event) -> None:
        self._lock = threading.Lock()
        self._runs: dict[RunKey, Run] = {}
        self._settled = settled_runs.SettledRuns()
        self._changed = changed
        self._acknowledged_end = 0
        self._has_strays = False

    def apply_order(self, order: messages.Order) -> Run | None:
        """Record an order; return its run, or None if there is nothing to execute."""
        key = (order.task, order.run)
        with self._lock:
            run = self._runs.get(key)
            if order.verb == messages.Verb.DESCRIBE:
                if run is not None and run.order is None:
                    run.order = order
                return None
            if order.verb == messages.Verb.START:
                if run is not None:
                    run.order = run.order or order
                    return None
                run = self._runs[key] = Run(key, State.STARTING)
                run.order = order
                if key in self._settled:
                    run.state, run.outcome = State.REJECTED, "settled"
                    self._changed.set()
                    return None
                return run
            if run is None:
                run = self._runs[key] = Run(key, State.STOPPING)
                run.stop_wanted_at = clock.now()
                return run
            if run.is_final or run.state is State.STOPPING:
                return None
            # The runner bars a start that arrives after the stop.
            run.state, run.answered_at = State.STOPPING, None
            run.stop_wanted_at = clock.now()
            return run

    def admit(self, run: Run, info: messages.RunnerInfo) -> admission.Admission:
        """Decide on a start, and let an admitted run hold its room until its end."""
        assert run.order is not None
        with self._lock:
            others = [
                other.order
                for other in self._runs.values()
                if other is not run and other.holds_room and not other.is_final
            ]
            if self._has_strays:
                others.append(None)
            found = admission.check_start(run.order, others, info)
            run.holds_room |= found is admission.Admission.ADMITTED
        return found

    def record_attempt(self, run: Run, at: float) -> None:
        """Record that a start is sent, which the runner may execute."""
        with self._lock:
            if run.started_at is None:
                run.started_at = at

    def record_failed_attempt(self, run: Run, at: float) -> None:
        """Record that the runner certainly did not execute the start sent ``at``."""
        with self._lock:
            if run.started_at == at:
                run.started_at = None

    def record_start(self, run: Run, at: float, clock_ms: int = 0) -> None:
        """Record that the runner has started a run, unless a stop was ordered.

        ``clock_ms`` is the runner's clock at its answer, 0 if it is not known.
        """
        with self._lock:
            run.was_unlisted = False
            if run.begun_clock_ms is None and clock_ms:
                run.begun_clock_ms = clock_ms
            if run.state is State.STARTING:
                run.state, run.answered_at = State.RUNNING, at

    def record_stop(self, run: Run, at: float) -> None:
        """Record that the runner has executed the stop of a run."""
        with self._lock:
            if run.state is State.STOPPING:
                run.answered_at = at

    def begin_stop(self, run: Run) -> bool:
        """Set a run to STOPPING and return True, or False if it is already final."""
        with self._lock:
            if run.is_final:
                return False
            run.state = State.STOPPING
            run.answered_at = None
            if run.stop_wanted_at is None:
                run.stop_wanted_at = clock.now()
            return True

    def record_rejection(self, run: Run, reason: str) -> None:
        """Record that a run was refused and will never start."""
        with self._lock:
            if not run.is_final:
                run.state, run.outcome = State.REJECTED, reason
        self._changed.set()

    def apply_snapshot(
        self, snapshot: runner.RunnerSnapshot, requested_at: float
    ) -> Unexpected:
        """Update the table from a snapshot of the runner.

        Parameters
        ----------
        snapshot : runner.RunnerSnapshot
            The answer of the runner.
        requested_at : float
            When the snapshot was requested, on ``clock.now``.

        Returns
        -------
        Unexpected
            Runs that the table did not know, or that should not be present any more.
        """
        present = {(row.task, row.run): row for row in snapshot.running}
        found: dict[RunKey, str] = {}
        strays = []
        with self._lock:
            for key, row in present.items():
                run = self._runs.get(key)
                if run is None and key in self._settled:
                    # The scheduler has settled the run and does not track it any more.
                    strays.append(key)
                    continue
                if run is None:
                    run = self._runs[key] = Run(key, State.RUNNING)
                    run.answered_at = requested_at
                    found[key] = ""
                    self._changed.set()
                elif run.is_final and run.state is not State.ENDED:
                    strays.append(key)
                elif run.state is State.STOPPING and _is_overdue(run, requested_at):
                    strays.append(key)
                elif run.state is State.STARTING:
                    run.state, run.answered_at = State.RUNNING, requested_at
                run.holds_room, run.was_unlisted = True, False
                if run.listed_at is None:
                    run.listed_at = requested_at
                if run.started_at is None:
                    run.started_at = requested_at
                if run.begun_clock_ms is None:
                    run.begun_clock_ms = snapshot.clock_ms
                run.checkpoint = row.checkpoint
                run.progress, run.figure = row.progress, row.figure
            for end in snapshot.ended:
                if self._record_end(end):
                    found[end.task, end.run] = end.outcome
            self._has_strays = bool(strays)
            if snapshot.has_all_ends:
                answered_at = clock.now()
                for run in self._runs.values():
                    self._check_missing(run, present, requested_at)
                    self._check_begun(run, present, answered_at)
        return Unexpected(found, strays)

    def _record_end(self, end: runner.EndedRun) -> bool:
        """Record a listed end, and return whether its run was not in the table."""
        if end.number <= self._acknowledged_end:
            return False
        key = (end.task, end.run)
        run = self._runs.get(key)
        is_new = run is None
        if run is None:
            run = self._runs[key] = Run(key, State.ENDED)
        elif run.end_number == end.number:
            return False
        run.state, run.outcome = State.ENDED, end.outcome
        run.end_number, run.checkpoint = end.number, end.checkpoint
        self._changed.set()
        return is_new

    def _check_missing(
        self, run: Run, present: abc.Container[RunKey], requested_at: float
    ) -> None:
        """Set a run to GONE if the runner should list it by now but does not."""
        is_due = not run.is_final and _is_overdue(run, requested_at)
        if is_due and run.key not in present:
            run.state, run.outcome = State.GONE, "missing"
            self._changed.set()

    def _check_begun(
        self, run: Run, present: abc.Container[RunKey], answered_at: float
    ) -> None:
        """Note that a start without an answer has not been executed yet."""
        if run.state is not State.STARTING or run.key in present:
            return
        if run.started_at is not None:
            run.was_unlisted |= answered_at > run.started_at + _START_LISTING_DELAY_S

    def mark_all_gone(self, outcome: str) -> dict[RunKey, messages.RunState]:
        """Set all runs that are not final to GONE, and return their earlier states."""
        live = {}
        with self._lock:
            for run in self._runs.values():
                if not run.is_final:
                    live[run.key] = run.state
                    run.state, run.outcome = State.GONE, outcome
        self._changed.set()
        return live

    def remove_acknowledged(
        self, acknowledged_end: int, settled: abc.Iterable[RunKey]
    ) -> None:
        """Remove final runs whose end the scheduler has stored; bar their starts."""
        with self._lock:
            self._acknowledged_end = max(self._acknowledged_end, acknowledged_end)
            for key in settled:
                run = self._runs.get(key)
                if (
                    run is not None
                    and run.is_final
                    and run.end_number <= self._acknowledged_end
                ):
                    del self._runs[key]
                    self._settled.add(key)

    @property
    def acknowledged_end(self) -> int:
        """The number of the last end that the runner may discard."""
        with self._lock:
            return self._acknowledged_end

    def has_unacknowledged_ends(self) -> bool:
        """Return whether a listed end has not been stored by the scheduler."""
        with self._lock:
            return any(
                run.end_number > self._acknowledged_end for run in self._runs.values()
            )

    def rows(self) -> list[messages.RunRow]:
        """Return the rows that report all runs to the scheduler."""
        with self._lock:
            return [run.row() for run in self._runs.values()]

    def find_stopped(self, keys: abc.Iterable[RunKey]) -> list[Run]:
        """Return those of the given runs that are to stop or have ended."""
        with self._lock:
            found = [run for key in keys if (run := self._runs.get(key)) is not None]
        return [run for run in found if run.state in (State.STOPPING, State.ENDED)]

    def started_runs(self) -> list[Run]:
        """Return the runs that are not final and may have begun on the runner."""
        with self._lock:
            return [
                run
                for run in self._runs.values()
                if not run.is_final
                and run.started_at is not None
                and not run.was_unlisted
            ]

    def live_runs(self) -> list[Run]:
        """Return the runs that are not final, which may be on the host."""
        with self._lock:
            return [run for run in self._runs.values() if not run.is_final]
