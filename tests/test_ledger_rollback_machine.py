"""State machine of balances over restores of the store and restarts of routers.

Relays live on and remember statements. The time in which a balance settles is modelled
by its assumption: connected routers and all relays have stated what they know.
"""

import msgspec
import pytest
from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lavenderfold.escrow import (
    Balance,
    BalanceView,
    LedgerPage,
    LocalBalance,
    Seal,
    Statement,
    WitnessRecords,
    reclaim,
    transfer,
    with_witnessed,
)

LIMIT = 1000
NAMES = "abc"
names = st.sampled_from(NAMES)
MACHINE_SETTINGS = settings(
    derandomize=True, deadline=None, max_examples=400, stateful_step_count=50
)


class RollbackMachine(RuleBasedStateMachine):
    """Class attributes that are off leave out a part, or plant a fault."""

    is_settling_used = True
    is_restated = True
    is_witness_heard = True
    has_restarts = True

    def __init__(self):
        super().__init__()
        self.balance = Balance(limit=LIMIT, limit_version=1)
        self.page_era = self.era = 1
        self.copy = self.balance, self.page_era
        self.used = 0
        self.now = 0.0
        self.sequence = 0
        self.records = {name: WitnessRecords(incarnation=name) for name in ("w1", "w2")}
        self.incarnation = dict.fromkeys(NAMES, 0)
        self.witness = dict.fromkeys(NAMES, "w1")
        self.local: dict[str, LocalBalance] = {}
        self.reserved: dict[str, list[int]] = {}
        self.cut: set[str] = set()
        for name in NAMES:
            self.start(name)

    def start(self, name):
        self.incarnation[name] += 1
        self.local[name] = LocalBalance(now=self.now, era=self.era)
        self.reserved[name] = []
        self.cut.discard(name)

    def holder(self, name):
        return f"{name}/{self.incarnation[name]}"

    @property
    def is_settled(self):
        return self.page_era >= self.era

    @property
    def total_used(self):
        return self.used + sum(map(sum, self.reserved.values()))

    @rule(name=names, tokens=st.integers(1, 300))
    def reserve(self, name, tokens):
        local = self.local[name]
        if not local.is_witnessed_only_by(self.witness[name]):
            return
        if local.reserve(tokens):
            self.reserved[name].append(tokens)
            self.sequence += 1
            stated = {"org": local.spent + local.reserved}
            witness = self.witness[name]
            statement = Statement(witness, self.holder(name), self.sequence, stated)
            assert self.records[witness].record(statement)

    @rule(name=names, share=st.floats(0, 1))
    def settle(self, name, share):
        if self.reserved[name]:
            reserved = self.reserved[name].pop()
            self.used += int(reserved * share)
            self.local[name].settle(reserved=reserved, used=int(reserved * share))

    @rule(name=names)
    def change_witness(self, name):
        self.witness[name] = "w2" if self.witness[name] == "w1" else "w1"

    @rule(name=names)
    def cut_off(self, name):
        self.cut.add(name)

    @rule(
        name=names,
        waiting=st.integers(0, 300),
        is_written=st.booleans(),
        is_answered=st.booleans(),
    )
    def sync(self, name, waiting, is_written, is_answered):
        local = self.local[name]
        self.cut.discard(name)
        self.now += 1.0
        local.waiting_tokens_by_id = {1: waiting} if waiting else {}
        planned = local.plan_transfer(self.now, witness=self.witness[name])
        if planned is not None and is_written:
            if not self.is_restated:
                grant = self.balance.grant_by_holder.get(self.holder(name))
                copied_total = grant.total if grant else 0
                planned = msgspec.structs.replace(planned, total=copied_total)
            self.balance = transfer(
                self.balance,
                self.holder(name),
                planned,
                era=self.era,
                can_grant=self.is_settled or not self.is_settling_used,
            )
        if is_answered:
            self.answer(name)
        local.waiting_tokens_by_id = {}

    def answer(self, name):
        is_settling = self.is_settling_used and not self.is_settled
        view = BalanceView.of(
            self.balance, self.holder(name), era=self.era, is_settling=is_settling
        )
        self.local[name].update(view, now=self.now)

    @rule(name=names)
    def hand_back(self, name):
        planned = self.local[name].plan_return()
        if planned is not None:
            self.balance = transfer(
                self.balance,
                self.holder(name),
                planned,
                era=self.era,
                can_grant=self.is_settled,
            )

    @rule(name=names, waiting=st.integers(50, 300))
    def serve(self, name, waiting):
        """Grant a request its tokens and spend them."""
        for _ in range(2):
            self.sync(name, waiting, True, True)
        self.reserve(name, waiting)
        self.settle(name, 1.0)

    @rule()
    def copy_store(self):
        self.copy = self.balance, self.page_era

    @rule()
    def restore(self):
        self.era += 1
        self.balance, self.page_era = self.copy

    @rule()
    def pass_time(self):
        """Relays and connected routers state what they know, then the page settles."""
        if self.is_settled:
            return
        for records in self.records.values():
            if self.is_witness_heard:
                self.balance = with_witnessed(
                    self.balance, records.recent_spending(now=0.0), era=self.era
                )
        for name in NAMES:
            if name not in self.cut:
                for _ in range(3):
                    self.sync(name, 0, True, True)
        live = {self.holder(name): self.local[name] for name in NAMES}
        grants = self.balance.grant_by_holder
        is_waiting = any(
            local.granted and (holder not in grants or grants[holder].era < self.era)
            for holder, local in live.items()
        )
        # Of a router that is cut off and isn't in the copy only its witness knows.
        page = LedgerPage({"org": self.balance})
        is_restated = self.is_witness_heard and page.is_restated(self.era)
        if not is_waiting or is_restated:
            self.page_era = self.era

    @rule(name=names)
    def restart(self, name):
        """Kill a router; its running requests count as spent."""
        if not self.has_restarts:
            return
        self.used += sum(self.reserved[name])
        self.start(name)

    @rule(name=names)
    def reclaim_earlier(self, name):
        for holder, grant in self.balance.grant_by_holder.items():
            if holder == self.holder(name) or not holder.startswith(f"{name}/"):
                continue
            spent = None
            if grant.witness:
                records = self.records[grant.witness]
                spent = records.seal(Seal(grant.witness, holder)).get("org", 0)
            self.balance = reclaim(self.balance, holder, max_spent=spent, era=self.era)

    @invariant()
    def limit_is_kept(self):
        assert self.total_used <= LIMIT

    @invariant()
    def settled_balance_is_charged_for_all_that_was_used(self):
        if self.is_settled:
            assert self.total_used <= self.balance.charged


class WithoutSettling(RollbackMachine):
    is_settling_used = False


class RoutersAlone(RollbackMachine):
    """Without restarts, what routers state is enough."""

    has_restarts = False
    is_witness_heard = False


class WithoutRestatement(RoutersAlone):
    is_restated = False


class WithoutWitnesses(RollbackMachine):
    is_witness_heard = False


RollbackMachine.TestCase.settings = MACHINE_SETTINGS
RoutersAlone.TestCase.settings = MACHINE_SETTINGS
TestRollbackMachine = RollbackMachine.TestCase
TestRoutersAlone = RoutersAlone.TestCase


@pytest.mark.parametrize(
    "faulty", [WithoutSettling, WithoutRestatement, WithoutWitnesses]
)
def test_machine_finds_planted_fault(faulty):
    """Guards against a machine that never reaches a rollback that matters."""
    with pytest.raises(AssertionError):
        # Which example shows the fault doesn't matter, so it isn't shrunk.
        without_shrinking = settings(MACHINE_SETTINGS, phases=[Phase.generate])
        run_state_machine_as_test(faulty, settings=without_shrinking)
