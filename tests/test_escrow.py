"""Balances that many routers spend from: never overspent, rarely refused."""

import pytest
import trio
import trio.testing
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lavenderfold.escrow import (
    Balance,
    Bank,
    Funding,
    LedgerPage,
    Position,
    Purse,
    Transfer,
    page_key,
    transfer,
)
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore, WriteFault

PREFIX = "ledger/"
LIMIT = 1000


def balance_of(store: MemoryStore, organisation: str) -> Balance:
    value = store.value(page_key(PREFIX, organisation))
    return LedgerPage.decode(value).balance_by_organisation[organisation]


def new_bank(store: MemoryStore, holder: str) -> Bank:
    timers = TimerService(clock=trio.current_time)
    return Bank(store=store, timers=timers, holder=holder, prefix=PREFIX)


async def started(store: MemoryStore, nursery, holder: str, limit: int = LIMIT) -> Bank:
    bank = new_bank(store, holder)
    bank.set_limits({"org": limit}, version=1)
    nursery.start_soon(bank.run)
    await bank.loaded.wait()
    return bank


def run(scenario) -> None:
    async def main():
        async with trio.open_nursery() as nursery:
            await scenario(nursery, MemoryStore())
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def until(seconds: float) -> float:
    return trio.current_time() + seconds


def test_repeated_transfer_changes_nothing():
    """A write repeated after a lost answer would grant the tokens twice."""
    request = Transfer(number=1, needed=100, wanted=300)
    once = transfer(Balance(limit=LIMIT, limit_version=1), "a", request)
    assert transfer(once, "a", request) == once
    assert once.charged == once.grant_by_holder["a"].total


def test_transfer_leaves_a_part_to_other_routers():
    """A router that takes all that is left makes others refuse falsely."""
    request = Transfer(number=1, needed=10, wanted=LIMIT)
    changed = transfer(Balance(limit=LIMIT, limit_version=1), "a", request)
    assert changed.available >= LIMIT // 2


def test_lowered_limit_grants_nothing_more():
    """A cut of the balance must stop new grants, whatever is out already."""
    spent = transfer(
        Balance(limit=LIMIT, limit_version=1), "a", Transfer(number=1, wanted=200)
    )
    lowered = Balance(
        limit=50,
        limit_version=2,
        charged=spent.charged,
        grant_by_holder=spent.grant_by_holder,
    )
    changed = transfer(lowered, "b", Transfer(number=1, needed=10, wanted=10))
    assert changed.grant_by_holder["b"].total == 0


@pytest.mark.parametrize("routers", [4, 28, 390])
def test_routers_together_hold_a_bounded_part_of_what_is_left(routers):
    """A fixed part for each router let 28 of them hold more than half of it."""
    balance = Balance(limit=1_000_000, limit_version=1)
    for number in range(routers):
        request = Transfer(number=1, wanted=1)
        balance = transfer(balance, f"router-{number}/1", request)
    purse = Purse(now=0.0)
    purse.note(Position.of(balance, "router-0/1"), now=0.0)
    held = purse.desired(1e9) * routers
    assert held <= 0.17 * 1_000_000


def test_request_waits_for_a_grant():
    """The first request of an organisation finds no grant at its router."""

    async def scenario(nursery, store):
        bank = await started(store, nursery, "a")
        assert await bank.reserve("org", 100, until=until(1)) is Funding.RESERVED

    run(scenario)


def test_spent_balance_is_refused_at_once():
    """A request that no balance covers must not wait for its deadline."""

    async def scenario(nursery, store):
        bank = await started(store, nursery, "a")
        before = trio.current_time()
        funding = await bank.reserve("org", LIMIT + 1, until=until(5))
        assert funding is Funding.SPENT
        assert trio.current_time() - before < 1

    run(scenario)


def test_requests_don_t_wait_while_the_ledger_is_away():
    """Other routers may be in touch: a refusal at once lets the caller ask them."""

    async def scenario(nursery, store):
        bank = await started(store, nursery, "a")
        store.is_down = True
        assert await bank.reserve("org", 9, until=until(0.7)) is Funding.UNAVAILABLE
        await trio.sleep(1.0)
        before = trio.current_time()
        assert await bank.reserve("org", 9, until=until(0.7)) is Funding.UNAVAILABLE
        assert trio.current_time() - before < 0.1
        store.is_down = False
        await trio.sleep(1.0)
        assert await bank.reserve("org", 9, until=until(0.7)) is Funding.RESERVED

    run(scenario)


def test_spending_goes_on_while_the_store_is_down():
    """Grants must outlast an outage of several seconds."""

    async def scenario(nursery, store):
        bank = await started(store, nursery, "a", limit=100_000)
        for _ in range(40):
            funding = await bank.reserve("org", 10, until=until(1))
            assert funding is Funding.RESERVED
            bank.settle("org", reserved=10, used=10)
            await trio.sleep(0.1)
        store.is_down = True
        for _ in range(50):
            funding = await bank.reserve("org", 10, until=until(0.05))
            assert funding is Funding.RESERVED
            bank.settle("org", reserved=10, used=10)
            await trio.sleep(0.1)

    run(scenario)


