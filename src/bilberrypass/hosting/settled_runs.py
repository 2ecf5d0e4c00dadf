"""The runs that a host's scheduler has settled, whose starts are barred for a while."""

import typing as t

from bilberrypass import clock

# A sender repeats an unanswered call for a few seconds, and it may arrive later.
_RETENTION_S: t.Final = 30.0
_MAX_TASKS: t.Final = 10_000

RunKey = tuple[str, int]


class _SettledRun(t.NamedTuple):
    """The highest settled run of a task, and the time until which it is kept."""

    run: int
    kept_until: float


@t.final
class SettledRuns:
    """The latest settled runs; not thread-safe."""

    def __init__(self) -> None:
        self._runs: dict[str, _SettledRun] = {}  # by task, the oldest first

    def add(self, key: RunKey) -> None:
        """Keep a run for some time."""
        task, number = key
        earlier = self._runs.pop(task, None)
        if earlier is not None:
            number = max(number, earlier.run)
        now = clock.now()
        self._runs[task] = _SettledRun(number, now + _RETENTION_S)
        while len(self._runs) > _MAX_TASKS or self._is_oldest_expired(now):
            del self._runs[next(iter(self._runs))]

    def _is_oldest_expired(self, now: float) -> bool:
        return self._runs[next(iter(self._runs))].kept_until <= now

    def __contains__(self, key: RunKey) -> bool:
        """Return whether a run, or a later one of its task, was settled recently."""
        task, number = key
        found = self._runs.get(task)
        return (
            found is not None and number <= found.run and found.kept_until > clock.now()
        )
