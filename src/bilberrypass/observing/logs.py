"""Logs: short sentences with a fixed prefix for each part."""

import sys
import typing as t

import logbook
import msgspec

from bilberrypass.version import settings

_FORMAT: t.Final = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} {record.message}"
)


def _format_line(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Write a record as one line, whatever line breaks its message brings."""
    line = _FORMAT.format(record=record).replace("\r", "\\r").replace("\n", "\\n")
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
    """Write logs to standard error as the settings say."""
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(sys.stderr, level=cfg["level"].upper())
    handler.formatter = _format_json if cfg["json_lines"] else _format_line
    handler.push_application()
