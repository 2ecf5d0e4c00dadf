"""The platform's client of a runner, and the decoding of a runner's reports."""

import typing as t

import msgspec

from bilberrypass import clock, errors
from bilberrypass.hosting import runner
from bilberrypass.platform import http
from bilberrypass.scheduling import messages

_MS: t.Final = 1_000
_POLL_MARGIN_S: t.Final = 1.0  # a long poll times out this long after its wait
_WRONG_LIFE_STATUS: t.Final = 421
_STATUS_REASONS: t.Final = {400: "invalid", 421: "life", 429: "busy", 503: "busy"}


class _Answer(msgspec.Struct):
    clock_ms: int = 0
    reason: str = ""


class _RunLists(msgspec.Struct):
    # Rows of task, run, checkpoint, percent and figure; the figure may be missing.
    running: list[list[t.Any]]
    # Rows of number, task, run, outcome and checkpoint.
    ended_runs: list[tuple[int, str, int, str, str]]
    clock_ms: int = 0
    # "born" is the start time of the runner, in Unix milliseconds.
    born: int = 0


class _Capacity(msgspec.Struct):
    cpu: int
    task_memory_mb: int
    gpu: int = 0


class _ReportBody(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: t.Literal["ready", "draining"]
    # "sequence" increases with each report within one life.
    sequence: int
    capacity: _Capacity
    labels: list[str] = []
    born: int = 0
    # The minimum time for which a draining runner keeps running.
    remaining_ms: float = 0


class RunnerReport(t.NamedTuple):
    """A runner's report of its state, with its address and sequence number."""

    info: messages.RunnerInfo
    address: str
    sequence: int


def read_report(id: str, body: bytes) -> RunnerReport:
    """Decode a runner's report.

    Raises
    ------
    errors.Error
        BAD_BODY, naming the field.
    """
    try:
        report = msgspec.json.decode(body, type=_ReportBody)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise errors.Error(
            errors.Kind.BAD_BODY,
            f"report of runner {id[:64]}: {exc}; correct the report",
        ) from exc
    info = messages.RunnerInfo(
        id=id,
        life=report.born,
        service=report.service,
        cpu_milli=report.capacity.cpu,
        memory_mb=report.capacity.task_memory_mb,
        gpus=report.capacity.gpu,
        labels=tuple(report.labels),
        is_draining=report.state == "draining",
        time_left_s=report.remaining_ms / _MS,
    )
    return RunnerReport(info, report.address, report.sequence)


@t.final
class Runner(runner.Runner):
    """A client of one life of the runner.

    Parameters
    ----------
    id : str
        The runner's id; a different runner at the address refuses all calls.
    address : str
        IP address and port.
    """

    def __init__(self, id: str, address: str) -> None:
        self._client = http.Client(address, connections=8)
        self._headers = {"Expected-Instance": id}

    def _call(self, path: str, body: t.Any, deadline: float) -> http.Response:
        return self._client.call("POST", path, deadline, body, self._headers)

    def _call_order(self, path: str, body: t.Any, deadline: float) -> runner.Answer:
        found = self._call(path, body, deadline)
        answer = _Answer()
        if found.body:
            try:
                answer = msgspec.json.decode(found.body, type=_Answer)
            except msgspec.MsgspecError as exc:
                raise errors.Error(
                    errors.Kind.ANSWER_LOST, f"{path}: unreadable answer: {exc}"
                ) from exc
        if found.status == 200:
            return runner.Answer("", answer.clock_ms)
        reason = answer.reason or _STATUS_REASONS.get(found.status, "")
        if not reason:
            raise errors.Error(
                errors.Kind.ANSWER_LOST, f"{path} answered {found.status}"
            )
        return runner.Answer(reason, answer.clock_ms)

    def start(
        self, run: runner.RunSpec, lease_end_ms: int, epoch: int, deadline: float
    ) -> runner.Answer:
        """Start a run under a lease whose end, in ms, is on the runner's clock."""
        body: dict[str, t.Any] = {
            "task": run.task,
            "run": run.run,
            "specification": run.spec,
            "deadline_ms": lease_end_ms,
            "fencing_token": epoch,
        }
        if run.checkpoint:
            body["checkpoint"] = run.checkpoint
        if run.ticket:
            body["ticket"] = run.ticket
        return self._call_order("/api/run-start", body, deadline)

    def stop(self, task: str, run: int, epoch: int, deadline: float) -> runner.Answer:
        """Stop a run, or prevent a run that has not started from starting."""
        body = {"task": task, "run": run, "fencing_token": epoch}
        return self._call_order("/api/run-stop", body, deadline)

    def set_pace(
        self, task: str, run: int, percent: int, epoch: int, deadline: float
    ) -> runner.Answer:
        """Limit a run to a percentage of its full speed."""
        body = {"task": task, "run": run, "percent": percent, "fencing_token": epoch}
        return self._call_order("/api/pace", body, deadline)

    def poll(
        self,
        acknowledged_end: int,
        lease_end_ms: int | None,
        epoch: int,
        wait_s: float,
    ) -> runner.RunnerSnapshot:
        """Renew the lease, discard ends up to ``acknowledged_end``, await a new end."""
        body: dict[str, t.Any] = {"fencing_token": epoch, "last_seen": acknowledged_end}
        if wait_s:
            body["wait_ms"] = int(wait_s * _MS)
        if lease_end_ms is not None:
            body["deadline_ms"] = lease_end_ms
        found = self._call("/api/hold", body, clock.now() + wait_s + _POLL_MARGIN_S)
        if found.status != 200:
            why = _STATUS_REASONS.get(found.status, str(found.status))
            raise errors.Error(
                errors.Kind.STALE
                if found.status == _WRONG_LIFE_STATUS
                else errors.Kind.ENDPOINT_UNREACHABLE,
                f"the runner refused to list its runs: {why} {found.body[:80]!r}",
            )
        return _read_snapshot(found.body)


def _read_snapshot(body: bytes) -> runner.RunnerSnapshot:
    try:
        lists = msgspec.json.decode(body, type=_RunLists)
        running = [
            runner.ActiveRun(
                row[0], row[1], row[2], row[3], int(row[4]) if len(row) > 4 else 0
            )
            for row in lists.running
        ]
    except (msgspec.MsgspecError, IndexError, TypeError, ValueError) as exc:
        raise errors.Error(
            errors.Kind.ANSWER_LOST,
            f"the run lists of the runner are unreadable: {exc}",
        ) from exc
    ended = [runner.EndedRun(*row) for row in lists.ended_runs]
    return runner.RunnerSnapshot(running, ended, lists.clock_ms, lists.born)
