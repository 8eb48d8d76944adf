"""Reclaim of a dead router's grants from a real agent over real links."""

from contextlib import asynccontextmanager
from functools import partial

import msgspec
import trio

from lavenderfold.agent import Agent, AgentSettings, TargetKind
from lavenderfold.http import HttpClientError
from lavenderfold.identifiers import RequestKey
from lavenderfold.outcomes import NotRun, Reason
from lavenderfold.settings import Address
from lavenderfold.timers import TimerService
from standins.target_common import serve_target
from tests.agent_support import (
    LIMITS,
    FakeRouter,
    PausingEngine,
    make_model_order,
    make_router_hello,
)
from tests.router_fleet import (
    ANY_PORT,
    REGINA_BUDGET,
    Fleet,
    make_config,
    new_id,
    wait_until,
)

# The engine stops in the middle of the long answer until it's released.
SHORT, LONG = "length:5 how dark is it", "length:60 how dark is it"
PROMPT_TOKENS = 5
MAX_TOKENS = 96
WORST_CASE = PROMPT_TOKENS + MAX_TOKENS


class RealAgent:
    """An agent process in front of a model engine, at a fixed address."""

    def __init__(self, fleet: Fleet):
        self.engine = PausingEngine()
        self.engine.engine.models = ["m"]
        self.address = ANY_PORT
        self._fleet = fleet
        self._target_address: Address | None = None

    async def start(self) -> None:
        """Start the first or another process."""
        nursery = self._fleet.nursery
        if self._target_address is None:
            start = partial(serve_target, self.engine, ANY_PORT)
            self._target_address = await nursery.start(start)
        settings = AgentSettings(
            target="t1",
            vm="vm-t1",
            kind=TargetKind.MODEL,
            region="west",
            failure_domain="f1",
            models=["m"],
            listen=self.address,
            target_address=self._target_address,
            store_address=self._fleet.store_address,
            limits=LIMITS,
        )
        self.agent = Agent(settings=settings, timers=TimerService())
        self.scope = trio.CancelScope()
        self.address = await nursery.start(self._run)

    async def _run(self, task_status) -> None:
        with self.scope:
            await self.agent.run(task_status=task_status)

    @property
    def running(self) -> int:
        return self.agent._run_table.running_count


@asynccontextmanager
async def running_fleet():
    """Run two routers and a real agent; yields the fleet and the agent."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery=nursery, agents={})
        await fleet.start_store()
        agent = RealAgent(fleet)
        await agent.start()
        fleet.agents["t1"] = agent.address
        await fleet.start_router()
        await fleet.install(make_config(fleet.agents))
        second = await fleet.start_router(peers=[fleet.router])
        await fleet.wait_connected(second)
        with trio.fail_after(30):
            yield fleet, agent
        nursery.cancel_scope.cancel()


async def ask(fleet: Fleet, prompt: str, router=None) -> int | None:
    """Return the status; None if the router died."""
    body = {"model": "ask", "prompt": prompt, "max_tokens": MAX_TOKENS}
    try:
        response = await fleet.call(
            "POST", "/v1/completions", msgspec.json.encode(body), router=router
        )
    except HttpClientError:
        return None
    return response.status


def granted_to(fleet: Fleet, incarnation: int) -> int:
    grants = fleet.budget_record().grants_by_id.values()
    return sum(grant.amount for grant in grants if grant.holder == incarnation)


async def check_refused(fleet: Fleet, agent: RealAgent, payer: int, grant_id: str):
    """A router that was paused wakes and sends a run that its old grant pays."""
    woken = FakeRouter(agent.address)
    fleet.nursery.start_soon(woken.link.run)
    fleet.nursery.start_soon(woken.run)
    woken.link.post(make_router_hello(payer))
    key = RequestKey(REGINA_BUDGET, new_id())
    order = make_model_order(
        "old", SHORT, key=key, payer=payer, grant_id=grant_id, model="m"
    )
    woken.link.post(order)
    refused = await woken.ended("old")
    assert refused.outcome == NotRun(Reason.FENCED, f"incarnation {payer}")


def test_unused_grant_of_a_dead_router_comes_back():
    """Written off, the money would be lost to the organisation for good."""

    async def main():
        async with running_fleet() as (fleet, agent):
            dead = fleet.router.incarnation
            assert await ask(fleet, SHORT) == 200
            await wait_until(lambda: fleet.budget_record().settled > 0)
            settled = fleet.budget_record().settled
            fleet.nursery.start_soon(ask, fleet, LONG)
            await wait_until(lambda: agent.running == 1)
            await wait_until(lambda: granted_to(fleet, dead) > WORST_CASE)
            grant_id = next(iter(fleet.budget_record().grants_by_id))
            fleet.kill(fleet.router)
            # The open run keeps what was reserved for it, and nothing else is kept.
            await wait_until(lambda: granted_to(fleet, dead) == WORST_CASE)
            assert fleet.budget_record().unexplained == 0
            await check_refused(fleet, agent, dead, grant_id)
            agent.engine.released = True
            await wait_until(lambda: granted_to(fleet, dead) == 0)
            record = fleet.budget_record()
            assert record.settled == settled + PROMPT_TOKENS + 60
            assert record.unexplained == 0
            assert await ask(fleet, SHORT, fleet.routers[1]) == 200

    trio.run(main)


def test_only_grants_from_before_an_agents_restart_are_written_off():
    """What an earlier process ran is unknown; what the present one ran isn't."""

    async def main():
        async with running_fleet() as (fleet, agent):
            dead = fleet.router.incarnation
            assert await ask(fleet, SHORT) == 200
            await wait_until(lambda: granted_to(fleet, dead) > 0)
            agent.scope.cancel()
            await wait_until(lambda: not fleet.router.is_ready("t1"))
            await agent.start()
            await wait_until(lambda: fleet.router.is_ready("t1"))
            before = set(fleet.budget_record().grants_by_id)
            agent.engine.released = True
            for _ in range(4):
                async with trio.open_nursery() as nursery:
                    for _ in range(4):
                        nursery.start_soon(ask, fleet, LONG)
            await wait_until(lambda: fleet.budget_record().grants_by_id.keys() - before)
            await wait_until(lambda: fleet.router.is_idle)
            fleet.kill(fleet.router)
            grants = fleet.budget_record().grants_by_id
            unknown = sum(grants[grant].amount for grant in before & grants.keys())
            assert 0 < unknown < granted_to(fleet, dead)
            await wait_until(lambda: granted_to(fleet, dead) == 0)
            assert fleet.budget_record().unexplained == unknown

    trio.run(main)
