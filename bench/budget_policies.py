"""False refusals, overspend and store calls of budget policies under faults.

The router's own grant keeper and ledger client run in virtual time against a
store and peers in memory, beside two baselines: an equal split of each payment
between the routers, and a store write for each request.
Run: python -m bench.budget_policies
"""

import random
from collections.abc import Awaitable, Callable

import msgspec
import trio
import trio.testing

from bench.budget_faults import (
    BATCH_WINDOW_S,
    DYING_ROUTER,
    FAULT_START_S,
    FIRST_PAYMENT,
    KEY,
    ROUTERS,
    WORST_CASE_TOKENS,
    FaultyStore,
    InMemoryPeers,
    Scenario,
)
from bench.store_calls import InMemoryStore
from lavenderfold.budgets import (
    BudgetSpent,
    GrantOpened,
    GrantPool,
    HandBack,
    LedgerClient,
    OpenGrant,
    Reclaim,
    SetLimit,
    Settle,
)
from lavenderfold.config import Budget, FleetConfig, Organisation
from lavenderfold.identifiers import RequestKey, make_request_id
from lavenderfold.metrics import NullMetrics
from lavenderfold.outcomes import NotRun
from lavenderfold.router._grants import GrantManager
from lavenderfold.timers import TimerService

SEED = 20261204
DURATION_S = 900.0
REQUESTS_PER_S = 2.0
USED_TOKENS = (400, 1000)
RUN_S = 4.0
QUICK_WAIT_S, LONG_WAIT_S = 5.0, 900.0
LONG_SHARE = 0.2
# A dead router's member lease lapses, then the agents are asked to fence it.
RECLAIM_AFTER_S = 20.0
RETENTION_S = 86_400.0
TEND_S = 1.0
SETTLE_WAIT_S = 2.0
PREFERENCES = {
    # Overspend is the worse error: little is set aside at a time.
    "prairie": {"grant_share": 0.0625, "ride_out_s": 300.0},
    # False refusals are the worse error: more is held ready.
    "derwent": {"grant_share": 0.25, "ride_out_s": 600.0},
}
FAULTS = ("none", "store_down", "region_cut", "router_dies", "answers_lost")


class Tally(msgspec.Struct):
    """What happened to the requests of one run."""

    requests: int = 0
    refused: int = 0
    false_refusals: int = 0
    long_refused: int = 0
    overspend: int = 0
    store_calls: int = 0
    waits: list[float] = msgspec.field(default_factory=list)


# Reserves for a request by a deadline; returns a function that ends its run
# with the tokens used, or None for a refusal.
Finish = Callable[[int], Awaitable[None]]
Reserve = Callable[[RequestKey, float], Awaitable[Finish | None]]


def make_client(store: FaultyStore) -> LedgerClient:
    return LedgerClient(
        store=store,
        timers=make_timers(),
        shard_count=1,
        batch_window_s=BATCH_WINDOW_S,
        retention_s=RETENTION_S,
    )


def make_timers() -> TimerService:
    timers = TimerService(clock=trio.current_time)
    timers.unix_time = trio.current_time
    return timers


