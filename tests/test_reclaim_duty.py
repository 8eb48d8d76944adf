"""The duty to reclaim: what it reads from the store, and what it must find."""

import msgspec

from lavenderfold.budgets import OpenGrant
from lavenderfold.members import MemberRecord
from lavenderfold.router import Router
from tests.router_fleet import (
    REGINA_BUDGET,
    FakeAgent,
    Fleet,
    completion,
    run_fleet,
    wait_until,
)

DUTY_PATH = "/v1/kv/members/reclaimer"
SHARDS_PATH = "/v1/kv/ledger/"


def ledger_reads(fleet: Fleet) -> int:
    reads = fleet.reads_by_path.items()
    return sum(count for path, count in reads if path.startswith(SHARDS_PATH))


async def pass_rounds(fleet: Fleet, rounds: int) -> None:
    """Wait for rounds of the duty, whichever router looks for it."""
    enough = fleet.reads_by_path[DUTY_PATH] + rounds * len(fleet.routers)
    await wait_until(lambda: fleet.reads_by_path[DUTY_PATH] >= enough)


def members(fleet: Fleet) -> MemberRecord:
    return MemberRecord.decode(fleet.values.entry_by_key["members/routers"].value)


async def start_second(fleet: Fleet, **limits) -> Router:
    second = await fleet.start_router(peers=[fleet.router], **limits)
    await fleet.wait_connected(second)
    return second


def test_idle_duty_reads_no_shard():
    """At 1024 shards a scan each period would be 205 reads per second."""

    async def check(fleet: Fleet):
        await pass_rounds(fleet, 3)
        before = ledger_reads(fleet), sum(fleet.reads_by_path.values())
        await pass_rounds(fleet, 10)
        after = ledger_reads(fleet), sum(fleet.reads_by_path.values())
        assert after[0] == before[0], (before, after)

    run_fleet(check, FakeAgent("t1"))


def test_scan_ends_once_a_dead_routers_grants_are_reclaimed():
    async def check(fleet: Fleet):
        second = await start_second(fleet)
        dead = fleet.router.incarnation
        assert (await fleet.call("POST", "/v1/completions", completion())).status == 200
        await wait_until(lambda: dead in fleet.budget_record().holders)
        fleet.kill(fleet.router)
        await wait_until(lambda: dead not in fleet.budget_record().holders)
        await wait_until(lambda: members(fleet).retired == [])
        assert dead not in members(fleet).live_by_incarnation
        await pass_rounds(fleet, 1)
        before = ledger_reads(fleet)
        await pass_rounds(fleet, 5)
        assert ledger_reads(fleet) == before
        assert second.incarnation in members(fleet).live_by_incarnation

    run_fleet(check, FakeAgent("t1"))


def test_grant_that_a_woken_router_opened_late_is_found():
    """It was opened after the router's grants had been reclaimed."""

    async def check(fleet: Fleet):
        second = await start_second(fleet, reclaim_sweep_s=0.5)
        dead = fleet.router.incarnation
        assert (await fleet.call("POST", "/v1/completions", completion())).status == 200
        fleet.kill(fleet.router)
        await wait_until(lambda: dead not in members(fleet).live_by_incarnation)
        await wait_until(lambda: members(fleet).retired == [])
        late = OpenGrant(REGINA_BUDGET, f"{dead}-999", dead, 50, 50)
        await second._components.ledger.submit(late)
        assert dead in fleet.budget_record().holders
        await wait_until(lambda: dead not in fleet.budget_record().holders)
        assert fleet.budget_record().unexplained == 0

    run_fleet(check, FakeAgent("t1"))


def test_record_of_an_earlier_version_is_read():
    record, _ = MemberRecord().register(router="r", boot_id="b")
    fields = msgspec.msgpack.decode(record.encode())
    assert MemberRecord.decode(msgspec.msgpack.encode(fields[:2])) == record


def test_retired_incarnation_is_remembered_until_it_is_dropped():
    """Forgotten too early, its grants would stay held until the next sweep."""
    record, number = MemberRecord().register(router="r", boot_id="b")
    retired = record.retire(number)
    assert retired.retired == [number]
    assert retired.retire(number) == retired
    again, other = retired.register(router="r", boot_id="c")
    assert again.retired == [number]
    assert again.drop_retired([number, other]).retired == []
    assert again.drop_retired([number]).live_by_incarnation.keys() == {other}
