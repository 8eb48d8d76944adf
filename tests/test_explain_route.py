"""``lavenderfoldctl explain-route`` against a live direct router."""

import json
import random
from functools import partial

import pytest
import trio

from lavenderfold.ctl.__main__ import main
from lavenderfold.direct._balancing import TargetBalancing
from lavenderfold.direct._explain_route import _exclusions
from lavenderfold.direct._load import target_key
from lavenderfold.fleet import Service
from lavenderfold.http import HttpResponse, serve
from lavenderfold.settings import Address
from tests.direct_support import (
    answer_successfully,
    direct_fleet,
    make_config,
    run_scenario,
)
from tests.placement_support import Selector, make_target

HOST = "host"
TARGET = make_target("t", "d", warm_up_s=60.0, born=5)


def explain(*arguments: str, by_cost: bool = True) -> int:
    """Run the command against a router that has answered some requests."""
    codes = []

    async def scenario(fleet):
        if by_cost:
            await fleet.start_router("by-cost", balances_by_cost=True)
            await fleet.wait_until(lambda: fleet.router.is_ready)
        for _ in range(6):
            await fleet.send_request("/read/x")
        before = received(fleet)
        argv = ["ctl", "explain-route", *arguments]
        argv += ["--routers", str(fleet.router.metrics_address)]
        codes.append(await trio.to_thread.run_sync(main, argv))
        assert received(fleet) == before

    run_scenario(scenario, answer_successfully, answer_successfully)
    return codes[0]


def received(fleet) -> list[int]:
    return [len(each.received) for each in fleet.target_by_id.values()]


@pytest.mark.parametrize("by_cost", [True, False])
def test_table_shows_candidates_and_choice(capsys, by_cost):
    """Operators see why a target gets a request, also without choice by cost."""
    assert explain(f"{HOST}/read/x", by_cost=by_cost) == 0
    first, head, *rows = capsys.readouterr().out.splitlines()
    assert "route=read" in first
    assert head.split()[:2] == ["target", "domain"]
    assert sorted(row.split()[0] for row in rows) == ["t0", "t1"]
    assert sum(row.endswith("chosen") for row in rows) == 1
    assert ("reason=cost" in first) is by_cost


def test_json_shows_costs_and_what_the_prompt_binds_to(capsys):
    """A program that reads the answer gets costs, ages and the evidence."""
    arguments = ("--parts", "shared:4000,own:100", "--json")
    assert explain(f"{HOST}/read/x", *arguments) == 0
    answer = json.loads(capsys.readouterr().out)
    assert answer["target"] in ("t0", "t1")
    assert all(each["cost_ms"] > 0 for each in answer["targets"])
    assert {each["evidence"] for each in answer["targets"]} == {"home"}
    assert all(each["unread_tokens"] < 4100 for each in answer["targets"])


def test_only_targets_that_cannot_be_chosen_are_excluded(capsys):
    """A cold target with a permit was shown as excluded, and a full one as free."""
    service = Service(
        name="service",
        connection_limit=9,
        warm_up_s=30.0,
        warm_up_rate=100.0,
        cache_capacity_tokens=1000,
    )

    async def excluded(fleet):
        argv = ["ctl", "explain-route", f"{HOST}/read/x", "--parts", "p:400", "--json"]
        argv += ["--routers", str(fleet.router.metrics_address)]
        assert await trio.to_thread.run_sync(main, argv) == 0
        targets = json.loads(capsys.readouterr().out)["targets"]
        return {each["target"]: each.get("excluded", []) for each in targets}

    async def scenario(fleet):
        await fleet.wait_until(lambda: fleet.router.is_ready)
        services = fleet.router._services
        await fleet.add_target("late", answer_successfully)
        await fleet.wait_until(lambda: len(services.directory.targets()) == 2)
        by_id = {each.id: each for each in services.directory.targets()}
        services.target_tokens.add(target_key(by_id["t0"]), 300)
        cold, late = services.placement.cold, by_id["late"]

        def has_permit():
            now = services.timers.now()
            return bool(cold.permitted([late], now=now, rng=random.Random(1)))

        await fleet.wait_until(has_permit)
        assert cold.is_cold(late, now=services.timers.now())
        assert await excluded(fleet) == {"late": [], "t0": ["full"]}

    config = make_config(services=(service,))
    run_scenario(scenario, answer_successfully, config=config)


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        ((f"{HOST}/nowhere/x",), "knows no route"),
        (("other.example/read/x",), "knows no route"),
        ((f"{HOST}/read/x", "--organisation", "nobody"), "knows no organisation"),
        ((f"{HOST}/read/x", "--parts", "x"), "expected ID:TOKENS"),
        (("no-path",), "expected HOST/PATH"),
    ],
)
def test_wrong_question_is_bad_input(capsys, arguments, text):
    """An empty answer would look like a fleet without targets."""
    assert explain(*arguments) == 2
    assert text in capsys.readouterr().err


def test_router_that_is_not_there_is_a_failure(capsys):
    """The router may be down; the question may be right."""
    argv = ["ctl", "explain-route", f"{HOST}/read/x", "--routers", "127.0.0.1:9"]
    assert main(argv) == 1
    assert "router 127.0.0.1:9" in capsys.readouterr().err


@pytest.mark.parametrize("flags", [(), ("--json",)])
def test_answer_that_explains_nothing_is_a_failure(capsys, flags):
    """A router of an earlier version answers any path with its metrics.

    With --json they were printed as the answer, with exit status 0.
    """

    async def answer_metrics(request, writer):
        await writer.send(HttpResponse(status=200, body=b"# HELP lavenderfold"))

    async def scenario():
        async with trio.open_nursery() as nursery:
            listen = Address(host="127.0.0.1", port=0)
            address = await nursery.start(
                partial(serve, answer_metrics, address=listen)
            )
            argv = ["ctl", "explain-route", f"{HOST}/read/x", *flags]
            argv += ["--routers", str(address)]
            assert await trio.to_thread.run_sync(main, argv) == 1
            nursery.cancel_scope.cancel()

    trio.run(scenario)
    printed = capsys.readouterr()
    assert printed.out == ""
    assert "expected the router's metrics address" in printed.err


def test_question_changes_nothing_that_decides():
    """A question must not count as a send or as a use of a part."""

    async def scenario():
        async with direct_fleet(answer_successfully) as fleet:
            await fleet.start_router("by-cost", balances_by_cost=True)
            await fleet.wait_until(lambda: fleet.router.is_ready)
            balancing: TargetBalancing = fleet.router._services.balancing
            address = str(fleet.router.metrics_address)
            argv = ["ctl", "explain-route", f"{HOST}/read/x", "--routers", address]
            argv += ["--parts", "shared:4000,own:1"]
            assert await trio.to_thread.run_sync(main, argv) == 0
            balancer = balancing.balancer
            assert balancer._record_by_key == {}
            assert len(balancer._memory._sent_at_by_pair) == 0
            assert len(balancer._shares._count_by_part) == 0

    trio.run(scenario)


def test_cold_target_with_a_permit_is_not_excluded():
    """An operator would read that the chosen target can't be chosen."""
    selector = Selector()
    selector.services.directory.put("t", TARGET, revision=1)
    cold = selector.placement.cold
    cold.set_services([Service(name="service", connection_limit=1, warm_up_rate=17.0)])
    now = selector.timers.now()
    cold.record_entry(TARGET, revision=1, is_first_listing=False, now=now)
    assert _exclusions(selector.services, TARGET, None, set(), now) == ["cold"]
    assert _exclusions(selector.services, TARGET, None, set(), now + 30) == []