async def grant_policies(
    stores: list[FaultyStore],
    scenario: Scenario,
    nursery: trio.Nursery,
    preference: str,
) -> tuple[list[Reserve], list[LedgerClient]]:
    """The router's policy."""
    keepers: dict[int, GrantManager] = {}
    clients = [make_client(store) for store in stores]

    def config(place: int) -> FleetConfig:
        prepaid = {"all": scenario.seen_limit(place)}
        budget = Budget(prepaid=prepaid, **PREFERENCES[preference])
        organisation = Organisation(budgets={KEY.budget: budget})
        return FleetConfig(organisations={KEY.organisation: organisation})

    def revision(place: int) -> int:
        return 1 + (scenario.seen_limit(place) > FIRST_PAYMENT)

    async def maintain(keeper: GrantManager) -> None:
        while True:
            await trio.sleep(TEND_S)
            await keeper.maintain()

    async def reclaim_after_death() -> None:
        await trio.sleep(FAULT_START_S + RECLAIM_AFTER_S)
        for keeper in keepers.values():
            # The agents refuse what the dead router's grants and loans pay for.
            keeper.payer_was_fenced(DYING_ROUTER + 1)
        record = (await clients[0].read(KEY)).unwrap()
        for grant_id, grant in record.grants_by_id.items():
            if grant.holder == DYING_ROUTER + 1:
                keep = scenario.open_by_grant_id[grant_id]
                await clients[0].submit(Reclaim(KEY, grant_id, keep))

    async def live(place: int, keeper: GrantManager, parts: trio.Nursery) -> None:
        """Tend a router's grants until it dies."""
        parts.start_soon(maintain, keeper)
        if scenario.fault == "router_dies" and place == DYING_ROUTER:
            await trio.sleep(FAULT_START_S)
            parts.cancel_scope.cancel()

    async def run_router(
        place: int, *, task_status: trio.TaskStatus[GrantManager]
    ) -> None:
        async with trio.open_nursery() as parts:
            parts.start_soon(clients[place].run)
            keeper = make_keeper(place, parts)
            task_status.started(keeper)
            await live(place, keeper, parts)

    def make_keeper(place: int, parts: trio.Nursery) -> GrantManager:
        return GrantManager(
            pool=GrantPool(incarnation=place + 1),
            ledger=clients[place],
            peers=InMemoryPeers(place=place, keepers=keepers, scenario=scenario),
            timers=make_timers(),
            metrics=NullMetrics(),
            nursery=parts,
            config=lambda: config(place),
            revision=lambda: revision(place),
            on_own_fenced=lambda payer: None,
        )

    if scenario.fault == "router_dies":
        nursery.start_soon(reclaim_after_death)

    def make_reserve(keeper: GrantManager, client: LedgerClient) -> Reserve:
        async def reserve(request: RequestKey, deadline: float) -> Finish | None:
            held = await keeper.reserve(request, WORST_CASE_TOKENS, deadline=deadline)
            place = keeper.pool.incarnation - 1
            if scenario.is_dead(place):
                # The caller of a router that died asks the other one.
                return await reserves[place ^ 1](request, deadline)
            if isinstance(held, NotRun):
                return None

            scenario.open_by_grant_id[held.grant_id] += WORST_CASE_TOKENS

            async def finish(used: int) -> None:
                scenario.open_by_grant_id[held.grant_id] -= WORST_CASE_TOKENS
                bill = Settle(KEY, held.grant_id, request.request_id, used)
                if not scenario.is_dead(place):
                    keeper.settle(held, used)
                    if (await client.submit(bill, timeout_s=SETTLE_WAIT_S)).is_ok():
                        return
                # The agent keeps the usage and hands it to another router.
                await clients[0 if scenario.is_dead(place) else place].submit(bill)

            return finish

        return reserve

    reserves = []
    for place, client in enumerate(clients):
        keeper = keepers[place] = await nursery.start(run_router, place)
        reserves.append(make_reserve(keeper, client))
    return reserves, clients


def equal_split(scenario: Scenario) -> list[Reserve]:
    """Baseline: each router spends a fixed part of each payment."""
    used_by_place = dict.fromkeys(range(ROUTERS), 0)

    def make_reserve(place: int) -> Reserve:
        async def reserve(request: RequestKey, deadline: float) -> Finish | None:
            while True:
                share = scenario.seen_limit(place) // ROUTERS
                if used_by_place[place] + WORST_CASE_TOKENS <= share:
                    break
                if trio.current_time() >= deadline:
                    return None
                await trio.sleep(0.5)
            used_by_place[place] += WORST_CASE_TOKENS

            async def finish(used: int) -> None:
                used_by_place[place] -= WORST_CASE_TOKENS - used

            return finish

        return reserve

    return [make_reserve(place) for place in range(ROUTERS)]


def store_per_request(
    stores: list[FaultyStore], scenario: Scenario, nursery: trio.Nursery
) -> tuple[list[Reserve], list[LedgerClient]]:
    """Baseline: the ledger reserves and settles each request on its own."""
    clients = [make_client(store) for store in stores]

    def make_reserve(place: int, client: LedgerClient) -> Reserve:
        nursery.start_soon(client.run)

        async def reserve(request: RequestKey, deadline: float) -> Finish | None:
            grant_id = f"{place + 1}-{request.request_id}"
            limit = scenario.seen_limit(place)
            await client.submit(
                SetLimit(KEY, limit, int(limit > FIRST_PAYMENT)), timeout_s=1.0
            )
            order = OpenGrant(
                KEY, grant_id, place + 1, WORST_CASE_TOKENS, WORST_CASE_TOKENS
            )
            while trio.current_time() < deadline:
                wait_s = deadline - trio.current_time()
                answer = (await client.submit(order, timeout_s=wait_s)).ok()
                if isinstance(answer, GrantOpened):
                    return finish_of(request, grant_id)
                if isinstance(answer, BudgetSpent) and not answer.holders:
                    return None
                await trio.sleep(0.5)
            return None

        def finish_of(request: RequestKey, grant_id: str) -> Finish:
            async def finish(used: int) -> None:
                await client.submit(Settle(KEY, grant_id, request.request_id, used))
                unused = WORST_CASE_TOKENS - used
                await client.submit(HandBack(KEY, grant_id, "end", unused))

            return finish

        return reserve

    return [make_reserve(*each) for each in enumerate(clients)], clients