@pytest.mark.parametrize(
    "fault", [WriteFault.ANSWER_LOST, WriteFault.LATE, WriteFault.NEVER_ARRIVES]
)
def test_uncertain_write_grants_once(fault):
    """A write whose answer is lost may have taken effect, or may do so later."""

    async def scenario(nursery, store):
        bank = await started(store, nursery, "a")
        store.write_fault = fault
        assert await bank.reserve("org", 100, until=until(0.2)) in (
            Funding.UNAVAILABLE,
            Funding.RESERVED,
        )
        store.write_fault = WriteFault.NONE
        store.run_late_writes()
        await bank.reserve("org", 100, until=until(2))
        balance = balance_of(store, "org")
        purse = bank.wallet.purse("org", now=0.0)
        assert balance.charged == balance.grant_by_holder["a"].total
        assert purse.granted <= balance.grant_by_holder["a"].total <= LIMIT

    run(scenario)


def test_grant_is_handed_back_at_exit():
    """Tokens that a stopped router keeps are lost to the organisation."""

    async def scenario(nursery, store):
        bank = await started(store, nursery, "a")
        await bank.reserve("org", 100, until=until(1))
        bank.settle("org", reserved=100, used=60)
        await bank.return_all()
        assert balance_of(store, "org").charged == 60

    run(scenario)


def test_open_transfer_doesn_t_keep_a_grant_from_being_handed_back():
    """A router that exits during a transfer repeated it and returned nothing."""

    async def scenario(nursery, store):
        bank = await started(store, nursery, "a", limit=100_000)
        await bank.reserve("org", 100, until=until(1))
        bank.settle("org", reserved=100, used=60)
        store.is_down = True
        with trio.move_on_after(0.1):
            await bank.reserve("org", 9_000, until=until(1))
        store.is_down = False
        with trio.fail_after(1):
            await bank.return_all()
        assert balance_of(store, "org").charged == 60

    run(scenario)


def test_unreadable_page_grants_nothing():
    """A page that can't be read may hold grants, so it isn't written over."""

    async def scenario(nursery, store):
        key = page_key(PREFIX, "org")
        store.put(key, b"\xc1 unreadable")
        bank = await started(store, nursery, "a")
        assert await bank.reserve("org", 10, until=until(1)) is not Funding.RESERVED
        assert store.value(key) == b"\xc1 unreadable"

    run(scenario)


class SharedBalance(RuleBasedStateMachine):
    """Routers draw, spend, hand back, lose answers and die in any order."""

    holders = st.sampled_from(["a", "b", "c"])

    def __init__(self):
        super().__init__()
        self.balance = Balance(limit=LIMIT, limit_version=1)
        self.purse_by_holder = {name: Purse(now=0.0) for name in "abc"}
        self.reserved_by_holder = {name: [] for name in "abc"}
        self.used = 0
        self.now = 0.0

    @rule(name=holders, tokens=st.integers(1, 400))
    def reserve(self, name, tokens):
        if self.purse_by_holder[name].reserve(tokens):
            self.reserved_by_holder[name].append(tokens)

    @rule(name=holders, share=st.floats(0, 1))
    def settle(self, name, share):
        if self.reserved_by_holder[name]:
            reserved = self.reserved_by_holder[name].pop()
            used = int(reserved * share)
            self.used += used
            self.purse_by_holder[name].settle(reserved=reserved, used=used)

    @rule(name=holders, waiting=st.integers(0, 400), is_written=st.booleans())
    def sync(self, name, waiting, is_written):
        purse = self.purse_by_holder[name]
        self.now += 1.0
        purse.waiting_by_id = {1: waiting} if waiting else {}
        planned = purse.plan(self.now)
        if planned is not None and is_written:
            self.balance = transfer(self.balance, name, planned)

    @rule(name=holders)
    def read_back(self, name):
        self.purse_by_holder[name].note(Position.of(self.balance, name), now=self.now)

    @rule(name=holders)
    def hand_back(self, name):
        planned = self.purse_by_holder[name].plan_return()
        if planned is not None:
            self.balance = transfer(self.balance, name, planned)

    @invariant()
    def spending_stays_within_the_limit(self):
        reserved = sum(sum(each) for each in self.reserved_by_holder.values())
        assert self.used + reserved <= self.balance.charged <= LIMIT

    @invariant()
    def no_holder_spends_more_than_its_grant(self):
        for name, purse in self.purse_by_holder.items():
            grant = self.balance.grant_by_holder.get(name)
            held = grant.total if grant else 0
            assert purse.spent + purse.reserved <= held


SharedBalance.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=40
)
TestSharedBalance = SharedBalance.TestCase
