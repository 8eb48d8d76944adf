"""Tests of the member record, the agent's fence gate and the reclaim plan."""

import pytest

from lavenderfold.budgets import (
    LedgerShard,
    OpenGrant,
    Reclaim,
    SetLimit,
    WriteOff,
    apply as apply_operations,
)
from lavenderfold.identifiers import BudgetKey
from lavenderfold.members import (
    FenceGate,
    MemberDecodeError,
    MemberRecord,
    ReclaimPlan,
)
from lavenderfold.messages import FenceReport

KEY = BudgetKey("regina", "main")
NOW = 1_790_000_000.0
DEAD = 1


def shard_with(*grant_ids: str) -> LedgerShard:
    operations = [OpenGrant(KEY, grant_id, DEAD, 50, 50) for grant_id in grant_ids]
    limit = SetLimit(KEY, 1000, 1)
    return apply_operations(LedgerShard(), [limit, *operations], now_unix=NOW)[0]


def plan_for(*grant_ids: str, targets=("t1", "t2")) -> ReclaimPlan:
    plan = ReclaimPlan(incarnation=DEAD, targets=targets)
    plan.add_shard(shard_with(*grant_ids))
    return plan


def report(target: str, complete_after: int | None, **held: int) -> FenceReport:
    by_grant = {grant.replace("_", "1-"): tokens for grant, tokens in held.items()}
    return FenceReport(target, DEAD, by_grant, complete_after)


def gate_after_restart() -> FenceGate:
    """Return the gate of an agent that started after incarnation 1 registered."""
    record, incarnation = MemberRecord().register(router="r", boot_id="b")
    assert incarnation == DEAD
    return FenceGate(record)


def test_restarted_agent_knows_only_grants_numbered_after_the_first_hello():
    """Using a later hello would ignore runs between the first one and that."""
    gate = gate_after_restart()
    assert gate.complete_after(DEAD) is None
    gate.greet(DEAD, 7)
    gate.greet(DEAD, 3)
    gate.greet(DEAD, 9)
    assert gate.complete_after(DEAD) == 7


def test_agent_knows_all_runs_of_a_router_newer_than_its_record():
    """The first hello may arrive after runs on loans from the router."""
    gate = gate_after_restart()
    assert gate.complete_after(DEAD + 1) == 0
    gate.greet(DEAD + 1, 5)
    assert gate.complete_after(DEAD + 1) == 0


def test_hello_of_a_borrower_does_not_count_for_the_payer():
    """Other routers may have sent runs paid by its loans to an earlier process."""
    record, _ = gate_record_of_two()
    gate = FenceGate(record)
    gate.greet(2, 4)
    assert gate.complete_after(1) is None


def gate_record_of_two() -> tuple[MemberRecord, int]:
    record, _ = MemberRecord().register(router="r1", boot_id="b1")
    return record.register(router="r2", boot_id="b2")


def test_reclaim_decides_for_each_grant():
    """The restart of an agent must not write off grants that were opened later."""
    plan = plan_for("1-3", "1-8", "1-12")
    plan.report(report("t1", 0, _8=20))
    assert plan.decisions() == []
    plan.report(report("t2", 8))
    assert plan.decisions() == [
        WriteOff(KEY, "1-3"),
        WriteOff(KEY, "1-8"),
        Reclaim(KEY, "1-12", 0),
    ]


def test_reclaim_leaves_the_tokens_of_open_runs():
    plan = plan_for("1-3")
    plan.report(report("t1", 0, _3=20))
    plan.report(report("t2", 2, _3=5))
    assert plan.decisions() == [Reclaim(KEY, "1-3", 25)]


def test_grants_are_written_off_if_an_agent_may_have_lost_usage():
    plan = plan_for("1-3")
    plan.report(report("t1", 0))
    plan.report(report("t2", None))
    assert plan.decisions() == [WriteOff(KEY, "1-3")]


def test_grants_are_written_off_if_a_vm_is_gone_without_a_report():
    plan = plan_for("1-3")
    plan.report(report("t1", 0))
    plan.target_gone("t2")
    assert plan.decisions() == [WriteOff(KEY, "1-3")]


def test_open_runs_on_a_vm_that_is_gone_are_written_off():
    """The usage of its open runs can't be reported any more."""
    plan = plan_for("1-3")
    plan.report(report("t1", 0, _3=20))
    plan.report(report("t2", 0))
    plan.target_gone("t1")
    assert plan.decisions() == [Reclaim(KEY, "1-3", 20), WriteOff(KEY, "1-3")]


def test_fenced_router_that_registers_again_is_reclaimed_again():
    """A grant opened after the reclaim was otherwise found only by the next sweep."""
    record, first = MemberRecord().register(router="r", boot_id="a")
    record = record.retire(first).drop_retired([first])
    record, second = record.register(router="r", boot_id="b", previous=first)
    assert second > first
    assert record.retired == [first]
    assert list(record.live_by_incarnation) == [second]
    assert record.register(router="r", boot_id="b", previous=first) == (record, second)


def registered(*boot_ids: str) -> MemberRecord:
    record = MemberRecord()
    for boot_id in boot_ids:
        record, _ = record.register(router="r", boot_id=boot_id, region="west")
    return record


def test_registration_repeated_after_a_lost_response_keeps_its_number():
    record = registered("x", "y")
    again, incarnation = record.register(router="r", boot_id="x")
    assert (again, incarnation) == (record, 1)
    assert MemberRecord.decode(record.encode()) == record
    with pytest.raises(MemberDecodeError):
        MemberRecord.decode(b"\xc1")


def test_retired_incarnation_number_is_never_reused():
    record, incarnation = (
        registered("x", "y").retire(2).register(router="r", boot_id="y")
    )
    assert incarnation == 3
    assert sorted(record.live_by_incarnation) == [1, 3]


def test_gate_admits_live_and_newer_incarnations():
    """A retired router that is still running must not spend reclaimed tokens."""
    gate = FenceGate(registered("x", "y").retire(1))
    assert [gate.admits(payer) for payer in (1, 2, 3)] == [False, True, True]
    gate.fence(2)
    gate.fence(9)
    assert [gate.admits(payer) for payer in (2, 3, 9)] == [False, True, False]
