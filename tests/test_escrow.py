"""Tests of balances that many routers spend from.

They must never be overspent, and requests must rarely be refused while tokens remain.
"""

import msgspec
import pytest
import trio
import trio.testing
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lavenderfold.escrow import (
    Balance,
    BalanceManager,
    BalanceView,
    Funding,
    LocalBalance,
    Transfer,
    decode_page,
    page_key,
    reclaim,
    transfer,
)
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore, WriteFault

PREFIX = "ledger/"
LIMIT = 1000
# All routers together may hold this part of a balance; 3% may be lost.
HELD_SHARE = 0.02
# Of what is held by the remaining tokens an excess of up to this factor stays.
SURPLUS_FACTOR = 1.6


def stored_balance(store: MemoryStore, organisation: str) -> Balance:
    value = store.value(page_key(PREFIX, organisation))
    return decode_page(value).balance_by_organisation[organisation]


def new_manager(store: MemoryStore, holder: str) -> BalanceManager:
    timers = TimerService(clock=trio.current_time)
    return BalanceManager(store=store, timers=timers, holder=holder, prefix=PREFIX)


async def start_manager(
    store: MemoryStore, nursery, holder: str, limit: int = LIMIT
) -> BalanceManager:
    manager = new_manager(store, holder)
    manager.set_limits({"org": limit}, version=1)
    nursery.start_soon(manager.run)
    await manager.loaded.wait()
    return manager


def run_scenario(scenario) -> None:
    async def main():
        async with trio.open_nursery() as nursery:
            await scenario(nursery, MemoryStore())
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def until(seconds: float) -> float:
    return trio.current_time() + seconds


def test_repeated_transfer_changes_nothing():
    """A write that is repeated after a lost answer must not grant the tokens twice."""
    request = Transfer(number=1, needed=100, wanted=300)
    once = transfer(Balance(limit=LIMIT, limit_version=1), "a", request)
    assert transfer(once, "a", request) == once
    assert once.charged == once.grant_by_holder["a"].total


def test_transfer_leaves_tokens_for_other_routers():
    """If one router took all available tokens, others would refuse requests wrongly."""
    request = Transfer(number=1, needed=10, wanted=LIMIT)
    changed = transfer(Balance(limit=LIMIT, limit_version=1), "a", request)
    assert changed.available >= LIMIT // 2


def test_lowered_limit_stops_further_grants():
    """A limit below the tokens granted so far must stop all new grants."""
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
def test_all_routers_together_hold_a_bounded_share_of_the_balance(routers):
    """What they hold is lost if they and their witnesses die at the same time."""
    balance = Balance(limit=1_000_000, limit_version=1)
    for number in range(routers):
        request = Transfer(number=1, wanted=1)
        balance = transfer(balance, f"router-{number}/1", request)
    local_balance = LocalBalance(now=0.0)
    local_balance.update(BalanceView.of(balance, "router-0/1"), now=0.0)
    held = local_balance.desired_tokens(1e9) * routers
    assert held <= HELD_SHARE * 1_000_000


def test_routers_that_start_together_hold_a_bounded_share_of_the_balance():
    """None of them sees the grants of the others in its first state of the balance."""
    balance = transfer(
        Balance(limit=1_000_000, limit_version=1), "a/1", Transfer(number=1, wanted=1)
    )
    local_balance = LocalBalance(now=0.0)
    local_balance.update(BalanceView.of(balance, "a/1"), now=0.0)
    assert local_balance.desired_tokens(1e9) <= HELD_SHARE * 1_000_000 / 4
    local_balance.update(BalanceView.of(balance, "a/1"), now=1.0)
    assert local_balance.desired_tokens(1e9) <= HELD_SHARE * 1_000_000


def test_router_with_most_requests_of_a_balance_holds_the_largest_part():
    """With equal parts it waited for each grant while idle routers held most tokens."""
    balance = Balance(limit=1_000_000, limit_version=1)
    grants = {f"idle-{number}/1": 100 for number in range(20)} | {"busy/1": 8_000}
    for holder, tokens in grants.items():
        request = Transfer(number=1, needed=tokens, wanted=tokens, spent=tokens)
        balance = transfer(balance, holder, request)
    desired_by_holder = {}
    for holder in grants:
        local_balance = LocalBalance(now=0.0)
        for now in (0.0, 1.0):
            local_balance.update(BalanceView.of(balance, holder), now=now)
        desired_by_holder[holder] = local_balance.desired_tokens(1e9)
    assert sum(desired_by_holder.values()) <= HELD_SHARE * 1_000_000
    assert desired_by_holder["busy/1"] > 10 * desired_by_holder["idle-0/1"]


def test_request_waits_for_a_grant():
    """The first request of an organisation must wait: its router has no grant yet."""

    async def scenario(nursery, store):
        manager = await start_manager(store, nursery, "a")
        assert await manager.reserve("org", 100, until=until(1)) is Funding.RESERVED

    run_scenario(scenario)


