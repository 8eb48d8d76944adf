"""Tests that ledger orders are combined, repeated after failures and applied once."""

import trio
import trio.testing

from lavenderfold.escrow import (
    LedgerOrder,
    LedgerPage,
    LedgerPages,
    LedgerWriter,
    Limit,
    OrderCombiner,
    OrderSender,
    Reclaim,
    Transfer,
    page_key,
)
from lavenderfold.settings import Address
from lavenderfold.shared import Relay, RelayDirectory
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore, WriteFault

PREFIX = "ledger/"
LIMIT = 100_000
ORGANISATIONS = [f"org-{n}" for n in range(10)]


def new_writer(store: MemoryStore) -> LedgerWriter:
    return LedgerWriter(pages=LedgerPages(store=store, prefix=PREFIX))


def new_order(holder: str, *, number: int = 1, needed: int = 0) -> LedgerOrder:
    request = Transfer(number=number, needed=needed, wanted=100)
    return LedgerOrder(
        holder=holder,
        limit_by_organisation={each: Limit(LIMIT, 1) for each in ORGANISATIONS},
        transfer_by_organisation=dict.fromkeys(ORGANISATIONS, request),
    )


def charged(store: MemoryStore, organisation: str) -> int:
    page = LedgerPage.decode(store.value(page_key(PREFIX, organisation)))
    return page.balance_by_organisation[organisation].charged


def run_scenario(scenario) -> None:
    async def main():
        async with trio.open_nursery() as nursery:
            await scenario(nursery, MemoryStore())
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_orders_of_many_routers_share_few_writes():
    """If each router wrote its own order, most writes would conflict."""

    async def scenario(nursery, store):
        combiner = OrderCombiner(writer=new_writer(store))
        nursery.start_soon(combiner.run)
        async with trio.open_nursery() as routers:
            for number in range(30):
                routers.start_soon(combiner.submit, new_order(f"router-{number}/1"))
        assert store.calls <= 2
        assert charged(store, "org-0") == 30 * 100

    run_scenario(scenario)


def test_urgent_order_is_written_without_a_long_delay():
    async def scenario(nursery, store):
        combiner = OrderCombiner(writer=new_writer(store))
        nursery.start_soon(combiner.run)
        before = trio.current_time()
        await combiner.submit(new_order("router/1", needed=50))
        assert trio.current_time() - before < 0.05

    run_scenario(scenario)


def test_order_repeated_at_another_writer_takes_effect_once():
    """A router whose combiner doesn't answer submits the same order elsewhere."""

    async def scenario(nursery, store):
        first, second = new_writer(store), new_writer(store)
        await first.apply([new_order("router/1")])
        views = await second.apply([new_order("router/1")])
        assert views[0]["org-0"].grant.total == 100
        assert charged(store, "org-0") == 100

    run_scenario(scenario)


def test_concurrent_writers_lose_no_order():
    async def scenario(nursery, store):
        async with trio.open_nursery() as routers:
            for number in range(4):
                routers.start_soon(
                    new_writer(store).apply, [new_order(f"router-{number}/1")]
                )
        assert charged(store, "org-0") == 400

    run_scenario(scenario)


def test_write_with_a_lost_answer_is_read_back():
    async def scenario(nursery, store):
        store.write_fault = WriteFault.ANSWER_LOST
        views = await new_writer(store).apply([new_order("router/1")])
        assert views[0]["org-0"].grant.total == 100
        assert charged(store, "org-0") == 100

    run_scenario(scenario)


def test_reclaim_is_applied_once():
    """A repeated reclaim must not return the same tokens twice."""

    async def scenario(nursery, store):
        ledger = new_writer(store)
        await ledger.apply([new_order("router/1")])
        reclaim = LedgerOrder(
            holder="router/2", reclaims=[Reclaim("org-0", "router/1", 40)]
        )
        await ledger.apply([reclaim])
        await ledger.apply([reclaim])
        assert charged(store, "org-0") == 40
        assert charged(store, "org-1") == 100

    run_scenario(scenario)


def test_router_writes_to_the_ledger_itself_if_the_combiner_fails():
    """All relays may be down at the same time as other parts of the fleet."""

    async def main():
        store = MemoryStore()
        relays = RelayDirectory(store=store, prefix="relays/", failure_domain="here")
        relays.relays = [Relay(Address(host="127.0.0.1", port=1), "here", "gone")]
        sender = OrderSender(
            writer=new_writer(store), timers=TimerService(), relays=relays
        )
        views = await sender.submit(new_order("router/1"))
        assert views["org-0"].grant.total == 100

    trio.run(main)
