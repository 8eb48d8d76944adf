"""A model of the fleet that runs the real budget decisions, for the state machine.

Routers use GrantPool, agents FenceGate and the reclaim MemberRecord and ReclaimPlan.
The stored shard is changed only by ``apply``. Messages, processes and faults are
modelled.
"""

from lavenderfold.budgets import (
    AlreadySettled,
    BudgetRecord,
    LedgerShard,
    Reservation,
    SetLimit,
    apply,
)
from lavenderfold.identifiers import RequestKey, make_request_id
from lavenderfold.members import FenceGate, MemberRecord, ReclaimPlan
from lavenderfold.messages import UsageRecord
from tests.fleet_processes import KEY, Agent, Attempt, Router

START = 1_790_000_000.0
STORE_REGION = "west"


class Fleet:
    """The store, the processes and the totals that the model checks.

    ``ceiling`` is the largest number of tokens that may be spent.
    """

    def __init__(self):
        self.now = START
        self.stored_shard = LedgerShard().encode()
        self._decoded = (b"", LedgerShard())
        self.stored_members = MemberRecord().encode()
        self.store_up = True
        self.is_network_cut = False
        self.sequence = 0
        self.limit_revision = 0
        self.ceiling = 0
        self.false_refusals = 0
        self.attempts: dict[str, Attempt] = {}
        self.tokens_by_request: dict[str, int] = {}
        self.in_flight: list[Attempt] = []
        self.plans: list[ReclaimPlan] = []
        self.retired: set[int] = set()
        self.billed_run_by_request: dict[str, str] = {}
        self.duplicate_tokens_by_grant: dict[str, int] = {}
        self.gone_targets: list[str] = []
        self.routers: list[Router] = []
        self.agents = [
            Agent(target="t0", region="west"),
            Agent(target="t1", region="east"),
        ]
        for agent in self.agents:
            self.make_ready(agent)
        self.routers = [
            Router(self, name="r0", region="west"),
            Router(self, name="r1", region="west"),
            Router(self, name="r2", region="east"),
        ]

    @property
    def shard(self) -> LedgerShard:
        if self._decoded[0] != self.stored_shard:
            self._decoded = (self.stored_shard, LedgerShard.decode(self.stored_shard))
        return self._decoded[1]

    @property
    def record(self) -> BudgetRecord:
        return self.shard.records_by_key[KEY]

    @property
    def member_record(self) -> MemberRecord:
        return MemberRecord.decode(self.stored_members)

    def next_number(self) -> int:
        self.sequence += 1
        return self.sequence

    def connected(self, region: str, other: str) -> bool:
        return not self.is_network_cut or region == other

    def reaches_store(self, region: str) -> bool:
        return self.store_up and self.connected(region, STORE_REGION)

    def register(self, name: str) -> int:
        record, incarnation = self.member_record.register(
            router=name, boot_id=f"boot-{self.next_number()}"
        )
        self.stored_members = record.encode()
        return incarnation

    def make_ready(self, agent: Agent) -> None:
        if agent.alive and self.reaches_store(agent.region):
            agent.gate = agent.gate or FenceGate(self.member_record)
            for router in self.routers:
                if router.active and self.connected(router.region, agent.region):
                    pool = router.pool
                    agent.gate.greet(pool.incarnation, pool.grant_sequence)

    def write(self, operations: list) -> list:
        """Apply a batch to the stored shard and check the totals of the ledger."""
        before = self.shard
        shard, results = apply(before, operations, now_unix=self.now)
        old, new = before.records_by_key.get(KEY), shard.records_by_key[KEY]
        if old is not None:
            assert new.charged <= max(new.limit, old.charged), (
                "charged beyond the limit"
            )
        bills = sum(entry.tokens for entry in new.usage_by_id.values())
        assert new.settled == bills, "a request was billed twice"
        self.stored_shard = shard.encode()
        return results

    def set_limit(self, limit: int) -> None:
        self.limit_revision += 1
        self.write([SetLimit(KEY, limit, self.limit_revision)])
        self.ceiling = max(limit, self.record.charged)

    def new_request(self, tokens: int) -> str:
        request_id = make_request_id(unix_time=self.now, random_bits=self.next_number())
        self.tokens_by_request[request_id] = tokens
        return request_id

    def send(self, reservation: Reservation, wanted: int) -> Attempt:
        run_id = f"run-{self.next_number()}"
        attempt = Attempt(run_id=run_id, reservation=reservation, wanted=wanted)
        self.attempts[run_id] = attempt
        self.in_flight.append(attempt)
        grant = self.record.grants_by_id.get(reservation.grant_id)
        assert grant is None or grant.holder == reservation.payer, "wrong payer"
        return attempt

    def deliver(self, attempt: Attempt, agent: Agent) -> None:
        """Deliver a run to an agent; report a refusal to the router that sent it."""
        self.in_flight.remove(attempt)
        sender = next(
            (r for r in self.routers if attempt.run_id in r.attempt_by_run), None
        )
        if agent.gate is not None and agent.gate.admits(attempt.reservation.payer):
            attempt.state, attempt.agent = "open", agent
            agent.open_runs[attempt.run_id] = attempt
            return
        attempt.state = "refused"
        if sender is None:
            return
        del sender.attempt_by_run[attempt.run_id]
        if agent.gate is None:
            sender.pool.cancel(attempt.reservation)
        else:
            sender.handle_refusal(attempt)

    def finish(self, attempt: Attempt, tokens: int) -> None:
        attempt.state, attempt.tokens = "finished", tokens
        agent, reservation = attempt.agent, attempt.reservation
        del agent.open_runs[attempt.run_id]
        record = UsageRecord(
            run_id=attempt.run_id,
            key=RequestKey(KEY, attempt.request_id),
            payer=reservation.payer,
            grant_id=reservation.grant_id,
            tokens=tokens,
        )
        agent.usage[attempt.run_id] = agent.ended[attempt.run_id] = record

    def kill_agent(self, agent: Agent) -> None:
        agent.alive = False
        for attempt in agent.open_runs.values():
            attempt.state = "lost"

    def owner(self, record: UsageRecord) -> Router | None:
        """Return the router that sent a run, if it is alive and waits for the usage."""
        owners = [r for r in self.routers if record.run_id in r.attempt_by_run]
        return owners[0] if owners and owners[0].alive else None

    def restart_router(self, router: Router) -> None:
        started = Router(self, name=router.name, region=router.region)
        self.routers[self.routers.index(router)] = started

    def restart_agent(self, agent: Agent) -> None:
        """Start a new process if the agent is dead; it then reads the member record."""
        if not agent.alive:
            started = Agent(target=agent.target, region=agent.region)
            self.agents[self.agents.index(agent)] = started
            agent = started
        self.make_ready(agent)

    def lose_vm(self, agent: Agent) -> None:
        """Remove the VM of a dead agent; a new target replaces it."""
        self.gone_targets.append(agent.target)
        for plan in self.plans:
            plan.target_gone(agent.target)
        agent.target = f"target-{self.next_number()}"
        self.restart_agent(agent)

    def requests_to_bill(self) -> set[str]:
        """Return the finished requests whose usage is known to a live process."""
        return {
            attempt.request_id
            for attempt in self.attempts.values()
            if attempt.state == "finished"
            and (attempt.agent.alive or any(r.alive for r in attempt.informed_routers))
        }

    def settle_everything(self) -> None:
        """Finish all runs and have all live processes report the usage they know."""
        for router in self.routers:
            router.paused = False
        if not any(router.alive for router in self.routers):
            self.restart_router(self.routers[0])
        living = [router for router in self.routers if router.alive]
        for agent in list(self.agents):
            self.restart_agent(agent)
        for attempt in list(self.in_flight):
            self.deliver(attempt, self.agents[0])
        for agent in self.agents:
            for attempt in list(agent.open_runs.values()):
                self.finish(attempt, attempt.wanted)
            for record in list({**agent.ended, **agent.usage}.values()):
                owner = self.owner(record)
                if owner is not None:
                    owner.learn_usage(record, agent)
                elif record.run_id in agent.usage:
                    living[0].learn_usage(record, agent)
        for router in living:
            router.refuse_waiting()
            router.commit_all()

    def shut_down(self) -> None:
        """Hand back all free tokens, then reclaim the remaining grants."""
        living = [router for router in self.routers if router.alive]
        for router in living:
            router.return_loans()
        for router in living:
            router.hand_back(all_free=True)
            router.commit_all()
        for incarnation in self.record.holders:
            self.start_reclaim(incarnation)
            for agent in self.agents:
                self.ask_agent(self.plans[-1], agent)
            self.finish_reclaim(self.plans[-1], living[0])
            living[0].commit_all()

    def start_reclaim(self, incarnation: int) -> None:
        """Retire an incarnation and plan to ask the agents that it may have used."""
        self.retired.add(incarnation)
        self.stored_members = self.member_record.retire(incarnation).encode()
        targets = [agent.target for agent in self.agents] + self.gone_targets
        plan = ReclaimPlan(incarnation=incarnation, targets=targets)
        for target in self.gone_targets:
            plan.target_gone(target)
        self.plans.append(plan)

    def ask_agent(self, plan: ReclaimPlan, agent: Agent) -> None:
        if agent.alive and agent.gate is not None:
            plan.report(agent.fence(plan.incarnation))

    def finish_reclaim(self, plan: ReclaimPlan, router: Router) -> None:
        plan.add_shard(self.shard)
        for operation in plan.decisions():
            router.queue.append((operation, lambda *_: None))

    def count_refusal(self, tokens: int, *, asked: bool) -> None:
        """Count a refusal as false if enough unspent tokens existed anywhere.

        If all routers were reachable and ``asked`` to hand back tokens, the free and
        available tokens must not have covered the request.
        """
        if self.ceiling - self.spent() >= tokens:
            self.false_refusals += 1
        if (
            not asked
            or self.is_network_cut
            or not all(router.active for router in self.routers)
        ):
            return
        free = sum(router.pool.free(KEY) for router in self.routers)
        available = self.record.available
        assert tokens > available + free, (
            f"{tokens} refused, with {available} available and {free} free"
        )

    def record_bill(
        self, record: UsageRecord, result: object, *, refunded: int
    ) -> None:
        """Count the tokens that stay in a grant because a run was a duplicate."""
        first = self.billed_run_by_request.setdefault(
            record.key.request_id, record.run_id
        )
        if first != record.run_id or isinstance(result, AlreadySettled):
            kept = self.duplicate_tokens_by_grant.get(record.grant_id, 0)
            self.duplicate_tokens_by_grant[record.grant_id] = (
                kept + record.tokens - refunded
            )

    def spent(self) -> int:
        """Return the tokens that runs used or may use, counting each request once."""
        by_request: dict[str, int] = {}
        for attempt in self.attempts.values():
            known = by_request.get(attempt.request_id, 0)
            by_request[attempt.request_id] = max(known, attempt.spent)
        record = self.record
        for request_id in by_request:
            billed = record.usage(request_id)
            if billed is not None:
                by_request[request_id] = billed
        return sum(by_request.values())

    def unbilled_by_grant(self) -> dict[str, int]:
        """Return the tokens of unbilled runs, by the grant that pays for them."""
        unbilled: dict[str, int] = {}
        for attempt in self.attempts.values():
            if self.record.usage(attempt.request_id) is None:
                grant = attempt.reservation.grant_id
                unbilled[grant] = unbilled.get(grant, 0) + attempt.spent
        return unbilled

    def check_tokens_covered(self) -> None:
        """Check that each grant covers the unbilled runs that it pays for."""
        record = self.record
        assert self.spent() <= self.ceiling, "more was spent than was prepaid"
        unbilled = self.unbilled_by_grant()
        for grant_id, tokens in unbilled.items():
            grant = record.grants_by_id.get(grant_id)
            closed = record.closed_by_id.get(grant_id)
            held = grant.amount if grant else closed.written_off if closed else 0
            assert tokens <= held, f"grant {grant_id} holds {held}, needs {tokens}"
        self.check_free(unbilled)

    def check_free(self, unbilled: dict[str, int]) -> None:
        """Check that no token is free twice, or free and needed for an unbilled run."""
        free: dict[str, int] = {}
        for router in self.routers:
            for grant_id, tokens in router.pool.free_by_grant(KEY).items():
                free[grant_id] = free.get(grant_id, 0) + tokens
        for grant_id, tokens in free.items():
            grant = self.record.grants_by_id.get(grant_id)
            if int(grant_id.split("-")[0]) in self.retired:
                continue
            held = grant.amount if grant else 0
            claimed = tokens + unbilled.get(grant_id, 0)
            assert claimed <= held, f"{claimed} tokens of {held} in grant {grant_id}"

    def check_held(self) -> None:
        """Check that live routers know all tokens of their grants, but duplicates."""
        for router in self.routers:
            own = router.pool.incarnation
            if not router.alive or own in self.retired:
                continue
            held = router.pool.held_by_grant(KEY)
            for grant_id, grant in self.record.grants_by_id.items():
                if grant.holder == own:
                    known = held.get(grant_id, 0) + self.duplicate_tokens_by_grant.get(
                        grant_id, 0
                    )
                    assert grant.amount <= known, f"unknown tokens in {grant_id}"
