"""Logging configuration: one line per event, as key=value pairs or as JSON."""

import logging
import os
import sys
import time
from collections import deque

import msgspec
import trio
from pythonjsonlogger.json import JsonFormatter

FLUSH_PERIOD_S = 0.1
# Records below WARNING are dropped once a process has logged this many lines in a
# second.
LINES_PER_S = 300
# The limit for records of level WARNING and above, which leaves room for failures when
# the limit above is used up.
FAILURE_LINES_PER_S = 600
PENDING_LINES_LIMIT = 5000
# Callers choose the length of some fields, such as the path.
PENDING_BYTES_LIMIT = 4 * 1024 * 1024
WRITE_BLOCK_BYTES = 65536
CHARACTERS_NEEDING_QUOTES = frozenset(' "=\n\r\t\\')


def format_value(value: object) -> str:
    """Format a value for a ``key=value`` pair, with quotes where they are needed."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not CHARACTERS_NEEDING_QUOTES.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


def format_pairs(record: dict, **_: object) -> str:
    """Format the fields of a record as key=value pairs, without those that are None."""
    return " ".join(
        f"{key}={format_value(value)}"
        for key, value in record.items()
        if value is not None
    )


def configure(*, process: str, level: str = "INFO") -> None:
    """Write all log records to standard error as lines of key=value pairs."""
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
    """Handler that buffers formatted lines until ``flush_pending`` writes them.

    It never blocks. Records over the limit per second, and records that arrive while
    the buffer is full because the pipe accepts no more, are dropped and counted in
    ``dropped_count``.
    ``fd`` is made non-blocking.
    """

    def __init__(self, *, fd: int):
        super().__init__()
        os.set_blocking(fd, False)
        self.dropped_count = 0
        self._fd = fd
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._unwritten = b""
        self._current_second = 0
        self._line_count = 0

    def emit(self, record: logging.LogRecord) -> None:
        if not self._is_within_limits(record):
            self.dropped_count += 1
            return
        try:
            line = self.format(record).encode("utf-8", "replace") + b"\n"
        except (ArithmeticError, RecursionError, TypeError, ValueError):
            # A field that can't be written must not end what logs it.
            self.handleError(record)
            return
        if self._pending_bytes + len(line) > PENDING_BYTES_LIMIT:
            self.dropped_count += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)

    def flush_pending(self) -> None:
        """Write as many pending lines as the pipe accepts without blocking."""
        while self._unwritten or self._pending:
            if not self._unwritten:
                self._unwritten = self._take_block()
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reading end of the pipe is closed, so the error can't be logged.
                self._pending.clear()
                self._pending_bytes = 0
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _take_block(self) -> bytes:
        block = bytearray()
        while self._pending and len(block) < WRITE_BLOCK_BYTES:
            block += self._pending.popleft()
        self._pending_bytes -= len(block)
        return bytes(block)

    def _is_within_limits(self, record: logging.LogRecord) -> bool:
        if len(self._pending) >= PENDING_LINES_LIMIT:
            return False
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._line_count = 0
        is_failure = record.levelno >= logging.WARNING
        limit = FAILURE_LINES_PER_S if is_failure else LINES_PER_S
        if self._line_count >= limit:
            return False
        self._line_count += 1
        return True


def _format_json(record: dict, **_: object) -> str:
    present = {key: value for key, value in record.items() if value is not None}
    return msgspec.json.encode(present, enc_hook=str).decode("utf-8")


def configure_bounded(
    *, process: str, level: str = "INFO", fd: int = 1
) -> BoundedLogHandler:
    """Write log records to ``fd`` as JSON lines, with a limited number per second.

    Returns the handler; call its ``flush_pending`` regularly.
    """
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
    """Write the pending lines every FLUSH_PERIOD_S until cancelled.

    Logs a warning if records were dropped since the last one.
    """
    reported_count = 0
    while True:
        await trio.sleep(FLUSH_PERIOD_S)
        if handler.dropped_count > reported_count:
            fields = {"count": handler.dropped_count - reported_count}
            reported_count = handler.dropped_count
            logging.getLogger(__name__).warning("log_lines_left_out", extra=fields)
        handler.flush_pending()


def log_event(logger: logging.Logger, event: str, **fields: object) -> None:
    """Log an event with its fields at level INFO."""
    logger.info(event, extra=fields)
