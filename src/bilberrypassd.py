"""Runs one role of bilberrypass on the users' platform: entry or agent."""

import os
import sys

from bilberrypass import clock  # noqa: F401, I001  # notes the start of the process
from bilberrypass.platform import programs

if __name__ == "__main__":
    code = programs.run(sys.argv[1])
    sys.stdout.flush()
    # Exits without waiting for library threads that block until their next call.
    os._exit(code)
