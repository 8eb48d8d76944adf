"""False refusals, overspend and store calls of budget policies under faults.

The router's grant manager and ledger client run in virtual time against a
store and peers in memory. The two baselines are an equal split of each payment
between the routers and a store write for each request.
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
    INITIAL_TOKENS,
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
USED_TOKENS_RANGE = (400, 1000)
REQUEST_DURATION_S = 4.0
QUICK_WAIT_S, LONG_WAIT_S = 5.0, 900.0
LONG_SHARE = 0.2
# Time for a dead router's member lease to expire and the agents to fence it.
RECLAIM_AFTER_S = 20.0
RETENTION_S = 86_400.0
MAINTENANCE_INTERVAL_S = 1.0
SETTLE_TIMEOUT_S = 2.0
PREFERENCES = {
    # Overspend is worse than a false refusal, so only few tokens are granted at a time.
    "prairie": {"grant_share": 0.0625, "ride_out_s": 300.0},
    # A false refusal is worse than overspend, so more tokens are held ready.
    "derwent": {"grant_share": 0.25, "ride_out_s": 600.0},
}
FAULTS = ("none", "store_down", "region_cut", "router_dies", "answers_lost")


class RunStats(msgspec.Struct):
    """Counts and waiting times of the requests of one run."""

    requests: int = 0
    refused: int = 0
    false_refusals: int = 0
    long_refused: int = 0
    overspend: int = 0
    store_calls: int = 0
    waits: list[float] = msgspec.field(default_factory=list)


# A Reserve function reserves tokens for a request before a deadline. It returns a
# Finish function, which settles the tokens used, or None if the request is refused.
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


async def make_grant_policy(
    stores: list[FaultyStore],
    scenario: Scenario,
    nursery: trio.Nursery,
    preference: str,
) -> tuple[list[Reserve], list[LedgerClient]]:
    """The policy of the real router: grants, loans and hand-backs."""
    grant_managers: dict[int, GrantManager] = {}
    clients = [make_client(store) for store in stores]

    def config(router_index: int) -> FleetConfig:
        prepaid = {"all": scenario.configured_limit(router_index)}
        budget = Budget(prepaid=prepaid, **PREFERENCES[preference])
        organisation = Organisation(budgets={KEY.budget: budget})
        return FleetConfig(organisations={KEY.organisation: organisation})

    def revision(router_index: int) -> int:
        return 1 + (scenario.configured_limit(router_index) > INITIAL_TOKENS)

    async def maintain(grant_manager: GrantManager) -> None:
        while True:
            await trio.sleep(MAINTENANCE_INTERVAL_S)
            await grant_manager.maintain()

    async def reclaim_after_death() -> None:
        await trio.sleep(FAULT_START_S + RECLAIM_AFTER_S)
        for grant_manager in grant_managers.values():
            # The agents refuse requests paid by the dead router's grants or loans.
            grant_manager.payer_was_fenced(DYING_ROUTER + 1)
        record = (await clients[0].read(KEY)).unwrap()
        for grant_id, grant in record.grants_by_id.items():
            if grant.holder == DYING_ROUTER + 1:
                tokens_to_keep = scenario.open_by_grant_id[grant_id]
                await clients[0].submit(Reclaim(KEY, grant_id, tokens_to_keep))

    async def run_until_death(
        router_index: int, grant_manager: GrantManager, router_nursery: trio.Nursery
    ) -> None:
        """Maintain a router's grants; stop its tasks when it dies."""
        router_nursery.start_soon(maintain, grant_manager)
        if scenario.fault == "router_dies" and router_index == DYING_ROUTER:
            await trio.sleep(FAULT_START_S)
            router_nursery.cancel_scope.cancel()

    async def run_router(
        router_index: int, *, task_status: trio.TaskStatus[GrantManager]
    ) -> None:
        async with trio.open_nursery() as router_nursery:
            router_nursery.start_soon(clients[router_index].run)
            grant_manager = make_grant_manager(router_index, router_nursery)
            task_status.started(grant_manager)
            await run_until_death(router_index, grant_manager, router_nursery)

    def make_grant_manager(
        router_index: int, router_nursery: trio.Nursery
    ) -> GrantManager:
        return GrantManager(
            pool=GrantPool(incarnation=router_index + 1),
            ledger=clients[router_index],
            peers=InMemoryPeers(
                router_index=router_index,
                grant_managers=grant_managers,
                scenario=scenario,
            ),
            timers=make_timers(),
            metrics=NullMetrics(),
            nursery=router_nursery,
            config=lambda: config(router_index),
            revision=lambda: revision(router_index),
            on_own_fenced=lambda payer: None,
        )

    if scenario.fault == "router_dies":
        nursery.start_soon(reclaim_after_death)

    def make_reserve(grant_manager: GrantManager, client: LedgerClient) -> Reserve:
        async def reserve(request: RequestKey, deadline: float) -> Finish | None:
            reservation = await grant_manager.reserve(
                request, WORST_CASE_TOKENS, deadline=deadline
            )
            router_index = grant_manager.pool.incarnation - 1
            if scenario.is_dead(router_index):
                # The caller retries at the other router of the region.
                return await reserves[router_index ^ 1](request, deadline)
            if isinstance(reservation, NotRun):
                return None

            scenario.open_by_grant_id[reservation.grant_id] += WORST_CASE_TOKENS

            async def finish(used_tokens: int) -> None:
                scenario.open_by_grant_id[reservation.grant_id] -= WORST_CASE_TOKENS
                settlement = Settle(
                    KEY, reservation.grant_id, request.request_id, used_tokens
                )
                if not scenario.is_dead(router_index):
                    grant_manager.settle(reservation, used_tokens)
                    if (
                        await client.submit(settlement, timeout_s=SETTLE_TIMEOUT_S)
                    ).is_ok():
                        return
                # The agent keeps the usage record and reports it to a live router.
                await clients[
                    0 if scenario.is_dead(router_index) else router_index
                ].submit(settlement)

            return finish

        return reserve

    reserves = []
    for router_index, client in enumerate(clients):
        grant_manager = grant_managers[router_index] = await nursery.start(
            run_router, router_index
        )
        reserves.append(make_reserve(grant_manager, client))
    return reserves, clients


