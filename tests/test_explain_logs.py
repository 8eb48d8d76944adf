"""``lavenderfoldctl explain --logs`` on lines of a bench day."""

import pytest

from lavenderfold.ctl.__main__ import main
from lavenderfold.ctl._log_lines import explain_lines, parse_line

LINES = """\
   6.3356 edge-1 {"time":100.0,"level":"WARNING","event":"store_path_lost","process":"edge-1","relays":9}
   6.9 edge-1 {"time":100.5,"level":"WARNING","event":"request","process":"edge-1","request_id":"d9d7","refusal":"budget_unavailable","status":503,"balance":{"rest":0}}
   6.9 edge-2 {"time":100.4,"level":"INFO","event":"config_installed","process":"edge-2","version":9}
not a line of the log
   7.0 edge-1 {"time":101.0,"level":"INFO","event":"request","process":"edge-1","request_id":"other","outcome":"delivered"}
"""  # noqa: E501


def test_request_is_explained_with_what_its_router_knew():
    lines = [line for text in LINES.splitlines() if (line := parse_line(text))]
    explained = explain_lines(lines, "d9d7")
    assert [line.event for line in explained] == ["store_path_lost", "request"]
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
