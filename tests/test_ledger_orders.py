"""Orders to the ledger: combined by relays, repeated elsewhere, applied once."""

import trio
import trio.testing

from lavenderfold.escrow import (
    Combiner,
    LedgerOrder,
    LedgerPage,
    LedgerPages,
    LedgerWriter,
    Limit,
    OrderPath,
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


def writer(store: MemoryStore) -> LedgerWriter:
    return LedgerWriter(pages=LedgerPages(store=store, prefix=PREFIX))


def order(holder: str, *, number: int = 1, needed: int = 0) -> LedgerOrder:
    request = Transfer(number=number, needed=needed, wanted=100)
    return LedgerOrder(
        holder=holder,
        limit_by_organisation={each: Limit(LIMIT, 1) for each in ORGANISATIONS},
        transfer_by_organisation=dict.fromkeys(ORGANISATIONS, request),
    )


def charged(store: MemoryStore, organisation: str) -> int:
    page = LedgerPage.decode(store.value(page_key(PREFIX, organisation)))
    return page.balance_by_organisation[organisation].charged


def run(scenario) -> None:
    async def main():
        async with trio.open_nursery() as nursery:
            await scenario(nursery, MemoryStore())
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_orders_of_many_routers_take_few_writes():
    """Each router's own write would meet that of another one."""

    async def scenario(nursery, store):
        combiner = Combiner(writer=writer(store))
        nursery.start_soon(combiner.run)
        async with trio.open_nursery() as routers:
            for number in range(30):
                routers.start_soon(combiner.make, order(f"router-{number}/1"))
        assert store.calls <= 2
        assert charged(store, "org-0") == 30 * 100

    run(scenario)


def test_order_that_requests_wait_for_is_not_held_back():
    async def scenario(nursery, store):
        combiner = Combiner(writer=writer(store))
        nursery.start_soon(combiner.run)
        before = trio.current_time()
        await combiner.make(order("router/1", needed=50))
        assert trio.current_time() - before < 0.05

    run(scenario)


def test_order_repeated_at_another_writer_takes_effect_once():
    """A router whose combiner doesn't answer sends the same order elsewhere."""

    async def scenario(nursery, store):
        first, second = writer(store), writer(store)
        await first.apply([order("router/1")])
        positions = await second.apply([order("router/1")])
        assert positions[0]["org-0"].grant.total == 100
        assert charged(store, "org-0") == 100

    run(scenario)


def test_writers_that_meet_lose_no_order():
    async def scenario(nursery, store):
        async with trio.open_nursery() as routers:
            for number in range(4):
                routers.start_soon(writer(store).apply, [order(f"router-{number}/1")])
        assert charged(store, "org-0") == 400

    run(scenario)


def test_write_with_a_lost_answer_is_read_back():
    async def scenario(nursery, store):
        store.write_fault = WriteFault.ANSWER_LOST
        positions = await writer(store).apply([order("router/1")])
        assert positions[0]["org-0"].grant.total == 100
        assert charged(store, "org-0") == 100

    run(scenario)


def test_reclaim_is_applied_once():
    """A repeated reclaim must not give the same tokens back twice."""

    async def scenario(nursery, store):
        ledger = writer(store)
        await ledger.apply([order("router/1")])
        reclaim = LedgerOrder(
            holder="router/2", reclaims=[Reclaim("org-0", "router/1", 40)]
        )
        await ledger.apply([reclaim])
        await ledger.apply([reclaim])
        assert charged(store, "org-0") == 40
        assert charged(store, "org-1") == 100

    run(scenario)


def test_router_writes_itself_when_the_combiner_is_gone():
    """Relays are killed together with everything else on some days."""

    async def main():
        store = MemoryStore()
        relays = RelayDirectory(store=store, prefix="relays/", failure_domain="here")
        relays.relays = [Relay(Address(host="127.0.0.1", port=1), "here", "gone")]
        path = OrderPath(writer=writer(store), timers=TimerService(), relays=relays)
        positions = await path.make(order("router/1"))
        assert positions["org-0"].grant.total == 100

    trio.run(main)
