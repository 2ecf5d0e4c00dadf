"""Calls on the jobs of one shard, handled by its owner."""

import time
import typing as t

import msgspec

from bilberrypass import errors
from bilberrypass.batch import decisions, placer, records
from bilberrypass.connection import messages
from bilberrypass.membership import ownership
from bilberrypass.version import page

_HOST_DISCOVERY_S: t.Final = 5.0
_PAGE_FULL_RETRY_AFTER_S: t.Final = 30.0


class ShardOwner(t.Protocol):
    """The part of ``owner.Shard`` that the calls use."""

    number: int
    page_bytes: int
    state: records.Jobs
    ownership: ownership.Ownership

    @property
    def is_owned(self) -> bool:
        """Whether this entry owns the shard."""

    def change(
        self, change: t.Callable[[records.Jobs], t.Any], deadline: float
    ) -> t.Any:
        """Apply a change with the next batched write and return its result.

        ``deadline`` is monotonic time in seconds.
        """


@t.final
class JobCallHandler:
    """Dispatches calls by verb: put, cancel, list, get, explain.

    Parameters
    ----------
    shard : ShardOwner
        The shard that holds the jobs.
    placer : placer.Placer
        Finds jobs that no host could ever hold.
    history : decisions.DecisionHistory
        The decisions to explain, with their reasons.
    """

    def __init__(
        self,
        shard: ShardOwner,
        placer: placer.Placer,
        history: decisions.DecisionHistory,
    ) -> None:
        self._shard = shard
        self._placer = placer
        self._decisions = history
        self._handlers: dict[
            str, t.Callable[[messages.JobRequest, float], messages.JobResponse]
        ] = {
            "put": self._put,
            "cancel": self._cancel,
            "list": self._list,
            "get": self._get,
            "explain": self._explain,
        }

    def handle(self, req: messages.JobRequest, deadline: float) -> messages.JobResponse:
        """Handle a call on the jobs of the shard.

        Raises
        ------
        errors.Error
            STALE if another entry owns the shard; otherwise whatever the handler of
            the verb raises.
        """
        if not self._shard.is_owned:
            raise errors.Refused(
                errors.Kind.STALE,
                f"shard {self._shard.number} is not owned by this entry; retry",
                retry_after_s=1.0,
            )
        return self._handlers[req.verb](req, deadline)

    def _find(self, req: messages.JobRequest) -> page.JobRecord:
        for (team, id), job in self._shard.state.items():
            if id == req.job and req.team in ("", team):
                return job
        raise errors.Refused(
            errors.Kind.NOT_FOUND, f"there is no job {req.job}; submit it first"
        )

    def _get(self, req: messages.JobRequest, deadline: float) -> messages.JobResponse:
        return _answer(page.describe(self._find(req)))

    def _explain(
        self, req: messages.JobRequest, deadline: float
    ) -> messages.JobResponse:
        job = self._find(req)
        found = self._decisions.find(f"job {job.team}/{job.id}")
        explanation = {
            "never_fits": self._placer.infeasibility_reason(job),
            "decisions": [decision._asdict() for decision in found],
        }
        return _answer(page.describe(job) | explanation)

    def _list(self, req: messages.JobRequest, deadline: float) -> messages.JobResponse:
        jobs = self._shard.state.values()
        return _answer(
            [page.describe(job) for job in jobs if req.team in ("", job.team)]
        )

    def _put(self, req: messages.JobRequest, deadline: float) -> messages.JobResponse:
        job = page.parse_job(req.job, req.body, time.time(), req.traceparent)
        if (job.team, job.id) not in self._shard.state:
            self._check_page_size()
            self._check_fits(job)
        result, created = self._change(lambda jobs: records.put(jobs, job), deadline)
        return _answer(page.describe(result))._replace(created=created)

    def _check_page_size(self) -> None:
        if self._shard.page_bytes > page.MAX_BYTES:
            raise errors.Refused(
                errors.Kind.OVERLOADED,
                f"the page of shard {self._shard.number} is full; retry when "
                "jobs have ended, or configure more shards",
                retry_after_s=_PAGE_FULL_RETRY_AFTER_S,
            )

    def _check_fits(self, job: page.JobRecord) -> None:
        """Refuse a job that no host could hold, once all hosts could have reported."""
        if time.monotonic() < self._shard.ownership.owned_at + _HOST_DISCOVERY_S:
            return
        reason = self._placer.infeasibility_reason(job)
        if reason:
            raise errors.Refused(
                errors.Kind.NEVER_FITS,
                f"no known host could ever hold a task of {job.id}: {reason}; "
                "request less or loosen the rules",
            )

    def _cancel(
        self, req: messages.JobRequest, deadline: float
    ) -> messages.JobResponse:
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
                # The write may still take effect, and then the job runs.
                exc.ran = errors.Ran.UNKNOWN
            raise


def _answer(value: t.Any) -> messages.JobResponse:
    return messages.JobResponse(msgspec.json.encode(value))
