"""The time of day that the soak steps in the programs."""

import pathlib
import subprocess
import sys
import tempfile

from soak import wall_clock
from testing import collecting

_PROGRAM = """
import pathlib, sys, time
true_time, monotonic = time.time, time.monotonic()
from soak import wall_clock
wall_clock.install(pathlib.Path(sys.argv[1]))
for line in sys.stdin:
    print(round(time.time() - true_time()), round(time.time_ns() / 1e9 - true_time()),
          time.monotonic() - monotonic < 60, flush=True)
"""


def test_time_of_day_follows_the_offset_and_back_and_others_do_not():
    with tempfile.TemporaryDirectory() as folder:
        settings = pathlib.Path(folder) / "entry.yaml"
        command = [sys.executable, "-c", _PROGRAM, str(settings)]
        with subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        ) as process:
            found = []
            for offset_s in (0.0, 30.0, -7.0, 0.0):
                wall_clock.write_offset(settings, offset_s)
                process.stdin.write("\n")
                process.stdin.flush()
                found.append(process.stdout.readline().split())
            process.stdin.close()
    assert found == [[s, s, "True"] for s in ("0", "30", "-7", "0")], found


load_tests = collecting.hook(__name__)
