"""Explains a request from the JSON log lines of routers."""

from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from lavenderfold.ctl._errors import BadInputError, CommandError

# What a process came to believe this long before a request's line explains it.
CONTEXT_S = 10.0
CONTEXT_EVENTS = frozenset(
    (
        "config_installed",
        "drain_started",
        "grant_reclaimed",
        "grant_written_off",
        "ledger_write_failed",
        "ledger_write_uncertain",
        "log_lines_left_out",
        "router_started",
        "store_lost",
        "store_path_lost",
        "store_path_regained",
        "store_regained",
        "target_changed",
        "target_lapsed",
        "target_removed",
        "witness_chosen",
        "witness_lost",
    )
)


class LogLine(msgspec.Struct, frozen=True):
    """One line of a router's log. ``time`` is in seconds since the epoch."""

    time: float
    process: str
    event: str
    fields: dict

    def text(self) -> str:
        values = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time:.3f} {self.process} {self.event} {values}".rstrip()


class _Head(msgspec.Struct):
    time: float
    process: str
    event: str


def parse_line(text: str) -> LogLine | None:
    """Return the JSON line in ``text``, which a collector may have prefixed."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
        head = msgspec.convert(fields, _Head)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    rest = {
        key: value
        for key, value in fields.items()
        if key not in ("time", "process", "event", "level")
    }
    return LogLine(head.time, head.process, head.event, rest)


def explain_lines(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return a request's lines, each after what its process learnt just before."""
    ordered = sorted(lines, key=lambda line: line.time)
    explained: list[LogLine] = []
    for line in ordered:
        if line.fields.get("request_id") != request_id:
            continue
        for other in ordered:
            if _is_context(other, line) and other not in explained:
                explained.append(other)
        explained.append(line)
    return explained


def _is_context(other: LogLine, line: LogLine) -> bool:
    is_recent = line.time - CONTEXT_S <= other.time <= line.time
    is_same = other.process == line.process
    return is_recent and is_same and other.event in CONTEXT_EVENTS


def explain_files(names: list[str], request_id: str) -> None:
    """Print what log files say of a request; raises CommandError if nothing."""
    explained = explain_lines(_read(names), request_id)
    if not explained:
        raise CommandError(f"no line of {', '.join(names)} names request {request_id}")
    for line in explained:
        print(line.text())


def _read(names: list[str]) -> Iterator[LogLine]:
    for name in names:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                yield from (line for text in file if (line := parse_line(text)))
        except OSError as error:
            raise BadInputError(f"--logs: {error}") from error
