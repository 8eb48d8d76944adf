"""Tests of what routers hold of a balance, and of its last tokens.

The load pattern: 31 routers with uneven use spend a balance within a minute. What they
hold serves requests in an outage, but must not be missing where the balance ends.
"""

import msgspec
import pytest
import trio
import trio.testing

from lavenderfold.escrow import (
    Balance,
    BalanceManager,
    BalanceView,
    Funding,
    LedgerPages,
    LedgerWriter,
    LocalBalance,
    OrderCombiner,
    Transfer,
    decode_page,
    page_key,
    transfer,
)
from lavenderfold.timers import TimerService
from tests.test_ledger_outage import OutageStore

PREFIX = "ledger/"
ROUTERS = 31
LIMIT = 3_000_000
REQUEST_TOKENS = 4060
USED_TOKENS = 3000
REQUESTS_PER_S = 16
HELD_SHARE = 0.02
OWED_SHARE = 0.97


def balance_with(*, left: float, written_off: int = 0, routers: int = 1) -> Balance:
    """Return a balance of which a share is left, with grants of some routers."""
    charged = int(LIMIT * (1 - left))
    balance = Balance(
        limit=LIMIT, limit_version=1, charged=charged, written_off=written_off
    )
    for number in range(routers):
        request = Transfer(number=1, wanted=1)
        balance = transfer(balance, f"router-{number}/1", request)
    return balance


def most_held(balance: Balance, holder: str = "router-0/1") -> int:
    """Return what a router with endless use holds, once it knows its part."""
    local_balance = LocalBalance(now=0.0)
    for now in (0.0, 1.0):
        local_balance.update(BalanceView.of(balance, holder), now=now)
    return local_balance.desired_tokens(1e9)


@pytest.mark.parametrize("left", [0.95, 0.7, 0.5, 0.3, 0.2])
@pytest.mark.parametrize("lost", [0, 20_000, 60_000])
def test_routers_hold_a_share_of_the_limit_less_what_was_lost(left, lost):
    """With 2% of what is left, outages late in the day were hardly served."""
    balance = balance_with(left=left, written_off=lost)
    by_limit = HELD_SHARE * LIMIT - lost
    expected = max(by_limit, HELD_SHARE * left * LIMIT)
    assert most_held(balance) == pytest.approx(expected, rel=0.001)


@pytest.mark.parametrize("left", [0.1, 0.02, 0.001])
def test_held_tokens_shrink_as_the_end_nears(left):
    held = most_held(balance_with(left=left))
    assert HELD_SHARE * left * LIMIT * 0.999 <= held <= 0.1 * left * LIMIT


def test_grants_of_dead_incarnations_count_as_lost():
    """They are written off only after a while, and a second kill may come sooner."""
    balance = balance_with(left=0.5)
    request = Transfer(number=1, needed=50_000, wanted=50_000)
    balance = transfer(balance, "router-1/1", request)
    part = 1 / 4  # One of two equal parts of one half, and nothing of the other.
    by_limit, by_rest = HELD_SHARE * LIMIT, HELD_SHARE * 0.5 * LIMIT
    assert most_held(balance) == pytest.approx(part * by_limit, rel=0.01)
    balance = transfer(balance, "router-1/2", Transfer(number=1, wanted=1))
    assert most_held(balance) <= part * by_rest


def test_view_of_an_older_relay_gives_the_share_of_the_rest():
    """It doesn't tell the limit; routers must not hold more than they may then."""
    view = BalanceView.of(balance_with(left=0.5), "router-0/1")
    fields = msgspec.to_builtins(view)[: BalanceView.__struct_fields__.index("limit")]
    local_balance = LocalBalance(now=0.0)
    for now in (0.0, 1.0):
        local_balance.update(msgspec.convert(fields, BalanceView), now=now)
    assert local_balance.desired_tokens(1e9) <= HELD_SHARE * 0.5 * LIMIT


def test_tokens_that_requests_released_are_reported():
    """The ledger takes them for spent; after a kill they weren't counted as lost."""
    balance = balance_with(left=0.5, routers=0)
    local_balance = LocalBalance(now=0.0)

    def sync(now: float) -> None:
        nonlocal balance
        planned = local_balance.plan_transfer(now, witness=f"relay-{now}")
        balance = transfer(balance, "router/1", planned)
        local_balance.update(BalanceView.of(balance, "router/1"), now=now)

    local_balance.waiting_tokens_by_id = {1: 95_000}
    sync(0.0)
    local_balance.update(BalanceView.of(balance, "router/1"), now=0.2)
    local_balance.waiting_tokens_by_id = {}
    assert local_balance.reserve(40_000)
    sync(1.0)
    assert balance.grant_by_holder["router/1"].spent == 40_000
    local_balance.settle(reserved=40_000, used=37_000)
    witness = local_balance.witness
    assert local_balance.plan_transfer(1.5, witness=witness) is None
    reported = local_balance.plan_transfer(3.05, witness=witness)
    assert (reported.spent, reported.wanted, reported.returned) == (37_000, 0, 0)


