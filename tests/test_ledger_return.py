"""Tests of the orders of 31 routers at the end of an outage of the ledger.

Combiners took longer for an order than routers wait for it, since each batch waited
for the silent store. They counted as failed, so after the outage all routers wrote the
ledger themselves, and most of their writes met others.
"""

import trio
import trio.testing

from lavenderfold.escrow import (
    Funding,
    LedgerOrder,
    LedgerPages,
    LedgerUnavailableError,
    LedgerWriter,
    Limit,
    OrderCombiner,
    OrderSender,
    Transfer,
)
from lavenderfold.escrow._combiner import CALL_TIMEOUT_S, CombinerRefusedError
from lavenderfold.settings import Address
from lavenderfold.shared import Relay, RelayDirectory
from lavenderfold.timers import TimerService
from tests.test_held_tokens import PREFIX, Fleet
from tests.test_ledger_outage import OutageStore

COMBINERS = 5
# So much that no request is refused for the balance.
LIMIT = 30_000_000
OUTAGES_S = [3 + 0.23 * number for number in range(26)]
# Share of first grants within a second. The order in which tasks run isn't the same in
# each run: six runs gave 0.66 to 0.78 before the change and 0.88 to 0.94 after it.
SOON_SHARE = 0.82


class LocalCombiners:
    """Stands in for the calls over HTTP, which virtual time doesn't reach."""

    def __init__(self, store, nursery):
        self._combiners = []
        for _ in range(COMBINERS):
            pages = LedgerPages(store=store, prefix=PREFIX)
            writer = LedgerWriter(pages=pages, competitors=COMBINERS - 1)
            self._combiners.append(OrderCombiner(writer=writer))
            nursery.start_soon(self._combiners[-1].run)

    async def submit(self, address, order):
        with trio.move_on_after(CALL_TIMEOUT_S):
            try:
                return await self._combiners[address.port].submit(order)
            except LedgerUnavailableError as error:
                raise CombinerRefusedError(str(error)) from error
        raise LedgerUnavailableError("no response")

    def new_sender(self, store) -> OrderSender:
        relays = RelayDirectory(store=store, prefix="relays/", failure_domain="d")
        relays.relays = [
            Relay(Address(host="127.0.0.1", port=port), "d", f"relay-{port}")
            for port in range(COMBINERS)
        ]
        pages = LedgerPages(store=store, prefix=PREFIX)
        sender = OrderSender(
            writer=LedgerWriter(pages=pages),
            timers=TimerService(clock=trio.current_time),
            relays=relays,
        )
        sender._client = self
        return sender


async def ask_until(manager, tokens: int, end: float, pause_s: float) -> bool:
    """Ask for tokens until they are granted; return False if they aren't in time."""
    while trio.current_time() < end:
        until = trio.current_time() + 0.7
        if await manager.reserve("org", tokens, until=until) is Funding.RESERVED:
            manager.settle("org", reserved=tokens, used=tokens)
            return True
        await trio.sleep(pause_s)
    return False


async def first_grants(outage_s: float) -> list[float]:
    """Return when each router got its first grant, in seconds after the outage."""
    times = []
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, uses_combiner=False, limit=LIMIT)
        combiners = LocalCombiners(fleet.store, nursery)
        await fleet.start()
        for manager in fleet.managers:
            manager._order_sender = combiners.new_sender(fleet.store)
        await fleet.send_requests(60)
        fleet.store.is_silent = True
        end = trio.current_time() + outage_s
        async with trio.open_nursery() as callers:
            for manager in fleet.managers:
                callers.start_soon(ask_until, manager, 40_000, end, 0.5)
                await trio.sleep(0.05)
        fleet.store.is_silent = False
        back_at = trio.current_time()

        async def wait_for_grant(manager):
            assert await ask_until(manager, 20_000, back_at + 10, 0.02)
            times.append(trio.current_time() - back_at)

        async with trio.open_nursery() as callers:
            for manager in fleet.managers:
                callers.start_soon(wait_for_grant, manager)
        nursery.cancel_scope.cancel()
    return times


def run_outage(outage_s: float) -> list[float]:
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(first_grants, outage_s, clock=clock)


def test_first_grant_comes_soon_after_an_outage():
    times = [each for outage_s in OUTAGES_S for each in run_outage(outage_s)]
    soon = sum(each <= 1 for each in times)
    assert soon >= SOON_SHARE * len(times), sorted(times)[-20:]
    assert max(times) < 3


def test_orders_that_arrive_during_a_failing_write_are_refused_with_it():
    """They waited for a write of their own, longer than their router waits."""

    async def main():
        async with trio.open_nursery() as nursery:
            store = OutageStore()
            store.is_silent = True
            pages = LedgerPages(store=store, prefix=PREFIX)
            combiner = OrderCombiner(writer=LedgerWriter(pages=pages))
            nursery.start_soon(combiner.run)

            async def submit(holder):
                request = Transfer(number=1, needed=10, wanted=10)
                order = LedgerOrder(
                    holder=holder,
                    limit_by_organisation={"org": Limit(1000, 1)},
                    transfer_by_organisation={"org": request},
                )
                try:
                    with trio.fail_after(CALL_TIMEOUT_S):
                        await combiner.submit(order)
                except LedgerUnavailableError:
                    refused.append(holder)

            refused = []
            async with trio.open_nursery() as routers:
                for number in range(8):
                    routers.start_soon(submit, f"router-{number}/1")
                    await trio.sleep(0.07)
            assert len(refused) == 8
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
