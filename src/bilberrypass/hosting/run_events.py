"""Log events and metrics of an agent's runs that are rare on a sound host."""

import typing as t

import prometheus_client as prometheus

from bilberrypass import clock, errors
from bilberrypass.hosting import runner, runs
from bilberrypass.observing import decisions
from bilberrypass.scheduling import messages

_MAX_LOGGED_RUNS: t.Final = 10

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
    """Record a start that needed several attempts, or came after the run was lost.

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
    decisions.record(
        "start.delayed",
        task=run.key[0],
        run=run.key[1],
        life=life,
        state=run.state.name,
        attempts=attempts,
        took_s=round(clock.now() - received_at, 3),
        clock_ms=answer.clock_ms,
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
