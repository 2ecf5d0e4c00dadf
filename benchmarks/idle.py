"""Resident memory and processor time of an idle entry and an idle agent.

Run as ``python -m benchmarks.idle [--seconds N] [--entries N]``. Processes are real
and on loopback; the entry's store is the stand-in.
"""

import argparse
import os
import pathlib
import time
import typing as t

from testing import system

_MAX_MB: t.Final = 64
_MAX_CPU_MS: t.Final = 18
_SETTLE_S: t.Final = 3.0
_TICKS: t.Final = os.sysconf("SC_CLK_TCK")


class Usage(t.NamedTuple):
    """Resident memory in MB, and processor time in ms, of a process."""

    resident_mb: float
    cpu_ms: float


def measure(pid: int) -> Usage:
    """Read what a process uses."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmRSS")]
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(stat[11]) + int(stat[12])
    return Usage(int(line.split()[1]) / 1024, ticks * 1000 / _TICKS)


def main() -> None:
    """Run an idle system and print one line a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--entries", type=int, default=1)
    args = parser.parse_args()
    # The intervals of production, not the short ones of the tests.
    agent = {"report_interval_s": 1.0, "silence_s": 3.0, "logs": {"level": "info"}}
    entry = {"shards": 8, "member_ttl_s": 10, "logs": {"level": "info"}}
    with system.system(args.entries, entry_changes=entry, agent_changes=agent) as run:
        procs = {"entry": run.entries[0].pid, "agent": run.agents[0].pid}
        time.sleep(_SETTLE_S)
        before = {name: measure(pid) for name, pid in procs.items()}
        began = time.monotonic()
        time.sleep(args.seconds)
        lasted_s = time.monotonic() - began
        for name, pid in procs.items():
            after = measure(pid)
            rate = (after.cpu_ms - before[name].cpu_ms) / lasted_s
            print(
                f"idle {name}: {after.resident_mb:.1f} MB of {_MAX_MB} resident, "
                f"{rate:.1f} ms/s of {_MAX_CPU_MS} processor time "
                f"({lasted_s:.0f} s, {args.entries} entries)"
            )


if __name__ == "__main__":
    main()
