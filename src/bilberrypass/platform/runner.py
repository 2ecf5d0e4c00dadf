"""The platform's client of a runner, and the decoding of a runner's reports."""

import ipaddress
import re
import typing as t

import msgspec

from bilberrypass import clock, decoding, errors
from bilberrypass.hosting import runner
from bilberrypass.platform import http
from bilberrypass.scheduling import jobs, messages

_MS: t.Final = 1_000
_POLL_PATH: t.Final = "/api/hold"
_POLL_MARGIN_S: t.Final = 1.0  # a long poll times out this long after its wait
_MAX_LISTED_ENDS: t.Final = 500  # PROTOCOL.md
_WRONG_LIFE_STATUS: t.Final = 421
_MAX_NAME_CHARS: t.Final = 200  # as the longest key of the platform's store
_MAX_LABELS: t.Final = 64
_MAX_PORT: t.Final = 65_535
_ID_PATTERN: t.Final = re.compile(rf"[\x21-\x7e]{{1,{_MAX_NAME_CHARS}}}")
_STATUS_REASONS: t.Final = {400: "invalid", 421: "life", 429: "busy", 503: "busy"}


# Numbers go on to the scheduler, in 64 bits.
_Number = t.Annotated[int, msgspec.Meta(ge=-jobs.MAX_AMOUNT, le=jobs.MAX_AMOUNT)]
_Amount = t.Annotated[int, msgspec.Meta(ge=0, le=jobs.MAX_AMOUNT)]
_Duration = t.Annotated[float, msgspec.Meta(ge=0, le=jobs.MAX_AMOUNT)]
_Name = t.Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_CHARS)]
_Labels = t.Annotated[list[_Name], msgspec.Meta(max_length=_MAX_LABELS)]


class _Answer(msgspec.Struct):
    clock_ms: _Number = 0
    reason: str = ""


class _RunLists(msgspec.Struct):
    # Rows of task, run, checkpoint, percent and figure; the figure may be missing.
    running: list[list[t.Any]]
    # Rows of number, task, run, outcome and checkpoint.
    ended_runs: list[tuple[_Number, str, _Number, str, str]]
    clock_ms: _Number = 0
    # "born" is the start time of the runner, in Unix milliseconds.
    born: _Number = 0


class _Capacity(msgspec.Struct):
    cpu: _Amount
    task_memory_mb: _Amount
    gpu: _Amount = 0


class _ReportBody(msgspec.Struct):
    service: _Name
    address: _Name
    zone: _Name
    state: t.Literal["ready", "draining"]
    # "sequence" increases with each report within one life.
    sequence: _Amount
    capacity: _Capacity
    labels: _Labels = []
    born: _Amount = 0
    # The minimum time for which a draining runner keeps running.
    remaining_ms: _Duration = 0
    # Not used; a report in which one has another type is not a runner's.
    version: str = ""
    slots: _Amount = 0
    cold_remaining_ms: _Duration = 0
    clock_ms: _Number = 0


class RunnerReport(t.NamedTuple):
    """A runner's report of its state, with its address and sequence number."""

    info: messages.RunnerInfo
    address: str
    sequence: int


def read_report(id: str, body: bytes) -> RunnerReport:
    """Decode a runner's report.

    Reports may come from another writer; those that cannot be a runner's are refused.

    Raises
    ------
    errors.Error
        BAD_BODY, naming the field.
    """
    try:
        if not _ID_PATTERN.fullmatch(id):
            raise ValueError("the id is not a short text of ASCII")
        report = decoding.decode_json(body, _ReportBody)
        _check_address(report.address)
    except ValueError as exc:
        raise errors.Error(
            errors.Kind.BAD_BODY,
            f"report of runner {id[:64]!r}: {exc}; correct the report",
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


def _check_address(address: str) -> None:
    """Raise ValueError unless the address is an IPv4 number and a port."""
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdigit()) or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"address: {address[:40]!r} has no port up to {_MAX_PORT}")


