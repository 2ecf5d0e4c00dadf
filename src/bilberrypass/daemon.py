"""The daemon ``bilberrypassd``."""

import argparse
import os
import pathlib
import signal
import sys
import threading
import traceback
import typing as t

import msgspec

from bilberrypass import __version__, errors
from bilberrypass.version import settings

_EXIT_FAILED: t.Final = 1
_EXIT_INVALID: t.Final = 2
_STOP_SIGNALS: t.Final = frozenset({signal.SIGTERM, signal.SIGINT})
_START_GRACE_S: t.Final = 1.0


class Program(t.Protocol):
    """A program that runs until the daemon receives a stop signal."""

    @property
    def addresses(self) -> dict[str, str]:
        """The addresses that the program listens on, by interface."""

    def start(self) -> None:
        """Start to serve; returns once the program is ready."""

    def stop(self) -> None:
        """Stop without interrupting the requests in progress."""


def _make_parser() -> argparse.ArgumentParser:
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
        if role == "check":
            sub.add_argument("--role", dest="of", choices=("entry", "agent"))
    return parser


@t.final
class _ProgramStart:
    """Starts a program in a thread of its own, so that a stop signal can interrupt it.

    Parameters
    ----------
    program : Program
        Program to start.
    ready : dict
        Printed with the addresses as one line of JSON once the program serves.
    """

    def __init__(self, program: Program, ready: dict[str, t.Any]) -> None:
        self._program = program
        self._ready = ready
        self.exc: BaseException | None = None
        self.thread = threading.Thread(target=self._run, name="start", daemon=True)

    def _run(self) -> None:
        try:
            self._program.start()
            ready = self._ready | {"addresses": self._program.addresses}
            token = getattr(self._program, "operator_token", "")
            ready |= {"operator_token": token} if token else {}
            print(msgspec.json.encode(ready).decode(), flush=True)
        except BaseException as exc:
            self.exc = exc
            signal.pthread_kill(threading.main_thread().ident or 0, signal.SIGTERM)


def _run_program(role: str, id: str, make: t.Callable[[], Program]) -> int:
    # Blocked in every thread: a second signal stays pending and interrupts nothing.
    signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)
    try:
        program = make()
    except Exception as exc:
        _exit_unstarted(exc)
    start = _ProgramStart(program, {"ready": True, "role": role, "id": id})
    start.thread.start()
    signal.sigwait(_STOP_SIGNALS)
    start.thread.join(_START_GRACE_S)
    if start.exc is not None or start.thread.is_alive():
        _exit_unstarted(start.exc)
    program.stop()
    return 0


def _exit_unstarted(exc: BaseException | None) -> t.NoReturn:
    """Exit a process whose program failed to start or was stopped before it served.

    The threads of an HTTP server that was created but never started can only be
    ended by exiting the process.
    """
    if isinstance(exc, errors.Error):
        print(f"bilberrypassd: {exc}", file=sys.stderr)
    elif exc is not None:
        traceback.print_exception(exc)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0 if exc is None else _EXIT_FAILED)


def _install_observability(cfg: settings.Entry | settings.Agent, role: str) -> None:
    from bilberrypass.observing import logs, metrics, traces

    logs.install(cfg["logs"])
    metrics.install(cfg["metrics"], role, cfg["id"])
    traces.install(cfg["traces"], role, cfg["id"])


def _run_entry(value: object, path: pathlib.Path | None) -> int:
    from bilberrypass.process import entry

    cfg = settings.check_entry(value)
    _install_observability(cfg, "entry")
    return _run_program("entry", cfg["id"], lambda: entry.Entry(cfg, path=path))


def _run_agent(value: object, path: pathlib.Path | None) -> int:
    from bilberrypass.process import agent

    cfg = settings.check_agent(value)
    _install_observability(cfg, "agent")
    return _run_program("agent", cfg["id"], lambda: agent.Agent(cfg))


def _run_local(value: object, path: pathlib.Path | None) -> int:
    from bilberrypass.process import local

    merged = local.DEFAULTS | value if isinstance(value, dict) else value
    cfg = settings.check_entry(merged, is_local=True)
    _install_observability(cfg, "local")
    return _run_program("local", cfg["id"], lambda: local.LocalProgram(cfg))


def _check_settings(value: object, role: str | None) -> int:
    role = role or settings.find_role(value)
    check = settings.check_entry if role == "entry" else settings.check_agent
    check(value)
    print(f"valid settings of an {role}")
    return 0


_RUN_BY_ROLE: t.Final = {"entry": _run_entry, "agent": _run_agent, "local": _run_local}


def main() -> int:
    """Run the daemon and return its exit code."""
    args = _make_parser().parse_args()
    try:
        value = settings.read(args.settings) if args.settings else {}
        if args.role == "check":
            return _check_settings(value, args.of)
        return _RUN_BY_ROLE[args.role](value, args.settings)
    except errors.Invalid as exc:
        for fault in exc.faults:
            print(f"bilberrypassd: {exc.kind}: {fault}", file=sys.stderr)
        return _EXIT_INVALID


if __name__ == "__main__":
    sys.exit(main())
