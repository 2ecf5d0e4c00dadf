"""Tells a runner's own reports from late ones and from those of another writer."""

import collections
import typing as t

from bilberrypass.scheduling import messages

# A runner reports each 1.5 s; its late reports come between newer ones.
_REPORTS_TO_ADOPT: t.Final = 3
_MIN_SPAN_S: t.Final = 2.0
_KEPT: t.Final = 16  # of the reports that were ignored


class _Description(t.NamedTuple):
    """What a runner says of itself and does not change within one life."""

    service: str
    labels: frozenset[str]


class _Ignored(t.NamedTuple):
    """A report that was ignored, and the reports that it ends a series of.

    ``since`` is when the first of them arrived, on ``clock.now``.
    """

    description: _Description
    sequence: int
    since: float
    count: int


def _describe(info: messages.RunnerInfo) -> _Description:
    return _Description(info.service, frozenset(info.labels))


@t.final
class ReportFilter:
    """Accepts the reports of one life of a runner in their order.

    A single report may be another writer's. It is ignored if it contradicts the ones
    before, and what it said is left again if it was accepted: reports that follow each
    other for a while, with no accepted one in between, are the runner's.

    Parameters
    ----------
    info : messages.RunnerInfo
        What the first report says.
    sequence : int
        The sequence number of the first report.
    """

    def __init__(self, info: messages.RunnerInfo, sequence: int) -> None:
        self._description = _describe(info)
        self._sequence = sequence
        self._ignored: collections.deque[_Ignored] = collections.deque(maxlen=_KEPT)

    def accepts(self, info: messages.RunnerInfo, sequence: int, now: float) -> bool:
        """Return whether a report counts that arrives at a time on ``clock.now``."""
        description = _describe(info)
        is_next = sequence > self._sequence and description == self._description
        if not is_next and not self._ends_series(description, sequence, now):
            return False
        self._description, self._sequence = description, sequence
        self._ignored.clear()
        return True

    def contradicts(self, info: messages.RunnerInfo) -> bool:
        """Return whether a report says something else than those that count."""
        return _describe(info) != self._description

    def _ends_series(
        self, description: _Description, sequence: int, now: float
    ) -> bool:
        """Return whether enough of the ignored reports follow each other up to this."""
        before = [
            report
            for report in self._ignored
            if report.description == description and report.sequence < sequence
        ]
        longest = max(before, key=lambda report: report.count, default=None)
        since, count = (
            (now, 1) if longest is None else (longest.since, longest.count + 1)
        )
        self._ignored.append(_Ignored(description, sequence, since, count))
        return count >= _REPORTS_TO_ADOPT and now - since >= _MIN_SPAN_S