async def call(
    reserve: Reserve, request: RequestKey, scenario: Scenario, tally: Tally
) -> None:
    """Make one request and count its outcome."""
    is_long = scenario.randomness.random() < LONG_SHARE
    used = scenario.randomness.randrange(*USED_TOKENS)
    start = trio.current_time()
    wait_s = LONG_WAIT_S if is_long else QUICK_WAIT_S
    finish = await reserve(request, start + wait_s)
    tally.requests += 1
    if finish is None:
        tally.refused += 1
        tally.long_refused += is_long
        tally.false_refusals += scenario.has_money
        return
    tally.waits.append(trio.current_time() - start)
    scenario.reserved += WORST_CASE_TOKENS
    await trio.sleep(RUN_S)
    scenario.reserved -= WORST_CASE_TOKENS
    scenario.spent += used
    tally.overspend = max(tally.overspend, scenario.spent - scenario.limit)
    await finish(used)


def pick_router(scenario: Scenario) -> int:
    """Most calls come to the first region, later to the second."""
    first_share = 0.8 if trio.current_time() < DURATION_S / 2 else 0.3
    half = ROUTERS // 2
    region = 0 if scenario.randomness.random() < first_share else 1
    place = region * half + scenario.randomness.randrange(half)
    # The balancer sends a dead router's callers to the other one of its region.
    return place ^ 1 if scenario.is_dead(place) else place


async def measure(policy: str, fault: str, preference: str) -> Tally:
    """Run one scenario to its end."""
    scenario = Scenario(fault=fault, randomness=random.Random(SEED))
    shared = InMemoryStore()
    stores = [
        FaultyStore(store=shared, scenario=scenario, place=place)
        for place in range(ROUTERS)
    ]
    tally = Tally()
    clients: list[LedgerClient] = []
    async with trio.open_nursery() as nursery:
        if policy == "grants":
            reserves, clients = await grant_policies(
                stores, scenario, nursery, preference
            )
        elif policy == "equal split":
            reserves = equal_split(scenario)
        else:
            reserves, clients = store_per_request(stores, scenario, nursery)
        with trio.move_on_after(DURATION_S + LONG_WAIT_S + 30):
            async with trio.open_nursery() as callers:
                for number in range(int(DURATION_S * REQUESTS_PER_S)):
                    await trio.sleep(scenario.randomness.expovariate(REQUESTS_PER_S))
                    request_id = make_request_id(
                        unix_time=trio.current_time(), random_bits=number * 7919
                    )
                    reserve = reserves[pick_router(scenario)]
                    request = RequestKey(KEY, request_id)
                    callers.start_soon(call, reserve, request, scenario, tally)
        nursery.cancel_scope.cancel()
    tally.store_calls = sum(client.calls for client in clients)
    return tally


def print_row(policy: str, fault: str, tally: Tally) -> None:
    waits = sorted(tally.waits)
    p95 = waits[int(len(waits) * 0.95)] if waits else 0.0
    print(
        f"  {policy:22} {fault:13} {tally.requests:8} {tally.refused:8}"
        f" {tally.false_refusals:6} {tally.long_refused:6} {tally.overspend:9}"
        f" {tally.store_calls / max(1, tally.requests):7.2f} {p95:8.2f}"
    )


def main() -> None:
    print(f"seed={SEED} routers={ROUTERS} requests_per_s={REQUESTS_PER_S}")
    print(
        "  policy                 fault         requests  refused  false   long"
        " overspend calls/r p95 wait"
    )
    policies = [
        ("grants", "prairie"),
        ("grants", "derwent"),
        ("equal split", ""),
        ("store per request", ""),
    ]
    for policy, preference in policies:
        for fault in FAULTS:
            clock = trio.testing.MockClock(autojump_threshold=0)
            tally = trio.run(measure, policy, fault, preference, clock=clock)
            print_row(f"{policy} {preference}".strip(), fault, tally)


if __name__ == "__main__":
    main()
