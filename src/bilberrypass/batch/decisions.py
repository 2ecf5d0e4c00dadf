"""Why tasks are where they are: a bounded record of reasons."""

import collections
import threading
import time
import typing as t

from bilberrypass.batch import placement

_SUBJECTS: t.Final = 2_000
_KEPT_EACH: t.Final = 12


class Decision(t.NamedTuple):
    """One decision; ``at`` is Unix time, ``times`` how often it was taken in a row.

    ``alternatives`` are the next best hosts with their scores, lower is better;
    ``left_out`` counts the other hosts by the reason.
    """

    at: float
    text: str
    score: float = 0.0
    alternatives: list[tuple[str, float]] = []
    left_out: dict[str, int] = {}
    times: int = 1


@t.final
class Decisions:
    """The newest decisions on each job and host; the oldest subjects are dropped."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._kept: collections.OrderedDict[str, collections.deque[Decision]] = (
            collections.OrderedDict()
        )

    def note(self, subject: str, text: str) -> None:
        """Keep a decision that had no alternatives."""
        self._keep(subject, Decision(time.time(), text))

    def note_choice(self, subject: str, text: str, choice: placement.Choice) -> None:
        """Keep a choice of a host, or that there was none."""
        self._keep(
            subject,
            Decision(
                time.time(),
                text,
                round(choice.score, 4),
                [(host, round(score, 4)) for host, score in choice.alternatives],
                dict(choice.reasons),
            ),
        )

    def _keep(self, subject: str, decision: Decision) -> None:
        with self._lock:
            kept = self._kept.setdefault(subject, collections.deque(maxlen=_KEPT_EACH))
            self._kept.move_to_end(subject)
            if kept and kept[-1].text == decision.text:
                decision = decision._replace(times=kept.pop().times + 1)
            kept.append(decision)
            while len(self._kept) > _SUBJECTS:
                self._kept.popitem(last=False)

    def find(self, subject: str) -> list[Decision]:
        """Return the newest decisions on a subject, oldest first."""
        with self._lock:
            return list(self._kept.get(subject, ()))