def make_equal_split(scenario: Scenario) -> list[Reserve]:
    """Baseline: each router may spend a fixed share of each payment."""
    used_by_router = dict.fromkeys(range(ROUTERS), 0)

    def make_reserve(router_index: int) -> Reserve:
        async def reserve(request: RequestKey, deadline: float) -> Finish | None:
            while True:
                share = scenario.configured_limit(router_index) // ROUTERS
                if used_by_router[router_index] + WORST_CASE_TOKENS <= share:
                    break
                if trio.current_time() >= deadline:
                    return None
                await trio.sleep(0.5)
            used_by_router[router_index] += WORST_CASE_TOKENS

            async def finish(used_tokens: int) -> None:
                used_by_router[router_index] -= WORST_CASE_TOKENS - used_tokens

            return finish

        return reserve

    return [make_reserve(router_index) for router_index in range(ROUTERS)]


def make_store_per_request(
    stores: list[FaultyStore], scenario: Scenario, nursery: trio.Nursery
) -> tuple[list[Reserve], list[LedgerClient]]:
    """Baseline: the ledger reserves and settles every request individually."""
    clients = [make_client(store) for store in stores]

    def make_reserve(router_index: int, client: LedgerClient) -> Reserve:
        nursery.start_soon(client.run)

        async def reserve(request: RequestKey, deadline: float) -> Finish | None:
            grant_id = f"{router_index + 1}-{request.request_id}"
            limit = scenario.configured_limit(router_index)
            await client.submit(
                SetLimit(KEY, limit, int(limit > INITIAL_TOKENS)), timeout_s=1.0
            )
            open_grant = OpenGrant(
                KEY, grant_id, router_index + 1, WORST_CASE_TOKENS, WORST_CASE_TOKENS
            )
            while trio.current_time() < deadline:
                wait_s = deadline - trio.current_time()
                answer = (await client.submit(open_grant, timeout_s=wait_s)).ok()
                if isinstance(answer, GrantOpened):
                    return make_finish(request, grant_id)
                if isinstance(answer, BudgetSpent) and not answer.holders:
                    return None
                await trio.sleep(0.5)
            return None

        def make_finish(request: RequestKey, grant_id: str) -> Finish:
            async def finish(used_tokens: int) -> None:
                await client.submit(
                    Settle(KEY, grant_id, request.request_id, used_tokens)
                )
                unused = WORST_CASE_TOKENS - used_tokens
                await client.submit(HandBack(KEY, grant_id, "end", unused))

            return finish

        return reserve

    return [make_reserve(*each) for each in enumerate(clients)], clients


