"""Orders of many routers at the moment when the store returns."""

import pytest
import trio
from trio.testing import MockClock

from lavenderfold.escrow import LedgerPages, LedgerWriter
from lavenderfold.escrow._ledger import Transfer
from lavenderfold.escrow._orders import LedgerContendedError, LedgerOrder, Limit
from lavenderfold.shared import WriteConflictError
from standins.memory_store import MemoryStore

ROUTERS = 31
SLOW_WRITE_S = 0.5
CONFLICTS = 6
# Each attempt takes a slow write, a listing and a wait of half a second at most.
ALL_ATTEMPTS_S = (CONFLICTS + 1) * (SLOW_WRITE_S + 0.6)


class ReturningStore(MemoryStore):
    """Takes long for the first writes, and others were always faster."""

    def __init__(self):
        super().__init__()
        self.conflicts_left = 0

    async def write(self, writes):
        if self.conflicts_left:
            self.conflicts_left -= 1
            await trio.sleep(SLOW_WRITE_S)
            raise WriteConflictError([])
        return await super().write(writes)


def new_order(router: int) -> LedgerOrder:
    return LedgerOrder(
        holder=f"router-{router}/x",
        limit_by_organisation={"org": Limit(1_000_000, 1)},
        transfer_by_organisation={"org": Transfer(number=1, needed=10, wanted=10)},
    )


@pytest.mark.parametrize("draw", [0.0, 0.5, 1.0])
def test_slow_conflicts_do_not_hold_an_order_for_long(draw, monkeypatch):
    """Guards against a router without tokens for 20 s after an outage of 7 s.

    It waited for a multiple of the time that its write took, and a write that waits
    for the store's return takes many times the usual one.
    """
    monkeypatch.setattr("random.uniform", lambda low, high: low + draw * (high - low))

    async def main():
        store = ReturningStore()
        pages = LedgerPages(store=store, prefix="ledger/")
        writer = LedgerWriter(pages=pages)
        for router in range(ROUTERS):
            await writer.apply([new_order(router)])
        store.conflicts_left = CONFLICTS
        with trio.fail_after(ALL_ATTEMPTS_S):
            views = await writer.apply([new_order(ROUTERS)])
        assert views[0]["org"].grant.total > 0

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_order_that_meets_other_writers_is_given_up_for_a_combiner():
    """Guards against a router that writes by itself for 10 s after an outage."""

    async def main():
        store = ReturningStore()
        pages = LedgerPages(store=store, prefix="ledger/")
        writer = LedgerWriter(pages=pages, conflict_limit_s=1.0)
        await writer.apply([new_order(0)])
        store.conflicts_left = 100
        with trio.fail_after(3.0), pytest.raises(LedgerContendedError):
            await writer.apply([new_order(1)])
        assert store.conflicts_left > 90

    trio.run(main, clock=MockClock(autojump_threshold=0))
