"""Logging set-up: one line of key=value pairs for each event."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

QUOTED_CHARACTERS = frozenset(' "=\n\r\t\\')


def format_value(value: object) -> str:
    """Return a value as it stands after ``key=``; quoted where needed."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not QUOTED_CHARACTERS.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


def format_pairs(record: dict, **_: object) -> str:
    """Serialise a record's fields as key=value pairs; None is left out."""
    return " ".join(
        f"{key}={format_value(value)}"
        for key, value in record.items()
        if value is not None
    )


def configure(*, process: str, level: str = "INFO") -> None:
    """Send every log record to standard error as key=value lines."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(
        "{asctime}{levelname}{name}{message}",
        style="{",
        rename_fields={
            "asctime": "time",
            "levelname": "level",
            "name": "logger",
            "message": "event",
        },
        static_fields={"process": process},
        json_serializer=format_pairs,
    )
    formatter.default_msec_format = "%s.%03d"
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def log_event(logger: logging.Logger, event: str, **fields: object) -> None:
    """Log an event with its fields at level INFO."""
    logger.info(event, extra=fields)
