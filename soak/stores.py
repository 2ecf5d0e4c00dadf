"""The stand-in for the platform's store, with the operator's configuration."""

import json
import time
import typing as t

from bilberrypass.connection import serving
from testing.standins import keyvalues, kvhttp

CONFIG_KEY: t.Final = "op/config"
MAX_ATTEMPTS: t.Final = 3
_STORE_THREADS: t.Final = 200  # each watch of each entry occupies one
_MAX_BODY_BYTES: t.Final = 4 << 20


class Store(kvhttp.StoreApplication):
    """The stand-in for the store, with a delay of ``delay_s`` before each answer."""

    def __init__(self) -> None:
        super().__init__(keyvalues.Store())
        self.delay_s = 0.0
        self._listener = serving.Listener(
            "127.0.0.1:0", self, _STORE_THREADS, _MAX_BODY_BYTES
        )
        self._listener.start()
        self.address = self._listener.address
        self._config_version = 0
        self.write_configuration()

    def _serve(self, environ: dict[str, t.Any]) -> t.Any:
        time.sleep(self.delay_s)
        return super()._serve(environ)

    def write_configuration(self) -> None:
        """Write a configuration with a higher version, as the operator does."""
        self._config_version += 3
        route = {"host": "h.example", "service": "planner"}
        queue = {"max_attempts": MAX_ATTEMPTS, "stretch": 2, "target_latency_ms": 900}
        routes = [
            route | queue | {"name": "jobs", "prefix": "/q/"},
            route
            | {
                "name": f"r{self._config_version}",
                "prefix": f"/r{self._config_version}/",
            },
        ]
        value = {"version": self._config_version, "routes": routes}
        self.store.put(CONFIG_KEY, json.dumps(value).encode())

    def stop(self) -> None:
        """Stop serving."""
        self._listener.stop()
