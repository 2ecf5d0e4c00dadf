"""The command-line tool ``bilberrypass``."""

import sys
import typing as t

import typer

from bilberrypass import __version__, errors
from bilberrypass.commands import (
    client,
    config,
    config_check,
    fleet,
    jobs,
    output,
    report,
    tokens,
)

_EXIT_CODES: t.Final = """
Exit codes: 0 done; 1 refused, see the error code; 2 wrong usage or file;
3 no entry answers; 4 the job failed or was cancelled; 5 the configuration was
changed in the meantime; 6 the job had not ended within --timeout-s.
"""

APP: t.Final = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="Submit jobs to bilberrypass and operate it.",
    epilog=_EXIT_CODES,
)
APP.command()(jobs.submit)
APP.add_typer(jobs.APP, name="job")
config.APP.command()(config_check.check)
APP.add_typer(config.APP, name="config")
APP.command()(config.exceptions)
APP.command()(fleet.status)
APP.command()(fleet.hosts)
APP.command()(fleet.drain)
APP.command()(tokens.token)
APP.command()(report.report)


def _show_version(wanted: bool) -> None:
    if wanted:
        typer.echo(__version__)
        raise typer.Exit


@APP.callback()
def _common(
    version: t.Annotated[
        bool,
        typer.Option("--version", callback=_show_version, is_eager=True),
    ] = False,
) -> None:
    """Process the options that precede a command."""


def main() -> int:
    """Run the tool and return its exit code."""
    try:
        APP()
    except errors.Error as exc:
        output.write_error(exc, as_json="--json" in sys.argv)
        return client.exit_code(exc)
    return client.ExitCode.DONE


if __name__ == "__main__":
    sys.exit(main())
