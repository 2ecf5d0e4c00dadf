"""Callers that submit and cancel jobs, request their state, and retry."""

import random
import threading
import time
import typing as t

import urllib3

from soak import checker, hosts, submissions

_HEADERS: t.Final = {"Host": "h.example", "Time-Remaining": "3000"}
_TIMEOUT: t.Final = urllib3.Timeout(connect=1.0, read=3.0)
_MAX_SUBMIT_ATTEMPTS: t.Final = 5
_CANCEL_SHARE: t.Final = 0.15
_LONG_RUNNING_SHARE: t.Final = 0.12
_PROMPT_CANCEL_SHARE: t.Final = 0.6  # of the jobs in a series
_PROMPT_LONG_RUNNING_SHARE: t.Final = 0.5
_MAX_CANCEL_DELAY_S: t.Final = 3.0
_MIN_CANCEL_DELAY_S: t.Final = 0.05
_MAX_CANCEL_ATTEMPTS: t.Final = 6
_MIN_SERIES_S: t.Final = 2.0
_MAX_SERIES_S: t.Final = 7.0
_LONG_RUNNING_CPU_SHARE: t.Final = 0.4  # the rest is left for batch work
_ALWAYS_FAILING_SHARE: t.Final = 0.06
_SCHEDULED_SHARE: t.Final = 0.15
_MIN_SCHEDULE_DELAY_S: t.Final = 0.5
_MAX_SCHEDULE_DELAY_S: t.Final = 4.0
_MAX_REPETITIONS: t.Final = 3
_REPETITION_INTERVAL_MS: t.Final = (400, 2_500)
_REFUSED_STATUSES: t.Final = (429, 503)


def call(entry: hosts.Entry, method: str, path: str, body: t.Any = None) -> t.Any:
    """Return an entry's response to a request, or None if no response arrives."""
    url = f"http://{entry.caller_link.address}{path}"
    try:
        return urllib3.request(
            method, url, headers=_HEADERS, json=body, retries=False, timeout=_TIMEOUT
        )
    except (urllib3.exceptions.HTTPError, OSError):
        return None


