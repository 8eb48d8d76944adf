"""Routers that share their evidence of crashes through the store."""

import msgspec
import trio

from lavenderfold.quarantine import Verdict
from lavenderfold.quarantine._evidence import CrashEvidence, decode_evidence
from lavenderfold.quarantine._publisher import EvidencePublisher
from lavenderfold.quarantine._quarantine import OBJECTION_S
from lavenderfold.shared import SharedStoreError
from standins.memory_store import MemoryStore, WriteFault
from tests.quarantine_support import Router


class SharedFleet:
    """Two quarantines that share a store."""

    def __init__(self, nursery):
        self.store = MemoryStore()
        self.routers = [Router(), Router()]
        self.publishers = [
            EvidencePublisher(
                store=self.store, quarantine=router.quarantine, key="crashes"
            )
            for router in self.routers
        ]
        for publisher in self.publishers:
            nursery.start_soon(publisher.run)

    async def settle(self) -> None:
        """Wait until all observations are written, and let both routers read them."""
        for _ in range(300):
            if not any(each.quarantine.pending for each in self.routers):
                break
            await trio.sleep(0.01)
        else:
            raise AssertionError("an observation wasn't written")
        listing = await self.store.list_items("crashes")
        for publisher in self.publishers:
            for item in listing.items:
                publisher.put(item)

    def written(self) -> CrashEvidence:
        return decode_evidence(self.store.value("crashes"))


def run_shared(scenario) -> None:
    async def main():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                await scenario(SharedFleet(nursery))
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_routers_add_up_what_each_has_seen():
    """Guards against routers that each see too few crashes to act."""

    async def scenario(fleet):
        first, second = fleet.routers
        first.lose("a bad")
        await fleet.settle()
        second.crashes = 10
        second.lose("a bad")
        await fleet.settle()
        first.lose("a bad")
        await fleet.settle()
        for router in fleet.routers:
            router.wait(OBJECTION_S)
            assert router.verdict("a bad") is Verdict.QUARANTINED

    run_shared(scenario)


def test_concurrent_writers_lose_no_observation():
    async def scenario(fleet):
        first, second = fleet.routers
        first.lose("a")
        second.crashes = 10
        second.lose("b")
        await fleet.settle()
        assert {each.target for each in fleet.written().records} == {"t1", "t11"}

    run_shared(scenario)


def test_observation_is_written_once_although_answers_of_the_store_are_lost():
    async def scenario(fleet):
        fleet.store.write_fault = WriteFault.ANSWER_LOST
        fleet.routers[0].lose("a")
        await trio.sleep(0.2)
        fleet.store.write_fault = WriteFault.NONE
        await fleet.settle()
        assert [each.prompts for each in fleet.written().records] == [(("a",),)]

    run_shared(scenario)


def test_own_observations_count_while_the_store_is_down():
    async def scenario(fleet):
        fleet.store.is_down = True
        router = fleet.routers[0]
        for _ in range(3):
            router.lose("bad")
        router.wait(OBJECTION_S)
        assert router.verdict("bad") is Verdict.QUARANTINED
        await trio.sleep(0.2)
        fleet.store.is_down = False
        await fleet.settle()
        assert len(fleet.written().records) == 3

    run_shared(scenario)


def test_unreadable_evidence_is_replaced_and_stops_nothing():
    async def scenario(fleet):
        fleet.store.put("crashes", b"\xff{")
        await fleet.settle()
        fleet.routers[0].lose("bad")
        await fleet.settle()
        assert len(fleet.written().records) == 1

    run_shared(scenario)


def test_evidence_is_created_again_after_it_was_removed():
    """Guards against a router that repeats a conflicting write for ever."""

    async def scenario(fleet):
        fleet.routers[0].lose("bad")
        await fleet.settle()
        fleet.store.remove("crashes")
        fleet.routers[0].lose("bad")
        await fleet.settle()
        assert len(fleet.written().records) == 2

    run_shared(scenario)


def test_older_evidence_never_replaces_newer():
    async def scenario(fleet):
        fleet.routers[0].lose("bad")
        await fleet.settle()
        (old,) = (await fleet.store.list_items("crashes")).items
        fleet.routers[0].lose("bad")
        await fleet.settle()
        fleet.publishers[1].put(old)
        assert len(fleet.routers[1].quarantine.shared.records) == 2

    run_shared(scenario)


def test_refused_write_keeps_the_observation():
    async def scenario(fleet):
        fleet.store.write_fault = WriteFault.REFUSED
        fleet.routers[0].lose("bad")
        await trio.sleep(0.2)
        assert fleet.routers[0].quarantine.pending
        try:
            await fleet.store.write([])
        except SharedStoreError:
            fleet.store.write_fault = WriteFault.NONE
        await fleet.settle()
        assert msgspec.to_builtins(fleet.written())["records"]

    run_shared(scenario)
