"""Forwarding of a request to agents, with retries until its answer or final error."""

import collections.abc as abc
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.connection import channels, messages
from bilberrypass.membership import fleet
from bilberrypass.request import health, limits, request_breaker, routing

_log = logbook.Logger("dispatch")

_MAX_ATTEMPTS: t.Final = 3
_REVOKE_TIMEOUT_S: t.Final = 1.0
_MIN_FAILURE_STATUS: t.Final = 500
_MIN_FAULT_WAIT_S: t.Final = 1.0
_ANSWER_MARGIN_S: t.Final = 0.25
"""An agent's deadline is this much earlier, so that its answer arrives in time."""

_ENDPOINT_FAILURES: t.Final = (
    errors.Kind.ENDPOINT_UNREACHABLE,
    errors.Kind.ANSWER_LOST,
    errors.Kind.ANSWER_TOO_LARGE,
    errors.Kind.PEER_UNREACHABLE,
)

_BROKEN_OFF: t.Final = (
    errors.Kind.ENDPOINT_UNREACHABLE,
    errors.Kind.ANSWER_LOST,
    errors.Kind.PEER_UNREACHABLE,
)


@t.final
class Dispatcher:
    """Forwards requests to agents.

    Parameters
    ----------
    hosts : fleet.Fleet
        The hosts known from their reports.
    policy : routing.Policy
        Chooses the host of each attempt.
    failure_domain : str
        The failure domain of this entry.
    retry_share : callable
        Returns the number of retries that each first attempt allows.
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
        self._health = health.HostHealth(failure_domain)
        self._budget = limits.RetryBudget(retry_share)
        self._breaker = request_breaker.RequestBreaker()

    def check_service_available(self, service: str) -> None:
        """Raise an error if no host accepts requests of the service now.

        Raises
        ------
        errors.Error
            NO_ENDPOINT if the service is known, otherwise UNKNOWN_SERVICE.
        """
        if self._hosts.serving(service):
            return
        if self._hosts.is_known_service(service):
            raise errors.Error(
                errors.Kind.NO_ENDPOINT,
                f"no endpoint of {service} accepts requests now; retry later",
            )
        raise errors.Error(
            errors.Kind.UNKNOWN_SERVICE,
            f"no endpoint of service {service!r} is known; check the name",
        )

    def run(
        self, req: messages.ForwardRequest, deadline: float
    ) -> messages.ForwardResponse:
        """Forward a request and return its answer.

        A request that may have run is retried only if it is idempotent. One that
        certainly did not run may be retried on another host. Both are limited by the
        retry budget. A keyed request under which endpoints broke off repeatedly, over
        all attempts of its caller, is not offered to another one for a while.

        Raises
        ------
        errors.Error
            The error of the last attempt; its ``ran`` covers all attempts.
        """
        self.check_service_available(req.service)
        id = request_breaker.identify(req)
        self._breaker.check(id)
        self._budget.record_first_attempt()
        tried: set[str] = set()
        may_have_run = False
        host: fleet.Host | None = self._choose_host(req.service, tried)
        while host is not None:
            tried.add(host.report.host)
            try:
                answer = self._attempt(host, req, deadline)
            except errors.Error as exc:
                failure = exc
            else:
                self._breaker.record_answer(id)
                return answer
            may_have_run |= failure.ran is not errors.Ran.NO
            if _is_break(failure, deadline):
                self._breaker.record_break(id)
            host = self._choose_retry_host(req, failure, tried, deadline)
        if may_have_run and failure.ran is errors.Ran.NO:
            failure.ran = errors.Ran.UNKNOWN
        raise failure

    def _choose_retry_host(
        self,
        req: messages.ForwardRequest,
        failure: errors.Error,
        tried: set[str],
        deadline: float,
    ) -> fleet.Host | None:
        """Return the host for a retry, or None if there is to be no retry."""
        if not self._may_retry(req, failure, tried, deadline):
            return None
        try:
            self._breaker.check(request_breaker.identify(req))
            return self._choose_host(req.service, tried)
        except errors.Error:
            return None

    def _may_retry(
        self,
        req: messages.ForwardRequest,
        failure: errors.Error,
        tried: set[str],
        deadline: float,
    ) -> bool:
        is_retry_safe = failure.ran is errors.Ran.NO or req.idempotent
        is_final = failure.kind in (
            errors.Kind.ANSWER_TOO_LARGE,
            errors.Kind.DEADLINE_PASSED,
        )
        return (
            is_retry_safe
            and not is_final
            and len(tried) < _MAX_ATTEMPTS
            and time.monotonic() + _ANSWER_MARGIN_S < deadline
            and self._has_untried_host(req.service, tried)
            and self._budget.try_acquire()
        )

    def _untried_hosts(self, service: str, tried: set[str]) -> list[fleet.Host]:
        hosts = self._hosts.serving(service)
        return [host for host in hosts if host.report.host not in tried]

    def _has_untried_host(self, service: str, tried: set[str]) -> bool:
        return bool(self._untried_hosts(service, tried))

    def _choose_host(self, service: str, tried: set[str]) -> fleet.Host:
        hosts = self._untried_hosts(service, tried)
        candidates = self._health.candidates(service, hosts)
        if not candidates:
            raise errors.Error(
                errors.Kind.NO_ENDPOINT,
                f"every endpoint of {service} was tried or is ejected after failures; "
                "retry later",
            )
        return self._policy.choose(candidates).host

    def _attempt(
        self, host: fleet.Host, req: messages.ForwardRequest, deadline: float
    ) -> messages.ForwardResponse:
        started_at = time.monotonic()
        is_failure: bool | None = None
        self._health.record_start(req.service, host)
        try:
            answer = self._forward(host, req, deadline)
            is_failure = answer.status >= _MIN_FAILURE_STATUS
            return answer
        except errors.Error as exc:
            # A failure under a caller's short deadline is no evidence against the
            # endpoint.
            is_conclusive = time.monotonic() < deadline - _ANSWER_MARGIN_S
            is_conclusive |= time.monotonic() > started_at + _MIN_FAULT_WAIT_S
            if exc.kind in _ENDPOINT_FAILURES and is_conclusive:
                is_failure = True
            raise
        finally:
            service_s = time.monotonic() - started_at
            self._health.record_end(req.service, host, service_s, is_failure)

    def _forward(
        self, host: fleet.Host, req: messages.ForwardRequest, deadline: float
    ) -> messages.ForwardResponse:
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            raise errors.Refused(
                errors.Kind.DEADLINE_PASSED,
                "the deadline passed before the request was forwarded",
            )
        sent = req._replace(
            time_left_s=left_s - min(_ANSWER_MARGIN_S, left_s / 4),
            incarnation=host.report.incarnation,
            clock=host.report.clock,
        )
        try:
            answer = host.peer.call(channels.FORWARD, sent, deadline)
        except errors.Refused:
            raise
        except errors.Error as exc:
            raise self._revoke(host, sent, exc) from None
        if answer.request != req.request or answer.length != len(answer.body):
            raise errors.Error(
                errors.Kind.ANSWER_LOST,
                f"{host.report.host} returned the answer to another request; retry",
            )
        return answer

    def _revoke(
        self, host: fleet.Host, sent: messages.ForwardRequest, lost: errors.Error
    ) -> errors.Error:
        """Revoke a request whose answer was lost, and return the error to raise."""
        revoke = messages.RevokeRequest(sent.request, sent.incarnation, sent.clock)
        deadline = time.monotonic() + _REVOKE_TIMEOUT_S
        try:
            answer = host.peer.call(channels.REVOKE, revoke, deadline)
        except errors.Error as exc:
            _log.info("dispatch: request {} not revoked: {}", sent.request, exc.detail)
            return lost
        if not answer.never_runs:
            return lost
        return errors.Refused(
            lost.kind,
            f"{host.report.host} never began the request: {lost.detail}",
            ran=errors.Ran.NO,
            retry_after_s=1.0,
        )


def _is_break(failure: errors.Error, deadline: float) -> bool:
    """Return whether the endpoint or its host broke off, rather than being silent."""
    return (
        failure.kind in _BROKEN_OFF
        and failure.ran is errors.Ran.UNKNOWN
        and time.monotonic() < deadline - _ANSWER_MARGIN_S
    )
