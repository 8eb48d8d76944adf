"""Logging set-up: one line for each event, as key=value pairs or as JSON."""

import logging
import os
import sys
import time
from collections import deque

import msgspec
import trio
from pythonjsonlogger.json import JsonFormatter

FLUSH_PERIOD_S = 0.1
# Lines of level INFO that one process writes in a second; failures come first.
LINES_PER_S = 300
FAILURE_LINES_PER_S = 600
PENDING_LINES_LIMIT = 5000
WRITE_BYTES = 65536
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


class BoundedLogHandler(logging.Handler):
    """Keeps formatted lines until ``flush_pending`` writes them.

    It never blocks: lines over the budget of a second and lines that a full
    pipe doesn't take are counted and left out. ``fd`` is made non-blocking.
    """

    def __init__(self, *, fd: int):
        super().__init__()
        os.set_blocking(fd, False)
        self.dropped_count = 0
        self._fd = fd
        self._pending: deque[bytes] = deque()
        self._rest = b""
        self._second = 0
        self._lines_in_second = 0

    def emit(self, record: logging.LogRecord) -> None:
        if not self._admits(record):
            self.dropped_count += 1
            return
        try:
            line = self.format(record).encode("utf-8", "replace") + b"\n"
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self._pending.append(line)

    def flush_pending(self) -> None:
        """Write what the pipe takes."""
        while self._rest or self._pending:
            if not self._rest:
                self._rest = self._next_block()
            try:
                written = os.write(self._fd, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the lines any more, so there is nowhere to say it.
                self._pending.clear()
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def _next_block(self) -> bytes:
        block = bytearray()
        while self._pending and len(block) < WRITE_BYTES:
            block += self._pending.popleft()
        return bytes(block)

    def _admits(self, record: logging.LogRecord) -> bool:
        if len(self._pending) >= PENDING_LINES_LIMIT:
            return False
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_in_second = 0
        is_failure = record.levelno >= logging.WARNING
        limit = FAILURE_LINES_PER_S if is_failure else LINES_PER_S
        if self._lines_in_second >= limit:
            return False
        self._lines_in_second += 1
        return True


def _format_json(record: dict, **_: object) -> str:
    present = {key: value for key, value in record.items() if value is not None}
    return msgspec.json.encode(present, enc_hook=str).decode("utf-8")


def configure_bounded(
    *, process: str, level: str = "INFO", fd: int = 1
) -> BoundedLogHandler:
    """Send every log record to ``fd`` as JSON lines of bounded volume."""
    handler = BoundedLogHandler(fd=fd)
    formatter = JsonFormatter(
        "{created}{levelname}{message}",
        style="{",
        rename_fields={"created": "time", "levelname": "level", "message": "event"},
        static_fields={"process": process},
        json_serializer=_format_json,
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return handler


async def flush_forever(handler: BoundedLogHandler) -> None:
    """Write pending lines every FLUSH_PERIOD_S until cancelled."""
    reported = 0
    while True:
        await trio.sleep(FLUSH_PERIOD_S)
        if handler.dropped_count > reported:
            fields = {"count": handler.dropped_count - reported}
            reported = handler.dropped_count
            logging.getLogger(__name__).warning("log_lines_left_out", extra=fields)
        handler.flush_pending()


def log_event(logger: logging.Logger, event: str, **fields: object) -> None:
    """Log an event with its fields at level INFO."""
    logger.info(event, extra=fields)
