"""Budgets at a router: refusals, hand-backs, loans, fencing and reclaim."""

import msgspec
import trio

from lavenderfold.messages import UsageRecord, UsageReport
from lavenderfold.outcomes import MayHaveRun, NotRun, Reason
from lavenderfold.router import Router
from tests.router_fleet import (
    FakeAgent,
    Fleet,
    answer_at_once,
    make_config,
    new_id,
    run_ended,
    run_fleet,
    wait_until,
)

# A request reserves its prompt of 4 words and 96 tokens of output.
RESERVED_TOKENS = 100


async def ask(fleet: Fleet, router: Router | None = None, model: str = "ask"):
    body = {"model": model, "prompt": "how dark is it", "max_tokens": 96}
    return await fleet.call(
        "POST", "/v1/completions", msgspec.json.encode(body), router=router
    )


async def start_second(fleet: Fleet) -> Router:
    """Start a second router with the first as its peer and wait until it's ready."""
    second = await fleet.start_router(peers=[fleet.router])
    await fleet.wait_connected(second)
    assert second.state.revision == fleet.router.state.revision
    return second


def error_type(response) -> str:
    return msgspec.json.decode(response.body)["error"]["type"]


def test_spent_budget_is_refused_and_a_top_up_is_used():
    """Settled usage must not exceed what was prepaid, whatever callers request."""
    agent = FakeAgent("t1")

    async def check(fleet: Fleet):
        statuses = [(await ask(fleet)).status for _ in range(8)]
        # Each run uses 20 of the 200 tokens; the last ones can't reserve 100.
        assert statuses == [200] * 6 + [402] * 2
        assert len(agent.runs) == 6
        assert fleet.budget_record().settled == 120
        await fleet.install(make_config(fleet.agents, prepaid=400))
        assert (await ask(fleet)).status == 200
        assert fleet.budget_record().limit == 400

    run_fleet(check, agent, prepaid=200)


def test_tokens_held_by_another_router_do_not_cause_a_refusal():
    """A refusal is wrong while an idle grant of another router has unspent tokens."""
    agent = FakeAgent("t1")

    async def check(fleet: Fleet):
        second = await start_second(fleet)
        assert (await ask(fleet)).status == 200
        for _ in range(4):
            assert (await ask(fleet, second)).status == 200
        assert fleet.budget_record().settled == 100
        assert (await ask(fleet, second)).status == 200
        assert (await ask(fleet)).status == 402

    run_fleet(check, agent, prepaid=200)


def test_routers_lend_to_each_other_while_the_store_is_down():
    """Runs that are paid by a loan are charged to the lender's grant.

    Otherwise usage in a store outage could exceed what was prepaid.
    """
    agent = FakeAgent("t1")

    async def check(fleet: Fleet):
        second = await start_second(fleet)
        assert (await ask(fleet)).status == 200
        fleet.config_store.faults.down = True
        response = await ask(fleet, second)
        assert response.status == 200
        first_run, loan_run = agent.runs
        assert loan_run.payer == first_run.payer == fleet.router.incarnation
        grant = fleet.budget_record().grants_by_id[loan_run.grant_id]
        assert grant.holder == fleet.router.incarnation
        fleet.config_store.faults.down = False
        await wait_until(lambda: len(agent.stored) == 2)
        assert fleet.budget_record().settled == 40

    run_fleet(check, agent)


def test_router_started_in_an_outage_serves_from_its_peers():
    """A router that starts in a store outage gets configuration and loans from peers.

    Otherwise it couldn't serve requests until the store is back.
    """
    agent = FakeAgent("t1")

    async def check(fleet: Fleet):
        assert (await ask(fleet)).status == 200
        fleet.config_store.faults.down = True
        second = await fleet.start_router(peers=[fleet.router])
        await wait_until(lambda: second.state.revision == 1 and second.is_ready("t1"))
        assert second.incarnation < 0
        assert (await ask(fleet, second)).status == 200
        fleet.config_store.faults.down = False
        await wait_until(lambda: second.incarnation > 0)
        assert (await ask(fleet, second)).status == 200

    run_fleet(check, agent)


def test_grants_of_a_dead_router_are_fenced_and_reclaimed():
    """Otherwise the tokens in the grants of a dead router would stay held for ever."""
    agent = FakeAgent("t1")

    async def check(fleet: Fleet):
        second = await start_second(fleet)
        dead = fleet.router.incarnation
        assert (await ask(fleet)).status == 200
        await wait_until(lambda: fleet.budget_record().settled == 20)
        assert dead in fleet.budget_record().holders
        assert fleet.budget_record().charged > 20
        fleet.kill(fleet.router)
        await wait_until(lambda: dead not in fleet.budget_record().holders)
        assert dead in agent.fenced
        assert second.incarnation not in agent.fenced
        assert fleet.budget_record().unexplained == 0
        assert (await ask(fleet, second)).status == 200

    run_fleet(check, agent)


