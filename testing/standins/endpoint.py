"""Stand-in for a service's endpoint, which counts the requests that it ran.

    python -m testing.standins.endpoint --port N --service echo --id ep1 \
        --slots 8 --announce http://127.0.0.1:AGENTPORT
"""

import argparse
import collections
import sys
import threading
import time

import msgspec
import urllib3

from testing.standins import serving

_ANNOUNCE_INTERVAL_S = 1.0
_ANNOUNCE_TIMEOUT_S = 1.0
_POLL_INTERVAL_S = 0.02
# The endpoint has to be idle this long before it exits: requests that the agent
# forwarded before it received the leaving announcement still arrive.
_LEAVE_IDLE_S = 0.5


class Switches(msgspec.Struct, forbid_unknown_fields=True):
    """The failure switches that ``PUT /_control`` sets."""

    delay_s: float = 0.0
    fail: bool = False
    die_in_answer: bool = False
    silent: bool = False
    down: bool = False
    run_s_scale: float = 1.0


class Endpoint:
    """Handler that runs requests, counts them and applies the failure switches."""

    def __init__(self, service: str, ident: str, slots: int) -> None:
        self.service = service
        self.ident = ident
        self.slots = slots
        self._lock = threading.Lock()
        self._control = Switches()
        self._runs_by_key: collections.Counter[str] = collections.Counter()
        self._runs_by_name: collections.Counter[str] = collections.Counter()
        self._run_count = 0
        self._in_progress = 0
        self._max_in_progress = 0
        self._idle_since = time.monotonic()

    def handle(self, req: serving.Request) -> serving.Reply | None:
        if req.path == "/_control":
            return self._set_control(req)
        if req.path == "/_runs":
            return serving.json_reply(self._runs())
        control = self._control
        if control.silent:
            self._wait_while_silent()
            return None
        if control.down:
            return None
        with self._lock:
            self._count_run(req)
        try:
            return self._run(req, control)
        finally:
            with self._lock:
                self._in_progress -= 1
                self._idle_since = time.monotonic()

    def is_idle(self) -> bool:
        with self._lock:
            idle_s = time.monotonic() - self._idle_since
            return self._in_progress == 0 and idle_s >= _LEAVE_IDLE_S

    def begin_leaving(self) -> None:
        with self._lock:
            self._idle_since = time.monotonic()

    def _count_run(self, req: serving.Request) -> None:
        self._in_progress += 1
        self._max_in_progress = max(self._max_in_progress, self._in_progress)
        self._run_count += 1
        if key := req.headers.get("idempotency-key"):
            self._runs_by_key[key] += 1
        if name := req.headers.get("x-request-name"):
            self._runs_by_name[name] += 1

    def _run(self, req: serving.Request, control: Switches) -> serving.Reply:
        run_s = float(req.headers.get("x-delay-s", "0")) * control.run_s_scale
        time.sleep(control.delay_s + run_s)
        if control.fail:
            return serving.json_reply({"error": "the switch fail is set"}, 500)
        status = int(req.headers.get("x-status", "200"))
        reply = serving.json_reply(self._echo(req), status)
        if control.die_in_answer:
            return reply._replace(cut_after=len(reply.body) // 2)
        return reply

    def _echo(self, req: serving.Request) -> dict[str, str]:
        return {
            "service": self.service,
            "endpoint": self.ident,
            "method": req.method,
            "path": f"{req.path}?{req.query}" if req.query else req.path,
            "body": req.body.decode(errors="replace"),
            "padding": "x" * int(req.headers.get("x-size", "0")),
        }

    def _wait_while_silent(self) -> None:
        while self._control.silent:
            time.sleep(_POLL_INTERVAL_S)

    def _set_control(self, req: serving.Request) -> serving.Reply:
        with self._lock:
            if req.method == "PUT":
                merged = msgspec.to_builtins(self._control)
                merged |= msgspec.json.decode(req.body)
                try:
                    self._control = msgspec.convert(merged, Switches)
                except msgspec.ValidationError as exc:
                    return serving.problem_reply(400, "BAD_BODY", str(exc))
            return serving.json_reply(msgspec.to_builtins(self._control))

    def _runs(self) -> dict[str, object]:
        with self._lock:
            return {
                "total": self._run_count,
                "by_key": dict(self._runs_by_key),
                "by_name": dict(self._runs_by_name),
                "in_progress": self._in_progress,
                "highest": self._max_in_progress,
                "slots": self.slots,
            }


class Announcer:
    """Announces the endpoint to its agent each second, also after failed attempts."""

    def __init__(self, agent_url: str, endpoint: Endpoint, address: str) -> None:
        self._url = f"{agent_url}/endpoints/{endpoint.ident}"
        self._body = {
            "service": endpoint.service,
            "address": address,
            "slots": endpoint.slots,
            "leaving": False,
        }
        self._http = urllib3.PoolManager(retries=False)

    def announce(self) -> bool:
        try:
            resp = self._http.request(
                "PUT", self._url, json=self._body, timeout=_ANNOUNCE_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError as exc:
            print(f"announce: {exc}", file=sys.stderr, flush=True)
            # A kept-alive connection may lead to an agent that has been replaced.
            self._http.clear()
            return False
        return resp.status < 300

    def run(self) -> None:
        while True:
            self.announce()
            time.sleep(_ANNOUNCE_INTERVAL_S)

    def leave(self) -> None:
        self._body = {**self._body, "leaving": True}
        self.announce()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--service", default="echo")
    parser.add_argument("--id", default="ep1")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--announce", help="the agent's base URL")
    args = parser.parse_args()
    endpoint = Endpoint(args.service, args.id, args.slots)
    server = serving.make_server(args.port, endpoint.handle)
    terminated = serving.start_server("endpoint", args.id, server)
    announcer = None
    if args.announce:
        announcer = Announcer(args.announce, endpoint, serving.address(server))
        threading.Thread(target=announcer.run, daemon=True).start()
    terminated.wait()
    if announcer is not None:
        announcer.leave()
    endpoint.begin_leaving()
    while not endpoint.is_idle():
        time.sleep(_POLL_INTERVAL_S)
    server.stop()


if __name__ == "__main__":
    main()
