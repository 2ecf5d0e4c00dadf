"""Callers that submit and cancel jobs, request their state, and retry."""

import random
import threading
import typing as t

import urllib3

from soak import checker, hosts

_HEADERS: t.Final = {"Host": "h.example", "Time-Remaining": "3000"}
_TIMEOUT: t.Final = urllib3.Timeout(connect=1.0, read=3.0)
_MAX_SUBMIT_ATTEMPTS: t.Final = 5
_CANCEL_SHARE: t.Final = 0.15
_LONG_RUNNING_SHARE: t.Final = 0.12
_LONG_RUNNING_CPU_SHARE: t.Final = 0.4  # the rest is left for batch work
_ALWAYS_FAILING_SHARE: t.Final = 0.06
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
    """

    def __init__(
        self,
        invariants: checker.InvariantChecker,
        fleet: hosts.Fleet,
        rng: random.Random,
    ) -> None:
        self._invariants = invariants
        self._fleet = fleet
        self._rng = rng
        self._accepted: list[checker.Job] = []
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

    def _draw_body(self) -> dict[str, t.Any]:
        draw = self._rng.random()
        spec = f"spec {self._rng.random()}"
        cpu = self._rng.choice((500, 2_000, 9_000))
        step = {"count": self._rng.randint(1, 6), "cpu": cpu, "task_memory_mb": 100}
        cpu_limit = (
            _LONG_RUNNING_CPU_SHARE
            * checker.HOST_CPU_MILLI
            * len(self._fleet.agent_hosts)
        )
        if (
            draw < _LONG_RUNNING_SHARE
            and self._invariants.long_running_cpu() < cpu_limit
        ):
            return {"specification": spec, "steps": [step | {"long_running": True}]}
        if draw < _LONG_RUNNING_SHARE + _ALWAYS_FAILING_SHARE:
            spec = f"poison {spec}"
        steps = [step | {"estimated_ms": 800}]
        if self._rng.random() < 0.4:
            steps.append(step | {"after": [0], "checkpointing": True})
        return {"specification": spec, "steps": steps}

    def _submit(self) -> None:
        job = checker.Job(f"{self._rng.getrandbits(64):016x}", self._draw_body())
        self._invariants.add_job(job)
        refused = 0
        for attempt in range(_MAX_SUBMIT_ATTEMPTS):
            answer = call(self._choose_entry(), "POST", f"/q/{job.id}", job.body)
            if answer is not None and answer.status == 200:
                job.accepted_at = self._invariants.now()
                self._accepted.append(job)
                return
            refused += answer is not None and answer.status in _REFUSED_STATUSES
            if refused == attempt + 1 and self._rng.random() < 0.3:
                job.is_refused = True  # the job is not submitted again
                return
            if self._stopping.wait(self._rng.uniform(0.05, 0.4)):
                return

    def _resubmit(self, job: checker.Job) -> None:
        call(self._choose_entry(), "POST", f"/q/{job.id}", job.body)

    def stop(self) -> None:
        """Send no further requests and wait at most 30 s for the thread to end."""
        self._stopping.set()
        self._thread.join(30)


def cancel(
    invariants: checker.InvariantChecker, entry: hosts.Entry, job: checker.Job
) -> bool:
    """Cancel a job; return whether the cancellation was acknowledged."""
    job.cancel_sent = True
    answer = call(entry, "DELETE", f"/q/{job.id}")
    if answer is None or answer.status not in (200, 410):
        return False
    job.cancel_acked_at = job.cancel_acked_at or invariants.now()
    return True


def check_state(
    invariants: checker.InvariantChecker, entry: hosts.Entry, job: checker.Job
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