def test_fenced_router_takes_a_new_incarnation_and_continues():
    """A router that was paused for longer than its lease must serve requests again."""
    fenced = []

    def answer(agent: FakeAgent, run) -> list:
        if run.payer in fenced:
            return [run_ended(run.run_id, NotRun(Reason.FENCED))]
        return answer_at_once(agent, run)

    agent = FakeAgent("t1", answer_run=answer)

    async def check(fleet: Fleet):
        assert (await ask(fleet)).status == 200
        fenced.append(fleet.router.incarnation)
        assert (await ask(fleet)).status == 200
        assert fleet.router.incarnation not in fenced
        assert agent.runs[-1].payer == fleet.router.incarnation

    run_fleet(check, agent)


def test_usage_of_another_routers_run_is_billed_and_confirmed():
    """An agent reports the usage that a dead router didn't settle to another router."""
    agent = FakeAgent("t1")

    async def check(fleet: Fleet):
        response = await ask(fleet)
        key = agent.runs[0].key
        other = UsageRecord(
            "run-x",
            msgspec.structs.replace(key, request_id=new_id()),
            agent.runs[0].payer,
            agent.runs[0].grant_id,
            30,
        )
        repeated = UsageRecord(
            "run-y", key, agent.runs[0].payer, agent.runs[0].grant_id, 70
        )
        agent.links[-1].post(UsageReport([other, repeated]))
        await wait_until(lambda: {"run-x", "run-y"} <= set(agent.stored))
        assert response.status == 200
        assert fleet.budget_record().settled == 50
        assert fleet.budget_record().usage(key.request_id) == 20

    run_fleet(check, agent)


def test_usage_of_a_failed_attempt_is_not_billed_instead_of_the_answer():
    """The bill must be for the attempt whose answer the caller got."""

    def answer(agent: FakeAgent, run) -> list:
        if run.attempt > 1:
            return answer_at_once(agent, run)
        used = UsageRecord(run.run_id, run.key, run.payer, run.grant_id, 7)
        failed = run_ended(run.run_id, MayHaveRun(Reason.TARGET_FAILED))
        return [UsageReport([used]), failed]

    agent = FakeAgent("t1", answer_run=answer)

    async def check(fleet: Fleet):
        response = await ask(fleet)
        assert msgspec.json.decode(response.body)["usage"]["tokens"] == 20
        await wait_until(lambda: len(agent.stored) == 2)
        assert fleet.budget_record().settled == 20

    run_fleet(check, agent)


def test_run_of_unknown_usage_stays_charged_until_it_is_reported():
    """Tokens that a run may have used must not be spent again.

    Here the router lost the link and the agent doesn't answer the resume.
    """
    lost = trio.Event()

    def answer(agent: FakeAgent, run) -> list:
        if lost.is_set():
            return answer_at_once(agent, run)
        agent.answer_resume = lambda message: [None]
        return [None]

    agent = FakeAgent("app1", answer_run=answer)

    async def check(fleet: Fleet):
        headers = {"idempotency-key": new_id()}
        target = "/v1/apps/signoff/x"
        response = await fleet.call("POST", target, headers=headers)
        assert error_type(response) == "connection_lost"
        lost.set()
        await wait_until(lambda: fleet.router.is_ready("app1"))
        refused = await fleet.call("GET", "/v1/apps/readings/x")
        assert error_type(refused) == "budget_spent"
        run = agent.runs[0]
        usage = UsageRecord(run.run_id, run.key, run.payer, run.grant_id, 3)
        agent.links[-1].post(UsageReport([usage]))
        await wait_until(lambda: agent.stored == [run.run_id])
        assert (await fleet.call("GET", "/v1/apps/readings/x")).status == 201

    run_fleet(check, agent, prepaid=15, wait_s=0.5)


def test_all_tokens_are_accounted_for_after_many_requests():
    """No tokens may be lost between reservations, grants, loans and the ledger."""
    agents = [FakeAgent("t1"), FakeAgent("t2")]

    async def check(fleet: Fleet):
        second = await start_second(fleet)
        statuses, refusals = [], []

        async def call(router: Router, model: str):
            response = await ask(fleet, router, model)
            statuses.append(response.status)
            refusals.extend([response.body] if response.status != 200 else [])

        async with trio.open_nursery() as nursery:
            for number in range(40):
                router = (fleet.router, second)[number % 2]
                nursery.start_soon(call, router, ("ask", "summary")[number % 3 == 0])
        assert refusals == []
        for router in (fleet.router, second):
            router.drain()
            with trio.fail_after(10):
                await router.finished.wait()
        record = fleet.budget_record()
        assert record.settled == record.charged == 20 * statuses.count(200)

    # The waits are much longer than the runs, so that a slow machine can't cause a
    # refusal.
    run_fleet(check, *agents, prepaid=1000, wait_s=60.0)
