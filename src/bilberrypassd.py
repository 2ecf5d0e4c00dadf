"""Starts a role of bilberrypass on the users' platform: entry or agent."""

import os
import sys

from bilberrypass.platform import programs

if __name__ == "__main__":
    code = programs.run(sys.argv[1])
    sys.stdout.flush()
    # Threads of libraries that wait for their next call do not delay the end.
    os._exit(code)
