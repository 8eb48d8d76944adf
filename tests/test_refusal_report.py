"""Tests of ``lavenderfoldctl refusals``, which says why requests were refused."""

import pytest

from lavenderfold.ctl.__main__ import main
from lavenderfold.ctl._log_lines import LogLine
from lavenderfold.ctl._refusals import BalanceTruth, Cause, balance_truths, cause_of
from tests.log_support import write_log

OWN = {"granted": 300, "spent": 100, "reserved": 100}


def refusal(*, needed: int, reason: str = "budget_unavailable", **balance) -> LogLine:
    fields = {
        "request_id": "id-1",
        "refusal": reason,
        "organisation": "org",
        "needed": needed,
        "balance": {**OWN, **balance},
    }
    return LogLine(1.0, "edge-1", "request", fields)


@pytest.mark.parametrize(
    ("line", "cause"),
    [
        (refusal(needed=5, rest=None), Cause.NO_VIEW),
        (refusal(needed=600, rest=500), Cause.FREE_IN_LEDGER),
        (refusal(needed=601, rest=500, rest_of_others=1), Cause.HELD_ELSEWHERE),
        (refusal(needed=602, rest=500, rest_of_others=1), Cause.SPENT),
        (refusal(needed=602, rest=500, written_off=2), Cause.WRITTEN_OFF),
        (refusal(needed=603, rest=500, written_off=2), Cause.SPENT),
        (refusal(needed=9, reason="overloaded", rest=1), None),
        (LogLine(1.0, "edge-1", "request", {"refusal": "budget_spent"}), None),
        (LogLine(1.0, "edge-1", "balance", {}), None),
    ],
)
def test_cause_follows_from_what_the_router_knew(line, cause):
    """Operators must see whether money was missing or out of reach."""
    assert cause_of(line) is cause


def balance(process: str, time: float, *, spent: int, granted: int) -> LogLine:
    fields = {"organisation": "org", "limit": 900, "spent": spent, "granted": granted}
    return LogLine(time, process, "balance", fields)


def test_spending_is_added_up_over_routers_and_their_restarts():
    """A restarted router counts from zero; its earlier spending must not be lost."""
    lines = [
        balance("edge-1", 1.0, spent=10, granted=50),
        balance("edge-1", 2.0, spent=40, granted=90),
        balance("edge-2", 2.0, spent=5, granted=20),
        LogLine(2.5, "edge-1", "grant_written_off", {"organisation": "org"}),
        LogLine(
            2.6, "edge-1", "grant_written_off", {"organisation": "org", "unspent": 50}
        ),
        balance("edge-1", 3.0, spent=7, granted=30),
    ]
    truth = balance_truths(lines)["org"]
    assert truth == BalanceTruth(limit=900, spent=52, held=38, written_off=50)


def test_command_reads_a_folder_of_logs(tmp_path, capsys):
    write_log(tmp_path / "edge-1", [balance("edge-1", 1.0, spent=1, granted=2)])
    write_log(tmp_path / "edge-2", [refusal(needed=600, rest=500)])
    assert main(["lavenderfoldctl", "refusals", f"--logs={tmp_path}"]) == 0
    printed = capsys.readouterr().out
    assert "1  the ledger had enough, the grant came too late" in printed
    assert "org" in printed


def test_explained_refusal_names_its_cause(tmp_path, capsys):
    write_log(tmp_path / "edge-2", [refusal(needed=600, rest=500)])
    assert main(["lavenderfoldctl", "explain", "id-1", f"--logs={tmp_path}"]) == 0
    assert "refused for money: the ledger had enough" in capsys.readouterr().out


def test_command_without_logs_is_bad_input(capsys):
    assert main(["lavenderfoldctl", "refusals"]) == 2
    assert "--logs" in capsys.readouterr().err
