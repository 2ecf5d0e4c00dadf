"""Collects the lines of the decision log that the code under test records."""

import contextlib
from unittest import mock

from bilberrypass.observing import decisions


class Events:
    """The recorded lines, in their order; none of them is written."""

    def __init__(self):
        self.lines: list[dict] = []

    def record(self, event, **fields):
        """Replace ``decisions.record``."""
        self.lines.append({"event": event, **fields})

    def named(self, event):
        """Return the fields of all lines with this event."""
        lines = [line for line in self.lines if line["event"] == event]
        return [{k: v for k, v in line.items() if k != "event"} for line in lines]


@contextlib.contextmanager
def recorded():
    """Yield the events that are recorded from now on."""
    events = Events()
    with mock.patch.object(decisions, "record", events.record):
        yield events