@t.final
class Caller:
    """A caller that sends random requests from its own thread.

    Parameters
    ----------
    invariants : checker.InvariantChecker
        Receives what was submitted and answered.
    fleet : hosts.Fleet
        Its entries receive the requests.
    rng : random.Random
        Draws the requests and the delays between them.
    cancel_rng : random.Random
        Draws the jobs that are cancelled soon after their acceptance, in series.
    deadly_share : float
        Share of the jobs with a task that crashes each runner that starts it.
    """

    def __init__(
        self,
        invariants: checker.InvariantChecker,
        fleet: hosts.Fleet,
        rng: random.Random,
        cancel_rng: random.Random,
        deadly_share: float,
    ) -> None:
        self._deadly_share = deadly_share
        self._invariants = invariants
        self._fleet = fleet
        self._rng = rng
        self._cancel_rng = cancel_rng
        self._is_in_series = False
        self._series_end_at = 0.0
        self._cancels: list[threading.Timer] = []
        self._accepted: list[submissions.Job] = []
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._stopping.wait(self._rng.uniform(0.05, 0.6)):
            draw = self._rng.random()
            if not self._accepted or draw < 0.45:
                self._submit()
            elif draw < 0.45 + 0.08:
                self._resubmit(self._rng.choice(self._accepted))
            elif draw < 0.45 + _CANCEL_SHARE:
                cancel(
                    self._invariants,
                    self._choose_entry(),
                    self._rng.choice(self._accepted),
                )
            else:
                check_state(
                    self._invariants,
                    self._choose_entry(),
                    self._rng.choice(self._accepted),
                )

    def _choose_entry(self) -> hosts.Entry:
        return self._rng.choice(self._fleet.entries)

    def _draw_is_prompt(self) -> bool:
        """Draw whether the next job is cancelled promptly; series alternate."""
        if time.monotonic() > self._series_end_at:
            self._is_in_series = not self._is_in_series
            duration_s = self._cancel_rng.uniform(_MIN_SERIES_S, _MAX_SERIES_S)
            self._series_end_at = time.monotonic() + duration_s
        draw = self._cancel_rng.random()
        return self._is_in_series and draw < _PROMPT_CANCEL_SHARE

    def _draw_body(self, is_prompt: bool) -> dict[str, t.Any]:
        draw = self._rng.random()
        long_running_share = _LONG_RUNNING_SHARE
        if is_prompt:
            long_running_share = _PROMPT_LONG_RUNNING_SHARE
        spec = f"spec {self._rng.random()}"
        cpu = self._rng.choice((500, 2_000, 9_000))
        step = {"count": self._rng.randint(1, 6), "cpu": cpu, "task_memory_mb": 100}
        cpu_limit = (
            _LONG_RUNNING_CPU_SHARE
            * checker.HOST_CPU_MILLI
            * len(self._fleet.agent_hosts)
        )
        if (
            draw < long_running_share
            and self._invariants.long_running_cpu() < cpu_limit
        ):
            return {"specification": spec, "steps": [step | {"long_running": True}]}
        if draw < long_running_share + _ALWAYS_FAILING_SHARE:
            spec = f"poison {spec}"
        elif is_prompt:
            spec = f"{hosts.SLOW} {spec}"
        steps = [step | {"estimated_ms": 800}]
        if self._rng.random() < 0.4:
            steps.append(step | {"after": [0], "checkpointing": True})
        return {"specification": spec, "steps": steps}

    def _draw_schedule(self, id: str, body: dict[str, t.Any]) -> dict[str, t.Any]:
        """Return the body, of some batch jobs with times at which they repeat."""
        rng = random.Random(id)
        is_batch = not body["steps"][0].get("long_running")
        if not is_batch or rng.random() > _SCHEDULED_SHARE:
            return body
        delay_s = rng.uniform(_MIN_SCHEDULE_DELAY_S, _MAX_SCHEDULE_DELAY_S)
        return body | {
            "repetitions": rng.randint(1, _MAX_REPETITIONS),
            "first_run_ms": int((time.time() + delay_s) * 1_000),
            "interval_ms": rng.randint(*_REPETITION_INTERVAL_MS),
        }

    def _draw_deadly(self, id: str, body: dict[str, t.Any]) -> dict[str, t.Any]:
        """Return the body, of some jobs with a task that crashes its runners."""
        if random.Random(f"{id} deadly").random() > self._deadly_share:
            return body
        return body | {"specification": f"{submissions.DEADLY} {body['specification']}"}

    def _submit(self) -> None:
        is_prompt = self._draw_is_prompt()
        body = self._draw_body(is_prompt)
        id = f"{self._rng.getrandbits(64):016x}"
        job = submissions.Job(id, self._draw_schedule(id, self._draw_deadly(id, body)))
        self._invariants.add_job(job)
        refused = 0
        for attempt in range(_MAX_SUBMIT_ATTEMPTS):
            answer = call(self._choose_entry(), "POST", f"/q/{job.id}", job.body)
            if answer is not None and answer.status == 200:
                job.accepted_at = self._invariants.now()
                self._accepted.append(job)
                if is_prompt:
                    self._cancel_later(job)
                return
            refused += answer is not None and answer.status in _REFUSED_STATUSES
            if refused == attempt + 1 and self._rng.random() < 0.3:
                job.is_refused = True  # the job is not submitted again
                return
            if self._stopping.wait(self._rng.uniform(0.05, 0.4)):
                return

    def _cancel_later(self, job: submissions.Job) -> None:
        """Cancel a job after a short time, through any entry, until it is answered."""

        def cancel_repeatedly() -> None:
            for entry in entries:
                if cancel(self._invariants, entry, job) or self._stopping.is_set():
                    return

        delay_s = self._cancel_rng.uniform(_MIN_CANCEL_DELAY_S, _MAX_CANCEL_DELAY_S)
        entries = self._cancel_rng.choices(self._fleet.entries, k=_MAX_CANCEL_ATTEMPTS)
        timer = threading.Timer(delay_s, cancel_repeatedly)
        timer.daemon = True
        self._cancels.append(timer)
        timer.start()

    def _resubmit(self, job: submissions.Job) -> None:
        call(self._choose_entry(), "POST", f"/q/{job.id}", job.body)

    def stop(self) -> None:
        """Send no further requests and wait at most 30 s for the thread to end."""
        self._stopping.set()
        self._thread.join(30)
        for timer in self._cancels:
            timer.join(30)


def cancel(
    invariants: checker.InvariantChecker, entry: hosts.Entry, job: submissions.Job
) -> bool:
    """Cancel a job; return whether the cancellation was acknowledged."""
    job.cancel_sent = True
    answer = call(entry, "DELETE", f"/q/{job.id}")
    if answer is None or answer.status not in (200, 410):
        return False
    if not job.cancel_acked_at:
        job.cancel_acked_at = invariants.now()
        invariants.log(f"cancellation of {job.id} acknowledged")
    return True


def check_state(
    invariants: checker.InvariantChecker, entry: hosts.Entry, job: submissions.Job
) -> str:
    """Request and check a job's state; return it, or "" if none was received."""
    answer = call(entry, "GET", f"/q/{job.id}")
    if answer is None:
        return ""
    if answer.status == 200:
        state = answer.json()["state"]
        invariants.on_state_received(job, state)
        return state
    if answer.status == 410:
        invariants.on_job_not_found(job)
    return ""
