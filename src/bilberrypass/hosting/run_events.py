"""Log events and metrics of an agent's runs that are rare on a sound host."""

import typing as t

import prometheus_client as prometheus

from bilberrypass import clock, errors
from bilberrypass.hosting import runner, runs
from bilberrypass.observing import decisions
from bilberrypass.scheduling import messages

_MAX_LOGGED_RUNS: t.Final = 10
_SLOW_ORDER_S: t.Final = 1.0  # the runner usually answers within milliseconds

_found_runs = prometheus.Counter(
    "bilberrypass_runs_found", "Runs listed by a runner but unknown to its session"
)


def record_unanswered(event: str, run: runs.Run, life: int, exc: errors.Error) -> None:
    """Record a failed call for a run, and whether the runner may have executed it."""
    decisions.record(
        event,
        task=run.key[0],
        run=run.key[1],
        life=life,
        ran=exc.ran.value,
        why=exc.detail,
    )


def record_delayed_start(
    run: runs.Run, life: int, attempts: int, received_at: float, answer: runner.Answer
) -> None:
    """Record a start that took long, or came after the run was lost or to stop.

    A start is recorded if it took several attempts or over a second, if its run was
    given up before, or if the order to stop the run came before the answer.

    Parameters
    ----------
    run : runs.Run
        The run that the runner has started.
    life : int
        The life of the runner that the order was for.
    attempts : int
        Calls made, the successful one included.
    received_at : float
        When the order arrived, on ``clock.now``.
    answer : runner.Answer
        The runner's answer; its clock tells which life gave it.
    """
    took_s = clock.now() - received_at
    is_stop_wanted = run.stop_wanted_at is not None
    is_given_up = is_stop_wanted or run.state is runs.State.GONE
    if attempts > 1 or took_s > _SLOW_ORDER_S or is_given_up:
        decisions.record(
            "start.delayed",
            task=run.key[0],
            run=run.key[1],
            life=life,
            state=run.state.name,
            stop_wanted=is_stop_wanted,
            attempts=attempts,
            took_s=round(took_s, 3),
            clock_ms=answer.clock_ms,
        )


def record_delayed_stop(run: runs.Run, life: int, attempts: int) -> None:
    """Record an answered stop that took several attempts or over a second."""
    ordered_at = run.stop_wanted_at
    took_s = 0.0 if ordered_at is None else clock.now() - ordered_at
    if attempts > 1 or took_s > _SLOW_ORDER_S:
        decisions.record(
            "stop.delayed",
            task=run.key[0],
            run=run.key[1],
            life=life,
            attempts=attempts,
            took_s=round(took_s, 3),
        )


def record_refused_stop(run: runs.Run, life: int, attempts: int, reason: str) -> None:
    """Record a stop that the runner refused and that will be repeated."""
    decisions.record(
        "stop.refused",
        task=run.key[0],
        run=run.key[1],
        life=life,
        attempts=attempts,
        reason=reason,
    )


def record_skipped_orders(orders: list[messages.Order], life: int) -> None:
    """Record orders that came after the session's end, or for another life.

    Parameters
    ----------
    orders : list of messages.Order
        The orders; nothing is recorded if there are none.
    life : int
        The life of the session's runner; an order for it came after the end.
    """
    if orders:
        decisions.record(
            "orders.skipped",
            life=life,
            order_lives=sorted({order.life for order in orders}),
            orders=len(orders),
            stops=_name_stops(orders),
        )


def record_refused_orders(req: messages.Orders, epoch: int, why: str) -> None:
    """Record orders that an agent does not take; ``epoch`` is the highest it saw."""
    decisions.record(
        "orders.not_taken",
        scheduler=req.address,
        epoch=req.epoch,
        highest_epoch=epoch,
        agent=req.agent,
        sequence=req.sequence,
        orders=len(req.orders),
        stops=_name_stops(req.orders),
        why=why,
    )


def _name_stops(orders: list[messages.Order]) -> list[str]:
    stops = [f"{o.task}/{o.run}" for o in orders if o.verb == messages.Verb.STOP]
    return stops[:_MAX_LOGGED_RUNS]


def record_rejected(run: runs.Run, life: int, reason: str) -> None:
    """Record a start that the runner refused, or that it was not asked for."""
    decisions.record(
        "start.rejected", task=run.key[0], run=run.key[1], life=life, reason=reason
    )


def record_barred(run: runs.Run, life: int) -> None:
    """Record a start that is not executed, because its agent's grant had a gap."""
    decisions.record("start.barred", task=run.key[0], run=run.key[1], life=life)


def record_found(info: messages.RunnerInfo, found: dict[runs.RunKey, str]) -> None:
    """Record runs, with their outcomes, that a session did not know."""
    _found_runs.inc(len(found))
    for (task, run), outcome in found.items():
        decisions.record(
            "run.found", task=task, run=run, runner=info.id, life=info.life, how=outcome
        )


def record_session_end(
    info: messages.RunnerInfo, why: str, live: dict[runs.RunKey, messages.RunState]
) -> None:
    """Record the end of a session and its live runs, those not started first."""
    logged = sorted(live.items(), key=lambda item: item[1])[:_MAX_LOGGED_RUNS]
    decisions.record(
        "session.ended",
        runner=info.id,
        life=info.life,
        why=why,
        live=len(live),
        runs={f"{task}/{run}": state.name for (task, run), state in logged},
    )
