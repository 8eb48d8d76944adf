"""Tests that ledger orders are combined, repeated after failures and applied once."""

import random
from functools import partial

import msgspec
import pytest
import trio
import trio.testing

from lavenderfold.escrow import (
    LedgerOrder,
    LedgerPages,
    LedgerUnavailableError,
    LedgerWriter,
    Limit,
    OrderCombiner,
    OrderSender,
    Reclaim,
    Transfer,
    decode_page,
    page_key,
)
from lavenderfold.escrow._combiner import CALL_TIMEOUT_S, URGENT_GATHER_WINDOW_S
from lavenderfold.escrow._orders import urgent_part
from lavenderfold.http import serve
from lavenderfold.relay._relay import OTHER_COMBINERS
from lavenderfold.settings import Address
from lavenderfold.shared import Relay, RelayDirectory, near_store
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore, WriteFault

PREFIX = "ledger/"
ANSWER_TIMEOUT_S = 0.6
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


class SlowStore:
    """A shared store of which each write takes 4 ms to arrive and 4 ms to return."""

    def __init__(self, store: MemoryStore):
        self._store = store

    async def list_items(self, prefix, *, wait=None):
        await trio.sleep(0.004)
        return await self._store.list_items(prefix, wait=wait)

    async def write(self, writes):
        await trio.sleep(0.004)
        try:
            return await self._store.write(writes)
        finally:
            await trio.sleep(0.004)


def charged(store: MemoryStore, organisation: str) -> int:
    page = decode_page(store.value(page_key(PREFIX, organisation)))
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


@pytest.mark.parametrize("routers", [18, 68])
def test_many_concurrent_writers_all_succeed(routers):
    """Without a combiner 18 routers that wrote the same page gave up after conflicts.

    The load pattern: all routers start at once and no relay is up yet.
    """

    async def scenario(nursery, store):
        random.seed(routers)
        slow_store = SlowStore(store)
        confirmed = []

        async def write(number):
            views = await new_writer(slow_store).apply([new_order(f"r-{number}/1")])
            confirmed.append(views[0]["org-0"].grant.total)

        async with trio.open_nursery() as nursery:
            for number in range(routers):
                nursery.start_soon(write, number)
        assert confirmed == [100] * routers

    run_scenario(scenario)


def test_combiners_that_compete_answer_before_their_routers_give_up():
    """With the waits of a whole fleet, combiners held orders until routers left them.

    The load pattern: after a restart the routers use three combiners, each of which
    always has orders to write.
    """

    async def scenario(nursery, store):
        random.seed(1)
        slow_store = SlowStore(store)
        for number in range(100):
            await new_writer(store).apply([new_order(f"router-{number}/1")])
        durations_s = []

        async def combine(holder):
            pages = LedgerPages(store=slow_store, prefix=PREFIX)
            writer = LedgerWriter(pages=pages, competitors=OTHER_COMBINERS)
            for number in range(2, 200):
                await trio.sleep(URGENT_GATHER_WINDOW_S)
                started_at = trio.current_time()
                await writer.apply([new_order(holder, number=number)])
                durations_s.append(trio.current_time() - started_at)

        async with trio.open_nursery() as combiners:
            for number in range(3):
                combiners.start_soon(combine, f"router-{number}/1")
        assert max(durations_s) < CALL_TIMEOUT_S

    run_scenario(scenario)


def test_router_without_combiner_writes_only_what_requests_wait_for():
    """A write that changes all pages meets the writes of all other routers."""
    urgent = Transfer(number=1, needed=5, wanted=50)
    order = new_order("router/1")
    order.transfer_by_organisation["org-3"] = urgent
    assert urgent_part(order).transfer_by_organisation == {"org-3": urgent}
    assert urgent_part(new_order("router/1")) == new_order("router/1")


def test_write_with_a_lost_answer_is_read_back():
    async def scenario(nursery, store):
        store.write_fault = WriteFault.ANSWER_LOST
        views = await new_writer(store).apply([new_order("router/1")])
        assert views[0]["org-0"].grant.total == 100
        assert charged(store, "org-0") == 100

    run_scenario(scenario)


class SilentStore(SlowStore):
    """A slow store whose first write takes effect and gets no answer in time."""

    def __init__(self, store: MemoryStore):
        super().__init__(store)
        self._is_answering = False

    async def write(self, writes):
        try:
            return await super().write(writes)
        finally:
            if not self._is_answering:
                self._is_answering = True
                await trio.sleep(ANSWER_TIMEOUT_S)


class LateStore(SlowStore):
    """A slow store whose writes take effect just before they time out."""

    async def write(self, writes):
        await trio.sleep(ANSWER_TIMEOUT_S)
        return await super().write(writes)


def test_orders_don_t_wait_for_an_answer_that_was_lost():
    """Each lost answer held up the requests of all routers for the whole timeout."""

    async def scenario(nursery, store):
        pages = LedgerPages(store=SilentStore(store), prefix=PREFIX)
        writer = LedgerWriter(pages=pages)
        started_at = trio.current_time()
        views = await writer.apply([new_order("router/1")])
        assert views[0]["org-0"].grant.total == 100
        assert trio.current_time() - started_at < ANSWER_TIMEOUT_S / 3
        views = await writer.apply([new_order("router/2")])
        assert views[0]["org-0"].grant.total == 100
        assert charged(store, "org-0") == 200

    run_scenario(scenario)


