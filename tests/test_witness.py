"""Tests that exactly the unspent tokens of a dead router are reclaimed."""

import logging

import msgspec
import pytest
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
    Funding,
    LedgerOrder,
    LedgerPages,
    LedgerWriter,
    Limit,
    OrderSender,
    Seal,
    Statement,
    Transfer,
    WitnessRecords,
    decode_page,
    page_key,
    reclaim,
    transfer,
)
from lavenderfold.escrow._reclaim import Reclaimer
from lavenderfold.escrow._witness import WitnessError
from lavenderfold.settings import Address
from lavenderfold.shared import RelayDirectory
from lavenderfold.timers import TimerService
from standins.memory_store import MemoryStore
from tests.escrow_site import LEDGER, RELAYS, Site, run_site

LIMIT = 1000


def statement(sequence: int, tokens: int, witness: str = "w") -> Statement:
    return Statement(witness, "router/1", sequence, {"org": tokens})


def test_statements_of_a_sealed_holder_are_not_acknowledged():
    """A paused router must not spend tokens that its successor has reclaimed."""
    records = WitnessRecords(incarnation="w")
    assert records.record(statement(1, 50))
    assert records.seal(Seal("w", "router/1")) == {"org": 50}
    assert not records.record(statement(2, 60))


def test_restarted_witness_refuses_seals_for_its_earlier_incarnation():
    """It has lost the statements; an empty answer would reclaim spent tokens."""
    records = WitnessRecords(incarnation="new")
    assert records.seal(Seal("old", "router/1")) is None
    assert not records.record(statement(1, 50, witness="old"))


def test_late_statement_doesn_t_replace_a_newer_one():
    records = WitnessRecords(incarnation="w")
    assert records.record(statement(2, 80))
    assert not records.record(statement(1, 50))
    assert records.seal(Seal("w", "router/1")) == {"org": 80}


def test_reclaim_without_a_witness_leaves_the_whole_grant_charged():
    balance = transfer(
        Balance(limit=LIMIT, limit_version=1), "router/1", Transfer(number=1, wanted=99)
    )
    charged = balance.charged
    assert reclaim(balance, "router/1", max_spent=None).charged == charged
    assert reclaim(balance, "router/1", max_spent=40).charged == 40


def test_late_order_of_a_reclaimed_holder_changes_nothing():
    """Tokens that it hands back were returned by the reclaim already."""
    balance = Balance(limit=LIMIT, limit_version=1)
    balance = transfer(balance, "router/1", Transfer(number=1, needed=99, wanted=99))
    reclaimed = reclaim(balance, "router/1", max_spent=40)
    late = Transfer(number=2, returned=59, spent=40)
    assert transfer(reclaimed, "router/1", late) == reclaimed


class ReclaimedBalanceMachine(RuleBasedStateMachine):
    """A router spends and dies; its successor seals its statements and reclaims.

    Answers may be lost, the witness may restart, and the router taken for dead may
    still be running: it must not spend tokens that it states after the seal.
    """

    @initialize()
    def start(self):
        self.balance = Balance(limit=LIMIT, limit_version=1)
        self.records = WitnessRecords(incarnation="w0")
        self.witness_starts = 0
        self.used_by_earlier = 0
        self.number = 0
        self.undelivered = []
        self._new_router(1)

    def _new_router(self, incarnation):
        self.holder = f"router/{incarnation}"
        self.incarnation = incarnation
        self.granted = 0
        self.spent = 0
        self.acknowledged = 0
        self.unacknowledged = 0
        self.named_witness = ""
        self.sequence = 0
        self.number = 0
        self.old = None

    @rule(tokens=st.integers(1, 300))
    def request_grant(self, tokens):
        self.number += 1
        request = Transfer(
            number=self.number,
            needed=tokens,
            wanted=tokens,
            spent=self.spent + self.unacknowledged + self.acknowledged,
            witness=f"w{self.witness_starts}",
        )
        self.balance = transfer(self.balance, self.holder, request)
        grant = self.balance.grant_by_holder[self.holder]
        self.granted = grant.total
        self.named_witness = grant.witness

    @rule(tokens=st.integers(1, 100))
    def reserve(self, tokens):
        if (
            self.spent + self.acknowledged + self.unacknowledged + tokens
            <= self.granted
        ):
            self.unacknowledged += tokens

    @rule(is_answered=st.booleans())
    def send_statement(self, is_answered):
        self.sequence += 1
        total = self.spent + self.acknowledged + self.unacknowledged
        message = Statement(
            self.named_witness, self.holder, self.sequence, {"org": total}
        )
        if self.records.record(message) and is_answered:
            self.acknowledged += self.unacknowledged
            self.unacknowledged = 0

    @precondition(lambda self: self.acknowledged)
    @rule(share=st.floats(0, 1))
    def run_and_settle(self, share):
        self.spent += int(self.acknowledged * share)
        self.acknowledged = 0

    @rule()
    def hand_back_before_death(self):
        """The router sends its last order, which the ledger gets later or never."""
        spent = self.spent + self.acknowledged + self.unacknowledged
        self.number += 1
        request = Transfer(
            number=self.number, returned=self.granted - spent, spent=spent
        )
        self.undelivered.append((self.holder, request))
        self.die_and_reclaim()

    @precondition(lambda self: self.undelivered)
    @rule(data=st.data())
    def deliver_late_order(self, data):
        holder, request = data.draw(st.sampled_from(self.undelivered))
        self.balance = transfer(self.balance, holder, request)

    @rule()
    def restart_witness(self):
        self.witness_starts += 1
        self.records = WitnessRecords(incarnation=f"w{self.witness_starts}")

    @rule()
    def die_and_reclaim(self):
        grant = self.balance.grant_by_holder.get(self.holder)
        self.used_by_earlier += self.spent + self.acknowledged
        if grant is not None:
            tokens = self.records.seal(Seal(grant.witness, self.holder))
            max_spent = None if tokens is None else tokens.get("org", 0)
            self.balance = reclaim(self.balance, self.holder, max_spent=max_spent)
        # The old process may still be running and send another statement.
        late = Statement(
            self.named_witness, self.holder, self.sequence + 1, {"org": LIMIT}
        )
        assert not self.records.record(late) or grant is None
        self._new_router(self.incarnation + 1)

    @invariant()
    def use_stays_within_what_is_charged(self):
        used = self.used_by_earlier + self.spent + self.acknowledged
        assert used <= self.balance.charged <= LIMIT


ReclaimedBalanceMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=30
)
TestReclaimedBalanceMachine = ReclaimedBalanceMachine.TestCase


async def spend_and_die(site: Site, holder: str, scope: trio.CancelScope) -> None:
    """Run a router that uses 60 of 100 reserved tokens, reserves 1 more and dies."""
    timers = TimerService()
    manager = await site.start_manager(holder, scope)
    funding = await manager.reserve("org", 100, until=timers.now() + 2)
    assert funding is Funding.RESERVED
    manager.settle("org", reserved=100, used=60)
    await manager.reserve("org", 1, until=timers.now() + 2)
    scope.cancel()


def test_successor_reclaims_unspent_tokens():
    """If they stayed charged, other routers would refuse requests wrongly."""

    async def scenario(site):
        await spend_and_die(site, "router/1", trio.CancelScope())
        assert site.charged() > 61
        await site.start_manager("router/2", trio.CancelScope())
        assert await site.charged_becomes(61)

    run_site(scenario, limit=LIMIT)


def test_grants_that_requests_wait_for_go_before_reclaims():
    """After a restart of all routers the reclaims of 68 held up their first grants."""

    async def scenario(site):
        await spend_and_die(site, "router/1", trio.CancelScope())
        manager = await site.start_manager("router/2", trio.CancelScope())
        await trio.sleep(0.3)
        assert "router/1" in site.balance().grant_by_holder
        until = TimerService().now() + 0.7
        assert await manager.reserve("org", 10, until=until) is Funding.RESERVED
        assert await site.grant_ends("router/1", within_s=3.0)

    run_site(scenario, limit=LIMIT)


def test_grants_of_other_routers_are_not_reclaimed():
    """Another router may be alive and spend; only its own successor knows it isn't."""

    async def scenario(site):
        await spend_and_die(site, "router/1", trio.CancelScope())
        charged = site.charged()
        await site.start_manager("neighbour/1", trio.CancelScope())
        assert not await site.charged_becomes(61)
        assert site.charged() == charged

    run_site(scenario, limit=LIMIT)


def test_nothing_is_reclaimed_if_the_witness_died_too():
    async def scenario(site):
        await spend_and_die(site, "router/1", trio.CancelScope())
        charged = site.charged()
        site.relay_scope.cancel()
        await site.start_manager("router/2", trio.CancelScope())
        assert not await site.charged_becomes(61)
        assert site.charged() == charged

    run_site(scenario, limit=LIMIT)


def test_lost_tokens_are_told_from_spent_ones(caplog):
    """Refusals for tokens lost with dead routers looked like those for spent ones."""
    caplog.set_level(logging.INFO)

    async def scenario(site):
        await spend_and_die(site, "router/1", trio.CancelScope())
        unspent = site.balance().grant_by_holder["router/1"].unspent
        address = site.directory.relays[0].address
        site.relay_scope.cancel()
        await site.start_relay(address)
        manager = await site.start_manager("router/2", trio.CancelScope())
        assert await site.grant_ends("router/1", within_s=2.0)
        assert site.balance().written_off == unspent > 0
        until = TimerService().now() + 0.7
        assert await manager.reserve("org", LIMIT, until=until) is Funding.SPENT
        assert manager.local_balance_state("org").written_off == unspent

    run_site(scenario, limit=LIMIT)
    line = next(each for each in caplog.records if each.msg == "grant_written_off")
    assert line.cause == "witness_restarted"


