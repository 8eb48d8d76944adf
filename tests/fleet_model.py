"""A model of the fleet around the real budget decisions, for the state machine.

Routers decide with GrantPool, agents with FenceGate, the reclaim with
MemberRecord and ReclaimPlan, and the store's value changes through ``apply``
only. Messages, processes and faults are modelled.
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
    """The store, the processes and what the model counts."""

    def __init__(self):
        self.now = START
        self.value = LedgerShard().encode()
        self._decoded = (b"", LedgerShard())
        self.members = MemberRecord().encode()
        self.store_up = True
        self.cut = False
        self.sequence = 0
        self.revision = 0
        self.ceiling = 0
        self.false_refusals = 0
        self.attempts: dict[str, Attempt] = {}
        self.tokens_by_request: dict[str, int] = {}
        self.in_flight: list[Attempt] = []
        self.plans: list[ReclaimPlan] = []
        self.retired: set[int] = set()
        self.billed_run: dict[str, str] = {}
        self.duplicates: dict[str, int] = {}
        self.gone: list[str] = []
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
        if self._decoded[0] != self.value:
            self._decoded = (self.value, LedgerShard.decode(self.value))
        return self._decoded[1]

    @property
    def record(self) -> BudgetRecord:
        return self.shard.records_by_key[KEY]

    @property
    def member_record(self) -> MemberRecord:
        return MemberRecord.decode(self.members)

    def next_number(self) -> int:
        self.sequence += 1
        return self.sequence

    def connected(self, region: str, other: str) -> bool:
        return not self.cut or region == other

    def reaches_store(self, region: str) -> bool:
        return self.store_up and self.connected(region, STORE_REGION)

    def register(self, name: str) -> int:
        record, incarnation = self.member_record.register(
            router=name, boot_id=f"boot-{self.next_number()}"
        )
        self.members = record.encode()
        return incarnation

    def make_ready(self, agent: Agent) -> None:
        if agent.alive and self.reaches_store(agent.region):
            agent.gate = agent.gate or FenceGate(self.member_record)
            for router in self.routers:
                if router.active and self.connected(router.region, agent.region):
                    pool = router.pool
                    agent.gate.greet(pool.incarnation, pool.grant_sequence)

    def write(self, operations: list) -> list:
        """Apply a batch to the stored value and check the ledger's own sums."""
        before = self.shard
        shard, results = apply(before, operations, now_unix=self.now)
        old, new = before.records_by_key.get(KEY), shard.records_by_key[KEY]
        if old is not None:
            assert new.charged <= max(new.limit, old.charged), "charged over limit"
        bills = sum(entry.tokens for entry in new.usage_by_id.values())
        assert new.settled == bills, "a request was billed twice"
        self.value = shard.encode()
        return results

    def set_limit(self, limit: int) -> None:
        self.revision += 1
        self.write([SetLimit(KEY, limit, self.revision)])
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
        """Hand a run to an agent; a fenced refusal goes back to its router."""
        self.in_flight.remove(attempt)
        sender = next(
            (r for r in self.routers if attempt.run_id in r.attempt_by_run), None
        )
        if agent.gate is not None and agent.gate.admits(attempt.reservation.payer):
            attempt.state, attempt.agent = "open", agent
            agent.open[attempt.run_id] = attempt
            return
        attempt.state = "refused"
        if sender is None:
            return
        del sender.attempt_by_run[attempt.run_id]
        if agent.gate is None:
            sender.pool.cancel(attempt.reservation)
        else:
            sender.refused(attempt)

    def finish(self, attempt: Attempt, tokens: int) -> None:
        attempt.state, attempt.tokens = "finished", tokens
        agent, reservation = attempt.agent, attempt.reservation
        del agent.open[attempt.run_id]
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
        for attempt in agent.open.values():
            attempt.state = "lost"

    def owner(self, record: UsageRecord) -> Router | None:
        """Return the live router that sent the run, if it waits for its end."""
        owners = [r for r in self.routers if record.run_id in r.attempt_by_run]
        return owners[0] if owners and owners[0].alive else None

    def restart_router(self, router: Router) -> None:
        started = Router(self, name=router.name, region=router.region)
        self.routers[self.routers.index(router)] = started

    def restart_agent(self, agent: Agent) -> None:
        """Start a new process if there's none; it reads the member record."""
        if not agent.alive:
            started = Agent(target=agent.target, region=agent.region)
            self.agents[self.agents.index(agent)] = started
            agent = started
        self.make_ready(agent)

    def lose_vm(self, agent: Agent) -> None:
        """The VM of a dead agent is gone; another target takes its place."""
        self.gone.append(agent.target)
        for plan in self.plans:
            plan.target_gone(agent.target)
        agent.target = f"target-{self.next_number()}"
        self.restart_agent(agent)

    def requests_to_bill(self) -> set[str]:
        """Return the finished requests whose usage some live process knows."""
        return {
            attempt.request_id
            for attempt in self.attempts.values()
            if attempt.state == "finished"
            and (attempt.agent.alive or any(r.alive for r in attempt.informed))
        }

    def settle_everything(self) -> None:
        """Let every run end and every live process report what it knows."""
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
            for attempt in list(agent.open.values()):
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
        """Hand back what is free, then reclaim the rest from all routers."""
        living = [router for router in self.routers if router.alive]
        for router in living:
            router.return_loans()
        for router in living:
            router.hand_back(pressed=True)
            router.commit_all()
        for incarnation in self.record.holders:
            self.start_reclaim(incarnation)
            for agent in self.agents:
                self.ask_agent(self.plans[-1], agent)
            self.finish_reclaim(self.plans[-1], living[0])
            living[0].commit_all()

    def start_reclaim(self, incarnation: int) -> None:
        """Retire an incarnation, then plan to ask the agents that it could use."""
        self.retired.add(incarnation)
        self.members = self.member_record.retire(incarnation).encode()
        targets = [agent.target for agent in self.agents] + self.gone
        plan = ReclaimPlan(incarnation=incarnation, targets=targets)
        for target in self.gone:
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
        """Count a refusal for money while unspent money existed anywhere."""
        if self.ceiling - self.spent() >= tokens:
            self.false_refusals += 1
        if not asked or self.cut or not all(router.active for router in self.routers):
            return
        free = sum(router.pool.free(KEY) for router in self.routers)
        available = self.record.available
        assert tokens > available + free, f"{tokens} refused of {available} + {free}"

    def note_bill(self, record: UsageRecord, result: object, *, refunded: int) -> None:
        """Count the tokens that the ledger keeps in a grant for a duplicate."""
        first = self.billed_run.setdefault(record.key.request_id, record.run_id)
        if first != record.run_id or isinstance(result, AlreadySettled):
            kept = self.duplicates.get(record.grant_id, 0)
            self.duplicates[record.grant_id] = kept + record.tokens - refunded

    def spent(self) -> int:
        """Return the tokens that runs used or may use, once for each request."""
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

    def owed_by_grant(self) -> dict[str, int]:
        """Return what runs hold of each grant and nobody has billed yet."""
        owed: dict[str, int] = {}
        for attempt in self.attempts.values():
            if self.record.usage(attempt.request_id) is None:
                grant = attempt.reservation.grant_id
                owed[grant] = owed.get(grant, 0) + attempt.spent
        return owed

    def check_money(self) -> None:
        """Every run that isn't billed is covered by the grant that pays for it."""
        record = self.record
        assert self.spent() <= self.ceiling, "more was spent than was prepaid"
        owed = self.owed_by_grant()
        for grant_id, tokens in owed.items():
            grant = record.grants_by_id.get(grant_id)
            closed = record.closed_by_id.get(grant_id)
            held = grant.amount if grant else closed.written_off if closed else 0
            assert tokens <= held, f"grant {grant_id} holds {held}, owes {tokens}"
        self.check_free(owed)

    def check_free(self, owed: dict[str, int]) -> None:
        """No token is free at two places, or free and owed for a run."""
        free: dict[str, int] = {}
        for router in self.routers:
            for grant_id, tokens in router.pool.free_by_grant(KEY).items():
                free[grant_id] = free.get(grant_id, 0) + tokens
        for grant_id, tokens in free.items():
            grant = self.record.grants_by_id.get(grant_id)
            if int(grant_id.split("-")[0]) in self.retired:
                continue
            held = grant.amount if grant else 0
            claimed = tokens + owed.get(grant_id, 0)
            assert claimed <= held, f"{claimed} of {held} in grant {grant_id}"

    def check_held(self) -> None:
        """A live router knows every token of its grants, but for duplicates."""
        for router in self.routers:
            own = router.pool.incarnation
            if not router.alive or own in self.retired:
                continue
            held = router.pool.held_by_grant(KEY)
            for grant_id, grant in self.record.grants_by_id.items():
                if grant.holder == own:
                    known = held.get(grant_id, 0) + self.duplicates.get(grant_id, 0)
                    assert grant.amount <= known, f"unknown tokens in {grant_id}"
