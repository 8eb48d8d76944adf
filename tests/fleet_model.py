"""A model of the fleet around the real budget decisions, for the state machine.

Routers decide with GrantPool, agents with FenceGate, the reclaim with
MemberRecord and ReclaimPlan, and the store's value changes through ``apply``
only. Messages, processes and faults are modelled.
"""

from collections.abc import Callable

from lavenderfold.budgets import (
    AlreadySettled,
    BudgetRecord,
    BudgetSpent,
    GrantMissing,
    GrantOpened,
    GrantPool,
    LedgerShard,
    OpenGrant,
    Reservation,
    SetLimit,
    Settle,
    apply,
)
from lavenderfold.config import Budget
from lavenderfold.identifiers import BudgetKey, RequestKey, make_request_id
from lavenderfold.members import FenceGate, MemberRecord, ReclaimPlan
from lavenderfold.messages import FenceReport, UsageRecord

KEY = BudgetKey("regina", "main")
BUDGET = Budget(prepaid={"first": 100}, grant_share=0.4, ride_out_s=1800.0)
START = 1_790_000_000.0
STORE_REGION = "west"


class Attempt:
    """One run of a request, with what the model knows to be true about it."""

    def __init__(self, *, run_id: str, reservation: Reservation, wanted: int):
        self.run_id = run_id
        self.reservation = reservation
        self.wanted = wanted
        self.state = "sent"
        self.tokens = 0
        self.agent: Agent | None = None
        self.informed: list[Router] = []

    @property
    def request_id(self) -> str:
        return self.reservation.request_id

    @property
    def spent(self) -> int:
        """Return what the run may have used so far: all of it while it's open."""
        if self.state in ("open", "lost"):
            return self.wanted
        return self.tokens if self.state == "finished" else 0


class Agent:
    """One process beside a target; a restart makes a new one."""

    def __init__(self, *, target: str, region: str):
        self.target = target
        self.region = region
        self.alive = True
        self.gate: FenceGate | None = None
        self.open: dict[str, Attempt] = {}
        self.usage: dict[str, UsageRecord] = {}
        self.ended: dict[str, UsageRecord] = {}

    def fence(self, incarnation: int) -> FenceReport:
        self.gate.fence(incarnation)
        held: dict[str, int] = {}
        for attempt in self.open.values():
            reservation = attempt.reservation
            if reservation.payer == incarnation:
                grant = reservation.grant_id
                held[grant] = held.get(grant, 0) + reservation.tokens
        for record in self.usage.values():
            if record.payer == incarnation:
                held[record.grant_id] = held.get(record.grant_id, 0) + record.tokens
        known = self.gate.complete_after(incarnation)
        return FenceReport(self.target, incarnation, held, known)


