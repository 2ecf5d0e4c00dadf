"""Callers that submit, ask, cancel and try again."""

import random
import threading
import typing as t

import urllib3

from soak import book, hosts

_HEADERS: t.Final = {"Host": "h.example", "Time-Remaining": "3000"}
_TIMEOUT: t.Final = urllib3.Timeout(connect=1.0, read=3.0)
_TRIES: t.Final = 5
_CANCEL_SHARE: t.Final = 0.15
_LASTING_SHARE: t.Final = 0.12
_LASTING_ROOM: t.Final = 0.4  # the rest is left to batch work
_POISON_SHARE: t.Final = 0.06
_REFUSALS: t.Final = (429, 503)


def call(entry: hosts.Entry, method: str, path: str, body: t.Any = None) -> t.Any:
    """Return the answer of an entry, or None if there is none."""
    url = f"http://{entry.caller_link.address}{path}"
    try:
        return urllib3.request(
            method, url, headers=_HEADERS, json=body, retries=False, timeout=_TIMEOUT
        )
    except (urllib3.exceptions.HTTPError, OSError):
        return None


@t.final
class Caller:
    """One caller, with a thread of its own.

    Parameters
    ----------
    seen : book.Book
        Told what was sent and answered.
    fleet : hosts.Fleet
        Whose entries are called.
    rng : random.Random
        Draws what is submitted.
    """

    def __init__(self, seen: book.Book, fleet: hosts.Fleet, rng: random.Random) -> None:
        self._book = seen
        self._fleet = fleet
        self._rng = rng
        self._mine: list[book.Job] = []
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._stopping.wait(self._rng.uniform(0.05, 0.6)):
            draw = self._rng.random()
            if not self._mine or draw < 0.45:
                self._submit()
            elif draw < 0.45 + 0.08:
                self._resubmit(self._rng.choice(self._mine))
            elif draw < 0.45 + _CANCEL_SHARE:
                cancel(self._book, self._entry(), self._rng.choice(self._mine))
            else:
                ask(self._book, self._entry(), self._rng.choice(self._mine))

    def _entry(self) -> hosts.Entry:
        return self._rng.choice(self._fleet.entries)

    def _body(self) -> dict[str, t.Any]:
        draw = self._rng.random()
        spec = f"spec {self._rng.random()}"
        cpu = self._rng.choice((500, 2_000, 9_000))
        step = {"count": self._rng.randint(1, 6), "cpu": cpu, "task_memory_mb": 100}
        room = _LASTING_ROOM * book.HOST_CPU * len(self._fleet.sides)
        if draw < _LASTING_SHARE and self._book.lasting_cpu() < room:
            return {"specification": spec, "steps": [step | {"long_running": True}]}
        if draw < _LASTING_SHARE + _POISON_SHARE:
            spec = f"poison {spec}"
        steps = [step | {"estimated_ms": 800}]
        if self._rng.random() < 0.4:
            steps.append(step | {"after": [0], "checkpointing": True})
        return {"specification": spec, "steps": steps}

    def _submit(self) -> None:
        job = book.Job(f"{self._rng.getrandbits(64):016x}", self._body())
        self._book.add(job)
        refusals = 0
        for number in range(_TRIES):
            answer = call(self._entry(), "POST", f"/q/{job.id}", job.body)
            if answer is not None and answer.status == 200:
                job.accepted_at = self._book.now()
                self._mine.append(job)
                return
            refusals += answer is not None and answer.status in _REFUSALS
            if refusals == number + 1 and self._rng.random() < 0.3:
                job.is_refused = True  # it is not sent again
                return
            if self._stopping.wait(self._rng.uniform(0.05, 0.4)):
                return

    def _resubmit(self, job: book.Job) -> None:
        call(self._entry(), "POST", f"/q/{job.id}", job.body)

    def stop(self) -> None:
        """Submit nothing more."""
        self._stopping.set()
        self._thread.join(30)


def cancel(seen: book.Book, entry: hosts.Entry, job: book.Job) -> bool:
    """Cancel a job, and tell whether that was acknowledged."""
    job.cancel_sent = True
    answer = call(entry, "DELETE", f"/q/{job.id}")
    if answer is None or answer.status not in (200, 410):
        return False
    job.cancelled_at = job.cancelled_at or seen.now()
    return True


def ask(seen: book.Book, entry: hosts.Entry, job: book.Job) -> str:
    """Ask for a job's state, check it, and return it; empty if there is no answer."""
    answer = call(entry, "GET", f"/q/{job.id}")
    if answer is None:
        return ""
    if answer.status == 200:
        state = answer.json()["state"]
        seen.shown(job, state)
        return state
    if answer.status == 410:
        seen.unknown(job)
    return ""
