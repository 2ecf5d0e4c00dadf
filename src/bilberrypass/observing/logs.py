"""Log lines on standard error, each message with the fixed prefix of its part."""

import sys
import typing as t

import logbook
import msgspec

from bilberrypass.version import settings

_LINE_FORMAT: t.Final = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} {record.message}"
)


def _format_text(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Format a record as one line, with the line breaks of its message escaped."""
    line = _LINE_FORMAT.format(record=record).replace("\r", "\\r").replace("\n", "\\n")
    if record.formatted_exception:
        line += f"\n{record.formatted_exception}"
    return line


def _format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    fields = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.message,
    }
    if record.formatted_exception:
        fields["exception"] = record.formatted_exception
    return msgspec.json.encode(fields).decode()


def install(cfg: settings.Logs) -> None:
    """Write logs to standard error at the level and in the format of the settings."""
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(sys.stderr, level=cfg["level"].upper())
    handler.formatter = _format_json if cfg["json_lines"] else _format_text
    handler.push_application()
