"""Shared by the benchmarks: readings of a process, line fits, tables."""

import collections.abc as abc
import contextlib
import os
import pathlib
import re
import statistics
import subprocess
import time
import typing as t

from testing import fixtures

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_MIB = 1 << 20
_SOCKET_COUNTS = re.compile(r"bytes_(sent|received):(\d+)")


class Reading(t.NamedTuple):
    """Resource use of a process at one time; ``cpu_s`` is the total since its start."""

    at: float
    cpu_s: float
    rss_bytes: int
    tcp_bytes: int
    threads: int


class Rate(t.NamedTuple):
    """Rates between two readings; ``tcp_bytes_per_s`` covers both directions."""

    cpu_ms_per_s: float
    rss_mib: float
    tcp_bytes_per_s: float
    threads: int


class Line(t.NamedTuple):
    """A line fitted to points; ``error`` is the RMS of the residuals."""

    slope: float
    intercept: float
    error: float

    def value_at(self, x: float) -> float:
        """Return the line's y value at ``x``."""
        return self.slope * x + self.intercept


def read(pid: int, peers: abc.Collection[str] = ()) -> Reading:
    """Return a reading of a process.

    ``tcp_bytes`` is the TCP payload of the connections that are open now. If peers
    are given, only connections to their addresses are counted.
    """
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return Reading(
        at=time.monotonic(),
        cpu_s=ticks / _TICKS_PER_S,
        rss_bytes=int(fields[21]) * _PAGE_BYTES,
        tcp_bytes=_tcp_bytes(pid, peers),
        threads=int(fields[17]),
    )


def _tcp_bytes(pid: int, peers: abc.Collection[str]) -> int:
    text = subprocess.run(
        ["ss", "-tinpHO", "state", "established"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    own = [line for line in text.splitlines() if f"pid={pid}," in line]
    if peers:
        ports = {peer.rpartition(":")[2] for peer in peers}
        own = [line for line in own if line.split()[3].rpartition(":")[2] in ports]
    return sum(int(n) for line in own for _, n in _SOCKET_COUNTS.findall(line))


def rate_between(before: Reading, after: Reading) -> Rate:
    """Return the rates between two readings, and the memory at the later one."""
    seconds = after.at - before.at
    return Rate(
        cpu_ms_per_s=1000 * (after.cpu_s - before.cpu_s) / seconds,
        rss_mib=after.rss_bytes / _MIB,
        tcp_bytes_per_s=(after.tcp_bytes - before.tcp_bytes) / seconds,
        threads=after.threads,
    )


def measure(pid: int, seconds: float, peers: abc.Collection[str] = ()) -> Rate:
    """Measure a process over some seconds."""
    before = read(pid, peers)
    time.sleep(seconds)
    return rate_between(before, read(pid, peers))


def store_calls(kv) -> dict[str, int]:
    """Return the number of calls that the store's stand-in has received, by kind."""
    found = fixtures.http("GET", f"{kv.url('store')}/_calls").json()
    return {kind: int(count) for kind, count in found.items()}


def fit(points: abc.Iterable[tuple[float, float]]) -> Line:
    """Return the least-squares line and its error."""
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    residuals = [y - (slope * x + intercept) for x, y in zip(xs, ys, strict=True)]
    error = (sum(r * r for r in residuals) / len(residuals)) ** 0.5
    return Line(slope, intercept, error)


def print_conditions(what: str) -> None:
    """Print the conditions of the measurement: cores and load average."""
    load = os.getloadavg()[0]
    print(f"{what}; {os.cpu_count()} cores, load average {load:.1f} at the start")


def print_table(heads: abc.Sequence[str], rows: abc.Iterable[abc.Sequence]) -> None:
    """Print rows below their column headings, right-aligned."""
    cells = [list(heads), *([_cell(value) for value in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        columns = zip(row, widths, strict=True)
        print("  ".join(cell.rjust(w) for cell, w in columns), flush=True)


def _cell(value) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def print_fit(what: str, points: abc.Iterable[tuple[float, float]]) -> Line:
    """Print and return the least-squares line of some points."""
    line = fit(points)
    print(
        f"fit of {what}: {line.slope:.4g} x + {line.intercept:.4g}, "
        f"error {line.error:.3g}",
        flush=True,
    )
    return line


@contextlib.contextmanager
def enter_all(*contexts):
    """Enter several context managers; yield the list of their values."""
    with contextlib.ExitStack() as stack:
        yield [stack.enter_context(context) for context in contexts]