class Router:
    """One router process: its pool, its queue of ledger operations, its runs."""

    def __init__(self, fleet: "Fleet", *, name: str, region: str):
        self.fleet = fleet
        self.name = name
        self.region = region
        self.alive = True
        self.paused = False
        self.pool = GrantPool(incarnation=fleet.register(name))
        self.queue: list[tuple[object, Callable]] = []
        self.unanswered: list[tuple[object, Callable]] = []
        self.waiting: dict[str, int] = {}
        self.left_over: int | None = None
        self.attempt_by_run: dict[str, Attempt] = {}

    @property
    def active(self) -> bool:
        return self.alive and not self.paused

    def admit(self, request_id: str, tokens: int) -> None:
        reservation = self.pool.reserve(KEY, request_id, tokens, now=self.fleet.now)
        if reservation is None:
            self.waiting[request_id] = tokens
            return
        self.waiting.pop(request_id, None)
        attempt = self.fleet.send(reservation, tokens)
        self.attempt_by_run[attempt.run_id] = attempt

    def admit_waiting(self) -> None:
        for request_id, tokens in list(self.waiting.items()):
            self.admit(request_id, tokens)

    def fetch(self) -> None:
        waiting = sum(self.waiting.values())
        order = self.pool.order(
            KEY, budget=BUDGET, waiting_tokens=waiting, now=self.fleet.now
        )
        if order is not None:
            self.queue.append((order.operation, self.end_order))

    def end_order(self, operation: OpenGrant, result: object) -> None:
        if isinstance(result, GrantOpened):
            self.pool.add_grant(
                KEY, operation.grant_id, result.amount, available=result.available
            )
            self.admit_waiting()
            return
        available = result.available if isinstance(result, BudgetSpent) else 0
        self.pool.refuse_order(KEY, operation.grant_id, available=available)
        if self.waiting and isinstance(result, BudgetSpent):
            self.left_over = available

    def seek_money(self) -> None:
        """Have holders hand back; refuse what one more order can't cover.

        Only an order made after the holders answered proves a lack of money.
        """
        asked = [
            router
            for router in self.fleet.routers
            if router.active and self.fleet.connected(self.region, router.region)
        ]
        for router in asked:
            router.commit_all()
        for router in asked:
            router.return_loans()
        for router in asked:
            router.hand_back(pressed=True)
            router.commit_all()
        self.left_over = None
        self.fetch()
        self.commit_all()
        if self.left_over is not None:
            self.refuse_waiting(above=self.left_over, asked=True)
            self.left_over = None

    def return_loans(self, *, lost: bool = False, repeated: bool = False) -> None:
        for loan_return in self.pool.return_loans(KEY):
            for lender in self.fleet.routers:
                connected = self.fleet.connected(lender.region, self.region)
                if lender.alive and connected and not lost:
                    for _ in range(2 if repeated else 1):
                        lender.pool.take_back(loan_return)

    def refuse_waiting(self, *, above: int = 0, asked: bool = False) -> None:
        for request_id, tokens in list(self.waiting.items()):
            if tokens > above:
                del self.waiting[request_id]
                self.fleet.count_refusal(tokens, asked=asked)

    def hand_back(self, *, pressed: bool) -> None:
        for operation in self.pool.surplus(
            KEY, budget=BUDGET, now=self.fleet.now, pressed=pressed
        ):
            self.queue.append((operation, self.end_hand_back))

    def end_hand_back(self, operation: object, result: object) -> None:
        self.pool.confirm_hand_back(operation)

    def refused(self, attempt: Attempt) -> None:
        """The agent refused the run because its payer was fenced."""
        payer = attempt.reservation.payer
        self.pool.cancel(attempt.reservation)
        self.pool.drop_all(payer)
        if payer == self.pool.incarnation and self.fleet.reaches_store(self.region):
            self.pool.incarnation = self.fleet.register(f"{self.name}+")

    def learn_usage(self, record: UsageRecord, agent: Agent) -> None:
        attempt = self.fleet.attempts[record.run_id]
        if self not in attempt.informed:
            attempt.informed.append(self)
        own = self.attempt_by_run.pop(record.run_id, None)
        if own is not None:
            self.pool.settle(own.reservation, record.tokens)
            agent.ended.pop(record.run_id, None)
            self.admit_waiting()
        request, fenced = record.key.request_id, self.fleet.retired
        operation = Settle(KEY, record.grant_id, request, record.tokens)

        def end(_: object, result: object) -> None:
            agent.usage.pop(record.run_id, None)
            assert not isinstance(result, GrantMissing), "a bill had no grant"
            free = self.pool.free(KEY)
            if own is not None and isinstance(result, AlreadySettled):
                self.pool.refund(own.reservation, record.tokens)
            refunded = self.pool.free(KEY) - free
            if isinstance(result, AlreadySettled) and own is not None:
                payer = own.reservation.payer
                owes = payer == self.pool.incarnation and payer not in fenced
                assert refunded == record.tokens or not owes, "nothing refunded"
            self.fleet.note_bill(record, result, refunded=refunded)

        self.queue.append((operation, end))

    def commit(self, *, fault: str = "") -> None:
        """Write the queue; a lack of money leads to the other holders."""
        self.write(fault=fault)
        if self.left_over is not None:
            self.seek_money()

    def write(self, *, fault: str = "") -> None:
        """Write one batch by compare-and-swap; ``fault`` loses a message."""
        if not self.active or not self.fleet.reaches_store(self.region):
            return
        if not self.unanswered:
            self.unanswered, self.queue = self.queue, []
        batch = self.unanswered
        if not batch or fault == "before":
            return
        results = self.fleet.write([operation for operation, _ in batch])
        if fault == "after":
            return
        self.unanswered = []
        for (operation, end), result in zip(batch, results, strict=True):
            end(operation, result)

    def commit_all(self) -> None:
        while self.queue or self.unanswered:
            if not self.active or not self.fleet.reaches_store(self.region):
                return
            self.write()


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
