"""Tests of ``lavenderfoldctl explain --logs`` on lines like those of a benchmark."""

import msgspec
import pytest

from lavenderfold.ctl.__main__ import main
from lavenderfold.ctl._log_lines import explain_lines, parse_line


def prefixed_log_line(
    prefix: str, time: float, process: str, event: str, **fields
) -> str:
    values = {"time": time, "level": "INFO", "event": event, "process": process}
    return f"{prefix} {process} {msgspec.json.encode({**values, **fields}).decode()}"


LOG_TEXT = "\n".join(
    (
        prefixed_log_line("6.33", 100.0, "edge-1", "store_path_lost", relays=9),
        prefixed_log_line(
            "6.9",
            100.5,
            "edge-1",
            "request",
            request_id="d9d7",
            refusal="budget_unavailable",
            balance={"rest": 0},
        ),
        prefixed_log_line("6.9", 100.4, "edge-2", "config_installed", version=9),
        "not a line of the log",
        prefixed_log_line("7.0", 101.0, "edge-1", "request", request_id="other"),
    )
)


def test_request_line_is_preceded_by_context_events_of_its_router():
    lines = [parsed for text in LOG_TEXT.splitlines() if (parsed := parse_line(text))]
    explained = explain_lines(lines, "d9d7")
    assert [parsed.event for parsed in explained] == ["store_path_lost", "request"]
    assert "budget_unavailable" in explained[-1].text()


def test_command_prints_the_explained_lines(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text(LOG_TEXT)
    assert main(["lavenderfoldctl", "explain", "d9d7", f"--logs={path}"]) == 0
    assert "store_path_lost relays=9" in capsys.readouterr().out


@pytest.mark.parametrize(("name", "code"), [("log", 1), ("missing", 2)])
def test_unknown_request_or_file_is_an_error(tmp_path, name, code):
    (tmp_path / "log").write_text(LOG_TEXT)
    path = tmp_path / name
    assert main(["lavenderfoldctl", "explain", "unknown", f"--logs={path}"]) == code


@pytest.mark.parametrize("event", ["target_leaving", "target_pausing"])
def test_notice_of_a_target_explains_a_later_request(event):
    """Guards against a refusal whose cause is a notice in another request's answer."""
    texts = (
        prefixed_log_line("6.3", 99.0, "edge-1", event, target="t", request_id="other"),
        prefixed_log_line("6.9", 100.5, "edge-1", "request", request_id="d9d7"),
    )
    lines = [parse_line(text) for text in texts]
    explained = explain_lines(lines, "d9d7")
    assert [each.event for each in explained] == [event, "request"]
