"""Measures memory and processor time of an idle entry and an idle agent.

Run as ``python -m benchmarks.idle [--seconds N] [--entries N]``. The processes
are real and connected over loopback; the store is a stand-in.
"""

import argparse
import os
import pathlib
import time
import typing as t

from testing import system

_MAX_RESIDENT_MB: t.Final = 64
_MAX_CPU_MS_PER_S: t.Final = 18
_SETTLE_S: t.Final = 3.0
_TICKS_PER_S: t.Final = os.sysconf("SC_CLK_TCK")


class Usage(t.NamedTuple):
    """Resident memory in MB and processor time in ms of a process."""

    resident_mb: float
    cpu_ms: float


def measure(pid: int) -> Usage:
    """Return the resources that a process uses, read from /proc."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmRSS")]
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(stat[11]) + int(stat[12])
    return Usage(int(line.split()[1]) / 1024, ticks * 1000 / _TICKS_PER_S)


def main() -> None:
    """Run an idle system and print one line for each process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--entries", type=int, default=1)
    args = parser.parse_args()
    # Intervals as in production; the tests use shorter ones.
    agent = {"report_interval_s": 1.0, "silence_s": 3.0, "logs": {"level": "info"}}
    entry = {"shards": 8, "member_ttl_s": 10, "logs": {"level": "info"}}
    with system.system(args.entries, entry_changes=entry, agent_changes=agent) as run:
        procs = {"entry": run.entries[0].pid, "agent": run.agents[0].pid}
        time.sleep(_SETTLE_S)
        before = {name: measure(pid) for name, pid in procs.items()}
        started_at = time.monotonic()
        time.sleep(args.seconds)
        elapsed_s = time.monotonic() - started_at
        for name, pid in procs.items():
            after = measure(pid)
            rate = (after.cpu_ms - before[name].cpu_ms) / elapsed_s
            print(
                f"idle {name}: {after.resident_mb:.1f} MB of {_MAX_RESIDENT_MB} "
                f"resident, {rate:.1f} ms/s of {_MAX_CPU_MS_PER_S} processor time "
                f"({elapsed_s:.0f} s, {args.entries} entries)"
            )


if __name__ == "__main__":
    main()