@t.final
class Runner(runner.Runner):
    """A client of one life of the runner.

    The runner may start again under its id, which is all that a call can name. A
    connection ends with the process that accepted it, so each new connection is used
    only after the runner has stated its life on it.

    Parameters
    ----------
    id : str
        The runner's id; a different runner at the address refuses all calls.
    life : int
        The start time of the runner in Unix milliseconds; 0 if it states none.
    address : str
        IP address and port.
    """

    def __init__(self, id: str, life: int, address: str) -> None:
        self._life = life
        self._epoch = 0
        self._client = http.Client(address, connections=12, check_peer=self._check_life)
        self._headers = {"Expected-Instance": id}

    def _check_life(self, conn: http.Connection) -> None:
        body = msgspec.json.encode({"fencing_token": self._epoch, "last_seen": 0})
        headers = {"Content-Type": "application/json"} | self._headers
        conn.request("POST", _POLL_PATH, body, headers)
        response = conn.getresponse()
        payload = response.read()
        if response.status != 200:
            raise _make_poll_error(response.status, payload)
        life = _read_snapshot(payload).life
        if life != self._life:
            raise errors.Error(
                errors.Kind.STALE,
                f"the runner started anew: its life is {life}, not {self._life}",
            )

    def _call(
        self, path: str, body: dict[str, t.Any], deadline: float
    ) -> http.Response:
        self._epoch = max(self._epoch, body["fencing_token"])
        try:
            return self._client.call("POST", path, deadline, body, self._headers)
        except http.NotSent as exc:
            if exc.is_refused:
                raise runner.NotListening(exc.detail) from exc
            raise
        except http.NoAnswer as exc:
            if exc.is_closed:
                raise runner.ConnectionClosed(exc.detail) from exc
            raise

    def _call_order(
        self, path: str, body: dict[str, t.Any], deadline: float
    ) -> runner.Answer:
        found = self._call(path, body, deadline)
        answer = _Answer()
        if found.body:
            try:
                answer = decoding.decode_json(found.body, _Answer)
            except decoding.UnreadableError as exc:
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
        found = self._call(_POLL_PATH, body, clock.now() + wait_s + _POLL_MARGIN_S)
        if found.status != 200:
            raise _make_poll_error(found.status, found.body)
        return _read_snapshot(found.body)


def _make_poll_error(status: int, body: bytes) -> errors.Error:
    why = _STATUS_REASONS.get(status, str(status))
    return errors.Error(
        errors.Kind.STALE
        if status == _WRONG_LIFE_STATUS
        else errors.Kind.ENDPOINT_UNREACHABLE,
        f"the runner refused to list its runs: {why} {body[:80]!r}",
    )


def _read_active_run(row: list[t.Any]) -> runner.ActiveRun:
    figure = row[4] if len(row) > 4 else 0
    try:
        task, run, checkpoint, progress, figure = msgspec.convert(
            [*row[:4], figure], tuple[str, _Number, str, _Number, _Number | float]
        )
        return runner.ActiveRun(task, run, checkpoint, progress, int(figure))
    except (msgspec.ValidationError, OverflowError) as exc:
        raise ValueError(f"row {row!r:.100}: {exc}") from exc


def _read_snapshot(body: bytes) -> runner.RunnerSnapshot:
    try:
        lists = decoding.decode_json(body, _RunLists)
        running = [_read_active_run(row) for row in lists.running]
    except ValueError as exc:
        raise errors.Error(
            errors.Kind.ANSWER_LOST,
            f"the run lists of the runner are unreadable: {exc}",
        ) from exc
    ended = [runner.EndedRun(*row) for row in lists.ended_runs]
    return runner.RunnerSnapshot(
        running, ended, lists.clock_ms, lists.born, len(ended) < _MAX_LISTED_ENDS
    )
