"""Failure domains, and the check that nothing starts in evacuated ones."""

import math
import string
import time
import typing as t

from soak import cancels, disturbances

DOMAINS: t.Final = ("a", "b")
# The bound of the platform's pages.
EVACUATION_S: t.Final = 5.0  # evacuation_ms


def domain_of(name: str) -> str:
    """Return the failure domain of the host of this name, such as ``agent3``."""
    return DOMAINS[int(name.lstrip(string.ascii_letters)) % len(DOMAINS)]


@t.final
class EvacuationCheck:
    """Finds runs that start too long after their failure domain was evacuated.

    Parameters
    ----------
    found : disturbances.Disturbances
        The faults, which excuse only what happens near them.
    """

    def __init__(self, found: disturbances.Disturbances) -> None:
        self._faults = found
        self._evacuated_at: dict[str, float] = {}

    def begin(self, domain: str) -> None:
        """Record that the store has acknowledged an evacuation."""
        self._evacuated_at[domain] = time.monotonic()

    def end(self, domain: str) -> None:
        """Record that a domain is about to be returned."""
        self._evacuated_at.pop(domain, None)

    def on_run_started(self, run: cancels.ActiveRun) -> str:
        """Return why a start is a violation, or an empty string."""
        since = self._evacuated_at.get(domain_of(run.host), math.inf)
        if run.is_late or run.started_at <= since + EVACUATION_S:
            return ""
        in_touch_since = self._faults.calm_since(disturbances.CORE, run.host)
        if run.started_at <= in_touch_since + cancels.CONTACT_S:
            return ""
        return f"started {run.started_at - since:.2f} s after the evacuation"
