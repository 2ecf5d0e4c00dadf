"""A time of day that the soak steps in a running program, by a file with its offset."""

import os
import pathlib
import struct
import time
import typing as t

_FORMAT: t.Final = "<d"
_SIZE: t.Final = struct.calcsize(_FORMAT)
_NS_PER_S: t.Final = 1_000_000_000


def offset_path(settings: pathlib.Path) -> pathlib.Path:
    """Return the file with the offset of the program with these settings."""
    return settings.with_suffix(".clock")


def write_offset(settings: pathlib.Path, offset_s: float) -> None:
    """Set how far the program's time of day is ahead, in seconds."""
    offset_path(settings).write_bytes(struct.pack(_FORMAT, offset_s))


def install(settings: pathlib.Path) -> None:
    """Shift this process's time of day by the offset in the file, from now on."""
    true_time, true_time_ns = time.time, time.time_ns
    fd = os.open(offset_path(settings), os.O_RDONLY | os.O_CREAT)

    def offset_s() -> float:
        value = os.pread(fd, _SIZE, 0)
        return struct.unpack(_FORMAT, value)[0] if len(value) == _SIZE else 0.0

    time.time = lambda: true_time() + offset_s()
    time.time_ns = lambda: true_time_ns() + int(offset_s() * _NS_PER_S)
