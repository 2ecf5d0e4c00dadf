"""What callers ask about jobs, answered by the scheduler that knows or by nobody."""

import collections.abc as abc
import time
import typing as t

from bilberrypass import clock, errors
from bilberrypass.connection import channels
from bilberrypass.observing import decisions
from bilberrypass.scheduling import intake, messages, peers

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler

# a few round trips; without a response, the store is read instead
_LEADER_TIMEOUT_S: t.Final = 0.4
_STATUS_READ_TIMEOUT_S: t.Final = 1.0
# covers the peer's own query of at most _STATUS_READ_TIMEOUT_S and the round trip
_PEER_STATUS_TIMEOUT_S: t.Final = 1.2

T = t.TypeVar("T")


@t.final
class Queries:
    """Answers queries on one entry; thread-safe.

    Parameters
    ----------
    address : str
        At which peers reach this entry.
    submissions : intake.Submissions
        Reads what is stored.
    others : peers.Peers
        The other entries.
    current : callable
        Returns the scheduler of this entry, None while it does not lead.
    """

    def __init__(
        self,
        address: str,
        submissions: intake.Submissions,
        others: peers.Peers,
        current: "abc.Callable[[], scheduler.Scheduler | None]",
    ) -> None:
        self._address = address
        self._submissions = submissions
        self._peers = others
        self._current = current

    # Called on the threads that serve callers.

    def status(self, id: str, deadline: float) -> str:
        """Return the stored status of a job; empty if the store has no such job."""
        req = messages.StateRequest(id, self._address)
        if self._is_cut_off:
            response = self._query_peer(req, deadline)
        elif self._current() is not None:
            response = self._own_state(id)
        else:
            response = self._query_leader(messages.STATE, req)
        if response is not None and response.status:
            return response.status
        status = self._submissions.read_status(id, deadline)
        decisions.record(
            "job.status_read", job=id, status=status, leader=bool(response)
        )
        return status

    def count_waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have not started.

        Raises
        ------
        errors.Error
            PEER_UNREACHABLE if no scheduler that knows responds.
        """
        req = messages.WaitingRequest(queue)
        if self._current() is not None:
            response = self.serve_waiting(req)
        else:
            response = self._query_leader(messages.WAITING, req)
        if response is None or not response.is_leader:
            raise errors.Refused(
                errors.Kind.PEER_UNREACHABLE,
                f"no scheduler responded with the waiting jobs of {queue}; retry",
                retry_after_s=1.0,
            )
        return response.waiting

    # Called on the threads that serve peers.

    def serve_state(self, req: messages.StateRequest) -> messages.StateResponse:
        """Answer another entry as the leader.

        Also while this one is cut off: in an outage nobody knows better, and a stored
        status is at worst an earlier one.
        """
        self._peers.record_call(req.asker)
        return self._own_state(req.job) or messages.StateResponse(False)

    def serve_status(self, req: messages.StateRequest) -> messages.StateResponse:
        """Answer a leader that is cut off, through the leader that there is now."""
        if self._is_cut_off:
            return messages.StateResponse(False)
        return messages.StateResponse(
            True, self.status(req.job, clock.now() + _STATUS_READ_TIMEOUT_S)
        )

    def serve_waiting(self, req: messages.WaitingRequest) -> messages.WaitingResponse:
        """Answer as the leader, if this entry leads and knows what is stored."""
        waiting = self._ask_own(lambda owner: owner.count_waiting(req.queue))
        if waiting is None:
            return messages.WaitingResponse(False)
        return messages.WaitingResponse(True, waiting)

    @property
    def _is_cut_off(self) -> bool:
        """Whether this entry leads but lost contact with the store; others may lead."""
        current = self._current()
        return current is not None and current.is_cut_off

    def _own_state(self, id: str) -> messages.StateResponse | None:
        current = self._current()
        if current is None or not current.is_loaded:
            return None
        return messages.StateResponse(True, current.status(id))

    def _ask_own(self, ask: "abc.Callable[[scheduler.Scheduler], T]") -> T | None:
        """Return what the own scheduler says; None if it cannot know.

        It is checked afterwards: the process may have been paused in between, and
        another entry may lead by now.
        """
        current = self._current()
        if current is None or not current.is_loaded:
            return None
        answer = ask(current)
        is_current = current is self._current() and not current.is_cut_off
        return answer if is_current else None

    def _query_leader(self, method: channels.Method, req: t.Any) -> t.Any:
        """Return the leader's response; None without a leader or a timely response."""
        leader = self._peers.leader()
        if leader is None:
            return None
        try:
            deadline = time.monotonic() + _LEADER_TIMEOUT_S
            response = self._peers.at(leader.address).call(method, req, deadline)
        except errors.Error as exc:
            decisions.record("leader.unanswered", leader=leader.name, why=str(exc))
            return None
        return response if response.is_leader else None

    def _query_peer(
        self, req: messages.StateRequest, deadline: float
    ) -> messages.StateResponse | None:
        """Return another entry's response; None if there is no peer or response."""
        address = self._peers.find()
        if not address:
            return None
        until = time.monotonic() + min(_PEER_STATUS_TIMEOUT_S, deadline - clock.now())
        try:
            return self._peers.at(address).call(messages.STATUS, req, until)
        except errors.Error as exc:
            decisions.record("helper.unanswered", helper=address, why=str(exc))
            return None
