"""A bounded history of placement decisions and their reasons."""

import collections
import threading
import time
import typing as t

from bilberrypass.batch import placement

_MAX_SUBJECTS: t.Final = 2_000
_MAX_DECISIONS_PER_SUBJECT: t.Final = 12


class Decision(t.NamedTuple):
    """One decision.

    ``at`` is Unix time in seconds; ``times`` counts how often the same decision was
    made in a row.

    ``alternatives`` are the next best hosts with their scores, lower is better;
    ``left_out`` counts the rejected hosts by reason.
    """

    at: float
    text: str
    score: float = 0.0
    alternatives: list[tuple[str, float]] = []
    left_out: dict[str, int] = {}
    times: int = 1


@t.final
class DecisionHistory:
    """The latest decisions on each job and host.

    When there are too many subjects, the least recently updated one is dropped.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_subject: collections.OrderedDict[str, collections.deque[Decision]] = (
            collections.OrderedDict()
        )

    def add(self, subject: str, text: str) -> None:
        """Add a decision for which no hosts were compared."""
        self._append(subject, Decision(time.time(), text))

    def add_choice(self, subject: str, text: str, choice: placement.Choice) -> None:
        """Add the choice of a host, or the failure to find one."""
        self._append(
            subject,
            Decision(
                time.time(),
                text,
                round(choice.score, 4),
                [(host, round(score, 4)) for host, score in choice.alternatives],
                dict(choice.reasons),
            ),
        )

    def _append(self, subject: str, decision: Decision) -> None:
        with self._lock:
            recent = self._by_subject.setdefault(
                subject, collections.deque(maxlen=_MAX_DECISIONS_PER_SUBJECT)
            )
            self._by_subject.move_to_end(subject)
            if recent and recent[-1].text == decision.text:
                decision = decision._replace(times=recent.pop().times + 1)
            recent.append(decision)
            while len(self._by_subject) > _MAX_SUBJECTS:
                self._by_subject.popitem(last=False)

    def find(self, subject: str) -> list[Decision]:
        """Return the latest decisions on a subject, oldest first; empty if unknown."""
        with self._lock:
            return list(self._by_subject.get(subject, ()))
