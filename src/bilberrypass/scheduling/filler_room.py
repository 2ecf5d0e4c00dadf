"""How much of its pace a filler can expect beside the services of a host."""

import typing as t

from bilberrypass.scheduling import interference, jobs, service_loads, state

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import hosts

# Target / latency that services should keep, above the agents' limit by what the
# estimates miss.
MIN_MARGIN: t.Final = 1.2
_FORECAST_STEP_S: t.Final = service_loads.FORECAST_STEP_S
_FORECAST_STEPS: t.Final = service_loads.FORECAST_STEPS
_UNMEASURED_MARGIN: t.Final = 2.0  # assumed of a service without a latency figure
_VALID_FOR_S: t.Final = 0.25
_MIN_STEPS: t.Final = 2
_MAX_DEMAND: t.Final = 2.0  # for what is spare
_MIN_PACE: t.Final = 0.3  # a filler's remaining time is expected at this pace or more
_FULL_PERCENT: t.Final = 100.0


class Prospect(t.NamedTuple):
    """What a filler can expect on a host.

    ``pace`` is the mean pace over its time, 0 to 1. ``demand`` is the largest share of
    a service's spare margin that it would take, above 1 where that is too little; it
    rises further with the margin that is missing already.
    """

    pace: float
    demand: float


@t.final
class Room:
    """The margins that the services of a host can spare over the next seconds.

    Handles bursts of fillers beside services with swinging loads: room counts only
    if it lasts as long as the filler runs.
    """

    __slots__ = ("_cores_milli", "_rows", "_version")

    def __init__(self) -> None:
        self._version: tuple[float, int, int] = (0.0, 0, 0)
        self._cores_milli = 0
        self._rows: list[tuple[str, list[float]]] = []

    def update(
        self, host: "hosts.Host", estimates: interference.Estimates, now: float
    ) -> None:
        """Compute the margins anew if anything on the host has changed."""
        assert host.runner is not None
        version = host.reported_at, len(host.tasks), int(now / _VALID_FOR_S)
        if version == self._version:
            return
        self._version, self._cores_milli = version, max(1, host.runner.cpu_milli)
        fillers = [
            (
                task.step.image,
                task.step.cpu_milli / self._cores_milli,
                _steps_left(task),
            )
            for task in host.tasks.values()
            if task.step.is_filler
        ]
        services: dict[jobs.StepKey, state.Task] = {}
        for task in host.tasks.values():
            if task.step.latency_target_ms:
                services.setdefault(jobs.step_key(task.key), task)
        self._rows = []
        for key, task in services.items():
            image = task.step.image
            course = estimates.loads.of(key).forecast(now)
            if not course:
                course = (_last_margin(task, host, estimates),) * _FORECAST_STEPS
            spare = [margin - MIN_MARGIN for margin in course]
            for filler, share, steps in fillers:
                lost = estimates.loss(image, filler) * share
                for number in range(min(steps, len(spare))):
                    spare[number] -= lost
            self._rows.append((image, spare))

    def prospect(self, step: jobs.Step, estimates: interference.Estimates) -> Prospect:
        """Return what one more filler of a step can expect."""
        share = max(1, step.cpu_milli) / self._cores_milli
        steps = min(_FORECAST_STEPS, _count_steps(step.estimate_s))
        paces = [1.0] * steps
        demand = 0.0
        for image, spare in self._rows:
            lost = estimates.cautious_loss(image, step.image) * share
            for number in range(steps):
                pace = spare[number] / lost
                paces[number] = min(paces[number], max(0.0, pace))
                is_enough = spare[number] > lost / _MAX_DEMAND
                demand = max(
                    demand, 1.0 / pace if is_enough else _MAX_DEMAND - spare[number]
                )
        return Prospect(sum(paces) / steps, demand)


def _count_steps(time_s: float) -> int:
    return max(_MIN_STEPS, int(time_s / _FORECAST_STEP_S) + 1)


def _steps_left(task: state.Task) -> int:
    """Return in how many steps of a forecast a running filler is still there."""
    left = 1.0 - task.progress.percent / _FULL_PERCENT
    pace = max(_MIN_PACE, task.pace / _FULL_PERCENT)
    return _count_steps(task.step.estimate_s * left / pace)


def _last_margin(
    task: state.Task, host: "hosts.Host", estimates: interference.Estimates
) -> float:
    """Return the margin of a service's last figure as it would be without fillers."""
    if not task.figure:
        return _UNMEASURED_MARGIN
    lost = estimates.lost_margin(task.step.image, host.filler_shares)
    return task.step.latency_target_ms / task.figure + lost
