"""Balances over a store that returns from an older copy, with the real modules.

Tokens that were spent since the copy must not be granted again.
"""

import pytest
import trio
import trio.testing

from lavenderfold.escrow import (
    Balance,
    BalanceManager,
    Funding,
    Grant,
    LedgerOrder,
    LedgerPage,
    LedgerPages,
    LedgerWriter,
    Statement,
    WitnessedSpending,
    WitnessRecords,
    decode_page,
    encode_page,
    page_key,
)
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore, WriteFault

PREFIX = "ledger/"
LIMIT = 10_000
REQUEST = 50
# Longer than the balance is settling where all holders are known.
SETTLED_S = 8.0
# Longer than it waits for holders that don't come back.
GIVEN_UP_S = 25.0


class Link:
    """A router's path to the store, which can be cut."""

    def __init__(self, store: MemoryStore):
        self.is_cut = False
        self._store = store

    def __getattr__(self, name):
        call = getattr(self._store, name)

        async def call_unless_cut(*args, **kwargs):
            cut = MemoryStore()
            cut.is_down = True
            return await (getattr(cut, name) if self.is_cut else call)(*args, **kwargs)

        return call_unless_cut


class Site:
    """A store and routers that spend from one balance."""

    def __init__(self, nursery: trio.Nursery):
        self.store = MemoryStore()
        self.used = 0
        self._nursery = nursery

    async def start(self, holder: str, *, link: Link | None = None) -> BalanceManager:
        manager = BalanceManager(
            store=link or self.store,
            timers=TimerService(clock=trio.current_time),
            holder=holder,
            prefix=PREFIX,
        )
        manager.set_limits({"org": LIMIT}, version=1)
        self._nursery.start_soon(manager.run)
        await manager.loaded.wait()
        return manager

    async def request(self, manager: BalanceManager) -> Funding:
        until = trio.current_time() + 0.5
        funding = await manager.reserve("org", REQUEST, until=until)
        if funding is Funding.RESERVED:
            manager.settle("org", reserved=REQUEST, used=REQUEST)
            self.used += REQUEST
        return funding

    async def spend(self, manager: BalanceManager, seconds: float) -> None:
        ends_at = trio.current_time() + seconds
        while trio.current_time() < ends_at:
            await self.request(manager)
            await trio.sleep(0.05)

    async def spend_all(self, managers: list[BalanceManager], seconds: float) -> None:
        async with trio.open_nursery() as nursery:
            for each in managers:
                nursery.start_soon(self.spend, each, seconds)

    def page(self) -> LedgerPage:
        return decode_page(self.store.value(page_key(PREFIX, "org")))

    def balance(self) -> Balance:
        return self.page().balance_by_organisation["org"]


def run_site(scenario) -> None:
    async def main():
        async with trio.open_nursery() as nursery:
            await scenario(Site(nursery))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("lost_s", [0.3, 1.5])
def test_what_an_idle_router_spent_since_the_copy_is_not_granted_again(lost_s):
    """Guards against tokens that only a router without requests knows to be spent."""

    async def scenario(site):
        spender, other = await site.start("a/1"), await site.start("b/1")
        await site.spend_all([spender, other], 1.0)
        copy = site.store.copy()
        await site.spend(spender, lost_s)
        site.store.restore(copy)
        await site.spend(other, 60)
        assert LIMIT * 0.9 <= site.used <= LIMIT

    run_site(scenario)


@pytest.mark.parametrize("is_page_in_copy", [True, False])
def test_routers_that_spend_over_a_restore_keep_the_limit(is_page_in_copy):
    """Guards against double grants, and tokens that nobody can use any more."""

    async def scenario(site):
        copy = site.store.copy()
        managers = [await site.start(f"{name}/1") for name in "abcd"]
        await site.spend_all(managers, 0.5)
        if is_page_in_copy:
            copy = site.store.copy()
        await site.spend_all(managers, 0.7)
        site.store.restore(copy)
        await site.spend_all(managers, 60)
        assert LIMIT * 0.95 <= site.used <= LIMIT
        assert site.page().era == 1

    run_site(scenario)


def test_nothing_is_granted_until_the_holders_have_stated_their_grants():
    """Guards against grants from a copy in which a grant of a cut-off router lacks."""

    async def scenario(site):
        link = Link(site.store)
        cut, other = await site.start("a/1", link=link), await site.start("b/1")
        await site.spend_all([cut, other], 1.0)
        copy = site.store.copy()
        await site.spend(cut, 1.0)
        link.is_cut = True
        site.store.restore(copy)
        charged = site.balance().charged
        await site.spend(other, 15)
        assert site.balance().charged <= charged + 2 * REQUEST
        link.is_cut = False
        await site.spend_all([cut, other], 60)
        assert LIMIT * 0.95 <= site.used <= LIMIT

    run_site(scenario)