def test_write_that_has_no_effect_yet_is_waited_for():
    """If it were given up for a read, each write to a slow store would be repeated."""

    async def scenario(nursery, store):
        pages = LedgerPages(store=LateStore(store), prefix=PREFIX)
        views = await LedgerWriter(pages=pages).apply([new_order("router/1")])
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


def test_order_goes_to_another_combiner_before_its_router_writes_itself():
    """When one combiner failed, 68 routers wrote the same pages at once."""

    async def main():
        store = MemoryStore()
        combiner = OrderCombiner(writer=new_writer(store))

        async def handle(request, writer):
            await writer.send(await combiner.answer(request.body))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(combiner.run)
            start = partial(serve, handle, address=Address(host="127.0.0.1", port=0))
            address = await nursery.start(start)
            relays = RelayDirectory(store=store, prefix="relays/", failure_domain="d")
            relays.relays = [
                Relay(Address(host="127.0.0.1", port=1), "d", "gone", store_ms=1),
                Relay(Address(host="127.0.0.1", port=2), "d", "gone too", store_ms=9),
                Relay(address, "d", "alive", store_ms=90),
            ]
            sender = OrderSender(
                writer=LedgerWriter(pages=None), timers=TimerService(), relays=relays
            )
            views = await sender.submit(new_order("router/1"))
            assert views["org-0"].grant.total == 100
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_combiner_that_refused_during_an_outage_is_used_after_it():
    """All combiners were left out, and every router wrote the ledger itself."""

    async def main():
        store = MemoryStore()
        combiner = OrderCombiner(writer=new_writer(store))
        served = []

        async def handle(request, writer):
            answer = await combiner.answer(request.body)
            served.append(answer.status)
            await writer.send(answer)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(combiner.run)
            start = partial(serve, handle, address=Address(host="127.0.0.1", port=0))
            address = await nursery.start(start)
            relays = RelayDirectory(store=store, prefix="relays/", failure_domain="d")
            relays.relays = [Relay(address, "d", "alive", store_ms=1)]
            sender = OrderSender(
                writer=new_writer(store), timers=TimerService(), relays=relays
            )
            store.is_down = True
            for _ in range(3):
                with pytest.raises(LedgerUnavailableError):
                    await sender.submit(new_order("router/1"))
            store.is_down = False
            await sender.submit(new_order("router/1"))
            assert served == [503, 503, 503, 200]
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_routers_prefer_a_combiner_near_the_store():
    """A combiner in the other region adds its way to the store to each order."""
    near, also_near, far, unknown = (
        Relay(Address(host="127.0.0.1", port=port), "d", str(port), store_ms=store_ms)
        for port, store_ms in ((1, 6), (2, 15), (3, 29), (4, None))
    )
    assert near_store([far, near, unknown, also_near]) == [near, also_near]
    assert near_store([far, unknown]) == [far]
    assert near_store([unknown]) == [unknown]


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


def test_order_that_cannot_be_applied_is_refused_and_ends_no_combiner():
    """Guards against an order that ends one relay after the other.

    Its router sends it to the next relay whenever one doesn't answer.
    """

    async def main():
        order = msgspec.to_builtins(new_order("broken/1"))
        order["limit_by_organisation"] = {}
        combiner = OrderCombiner(writer=new_writer(MemoryStore()))
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(combiner.run)
                answer = await combiner.answer(msgspec.json.encode(order))
                assert answer.status == 400
                assert await combiner.submit(new_order("sound/1"))
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_order_is_not_held_up_by_a_combiner_that_falls_silent():
    """Guards against requests that are refused while a VM without power is asked.

    They wait for 0.7 s, and a call without a response was given up after 0.8 s. The
    call was then cancelled as soon as another combiner answered, so the silent one was
    never left out and held up each order by 0.3 s.
    """

    async def main():
        store = MemoryStore()
        combiner = OrderCombiner(writer=new_writer(store))
        served: list[int] = []
        silent: set[int] = set()

        def new_handler(number):
            async def handle(request, writer):
                served.append(number)
                if number in silent:
                    await trio.sleep_forever()
                await writer.send(await combiner.answer(request.body))

            return handle

        async with trio.open_nursery() as nursery:
            nursery.start_soon(combiner.run)
            relays = RelayDirectory(store=store, prefix="relays/", failure_domain="d")
            for number in range(2):
                listen = Address(host="127.0.0.1", port=0)
                start = partial(serve, new_handler(number), address=listen)
                address = await nursery.start(start)
                relays.relays.append(Relay(address, "d", f"r{number}", store_ms=1))
            sender = OrderSender(
                writer=LedgerWriter(pages=None), timers=TimerService(), relays=relays
            )
            for number in range(12):
                await sender.submit(new_order(f"router/{number}"))
            silent.add(served[-1])
            with trio.fail_after(0.7):
                views = await sender.submit(new_order("router/last"))
            assert views["org-0"].grant.total == 100
            served.clear()
            for number in range(4):
                await sender.submit(new_order(f"router/after-{number}"))
            assert len([each for each in served if each in silent]) <= 1
            nursery.cancel_scope.cancel()

    trio.run(main)
