"""Tests of ``lavenderfoldctl crashes``, which shows what crashes have in common."""

from lavenderfold.ctl.__main__ import main
from lavenderfold.ctl._crashes import PartRecord, part_records
from lavenderfold.ctl._log_lines import LogLine
from tests.log_support import write_log


def lost(target: str, *parts: str, events: int = 0) -> LogLine:
    fields = {"target": target, "born": 1, "events": events, "parts": list(parts)}
    return LogLine(1.0, "edge-1", "attempt_lost", fields)


def answered(*parts: str) -> LogLine:
    return LogLine(2.0, "edge-2", "request", {"events": 3, "parts": list(parts)})


LINES = [
    lost("t1", "common", "deadly"),
    lost("t1", "common", "sound", events=4),
    lost("t2", "common", "deadly"),
    lost("t2", "other"),
    answered("common", "sound"),
    answered("common", "other"),
    LogLine(2.0, "edge-1", "request", {"events": 0, "parts": ["common"]}),
    LogLine(3.0, "edge-1", "attempt_lost", {"target": "t3"}),
]


def test_part_that_never_gets_an_answer_is_told_from_parts_that_do():
    """Operators must find the one part that all crashes share, and only that."""
    records = part_records(LINES)
    assert records == {
        "common": PartRecord(lost_at={("t1", 1), ("t2", 1)}, answered=2),
        "deadly": PartRecord(lost_at={("t1", 1), ("t2", 1)}),
        "other": PartRecord(lost_at={("t2", 1)}, answered=1),
    }


def test_command_prints_unanswered_parts_first(tmp_path, capsys):
    write_log(tmp_path / "edge-1", LINES)
    assert main(["lavenderfoldctl", "crashes", f"--logs={tmp_path}"]) == 0
    rows = capsys.readouterr().out.splitlines()[2:]
    assert [row.split() for row in rows] == [
        ["deadly", "2", "0"],
        ["common", "2", "2"],
        ["other", "1", "1"],
    ]


def test_command_without_logs_is_bad_input(capsys):
    assert main(["lavenderfoldctl", "crashes"]) == 2
    assert "--logs" in capsys.readouterr().err
