"""The attempts at one request, up to its answer or a truthful refusal."""

import collections.abc as abc
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.connection import channels, messages
from bilberrypass.membership import fleet
from bilberrypass.request import health, limits, routing

_log = logbook.Logger("dispatch")

_MAX_ATTEMPTS: t.Final = 3
_REVOKE_S: t.Final = 1.0
_FAILED_STATUS: t.Final = 500
_FAIR_WAIT_S: t.Final = 1.0
_MARGIN_S: t.Final = 0.25
"""By how much an agent's deadline is earlier, so that its own answer arrives."""

_ENDPOINT_FAULTS: t.Final = (
    errors.Kind.ENDPOINT_UNREACHABLE,
    errors.Kind.ANSWER_LOST,
    errors.Kind.ANSWER_TOO_LARGE,
    errors.Kind.PEER_UNREACHABLE,
)


@t.final
class Dispatcher:
    """Sends requests to agents.

    Parameters
    ----------
    hosts : fleet.Fleet
        The hosts known by reports.
    policy : routing.Policy
        Chooses hosts.
    failure_domain : str
        Where the entry stands.
    retry_share : callable
        Returns how many retries each first attempt earns.
    """

    def __init__(
        self,
        hosts: fleet.Fleet,
        policy: routing.Policy,
        failure_domain: str,
        retry_share: abc.Callable[[], float],
    ) -> None:
        self._hosts = hosts
        self._policy = policy
        self._health = health.Health(failure_domain)
        self._budget = limits.RetryBudget(retry_share)

    def check(self, service: str) -> None:
        """Refuse a request that no host could take now.

        Raises
        ------
        errors.Error
            NO_ENDPOINT or UNKNOWN_SERVICE.
        """
        if self._hosts.serving(service):
            return
        if self._hosts.knows(service):
            raise errors.Error(
                errors.Kind.NO_ENDPOINT,
                f"no endpoint of {service} takes requests now; come back later",
            )
        raise errors.Error(
            errors.Kind.UNKNOWN_SERVICE,
            f"no endpoint of {service!r} ever announced itself; check the name",
        )

    def run(self, req: messages.Forward, deadline: float) -> messages.Forwarded:
        """Have a request answered.

        What may have run is sent again only if it is idempotent; what certainly
        did not run may be sent to another host, within the retry budget.

        Raises
        ------
        errors.Error
            ``ran`` tells of all attempts together.
        """
        self.check(req.service)
        self._budget.earn()
        tried: set[str] = set()
        may_have_run = False
        host: fleet.Host | None = self._choose(req.service, tried)
        while host is not None:
            tried.add(host.report.host)
            try:
                return self._attempt(host, req, deadline)
            except errors.Error as exc:
                failure = exc
            may_have_run |= failure.ran is not errors.Ran.NO
            host = self._choose_again(req, failure, tried, deadline)
        if may_have_run and failure.ran is errors.Ran.NO:
            failure.ran = errors.Ran.UNKNOWN
        raise failure

    def _choose_again(
        self,
        req: messages.Forward,
        failure: errors.Error,
        tried: set[str],
        deadline: float,
    ) -> fleet.Host | None:
        """Return the host for a retry, or None if the failure is final."""
        if not self._may_retry(req, failure, tried, deadline):
            return None
        try:
            return self._choose(req.service, tried)
        except errors.Error:
            return None

    def _may_retry(
        self,
        req: messages.Forward,
        failure: errors.Error,
        tried: set[str],
        deadline: float,
    ) -> bool:
        may_repeat = failure.ran is errors.Ran.NO or req.idempotent
        is_final = failure.kind in (
            errors.Kind.ANSWER_TOO_LARGE,
            errors.Kind.DEADLINE_PASSED,
        )
        return (
            may_repeat
            and not is_final
            and len(tried) < _MAX_ATTEMPTS
            and time.monotonic() + _MARGIN_S < deadline
            and self._has_untried(req.service, tried)
            and self._budget.spend()
        )

    def _untried(self, service: str, tried: set[str]) -> list[fleet.Host]:
        hosts = self._hosts.serving(service)
        return [host for host in hosts if host.report.host not in tried]

    def _has_untried(self, service: str, tried: set[str]) -> bool:
        return bool(self._untried(service, tried))

    def _choose(self, service: str, tried: set[str]) -> fleet.Host:
        hosts = self._untried(service, tried)
        candidates = self._health.candidates(service, hosts)
        if not candidates:
            raise errors.Error(
                errors.Kind.NO_ENDPOINT,
                f"every endpoint of {service} was tried or fails; come back later",
            )
        return self._policy.choose(candidates).host

    def _attempt(
        self, host: fleet.Host, req: messages.Forward, deadline: float
    ) -> messages.Forwarded:
        began = time.monotonic()
        is_failure: bool | None = None
        self._health.begin(req.service, host)
        try:
            answer = self._forward(host, req, deadline)
            is_failure = answer.status >= _FAILED_STATUS
            return answer
        except errors.Error as exc:
            # A caller's short deadline says nothing of the endpoint.
            is_fair = time.monotonic() < deadline - _MARGIN_S
            is_fair |= time.monotonic() > began + _FAIR_WAIT_S
            if exc.kind in _ENDPOINT_FAULTS and is_fair:
                is_failure = True
            raise
        finally:
            service_s = time.monotonic() - began
            self._health.end(req.service, host, service_s, is_failure)

    def _forward(
        self, host: fleet.Host, req: messages.Forward, deadline: float
    ) -> messages.Forwarded:
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            raise errors.Refused(
                errors.Kind.DEADLINE_PASSED, "the deadline passed before the dispatch"
            )
        sent = req._replace(
            time_left_s=left_s - min(_MARGIN_S, left_s / 4),
            incarnation=host.report.incarnation,
            clock=host.report.clock,
        )
        try:
            answer = host.peer.call(channels.FORWARD, sent, deadline)
        except errors.Refused:
            raise
        except errors.Error as exc:
            raise self._settle(host, sent, exc) from None
        if answer.request != req.request or answer.length != len(answer.body):
            raise errors.Error(
                errors.Kind.ANSWER_LOST,
                f"{host.report.host} gave the answer to another request; ask again",
            )
        return answer

    def _settle(
        self, host: fleet.Host, sent: messages.Forward, lost: errors.Error
    ) -> errors.Error:
        """Find out whether a request whose answer was lost can still run."""
        revoke = messages.Revoke(sent.request, sent.incarnation, sent.clock)
        deadline = time.monotonic() + _REVOKE_S
        try:
            answer = host.peer.call(channels.REVOKE, revoke, deadline)
        except errors.Error as exc:
            _log.info("dispatch: {} not revoked: {}", sent.request, exc.detail)
            return lost
        if not answer.never_runs:
            return lost
        return errors.Refused(
            lost.kind,
            f"{host.report.host} never began it: {lost.detail}",
            ran=errors.Ran.NO,
            retry_after_s=1.0,
        )
