"""The daemon ``bilberrypassd``."""

import argparse
import pathlib
import signal
import sys
import threading
import typing as t

import msgspec

from bilberrypass import __version__, errors
from bilberrypass.version import settings

_EXIT_INVALID: t.Final = 2


class Program(t.Protocol):
    """What runs until the daemon is told to stop."""

    @property
    def addresses(self) -> dict[str, str]:
        """The addresses that the program listens on."""

    def start(self) -> None:
        """Begin."""

    def stop(self) -> None:
        """Leave, cutting nothing in progress."""


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="bilberrypassd", description=__doc__)
    parser.add_argument("--version", action="version", version=__version__)
    roles = parser.add_subparsers(dest="role", required=True)
    for role, text in (
        ("entry", "serve callers, jobs and operators"),
        ("agent", "serve one host"),
        ("local", "one entry, one agent, a store and a sample service in one process"),
        ("check", "check a settings file and name every fault"),
    ):
        sub = roles.add_parser(role, help=text)
        sub.add_argument("--settings", type=pathlib.Path, required=role != "local")
    return parser


def _run(role: str, id: str, program: Program) -> int:
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    program.start()
    ready = {"ready": True, "role": role, "id": id, "addresses": program.addresses}
    token = getattr(program, "operator_token", "")
    ready |= {"operator_token": token} if token else {}
    print(msgspec.json.encode(ready).decode(), flush=True)
    stopping.wait()
    program.stop()
    return 0


def _run_entry(value: object, path: pathlib.Path) -> int:
    from bilberrypass.process import entry, logs

    cfg = settings.check_entry(value)
    logs.install(cfg["logs"])
    return _run("entry", cfg["id"], entry.Entry(cfg, path=path))


def _run_agent(value: object, path: pathlib.Path) -> int:
    from bilberrypass.process import agent, logs

    cfg = settings.check_agent(value)
    logs.install(cfg["logs"])
    return _run("agent", cfg["id"], agent.Agent(cfg))


def _run_local(value: object, path: pathlib.Path) -> int:
    from bilberrypass.process import local, logs

    given = value if isinstance(value, dict) else {}
    cfg = settings.check_entry(local.DEFAULTS | given)
    logs.install(cfg["logs"])
    return _run("local", cfg["id"], local.Local(cfg))


def _check(value: object, path: pathlib.Path) -> int:
    looks_like_agent = isinstance(value, dict) and "announcements" in value
    role = "agent" if looks_like_agent else "entry"
    (settings.check_agent if looks_like_agent else settings.check_entry)(value)
    print(f"valid settings of an {role}")
    return 0


_ROLES: t.Final = {
    "entry": _run_entry,
    "agent": _run_agent,
    "local": _run_local,
    "check": _check,
}


def main() -> int:
    """Run the daemon and return its exit code."""
    args = _parser().parse_args()
    try:
        value = settings.read(args.settings) if args.settings else {}
        return _ROLES[args.role](value, args.settings)
    except errors.Faulty as exc:
        for fault in exc.faults:
            print(f"bilberrypassd: {exc.kind}: {fault}", file=sys.stderr)
        return _EXIT_INVALID


if __name__ == "__main__":
    sys.exit(main())