class Fleet:
    """Routers that use one combiner, and requests that are spread unevenly."""

    def __init__(
        self, nursery: trio.Nursery, *, uses_combiner: bool = True, limit: int = LIMIT
    ):
        self.store = OutageStore()
        self.used = 0
        self.used_at_first_denial: int | None = None
        self.managers: list[BalanceManager] = []
        self._nursery = nursery
        self._uses_combiner = uses_combiner
        self._limit = limit
        pages = LedgerPages(store=self.store, prefix=PREFIX)
        self._combiner = OrderCombiner(writer=LedgerWriter(pages=pages))

    async def start(self) -> None:
        self._nursery.start_soon(self._combiner.run)
        timers = TimerService(clock=trio.current_time)
        for number in range(ROUTERS):
            manager = BalanceManager(
                store=self.store,
                timers=timers,
                holder=f"router-{number}/1",
                prefix=PREFIX,
            )
            if self._uses_combiner:
                # In place of the calls over HTTP, which virtual time doesn't reach.
                manager._order_sender = self._combiner
            manager.set_limits({"org": self._limit}, version=1)
            self._nursery.start_soon(manager.run)
            await manager.loaded.wait()
            self.managers.append(manager)

    def balance(self) -> Balance:
        value = self.store.memory.value(page_key(PREFIX, "org"))
        return decode_page(value).balance_by_organisation["org"]

    async def serve(self, manager: BalanceManager) -> None:
        """Serve a request whose caller comes back three times."""
        for _ in range(4):
            until = trio.current_time() + 0.7
            funding = await manager.reserve("org", REQUEST_TOKENS, until=until)
            if funding is Funding.RESERVED:
                await trio.sleep(0.5)
                manager.settle("org", reserved=REQUEST_TOKENS, used=USED_TOKENS)
                self.used += USED_TOKENS
                return
            await trio.sleep(0.3)
        if self.used_at_first_denial is None:
            self.used_at_first_denial = self.used

    async def send_requests(self, count: int) -> None:
        """Send half of the requests to two routers and the others to all in turn."""
        async with trio.open_nursery() as requests:
            for number in range(count):
                router = number % 4 if number % 2 else number // 2 % ROUTERS
                requests.start_soon(self.serve, self.managers[router])
                await trio.sleep(1 / REQUESTS_PER_S)


def run_fleet(scenario, *, limit: int = LIMIT) -> None:
    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, limit=limit)
            await fleet.start()
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_last_tokens_reach_the_routers_that_need_them():
    """Idle routers must hand back their parts of the larger share in time."""

    async def scenario(fleet):
        await fleet.send_requests(LIMIT // USED_TOKENS + 100)
        assert fleet.used_at_first_denial >= OWED_SHARE * LIMIT
        assert fleet.used <= LIMIT
        # The last tokens, which are scattered over all routers, serve one of them.
        await trio.sleep(3.0)
        before = fleet.used
        for _ in range(3):
            await fleet.serve(fleet.managers[0])
        left = LIMIT - before
        assert LIMIT - fleet.used < max(REQUEST_TOKENS, left - 2 * USED_TOKENS)

    run_fleet(scenario)


async def use_up(manager: BalanceManager) -> None:
    """Spend a balance until a request is refused for it."""
    for _ in range(100):
        until = trio.current_time() + 0.7
        funding = await manager.reserve("org", 100, until=until)
        if funding is Funding.SPENT:
            return
        if funding is Funding.RESERVED:
            manager.settle("org", reserved=100, used=100)
        await trio.sleep(0.05)
    raise AssertionError("the balance has no end")


@pytest.mark.parametrize("idle_s", [0.0, 5.0])
def test_raised_limit_is_used_at_once(idle_s):
    """Routers refused requests by the state of the balance before it was raised."""

    async def scenario(fleet):
        first, second = fleet.managers[:2]
        await use_up(first)
        await use_up(second)
        await trio.sleep(idle_s)
        for manager in fleet.managers:
            manager.set_limits({"org": 1_000_000}, version=2)
        until = trio.current_time() + 0.7
        assert await first.reserve("org", 4000, until=until) is Funding.RESERVED
        # The router that got no request asks, too.
        await trio.sleep(0.3)
        assert second.local_balance_state("org").rest > 900_000
        assert not second.balances.by_organisation["org"].is_limit_raised

    run_fleet(scenario, limit=2000)
