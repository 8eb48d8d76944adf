"""Implements ``explain --logs``: explains a request from routers' JSON logs."""

from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import msgspec

from lavenderfold.ctl._errors import BadInputError, CommandError

# A request's log line is shown together with the context events that its process
# logged in the preceding CONTEXT_S seconds, because they may explain the line.
CONTEXT_S = 10.0
CONTEXT_EVENTS = frozenset(
    (
        "attempt_lost",
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
        "target_leaving",
        "target_pausing",
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


class _LogHeader(msgspec.Struct):
    time: float
    process: str
    event: str


def parse_line(text: str) -> LogLine | None:
    """Parse a line of a log file, or return None if it isn't a JSON log line.

    Text before the JSON object is skipped: log collectors may add a prefix.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
        header = msgspec.convert(fields, _LogHeader)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    other_fields = {
        key: value
        for key, value in fields.items()
        if key not in ("time", "process", "event", "level")
    }
    return LogLine(header.time, header.process, header.event, other_fields)


def explain_lines(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return a request's log lines, each preceded by its context events."""
    ordered = sorted(lines, key=lambda line: line.time)
    explained: list[LogLine] = []
    for line in ordered:
        if line.fields.get("request_id") != request_id:
            continue
        for candidate in ordered:
            if _is_context(candidate, line) and candidate not in explained:
                explained.append(candidate)
        explained.append(line)
    return explained


def _is_context(candidate: LogLine, line: LogLine) -> bool:
    is_recent = line.time - CONTEXT_S <= candidate.time <= line.time
    is_same_process = candidate.process == line.process
    return is_recent and is_same_process and candidate.event in CONTEXT_EVENTS


def explain_files(
    file_names: list[str],
    request_id: str,
    *,
    conclude: Callable[[LogLine], str | None],
) -> None:
    """Print the log lines about a request, and what ``conclude`` says of each.

    Raises CommandError if there are none.
    """
    explained = explain_lines(read_lines(file_names), request_id)
    if not explained:
        raise CommandError(
            f"no line of {', '.join(file_names)} mentions request {request_id}"
        )
    for line in explained:
        print(line.text())
        conclusion = conclude(line)
        if conclusion is not None:
            print(f"  {conclusion}")


def read_lines(names: list[str]) -> Iterator[LogLine]:
    """Yield the log lines of files, and of all files in folders."""
    for path in _log_files(names):
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from (line for text in file if (line := parse_line(text)))
        except OSError as error:
            raise BadInputError(f"--logs: {error}") from error


def _log_files(names: list[str]) -> Iterator[Path]:
    for path in map(Path, names):
        if path.is_dir():
            yield from sorted(each for each in path.iterdir() if each.is_file())
        else:
            yield path
