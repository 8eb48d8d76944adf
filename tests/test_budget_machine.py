"""A Hypothesis state machine that tests budget decisions under faults.

Messages are lost or repeated, routers are killed or paused, agents and VMs are lost,
and the store or the network between the regions fails.
"""

import sys

from hypothesis import event, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.fleet_model import Fleet
from tests.fleet_processes import BUDGET, KEY, Agent, Router

INDEX = st.integers(0, 5)
TOKENS = st.sampled_from([4, 8, 12, 20, 40])
FAULT = st.sampled_from(["", "", "", "after", "after", "before"])
# How far a request gets in the rule that starts it; other rules continue it.
STAGE = st.sampled_from(["sent", "open", "finished", "reported"])
# The agent that a reclaim asks: 0 or 1, or 2 for both.
ASKED = st.sampled_from([0, 1, 2, 2, 2])


def pick(items, index):
    return items[index % len(items)]


class BudgetMachine(RuleBasedStateMachine):
    """Checks for overspending, double bills, lost bills and tokens stuck in grants."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.fleet.set_limit(BUDGET.limit)

    def router(self, index) -> Router | None:
        active = [router for router in self.fleet.routers if router.active]
        return pick(active, index) if active else None

    def agent(self, index) -> Agent | None:
        living = [agent for agent in self.fleet.agents if agent.alive]
        return pick(living, index) if living else None

    @rule(index=INDEX, agent_index=INDEX, tokens=TOKENS, stage=STAGE, fault=FAULT)
    def request(self, index, agent_index, tokens, stage, fault):
        self.admit(
            index, agent_index, self.fleet.new_request(tokens), tokens, stage, fault
        )

    @precondition(lambda self: self.fleet.tokens_by_request)
    @rule(index=INDEX, agent_index=INDEX, number=INDEX, stage=STAGE, fault=FAULT)
    def retry_request(self, index, agent_index, number, stage, fault):
        """A caller whose connection failed repeats a request at any router."""
        recent = list(self.fleet.tokens_by_request.items())[-3:]
        self.admit(index, agent_index, *pick(recent, number), stage, fault)

    def admit(self, index, agent_index, request_id, tokens, stage, fault):
        router = self.router(index)
        if router is None:
            return
        router.admit(request_id, tokens)
        router.order_grant()
        router.commit(fault=fault)
        if stage != "sent":
            self.advance_runs(agent_index, tokens % 5, stage, fault)

    @rule(agent_index=INDEX, share=st.integers(0, 4), stage=STAGE, fault=FAULT)
    def advance_runs(self, agent_index, share, stage, fault):
        """Deliver the runs in flight; finish and report them if ``stage`` says so."""
        agent = self.agent(agent_index)
        if agent is None:
            return
        for attempt in list(self.fleet.in_flight):
            self.fleet.deliver(attempt, agent)
        if stage in ("finished", "reported"):
            for attempt in list(agent.open_runs.values()):
                self.fleet.finish(attempt, attempt.wanted * share // 4)
        if stage == "reported":
            self.report_usage(agent_index, None, fault)

    @rule(agent_index=INDEX, index=INDEX, fault=FAULT)
    def report_usage(self, agent_index, index, fault):
        """Report usage to one router, or to those of the runs if ``index`` is None."""
        agent = self.agent(agent_index)
        for record in list(agent.usage.values()) if agent else []:
            router = self.fleet.owner(record) if index is None else self.router(index)
            if router is None or not router.active:
                continue
            if self.fleet.connected(agent.region, router.region):
                router.learn_usage(record, agent)
                router.commit(fault=fault)

    @rule(index=INDEX, fault=FAULT, give_up=st.booleans())
    def commit(self, index, fault, give_up):
        """Run a router's periodic commit; ``give_up`` refuses waiting requests."""
        router = self.router(index)
        if router is None:
            return
        if give_up:
            router.refuse_waiting()
        router.order_grant()
        router.commit(fault=fault)

    @rule(
        index=INDEX,
        seconds=st.sampled_from([0, 1, 30, 2000]),
        all_free=st.booleans(),
        fault=FAULT,
    )
    def hand_back(self, index, seconds, all_free, fault):
        self.fleet.now += seconds
        router = self.router(index)
        if router is not None:
            router.hand_back(all_free=all_free)
            router.commit(fault=fault)

    @rule(number=INDEX, tokens=TOKENS, repeated=st.booleans())
    def lend(self, number, tokens, repeated):
        active = [router for router in self.fleet.routers if router.active]
        if len(active) < 2:
            return
        lender = max(active, key=lambda router: router.pool.free(KEY))
        active.remove(lender)
        borrower = pick(active, number)
        if self.fleet.connected(lender.region, borrower.region):
            loan_id = f"loan-{self.fleet.next_number()}"
            for _ in range(2 if repeated else 1):
                borrower.pool.add_loan(lender.pool.lend(KEY, tokens, loan_id))
            borrower.admit_waiting()

    @rule(index=INDEX, lost=st.booleans(), repeated=st.booleans())
    def return_loans(self, index, lost, repeated):
        borrower = self.router(index)
        if borrower is not None:
            borrower.return_loans(lost=lost, repeated=repeated)

    @rule(index=INDEX, what=st.sampled_from(["kill", "pause", "wake", "start"]))
    def change_router(self, index, what):
        router = pick(self.fleet.routers, index)
        if what == "kill":
            router.alive = False
        elif what in ("pause", "wake"):
            router.paused = what == "pause"
        elif not router.alive and self.fleet.reaches_store(router.region):
            self.fleet.restart_router(router)

    @rule(index=INDEX, what=st.sampled_from(["kill", "start", "restart", "lose VM"]))
    def change_agent(self, index, what):
        agent = pick(self.fleet.agents, index)
        if what != "start":
            self.fleet.kill_agent(agent)
        if what == "lose VM":
            self.fleet.lose_vm(agent)
        elif what != "kill":
            self.fleet.restart_agent(agent)

    @rule(what=st.sampled_from(["store down", "cut", "heal", "heal", "heal"]))
    def change_network(self, what):
        self.fleet.store_up = what != "store down"
        self.fleet.is_network_cut = what == "cut"

    @precondition(lambda self: self.fleet.store_up)
    @rule(tokens=st.integers(-40, 60))
    def change_limit(self, tokens):
        """Raise or lower the limit, also while the network between regions is down."""
        self.fleet.set_limit(max(0, self.fleet.record.limit + tokens))

    @precondition(lambda self: self.fleet.store_up)
    @rule(index=INDEX, reclaimer_index=INDEX, fault=FAULT, asked=ASKED)
    def reclaim(self, index, reclaimer_index, fault, asked):
        """Reclaim from an incarnation that may be dead, paused or only slow."""
        holders = self.fleet.record.holders
        if not holders:
            return
        self.fleet.start_reclaim(pick(holders, index))
        self.continue_reclaim(len(self.fleet.plans) - 1, reclaimer_index, fault, asked)

    @precondition(lambda self: self.fleet.plans)
    @rule(number=INDEX, reclaimer_index=INDEX, fault=FAULT, asked=ASKED)
    def continue_reclaim(self, number, reclaimer_index, fault, asked):
        """Ask one agent, or both if ``asked`` is 2, then apply the plan's decisions."""
        plan, reclaimer = pick(self.fleet.plans, number), self.router(reclaimer_index)
        if reclaimer is None or not self.fleet.reaches_store(reclaimer.region):
            return
        agents = self.fleet.agents if asked > 1 else [self.fleet.agents[asked]]
        for agent in agents:
            if self.fleet.connected(reclaimer.region, agent.region):
                self.fleet.ask_agent(plan, agent)
        self.fleet.finish_reclaim(plan, reclaimer)
        reclaimer.commit(fault=fault)

    @invariant()
    def tokens_are_covered(self):
        self.fleet.check_tokens_covered()

    def teardown(self):
        """End all faults, finish all runs, then check the bills and the grants."""
        if sys.exc_info()[0] is not None:
            # A step has failed; an error raised here would hide the first one.
            return
        fleet = self.fleet
        event("false refusals", min(fleet.false_refusals, 5))
        fleet.store_up, fleet.is_network_cut = True, False
        expected = fleet.requests_to_bill()
        fleet.settle_everything()
        for request_id in expected:
            billed = fleet.record.usage(request_id)
            assert billed is not None, "a finished run was not billed"
        fleet.check_held()
        fleet.shut_down()
        assert fleet.record.grants_by_id == {}, "tokens are stuck in a grant"
        fleet.check_tokens_covered()


TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.settings = settings(
    max_examples=1000, stateful_step_count=30, derandomize=True, deadline=None
)
