"""Reclaim by witness: a dead router's unspent tokens come back, and no others."""

import trio
import trio.testing
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lavenderfold.escrow import (
    Balance,
    Bank,
    Funding,
    LedgerPage,
    Seal,
    Statement,
    Transfer,
    WitnessBook,
    page_key,
    reclaim,
    transfer,
)
from lavenderfold.relay import RelayOptions, StoreRelay
from lavenderfold.settings import Address
from lavenderfold.shared import RelayDirectory
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore

LIMIT = 1000
LEDGER = "ledger/"
RELAYS = "relays/"


def statement(sequence: int, tokens: int, witness: str = "w") -> Statement:
    return Statement(witness, "router/1", sequence, {"org": tokens})


def test_sealed_holder_is_acknowledged_no_more():
    """A paused router must not spend what its successor took back."""
    book = WitnessBook(incarnation="w")
    assert book.state(statement(1, 50))
    assert book.seal(Seal("w", "router/1")) == {"org": 50}
    assert not book.state(statement(2, 60))


def test_witness_that_restarted_knows_nothing():
    """Its memory is gone: an empty answer would give spent tokens back."""
    book = WitnessBook(incarnation="new")
    assert book.seal(Seal("old", "router/1")) is None
    assert not book.state(statement(1, 50, witness="old"))


def test_late_statement_doesn_t_replace_a_newer_one():
    book = WitnessBook(incarnation="w")
    assert book.state(statement(2, 80))
    assert not book.state(statement(1, 50))
    assert book.seal(Seal("w", "router/1")) == {"org": 80}


def test_reclaim_without_a_witness_keeps_everything_charged():
    balance = transfer(
        Balance(limit=LIMIT, limit_version=1), "router/1", Transfer(number=1, wanted=99)
    )
    charged = balance.charged
    assert reclaim(balance, "router/1", kept=None).charged == charged
    assert reclaim(balance, "router/1", kept=40).charged == 40


class ReclaimedBalance(RuleBasedStateMachine):
    """A router draws, states, spends and dies; its successor seals and reclaims.

    Messages may be lost, the witness may restart, and the dead router may still
    be running: what it sends after the seal must not be spent.
    """

    @initialize()
    def start(self):
        self.balance = Balance(limit=LIMIT, limit_version=1)
        self.book = WitnessBook(incarnation="w0")
        self.witness_starts = 0
        self.used_before = 0
        self.number = 0
        self._new_router(1)

    def _new_router(self, incarnation):
        self.holder = f"router/{incarnation}"
        self.incarnation = incarnation
        self.granted = 0
        self.spent = 0
        self.confirmed = 0
        self.waiting = 0
        self.named = ""
        self.sequence = 0
        self.number = 0
        self.old = None

    @rule(tokens=st.integers(1, 300))
    def draw(self, tokens):
        self.number += 1
        request = Transfer(
            number=self.number,
            needed=tokens,
            wanted=tokens,
            spent=self.spent + self.waiting + self.confirmed,
            witness=f"w{self.witness_starts}",
        )
        self.balance = transfer(self.balance, self.holder, request)
        grant = self.balance.grant_by_holder[self.holder]
        self.granted = grant.total
        self.named = grant.witness

    @rule(tokens=st.integers(1, 100))
    def reserve(self, tokens):
        if self.spent + self.confirmed + self.waiting + tokens <= self.granted:
            self.waiting += tokens

    @rule(is_answered=st.booleans())
    def state(self, is_answered):
        self.sequence += 1
        total = self.spent + self.confirmed + self.waiting
        message = Statement(self.named, self.holder, self.sequence, {"org": total})
        if self.book.state(message) and is_answered:
            self.confirmed += self.waiting
            self.waiting = 0

    @precondition(lambda self: self.confirmed)
    @rule(share=st.floats(0, 1))
    def run_and_settle(self, share):
        self.spent += int(self.confirmed * share)
        self.confirmed = 0

    @rule()
    def restart_witness(self):
        self.witness_starts += 1
        self.book = WitnessBook(incarnation=f"w{self.witness_starts}")

    @rule()
    def die_and_reclaim(self):
        grant = self.balance.grant_by_holder.get(self.holder)
        self.used_before += self.spent + self.confirmed
        if grant is not None:
            tokens = self.book.seal(Seal(grant.witness, self.holder))
            kept = None if tokens is None else tokens.get("org", 0)
            self.balance = reclaim(self.balance, self.holder, kept=kept)
        # The old process may still be running and state more.
        late = Statement(self.named, self.holder, self.sequence + 1, {"org": LIMIT})
        assert not self.book.state(late) or grant is None
        self._new_router(self.incarnation + 1)

    @invariant()
    def use_stays_within_what_is_charged(self):
        used = self.used_before + self.spent + self.confirmed
        assert used <= self.balance.charged <= LIMIT


