"""``lavenderfoldctl explain --logs`` on lines of a bench day."""

import msgspec
import pytest

from lavenderfold.ctl.__main__ import main
from lavenderfold.ctl._log_lines import explain_lines, parse_line


def line(prefix: str, time: float, process: str, event: str, **fields) -> str:
    values = {"time": time, "level": "INFO", "event": event, "process": process}
    return f"{prefix} {process} {msgspec.json.encode({**values, **fields}).decode()}"


LINES = "\n".join(
    (
        line("6.33", 100.0, "edge-1", "store_path_lost", relays=9),
        line(
            "6.9",
            100.5,
            "edge-1",
            "request",
            request_id="d9d7",
            refusal="budget_unavailable",
            balance={"rest": 0},
        ),
        line("6.9", 100.4, "edge-2", "config_installed", version=9),
        "not a line of the log",
        line("7.0", 101.0, "edge-1", "request", request_id="other"),
    )
)


def test_request_is_explained_with_what_its_router_knew():
    lines = [each for text in LINES.splitlines() if (each := parse_line(text))]
    explained = explain_lines(lines, "d9d7")
    assert [each.event for each in explained] == ["store_path_lost", "request"]
    assert "budget_unavailable" in explained[-1].text()


def test_command_prints_the_lines(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text(LINES)
    assert main(["lavenderfoldctl", "explain", "d9d7", f"--logs={path}"]) == 0
    assert "store_path_lost relays=9" in capsys.readouterr().out


@pytest.mark.parametrize(("name", "code"), [("log", 1), ("missing", 2)])
def test_unknown_request_or_file_is_an_error(tmp_path, name, code):
    (tmp_path / "log").write_text(LINES)
    path = tmp_path / name
    assert main(["lavenderfoldctl", "explain", "unknown", f"--logs={path}"]) == code