def test_balance_is_granted_from_again_if_a_holder_never_returns():
    """Guards against an organisation that is refused for ever after a rollback."""

    async def scenario(site):
        await site.request(await site.start("gone/1", link=(link := Link(site.store))))
        other = await site.start("b/1")
        await site.request(other)
        link.is_cut = True
        site.store.restore(site.store.copy())
        await site.spend(other, SETTLED_S)
        assert site.page().era == 0
        await site.spend(other, GIVEN_UP_S)
        assert site.page().era == 1

    run_site(scenario)


@pytest.mark.parametrize(
    "fault", [WriteFault.ANSWER_LOST, WriteFault.LATE, WriteFault.NEVER_ARRIVES]
)
def test_lost_answers_around_a_restore_grant_nothing_twice(fault):
    """Guards against a pending transfer that counts as applied in the new era."""

    async def scenario(site):
        managers = [await site.start(f"{name}/1") for name in "abc"]
        await site.spend_all(managers, 1.0)
        copy = site.store.copy()
        await site.spend_all(managers, 0.5)
        site.store.write_fault = fault
        await site.spend_all(managers, 0.3)
        site.store.restore(copy)
        await site.spend_all(managers, 0.5)
        site.store.write_fault = WriteFault.NONE
        site.store.run_late_writes()
        await site.spend_all(managers, 60)
        assert LIMIT * 0.9 <= site.used <= LIMIT

    run_site(scenario)


def test_router_that_restarts_after_a_restore_gives_nothing_back():
    """Guards against a reclaim by a grant and a witness that the copy names."""

    async def scenario(site):
        first = await site.start("a/1", link=(link := Link(site.store)))
        await site.spend(first, 1.0)
        copy = site.store.copy()
        total = site.balance().charged
        await site.spend(first, 1.0)
        link.is_cut = True
        site.store.restore(copy)
        records = WitnessRecords(incarnation="w")
        records.record(Statement("w", "a/1", 1, {"org": site.used}), now=0.0)
        witnessed = records.recent_spending(now=1.0)
        writer = LedgerWriter(pages=LedgerPages(store=site.store, prefix=PREFIX))
        order = LedgerOrder(holder="w", witnessed=witnessed, era=1)
        for _ in range(2):
            await writer.apply([order])
        assert total < site.used <= site.balance().charged
        second = await site.start("a/2")
        await site.spend(second, 60)
        assert LIMIT * 0.9 <= site.used <= LIMIT
        assert site.balance().charged >= site.used

    run_site(scenario)


def test_old_statements_are_not_restated():
    """Guards against charging again what was reclaimed long before the copy."""
    records = WitnessRecords(incarnation="w")
    records.record(Statement("w", "a/1", 1, {"org": 9}), now=0.0)
    records.record(Statement("w", "a/2", 1, {"org": 5}), now=100.0)
    assert records.recent_spending(now=101.0) == [WitnessedSpending("org", "a/2", 5)]


def test_new_ledger_in_a_later_era_grants_at_once():
    """Guards against a start that waits because the store has been restored before."""

    async def scenario(site):
        site.store.restore(site.store.copy())
        started_at = trio.current_time()
        manager = await site.start("a/1")
        assert await site.request(manager) is Funding.RESERVED
        assert trio.current_time() - started_at < 0.5
        assert site.page().era == 1

    run_site(scenario)


def test_limit_does_not_go_back_with_the_store():
    """Guards against grants by a higher limit that the operator has lowered."""

    async def scenario(site):
        manager = await site.start("a/1")
        await site.request(manager)
        copy = site.store.copy()
        manager.set_limits({"org": LIMIT // 2}, version=2)
        await site.spend(manager, 1.0)
        site.store.restore(copy)
        await site.spend(manager, 60)
        assert site.used <= LIMIT // 2
        assert site.balance().limit == LIMIT // 2

    run_site(scenario)


def test_eras_of_a_page_are_stored():
    grants = {
        "a/1": Grant(total=5, spent=1, number=2, witness="w", era=2),
        "b/1": Grant(total=7, spent=0, number=1),
    }
    balance = Balance(limit=9, limit_version=1, charged=12, grant_by_holder=grants)
    page = LedgerPage({"org": balance}, era=3, first_era=1)
    assert decode_page(encode_page(page)) == page
