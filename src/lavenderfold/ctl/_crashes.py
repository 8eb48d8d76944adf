"""Implements ``crashes``: what requests that were lost at targets have in common."""

from collections.abc import Iterable

import msgspec

from lavenderfold.ctl._log_lines import LogLine

# Rows of the report; what crashes targets stands among the first.
MAX_ROWS = 20


class _LostAttemptFields(msgspec.Struct):
    target: str
    events: int
    parts: list[str]
    born: int = 0


class _RequestFields(msgspec.Struct):
    events: int
    parts: list[str]


class PartRecord(msgspec.Struct):
    """What the logs say of the requests with one prompt part.

    ``lost_at`` holds the targets that broke off an attempt before its first event,
    ``answered`` counts the requests of which at least one event was relayed.
    """

    lost_at: set[tuple[str, int]] = msgspec.field(default_factory=set)
    answered: int = 0


def part_records(lines: Iterable[LogLine]) -> dict[str, PartRecord]:
    """Return the records by part id, of parts that were lost at least once."""
    record_by_part: dict[str, PartRecord] = {}
    for line in lines:
        if line.event == "attempt_lost":
            _add_lost_attempt(record_by_part, line)
        elif line.event == "request":
            _add_request(record_by_part, line)
    return {part: each for part, each in record_by_part.items() if each.lost_at}


def _add_lost_attempt(record_by_part: dict[str, PartRecord], line: LogLine) -> None:
    try:
        lost = msgspec.convert(line.fields, _LostAttemptFields)
    except msgspec.ValidationError:
        return
    if lost.events:
        return
    for part in lost.parts:
        record = record_by_part.setdefault(part, PartRecord())
        record.lost_at.add((lost.target, lost.born))


def _add_request(record_by_part: dict[str, PartRecord], line: LogLine) -> None:
    try:
        request = msgspec.convert(line.fields, _RequestFields)
    except msgspec.ValidationError:
        return
    if not request.events:
        return
    for part in request.parts:
        record_by_part.setdefault(part, PartRecord()).answered += 1


def print_crashes(lines: list[LogLine]) -> None:
    """Print the parts by the number of targets that were lost; unanswered first."""
    records = part_records(lines)
    ranked = sorted(
        records.items(),
        key=lambda item: (item[1].answered > 0, -len(item[1].lost_at), item[0]),
    )
    print(f"prompt parts lost before an answer began: {len(records)}")
    print("part                 targets  answered")
    for part, record in ranked[:MAX_ROWS]:
        print(f"{part:20s} {len(record.lost_at):7d} {record.answered:9d}")
