"""Incarnations: registration, the agents' fences and the reclaim."""

import pytest

from lavenderfold.budgets import (
    LedgerShard,
    OpenGrant,
    Reclaim,
    SetLimit,
    WriteOff,
    apply,
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


def registered(*boot_ids: str) -> MemberRecord:
    record = MemberRecord()
    for boot_id in boot_ids:
        record, _ = record.register(router="r", boot_id=boot_id, region="west")
    return record


def shard_with_grants() -> LedgerShard:
    operations = [
        SetLimit(KEY, 100, 1),
        OpenGrant(KEY, "1-a", 1, 40, 1),
        OpenGrant(KEY, "1-b", 1, 20, 1),
        OpenGrant(KEY, "2-a", 2, 10, 1),
    ]
    return apply(LedgerShard(), operations, now_unix=1_790_000_000.0)[0]


def plan_for(*targets: str) -> ReclaimPlan:
    plan = ReclaimPlan(incarnation=1, targets=targets)
    plan.add_shard(shard_with_grants())
    return plan


def complete(target: str, **held: int) -> FenceReport:
    held = {name.replace("_", "-"): tokens for name, tokens in held.items()}
    return FenceReport(target, 1, {f"1{name}": held[name] for name in held}, True)


def test_registration_repeated_after_a_lost_response_keeps_its_number():
    record = registered("x", "y")
    again, incarnation = record.register(router="r", boot_id="x")
    assert (again, incarnation) == (record, 1)
    assert MemberRecord.decode(record.encode()) == record
    with pytest.raises(MemberDecodeError):
        MemberRecord.decode(b"\xc1")


def test_retired_number_is_never_given_again():
    record, incarnation = (
        registered("x", "y").retire(2).register(router="r", boot_id="y")
    )
    assert incarnation == 3
    assert sorted(record.live_by_incarnation) == [1, 3]


def test_gate_admits_live_and_newer_incarnations():
    """A retired router that is still running must not spend reclaimed money."""
    gate = FenceGate(registered("x", "y").retire(1))
    assert [gate.admits(payer) for payer in (1, 2, 3)] == [False, True, True]
    gate.fence(2)
    gate.fence(9)
    assert [gate.admits(payer) for payer in (2, 3, 9)] == [False, True, False]


def test_gate_vouches_only_for_incarnations_newer_than_the_process():
    """Usage of an earlier process of the agent may have been lost."""
    gate = FenceGate(registered("x"))
    assert [gate.vouches_for(payer) for payer in (1, 2)] == [False, True]


def test_plan_decides_nothing_while_a_target_is_silent():
    """A timeout alone must not free money: the agent may be running requests."""
    plan = plan_for("s", "t")
    plan.report(complete("s"))
    plan.report(FenceReport("t", 2, {}, True))
    assert plan.missing == {"t"}
    assert plan.decisions() == []


def test_plan_keeps_what_runs_hold_at_all_targets():
    plan = plan_for("s", "t")
    plan.report(complete("s", _a=30))
    plan.report(complete("s", _a=10))
    plan.report(complete("t", _a=5, _b=20))
    assert plan.decisions() == [Reclaim(KEY, "1-a", 15), Reclaim(KEY, "1-b", 20)]


@pytest.mark.parametrize("gone", [True, False])
def test_plan_writes_off_what_nobody_can_account_for(gone):
    plan = plan_for("s", "t")
    plan.report(complete("s"))
    if gone:
        plan.target_gone("t")
    else:
        plan.report(FenceReport("t", 1, {}))
    assert plan.decisions() == [WriteOff(KEY, "1-a"), WriteOff(KEY, "1-b")]


def test_plan_writes_off_what_runs_held_at_a_vm_that_went_after_its_report():
    plan = plan_for("s", "t")
    plan.report(complete("s"))
    plan.report(complete("t", _a=5))
    plan.target_gone("t")
    assert plan.decisions() == [
        Reclaim(KEY, "1-a", 5),
        WriteOff(KEY, "1-a"),
        Reclaim(KEY, "1-b", 0),
    ]
