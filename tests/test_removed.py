"""Budgets, organisations and targets that are removed from the configuration."""

from functools import partial

import msgspec
import pytest
import trio

from lavenderfold.config import ApiKey, Budget, FleetConfig
from lavenderfold.http import json_response, serve
from tests.router_fleet import (
    ANY_PORT,
    FakeAgent,
    Fleet,
    answer_at_once,
    completion,
    make_config,
    run_fleet,
    wait_until,
)

DUTY_PATH = "/v1/kv/members/reclaimer"


def without_organisation(config: FleetConfig) -> FleetConfig:
    kept = {"hobart": config.organisations["hobart"]}
    return msgspec.structs.replace(config, organisations=kept)


def without_budget(config: FleetConfig) -> FleetConfig:
    regina = config.organisations["regina"]
    key = ApiKey(sha256=regina.keys["k"].sha256, budget="other")
    changed = msgspec.structs.replace(
        regina, keys={"k": key}, budgets={"other": Budget(prepaid={"first": 10})}
    )
    kept = {**config.organisations, "regina": changed}
    return msgspec.structs.replace(config, organisations=kept)


@pytest.mark.parametrize("remove", [without_organisation, without_budget])
def test_grants_of_a_removed_budget_are_handed_back(remove):
    """They would stay held as long as the router runs."""
    release = trio.Event()

    def answer(agent: FakeAgent, run) -> list:
        steps = answer_at_once(agent, run)
        return steps if len(agent.runs) == 1 else [release, *steps]

    agent = FakeAgent("t1", answer_run=answer)

    async def check(fleet: Fleet):
        answered = []

        async def ask() -> None:
            response = await fleet.call("POST", "/v1/completions", completion())
            answered.append(response.status)

        await ask()
        fleet.nursery.start_soon(ask)
        await wait_until(lambda: len(agent.runs) == 2)
        await wait_until(lambda: fleet.budget_record().granted > 0)
        await fleet.install(remove(make_config(fleet.agents)))
        # The open run reserved its prompt of 4 words and 100 tokens of output.
        await wait_until(lambda: fleet.budget_record().granted == 104)
        release.set()
        await wait_until(lambda: fleet.budget_record().granted == 0)
        assert answered == [200, 200]
        assert fleet.budget_record().charged == fleet.budget_record().settled == 40

    run_fleet(check, agent)


def test_removed_target_holds_the_grants_until_its_vm_is_gone():
    """Its agent may still run requests that the dead router's grants pay for."""
    agents = [FakeAgent("t1"), FakeAgent("t2")]

    async def check(fleet: Fleet):
        gone = []

        async def list_vms(request, writer) -> None:
            vms = [{"name": vm, "state": "gone"} for vm in gone]
            await writer.send(json_response(200, {"vms": vms}))

        start = partial(serve, list_vms, address=ANY_PORT)
        vms_address = await fleet.nursery.start(start)
        second = await fleet.start_router(
            peers=[fleet.router], vm_list_address=vms_address
        )
        await fleet.wait_connected(second)
        dead = fleet.router.incarnation
        assert (await fleet.call("POST", "/v1/completions", completion())).status == 200
        await wait_until(lambda: fleet.budget_record().settled == 20)
        rounds = fleet.reads_by_path[DUTY_PATH]
        await wait_until(lambda: fleet.reads_by_path[DUTY_PATH] >= rounds + 4)
        del fleet.agents["t2"]
        await fleet.install(make_config(fleet.agents))
        fleet.kill(fleet.router)
        await wait_until(lambda: dead in agents[0].fenced)
        granted = fleet.budget_record().granted
        await wait_until(lambda: agents[0].fenced.count(dead) >= 2)
        assert dead in fleet.budget_record().holders
        assert fleet.budget_record().unexplained == 0
        gone.append("vm-t2")
        await wait_until(lambda: dead not in fleet.budget_record().holders)
        assert fleet.budget_record().unexplained == granted

    run_fleet(check, *agents)