def test_spent_balance_is_refused_at_once():
    """A request larger than the balance must be refused before its deadline."""

    async def scenario(nursery, store):
        manager = await start_manager(store, nursery, "a")
        before = trio.current_time()
        funding = await manager.reserve("org", LIMIT + 1, until=until(5))
        assert funding is Funding.SPENT
        assert trio.current_time() - before < 1

    run_scenario(scenario)


def test_requests_don_t_wait_while_the_ledger_is_unavailable():
    """An immediate refusal lets the caller try another router that has access."""

    async def scenario(nursery, store):
        manager = await start_manager(store, nursery, "a")
        store.is_down = True
        assert await manager.reserve("org", 9, until=until(0.7)) is Funding.UNAVAILABLE
        await trio.sleep(1.0)
        before = trio.current_time()
        assert await manager.reserve("org", 9, until=until(0.7)) is Funding.UNAVAILABLE
        assert trio.current_time() - before < 0.1
        store.is_down = False
        await trio.sleep(1.0)
        assert await manager.reserve("org", 9, until=until(0.7)) is Funding.RESERVED

    run_scenario(scenario)


def test_spending_continues_while_the_store_is_down():
    """A router must hold enough tokens for a store outage of several seconds."""

    async def scenario(nursery, store):
        manager = await start_manager(store, nursery, "a", limit=100_000)
        for _ in range(40):
            funding = await manager.reserve("org", 10, until=until(1))
            assert funding is Funding.RESERVED
            manager.settle("org", reserved=10, used=10)
            await trio.sleep(0.1)
        store.is_down = True
        for _ in range(50):
            funding = await manager.reserve("org", 10, until=until(0.05))
            assert funding is Funding.RESERVED
            manager.settle("org", reserved=10, used=10)
            await trio.sleep(0.1)

    run_scenario(scenario)


@pytest.mark.parametrize(
    "fault", [WriteFault.ANSWER_LOST, WriteFault.LATE, WriteFault.NEVER_ARRIVES]
)
def test_write_with_unknown_result_grants_tokens_once(fault):
    """A write without an answer may have taken effect, may do so later, or never."""

    async def scenario(nursery, store):
        manager = await start_manager(store, nursery, "a")
        store.write_fault = fault
        assert await manager.reserve("org", 100, until=until(0.2)) in (
            Funding.UNAVAILABLE,
            Funding.RESERVED,
        )
        store.write_fault = WriteFault.NONE
        store.run_late_writes()
        await manager.reserve("org", 100, until=until(2))
        balance = stored_balance(store, "org")
        local_balance = manager.balances.get_or_create("org", now=0.0)
        assert balance.charged == balance.grant_by_holder["a"].total
        assert local_balance.granted <= balance.grant_by_holder["a"].total <= LIMIT

    run_scenario(scenario)


def test_unspent_tokens_are_handed_back_at_exit():
    """The organisation can't use the tokens in the grant of a stopped router."""

    async def scenario(nursery, store):
        manager = await start_manager(store, nursery, "a")
        await manager.reserve("org", 100, until=until(1))
        manager.settle("org", reserved=100, used=60)
        await manager.return_all()
        assert stored_balance(store, "org").charged == 60

    run_scenario(scenario)


def test_tokens_are_handed_back_despite_a_pending_transfer():
    """A router that exited during a transfer only repeated it and returned nothing."""

    async def scenario(nursery, store):
        manager = await start_manager(store, nursery, "a", limit=100_000)
        await manager.reserve("org", 100, until=until(1))
        manager.settle("org", reserved=100, used=60)
        store.is_down = True
        with trio.move_on_after(0.1):
            await manager.reserve("org", 9_000, until=until(1))
        store.is_down = False
        with trio.fail_after(1):
            await manager.return_all()
        assert stored_balance(store, "org").charged == 60

    run_scenario(scenario)


def test_unreadable_page_grants_nothing():
    """An unreadable page may contain grants, so it must not be overwritten."""

    async def scenario(nursery, store):
        key = page_key(PREFIX, "org")
        store.put(key, b"\xc1 unreadable")
        manager = await start_manager(store, nursery, "a")
        assert await manager.reserve("org", 10, until=until(1)) is not Funding.RESERVED
        assert store.value(key) == b"\xc1 unreadable"

    run_scenario(scenario)


