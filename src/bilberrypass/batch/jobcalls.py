"""Calls on the jobs of one shard, answered by its owner."""

import time
import typing as t

import msgspec

from bilberrypass import errors
from bilberrypass.batch import decisions, placing, records
from bilberrypass.connection import messages
from bilberrypass.membership import ownership
from bilberrypass.version import page

_SETTLE_S: t.Final = 5.0
_PAGE_RETRY_S: t.Final = 30.0


class Owner(t.Protocol):
    """What calls need of the shard's owner."""

    number: int
    page_bytes: int
    state: records.Jobs
    ownership: ownership.Ownership

    @property
    def is_owned(self) -> bool:
        """Tell whether this entry owns the shard."""

    def change(
        self, change: t.Callable[[records.Jobs], t.Any], deadline: float
    ) -> t.Any:
        """Apply a change with the next grouped write and return its result."""


@t.final
class Calls:
    """The calls by their verbs.

    Parameters
    ----------
    shard : Owner
        Has the jobs.
    fits : placing.Placing
        Tells what no host could ever hold.
    told : decisions.Decisions
        Tells the reasons of what was decided.
    """

    def __init__(
        self, shard: Owner, fits: placing.Placing, told: decisions.Decisions
    ) -> None:
        self._shard = shard
        self._placing = fits
        self._decisions = told
        self._verbs: dict[
            str, t.Callable[[messages.JobCall, float], messages.JobAnswer]
        ] = {
            "put": self._put,
            "cancel": self._cancel,
            "list": self._list,
            "get": self._get,
            "explain": self._explain,
        }

    def answer(self, req: messages.JobCall, deadline: float) -> messages.JobAnswer:
        """Answer a call on a job of the shard.

        Raises
        ------
        errors.Error
            STALE if another entry owns the shard; else as the verb has it.
        """
        if not self._shard.is_owned:
            raise errors.Refused(
                errors.Kind.STALE,
                f"shard {self._shard.number} is owned elsewhere; ask again",
                retry_after_s=1.0,
            )
        return self._verbs[req.verb](req, deadline)

    def _find(self, req: messages.JobCall) -> page.JobRecord:
        for (team, id), job in self._shard.state.items():
            if id == req.job and req.team in ("", team):
                return job
        raise errors.Refused(
            errors.Kind.NOT_FOUND, f"there is no job {req.job}; submit it first"
        )

    def _get(self, req: messages.JobCall, deadline: float) -> messages.JobAnswer:
        return _answer(page.describe(self._find(req)))

    def _explain(self, req: messages.JobCall, deadline: float) -> messages.JobAnswer:
        job = self._find(req)
        found = self._decisions.find(f"job {job.team}/{job.id}")
        told = {
            "never_fits": self._placing.why_never(job),
            "decisions": [decision._asdict() for decision in found],
        }
        return _answer(page.describe(job) | told)

    def _list(self, req: messages.JobCall, deadline: float) -> messages.JobAnswer:
        jobs = self._shard.state.values()
        return _answer(
            [page.describe(job) for job in jobs if req.team in ("", job.team)]
        )

    def _put(self, req: messages.JobCall, deadline: float) -> messages.JobAnswer:
        job = page.parse_job(req.job, req.body, time.time(), req.traceparent)
        if (job.team, job.id) not in self._shard.state:
            self._check_page()
            self._check_fits(job)
        result, created = self._change(lambda jobs: records.put(jobs, job), deadline)
        return _answer(page.describe(result))._replace(created=created)

    def _check_page(self) -> None:
        if self._shard.page_bytes > page.MAX_BYTES:
            raise errors.Refused(
                errors.Kind.OVERLOADED,
                f"the page of shard {self._shard.number} is full; come back when "
                "jobs have ended, or give the fleet more shards",
                retry_after_s=_PAGE_RETRY_S,
            )

    def _check_fits(self, job: page.JobRecord) -> None:
        """Refuse what no host could hold, once the hosts have had time to report."""
        if time.monotonic() < self._shard.ownership.owned_at + _SETTLE_S:
            return
        why = self._placing.why_never(job)
        if why:
            raise errors.Refused(
                errors.Kind.NEVER_FITS,
                f"no known host could ever hold a task of {job.id}: {why}; "
                "ask for less or loosen the rules",
            )

    def _cancel(self, req: messages.JobCall, deadline: float) -> messages.JobAnswer:
        job = self._find(req)
        key = (job.team, job.id)
        result = self._change(lambda jobs: records.cancel(jobs, key), deadline)
        return _answer(page.describe(result))

    def _change(
        self, change: t.Callable[[records.Jobs], t.Any], deadline: float
    ) -> t.Any:
        try:
            return self._shard.change(change, deadline)
        except errors.Error as exc:
            if exc.kind is errors.Kind.STORE_UNCERTAIN:
                # The write may yet take effect, and then the job runs.
                exc.ran = errors.Ran.UNKNOWN
            raise


def _answer(value: t.Any) -> messages.JobAnswer:
    return messages.JobAnswer(msgspec.json.encode(value))
