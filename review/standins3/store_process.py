"""The platform's store as a process of its own: the project's stand-in over HTTP.

``python3 store_process.py IP`` prints its address, and serves until it is killed.
The project's stand-in has eight threads, which the watches of several entries occupy.
"""

import sys
import threading
import time

from bilberrypass.connection import serving
from testing.standins import keyvalues, kvhttp

_THREADS = 64
_MAX_BODY_BYTES = 4 << 20
_ANSWER_S = 0.004  # the sheets: 4 ms an answer


class _Application(kvhttp.StoreApplication):
    """The stand-in, with the time that an answer of the store takes."""

    def __call__(self, environ, start):
        time.sleep(_ANSWER_S)
        return super().__call__(environ, start)


def main():
    app = _Application(keyvalues.Store())
    listener = serving.Listener(f"{sys.argv[1]}:0", app, _THREADS, _MAX_BODY_BYTES)
    listener.start()
    print(listener.address, flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