class SharedBalanceMachine(RuleBasedStateMachine):
    """Routers take, spend and hand back tokens in any order; answers may get lost.

    All of them may be killed together with their witnesses.
    """

    holders = st.sampled_from(["a", "b", "c"])
    limit = LIMIT

    def __init__(self):
        super().__init__()
        self.balance = Balance(limit=self.limit, limit_version=1)
        self.used = 0
        self.lost = 0
        self.lost_by_remaining = 0.0
        self.now = 0.0
        self.incarnation = 0
        self.dead_holders = []
        self.start_all()

    def start_all(self):
        self.incarnation += 1
        self.local_balance_by_holder = {
            name: LocalBalance(now=self.now) for name in "abc"
        }
        self.reserved_by_holder = {name: [] for name in "abc"}

    def holder(self, name):
        return f"{name}/{self.incarnation}"

    @rule(name=holders, tokens=st.integers(1, 400))
    def reserve(self, name, tokens):
        if self.local_balance_by_holder[name].reserve(tokens):
            self.reserved_by_holder[name].append(tokens)

    @rule(name=holders, share=st.floats(0, 1))
    def settle(self, name, share):
        if self.reserved_by_holder[name]:
            reserved = self.reserved_by_holder[name].pop()
            used = int(reserved * share)
            self.used += used
            self.local_balance_by_holder[name].settle(reserved=reserved, used=used)

    @rule(name=holders, waiting=st.integers(0, 400), is_written=st.booleans())
    def sync(self, name, waiting, is_written):
        local_balance = self.local_balance_by_holder[name]
        self.now += 1.0
        local_balance.waiting_tokens_by_id = {1: waiting} if waiting else {}
        planned = local_balance.plan_transfer(self.now)
        if planned is not None and is_written:
            self.balance = transfer(self.balance, self.holder(name), planned)

    @rule(name=holders)
    def receive_answer(self, name):
        self.local_balance_by_holder[name].update(
            BalanceView.of(self.balance, self.holder(name)), now=self.now
        )

    @rule(name=holders)
    def hand_back(self, name):
        planned = self.local_balance_by_holder[name].plan_return()
        if planned is not None:
            self.balance = transfer(self.balance, self.holder(name), planned)

    @rule(tokens=st.integers(100, 400), share=st.floats(0, 0.5))
    def serve_everywhere(self, tokens, share):
        """Each router serves a request that waits for its grant."""
        for name in self.local_balance_by_holder:
            for _ in range(2):
                self.sync(name, tokens, True)
                self.receive_answer(name)
            self.reserve(name, tokens)
            self.settle(name, share)

    @rule(share=st.floats(0, 0.6))
    def spend_elsewhere(self, share):
        """Routers that are gone have spent a part of the balance."""
        tokens = int(self.balance.available * share)
        charged = self.balance.charged + tokens
        self.balance = msgspec.structs.replace(self.balance, charged=charged)
        self.used += tokens

    def sync_all(self):
        """Synchronise all routers, without waiting requests, until nothing changes."""
        unchanged_rounds = 0
        for _ in range(40):
            before = self.balance, self.granted
            for name in self.local_balance_by_holder:
                self.sync(name, 0, True)
                self.receive_answer(name)
            is_unchanged = before == (self.balance, self.granted)
            unchanged_rounds = unchanged_rounds + 1 if is_unchanged else 0
            if unchanged_rounds == 2:
                return
        # Shares of a few tokens may go on changing by one, as they are rounded.
        changes = [
            abs(now - then) for now, then in zip(self.granted, before[1], strict=True)
        ]
        assert max(changes) <= 1, "the routers don't settle"

    @property
    def granted(self):
        return [each.granted for each in self.local_balance_by_holder.values()]

    @rule()
    def kill_all(self):
        """Kill all routers and witnesses at a time when no order is under way."""
        self.sync_all()
        free = sum(each.free for each in self.local_balance_by_holder.values())
        left = self.balance.available + free
        by_remaining = SURPLUS_FACTOR * HELD_SHARE * left
        allowance = max(0, HELD_SHARE * self.limit - self.lost)
        assert free <= max(allowance, by_remaining)
        self.lost += free
        if by_remaining > allowance:
            self.lost_by_remaining += by_remaining
        self.used += sum(sum(each) for each in self.reserved_by_holder.values())
        self.dead_holders += [self.holder(name) for name in "abc"]
        self.start_all()

    @rule()
    def write_off(self):
        """The successors find that nobody knows what the dead routers spent."""
        for holder in self.dead_holders:
            self.balance = reclaim(self.balance, holder, max_spent=None)
        self.dead_holders = []

    @invariant()
    def spending_stays_within_the_limit(self):
        reserved = sum(sum(each) for each in self.reserved_by_holder.values())
        assert self.used + reserved <= self.balance.charged <= self.limit

    @invariant()
    def no_holder_spends_more_than_its_grant(self):
        for name, local_balance in self.local_balance_by_holder.items():
            grant = self.balance.grant_by_holder.get(self.holder(name))
            held = grant.total if grant else 0
            assert local_balance.spent + local_balance.reserved <= held

    @invariant()
    def all_kills_together_lose_a_bounded_part_of_the_limit(self):
        assert self.lost <= HELD_SHARE * self.limit + self.lost_by_remaining


class LargeBalanceMachine(SharedBalanceMachine):
    """What is held by the limit is larger than a request."""

    limit = 20 * LIMIT


SharedBalanceMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=40
)
LargeBalanceMachine.TestCase.settings = SharedBalanceMachine.TestCase.settings
TestSharedBalanceMachine = SharedBalanceMachine.TestCase
TestLargeBalanceMachine = LargeBalanceMachine.TestCase