def test_grants_of_a_restarted_witness_are_soon_no_longer_counted_as_held():
    """While they counted, callers were told to come back for tokens that were lost."""

    async def scenario(site):
        await spend_and_die(site, "router/1", trio.CancelScope())
        charged = site.charged()
        address = site.directory.relays[0].address
        site.relay_scope.cancel()
        site.relay_scope = trio.CancelScope()
        await site.start_relay(address)
        await site.start_manager("router/2", trio.CancelScope())
        assert await site.grant_ends("router/1", within_s=2.0)
        assert site.charged() == charged

    run_site(scenario, limit=LIMIT)


@pytest.mark.parametrize("unreachable_s", [0.0, 9.0, 40.0])
def test_grant_is_reclaimed_when_its_witness_can_be_reached_again(unreachable_s):
    """A cut of some seconds wrote the tokens off that a living witness could prove."""

    async def main():
        store = MemoryStore()
        pages = LedgerPages(store=store, prefix=LEDGER)
        writer = LedgerWriter(pages=pages)
        grant = Transfer(
            number=1, wanted=100, witness="w", witness_address="127.0.0.1:1"
        )
        order = LedgerOrder(
            holder="router/1",
            limit_by_organisation={"org": Limit(LIMIT, 1)},
            transfer_by_organisation={"org": grant},
        )
        await writer.apply([order])
        reclaimer = Reclaimer(
            pages=pages,
            order_sender=OrderSender(writer=writer, timers=TimerService(), relays=None),
            holder="router/2",
            witnesses=UnreachableWitness(until=trio.current_time() + unreachable_s),
        )
        await reclaimer.run()
        page = decode_page(store.value(page_key(LEDGER, "org")))
        balance = page.balance_by_organisation["org"]
        assert (balance.charged, balance.written_off) == (30, 0)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class UnreachableWitness:
    """A witness behind a cut; it knows that 30 tokens were spent."""

    def __init__(self, *, until: float):
        self._until = until

    async def seal(self, address, seal):
        await trio.sleep(0.2)
        if trio.current_time() < self._until:
            raise WitnessError("no answer")
        return {"org": 30}


def test_grant_that_was_handed_back_is_not_reported_as_written_off(caplog):
    """Each planned stop of a router warned of tokens lost, and none were."""
    caplog.set_level(logging.INFO)

    async def scenario(site):
        scope = trio.CancelScope()
        manager = await site.start_manager("router/1", scope)
        until = TimerService().now() + 2
        assert await manager.reserve("org", 100, until=until) is Funding.RESERVED
        manager.settle("org", reserved=100, used=60)
        await manager.return_all()
        scope.cancel()
        await site.start_manager("router/2", trio.CancelScope())
        assert await site.grant_ends("router/1", within_s=3.0)
        assert (site.charged(), site.balance().written_off) == (60, 0)

    run_site(scenario, limit=LIMIT)
    events = [each.msg for each in caplog.records]
    assert "grant_reclaimed" in events
    assert "grant_written_off" not in events


def test_request_waits_for_the_witness():
    """Tokens of a request sent before its statement could be spent twice."""

    async def scenario(site):
        timers = TimerService()
        manager = await site.start_manager("router/1", trio.CancelScope())
        await manager.reserve("org", 10, until=timers.now() + 2)
        site.relay_scope.cancel()
        site.store.is_down = True
        funding = await manager.reserve("org", 10, until=timers.now() + 0.5)
        assert funding is Funding.UNAVAILABLE

    run_site(scenario, limit=LIMIT)


def test_near_relay_that_registers_later_becomes_the_witness():
    """Each request waited for a witness in the other region until the router's end."""

    async def scenario(site):
        timers = TimerService()
        far = site.directory.relays[0]
        site.directory = RelayDirectory(
            store=site.store, prefix=RELAYS, failure_domain="here"
        )
        site.directory.install(await site.store.list_items(RELAYS))
        manager = await site.start_manager("router/1", trio.CancelScope())
        await manager.reserve("org", 10, until=timers.now() + 2)
        assert site.witness("router/1") == far.incarnation
        await site.start_relay(name="near", domain="here")
        await trio.sleep(1.0)
        funding = await manager.reserve("org", 10, until=timers.now() + 2)
        assert funding is Funding.RESERVED
        assert site.witness("router/1") == site.directory.relays[0].incarnation
        assert site.directory.relays[0] != far

    run_site(scenario, limit=LIMIT)


def test_router_serves_on_without_a_witness_when_all_relays_are_gone():
    """Guards against refusing all prepaid requests for good.

    The entries of relays stay in the store, and the router chose the first one again
    before each order.
    """

    async def scenario(site):
        timers = TimerService()
        await site.start_relay(name="second")
        site.relay_scope.cancel()
        site.directory.relays = [
            msgspec.structs.replace(each, address=Address(host="127.0.0.1", port=1))
            for each in site.directory.relays
        ]
        manager = await site.start_manager("router/1", trio.CancelScope())
        attempts = [
            await manager.reserve("org", 10, until=timers.now() + 0.7) for _ in range(6)
        ]
        assert Funding.RESERVED in attempts
        for _ in range(10):
            funding = await manager.reserve("org", 10, until=timers.now() + 0.7)
            assert funding is Funding.RESERVED
            await trio.sleep(0.2)

    run_site(scenario, limit=LIMIT)
