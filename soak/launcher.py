"""Starts a program whose time of day the soak can step, with or without a mutation.

``python -m soak.launcher MUTATION ROLE``; MUTATION ``none`` changes nothing.
"""

import os
import pathlib
import runpy
import sys
import typing as t

from soak import mutants, wall_clock

UNCHANGED: t.Final = "none"


def command(mutation: str) -> tuple[str, ...]:
    """Return the arguments of the Python interpreter, in front of the role."""
    return "-m", "soak.launcher", mutation or UNCHANGED


def main() -> None:
    """Prepare this process, then run the program in it."""
    wall_clock.install(pathlib.Path(os.environ["BILBERRYPASS_CONFIG"]))
    mutation = sys.argv.pop(1)
    if mutation != UNCHANGED:
        mutants.apply(mutation)
    runpy.run_path("src/bilberrypassd.py", run_name="__main__")


if __name__ == "__main__":
    main()