async def run_request(
    reserve: Reserve, request: RequestKey, scenario: Scenario, stats: RunStats
) -> None:
    """Run one request and count its outcome."""
    is_long = scenario.randomness.random() < LONG_SHARE
    used_tokens = scenario.randomness.randrange(*USED_TOKENS_RANGE)
    start = trio.current_time()
    wait_s = LONG_WAIT_S if is_long else QUICK_WAIT_S
    finish = await reserve(request, start + wait_s)
    stats.requests += 1
    if finish is None:
        stats.refused += 1
        stats.long_refused += is_long
        stats.false_refusals += scenario.can_cover_request
        return
    stats.waits.append(trio.current_time() - start)
    scenario.reserved += WORST_CASE_TOKENS
    await trio.sleep(REQUEST_DURATION_S)
    scenario.reserved -= WORST_CASE_TOKENS
    scenario.spent += used_tokens
    stats.overspend = max(stats.overspend, scenario.spent - scenario.limit)
    await finish(used_tokens)


def pick_router(scenario: Scenario) -> int:
    """Return a router; most callers use the first region, later the second."""
    first_share = 0.8 if trio.current_time() < DURATION_S / 2 else 0.3
    routers_per_region = ROUTERS // 2
    region = 0 if scenario.randomness.random() < first_share else 1
    router_index = region * routers_per_region + scenario.randomness.randrange(
        routers_per_region
    )
    # The load balancer sends callers of a dead router to the other one in its region.
    return router_index ^ 1 if scenario.is_dead(router_index) else router_index


async def measure(policy: str, fault: str, preference: str) -> RunStats:
    """Run one scenario to its end and return the counts."""
    scenario = Scenario(fault=fault, randomness=random.Random(SEED))
    shared_store = InMemoryStore()
    stores = [
        FaultyStore(store=shared_store, scenario=scenario, router_index=router_index)
        for router_index in range(ROUTERS)
    ]
    stats = RunStats()
    clients: list[LedgerClient] = []
    async with trio.open_nursery() as nursery:
        if policy == "grants":
            reserves, clients = await make_grant_policy(
                stores, scenario, nursery, preference
            )
        elif policy == "equal split":
            reserves = make_equal_split(scenario)
        else:
            reserves, clients = make_store_per_request(stores, scenario, nursery)
        with trio.move_on_after(DURATION_S + LONG_WAIT_S + 30):
            async with trio.open_nursery() as callers:
                for number in range(int(DURATION_S * REQUESTS_PER_S)):
                    await trio.sleep(scenario.randomness.expovariate(REQUESTS_PER_S))
                    request_id = make_request_id(
                        unix_time=trio.current_time(), random_bits=number * 7919
                    )
                    reserve = reserves[pick_router(scenario)]
                    request = RequestKey(KEY, request_id)
                    callers.start_soon(run_request, reserve, request, scenario, stats)
        nursery.cancel_scope.cancel()
    stats.store_calls = sum(client.calls for client in clients)
    return stats


def print_row(policy: str, fault: str, stats: RunStats) -> None:
    waits = sorted(stats.waits)
    p95 = waits[int(len(waits) * 0.95)] if waits else 0.0
    print(
        f"  {policy:22} {fault:13} {stats.requests:8} {stats.refused:8}"
        f" {stats.false_refusals:6} {stats.long_refused:6} {stats.overspend:9}"
        f" {stats.store_calls / max(1, stats.requests):7.2f} {p95:8.2f}"
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
            stats = trio.run(measure, policy, fault, preference, clock=clock)
            print_row(f"{policy} {preference}".strip(), fault, stats)


if __name__ == "__main__":
    main()
