"""Budgets and organisations that are removed from the configuration."""

import msgspec
import pytest
import trio

from lavenderfold.config import ApiKey, Budget, FleetConfig
from tests.router_fleet import (
    FakeAgent,
    Fleet,
    answer_at_once,
    completion,
    make_config,
    run_fleet,
    wait_until,
)


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
        await wait_until(lambda: fleet.record().granted > 0)
        await fleet.install(remove(make_config(fleet.agents)))
        # The open run reserved its prompt of 4 words and 100 tokens of output.
        await wait_until(lambda: fleet.record().granted == 104)
        release.set()
        await wait_until(lambda: fleet.record().granted == 0)
        assert answered == [200, 200]
        assert fleet.record().charged == fleet.record().settled == 40

    run_fleet(check, agent)