ReclaimedBalance.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=30
)
TestReclaimedBalance = ReclaimedBalance.TestCase


class Site:
    """A store, a relay on loopback and banks that use it."""

    def __init__(self, nursery: trio.Nursery):
        self.nursery = nursery
        self.store = MemoryStore()
        self.directory = RelayDirectory(
            store=self.store, prefix=RELAYS, failure_domain="domain"
        )
        self.relay_scope = trio.CancelScope()

    async def start_relay(self) -> None:
        relay = StoreRelay(
            options=RelayOptions(
                name="relay",
                domain="domain",
                region="region",
                listen=Address(host="127.0.0.1", port=0),
                store_address=Address(host="127.0.0.1", port=1),
                prefix=RELAYS,
                ledger_prefix=LEDGER,
            ),
            store=self.store,
            timers=TimerService(),
        )

        async def run(task_status=trio.TASK_STATUS_IGNORED):
            with self.relay_scope:
                await relay.run(task_status=task_status)

        await self.nursery.start(run)
        for _ in range(100):
            self.directory.install(await self.store.list_items(RELAYS))
            if self.directory.relays:
                break
            await trio.sleep(0.02)

    async def bank(self, holder: str, scope: trio.CancelScope) -> Bank:
        bank = Bank(
            store=self.store,
            timers=TimerService(),
            holder=holder,
            prefix=LEDGER,
            relays=self.directory,
        )
        bank.set_limits({"org": LIMIT}, version=1)

        async def run():
            with scope:
                await bank.run()

        self.nursery.start_soon(run)
        await bank.loaded.wait()
        return bank

    def charged(self) -> int:
        page = LedgerPage.decode(self.store.value(page_key(LEDGER, "org")))
        return page.balance_by_organisation["org"].charged

    async def charged_becomes(self, tokens: int) -> bool:
        for _ in range(60):
            if self.charged() == tokens:
                return True
            await trio.sleep(0.05)
        return False


def run_site(scenario) -> None:
    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                site = Site(nursery)
                await site.start_relay()
                await scenario(site)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def spend(site: Site, holder: str, scope: trio.CancelScope) -> None:
    """Reserve 100 tokens, use 60 of them and state it; then the router dies."""
    timers = TimerService()
    bank = await site.bank(holder, scope)
    funding = await bank.reserve("org", 100, until=timers.now() + 2)
    assert funding is Funding.RESERVED
    bank.settle("org", reserved=100, used=60)
    await bank.reserve("org", 1, until=timers.now() + 2)
    scope.cancel()


def test_successor_takes_back_what_wasn_t_spent():
    """Tokens that stay charged to dead routers make others refuse falsely."""

    async def scenario(site):
        await spend(site, "router/1", trio.CancelScope())
        assert site.charged() > 61
        await site.bank("router/2", trio.CancelScope())
        assert await site.charged_becomes(61)

    run_site(scenario)


def test_grants_of_other_routers_are_left_alone():
    """Another router may live: only the own name proves that nobody spends."""

    async def scenario(site):
        await spend(site, "router/1", trio.CancelScope())
        charged = site.charged()
        await site.bank("neighbour/1", trio.CancelScope())
        assert not await site.charged_becomes(61)
        assert site.charged() == charged

    run_site(scenario)


def test_nothing_is_taken_back_after_the_witness_died_too():
    async def scenario(site):
        await spend(site, "router/1", trio.CancelScope())
        charged = site.charged()
        site.relay_scope.cancel()
        await site.bank("router/2", trio.CancelScope())
        assert not await site.charged_becomes(61)
        assert site.charged() == charged

    run_site(scenario)


def test_request_waits_for_its_witness():
    """A request that is sent before its statement could be spent twice."""

    async def scenario(site):
        timers = TimerService()
        bank = await site.bank("router/1", trio.CancelScope())
        await bank.reserve("org", 10, until=timers.now() + 2)
        site.relay_scope.cancel()
        site.store.is_down = True
        funding = await bank.reserve("org", 10, until=timers.now() + 0.5)
        assert funding is Funding.UNAVAILABLE

    run_site(scenario)
