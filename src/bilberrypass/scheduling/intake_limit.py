"""Refusal of new jobs while those that were accepted take all the memory for jobs."""

import threading
import typing as t

import msgspec

from bilberrypass import clock, decoding, errors, supervision
from bilberrypass.observing import decisions
from bilberrypass.scheduling import election, keyvalue, leader_gauges, work_budget

LIMIT_KEY: t.Final = election.KEY + "/intake"  # read by the watch of that key
VALID_S: t.Final = 5.0
_CHECK_INTERVAL_S: t.Final = 0.2
_RENEW_INTERVAL_S: t.Final = 1.5  # three attempts while a record is valid
_COMMIT_TIMEOUT_S: t.Final = 1.0
# Hysteresis, so that the end of one job does not let a burst of others in.
_RESUME_SHARE: t.Final = 0.95

_is_full = leader_gauges.create(
    "bilberrypass_intake_full", "Whether the leader has new jobs refused"
)


class Record(t.NamedTuple):
    """Whether the leader of an epoch has new jobs refused."""

    epoch: int
    is_full: bool


_decoder = msgspec.msgpack.Decoder(Record)


def decode(value: bytes) -> Record:
    """Decode a stored record.

    Raises
    ------
    decoding.UnreadableError
        The value has another form.
    """
    return decoding.decode_msgpack(value, _decoder)


@t.final
class Publisher:
    """Tells the entries, through the store, whether to refuse new jobs.

    Writes nothing while there is room; while there is none, it renews the record, since
    entries take one for true only for ``VALID_S``.

    Parameters
    ----------
    store : keyvalue.Store
        Receives the record.
    epoch : int
        Epoch of the leader; the record is written only while it leads.
    budget : work_budget.WorkBudget
        What the accepted jobs hold.
    """

    def __init__(
        self, store: keyvalue.Store, epoch: int, budget: work_budget.WorkBudget
    ) -> None:
        self._store = store
        self._epoch = epoch
        self._budget = budget
        self._published = Record(epoch, False)
        self._renew_at = 0.0
        self._stopping = threading.Event()
        self._thread = supervision.SupervisedThread(
            "intake_limit", self._run, self._stopping
        )

    def start(self) -> None:
        """Start the thread that watches the budget."""
        self._thread.start()

    def stop(self) -> None:
        """Signal the thread to end, without waiting for it."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(_CHECK_INTERVAL_S):
            self.publish_if_due(clock.now())

    def publish_if_due(self, now: float) -> None:
        """Write the record if it has changed or is to be renewed."""
        most = self._budget.max_jobs_bytes
        limit = most * _RESUME_SHARE if self._published.is_full else most
        record = Record(self._epoch, self._budget.jobs_bytes > limit)
        has_changed = record != self._published
        if not has_changed and not (record.is_full and now >= self._renew_at):
            return
        put = keyvalue.Put(LIMIT_KEY, msgspec.msgpack.encode(record))
        try:
            self._store.commit(
                {election.KEY: self._epoch}, [put], now + _COMMIT_TIMEOUT_S
            )
        except errors.Error as exc:
            decisions.record("intake.limit_failed", why=str(exc))
            return
        self._published, self._renew_at = record, now + _RENEW_INTERVAL_S
        _is_full.set(record.is_full)
        if has_changed:
            decisions.record(
                "intake.limit",
                epoch=self._epoch,
                full=record.is_full,
                jobs_mb=round(self._budget.jobs_bytes / 2**20, 1),
                most_mb=round(most / 2**20, 1),
            )


@t.final
class Limit:
    """What an entry knows of the leader's limit; thread-safe."""

    def __init__(self) -> None:
        self._current: tuple[Record, float] = Record(0, False), 0.0

    def update(self, record: Record, known_since: float) -> None:
        """Take in a record that was written after ``known_since``, on ``clock.now``."""
        if record.epoch >= self._current[0].epoch:
            self._current = record, known_since + VALID_S

    def is_full(self, leader_epoch: int, now: float) -> bool:
        """Return whether the leader of an epoch wants new jobs refused."""
        record, deadline = self._current
        return record.is_full and record.epoch == leader_epoch and now < deadline
