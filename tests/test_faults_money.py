"""Tests of budgets and billing during faults, with real processes.

No budget is overspent and every request is billed once.
"""

from functools import partial

import msgspec
import trio
import yaml
from fault_support import (
    BUDGET,
    CONFIG_IN_EFFECT_LIMIT_S,
    ORGANISATION,
    SIGN_OFF_TOKENS,
    SLOW_FACTOR,
    BackgroundTrace,
    FleetCallers,
    agent_processes,
    count_sign_offs,
    find_log_lines,
    make_model_requests,
    make_sign_off_requests,
    new_request_id,
    post_sign_off,
    restart_router,
    router_status,
    run_in_thread,
    set_speed,
    start_fleet,
    start_trace,
    wait_until,
    write_configuration,
)

from lavenderfold.replay import CallOutcome, Expected

FIRST_ROUTER, SECOND_ROUTER = "router-west-1", "router-west-2"
STREAM_COUNT = 4
WEST_ROUTER, EAST_ROUTER = "router-west-1", "router-east-1"
SMALL_LIMIT_TOKENS = 6000
TOP_UP_TOKENS = 3000


async def finish_streams(fleet, trace: BackgroundTrace) -> list:
    """Run the engines at full speed and return the records of the open streams."""
    await run_in_thread(set_speed, fleet, 1.0)
    return await trace.wait_until_finished()


async def check_handed_back(callers: FleetCallers, fleet, records) -> None:
    """Stop all routers, then assert that the budget is charged for bills only."""
    for router in fleet.routers:
        if router.running:
            router.terminate()
    for router in fleet.routers:
        await run_in_thread(router.wait_ended)
    budget = await callers.budget()
    billed_tokens = sum(entry.tokens for entry in budget.usage_by_id.values())
    stated_tokens = sum(record.stated_tokens or 0 for record in records)
    assert (budget.settled, budget.unexplained, budget.granted) == (billed_tokens, 0, 0)
    assert billed_tokens == stated_tokens


def test_killed_router_loses_no_answers_usage_or_grants(tmp_path):
    """A crash must not lose answers or usage or leave the router's grants locked."""

    async def scenario(fleet) -> None:
        callers = FleetCallers(fleet)
        dead = await restart_router(fleet, FIRST_ROUTER)
        await run_in_thread(set_speed, fleet, SLOW_FACTOR)
        async with trio.open_nursery() as nursery:
            trace = start_trace(
                nursery, callers, make_model_requests(FIRST_ROUTER, STREAM_COUNT)
            )
            await trace.wait_until_streaming(STREAM_COUNT)
            assert dead in await callers.holders()
            fleet[FIRST_ROUTER].kill()
            records = await finish_streams(fleet, trace)
        assert all("resume" in [a.step for a in each.attempts] for each in records)
        await callers.assert_checks_pass(records, {})

        async def is_reclaimed() -> bool:
            return dead not in await callers.holders()

        await wait_until(is_reclaimed, "the dead router's grants are reclaimed")
        for agent in agent_processes(fleet):
            assert find_log_lines(agent, "fence", incarnation=dead), agent.name
        await check_handed_back(callers, fleet, records)

    with start_fleet(write_configuration(tmp_path)) as fleet:
        trio.run(scenario, fleet)


def test_paused_router_is_fenced_and_takes_a_new_incarnation(tmp_path):
    """A router that resumes after its lease must not spend reclaimed tokens."""

    async def scenario(fleet) -> None:
        callers = FleetCallers(fleet)
        paused = await restart_router(fleet, FIRST_ROUTER)
        await run_in_thread(set_speed, fleet, SLOW_FACTOR)
        async with trio.open_nursery() as nursery:
            trace = start_trace(
                nursery, callers, make_model_requests(FIRST_ROUTER, STREAM_COUNT)
            )
            await trace.wait_until_streaming(STREAM_COUNT)
            assert paused in await callers.holders()
            fleet[FIRST_ROUTER].pause()
            await wait_until(
                lambda: find_log_lines(
                    fleet[SECOND_ROUTER], "grant_reclaimed", incarnation=paused
                ),
                "the paused router's grants are reclaimed",
            )
            fleet[FIRST_ROUTER].resume()
            records = await finish_streams(fleet, trace)
        records += await callers.play(
            make_model_requests(FIRST_ROUTER, STREAM_COUNT, label="later")
        )
        refused = [
            line
            for agent in agent_processes(fleet)
            for line in find_log_lines(agent, "run_refused", payer=paused)
        ]
        assert refused
        assert all("reason=fenced" in line for line in refused), refused
        assert router_status(fleet, FIRST_ROUTER)["incarnation"] > paused

        async def is_reclaimed() -> bool:
            return paused not in await callers.holders()

        # The resumed router may have opened a grant after the reclaim.
        await wait_until(is_reclaimed, "the resumed router's late grants are reclaimed")
        await callers.assert_checks_pass(records, {})
        await check_handed_back(callers, fleet, records)

    with start_fleet(write_configuration(tmp_path)) as fleet:
        trio.run(scenario, fleet)


def test_requests_are_paid_from_grants_and_billed_after_a_store_outage(tmp_path):
    """A store outage must not stop paid requests, lose bills or run sign-offs."""

    async def scenario(fleet) -> None:
        callers = FleetCallers(fleet)
        routers = (FIRST_ROUTER, SECOND_ROUTER)
        records = []
        # The first requests show the routers how fast tokens are spent, so that they
        # hold grants for further requests.
        for label in ("warm-up", "more"):
            requests = [
                request
                for name in routers
                for request in make_model_requests(name, 6, label=label)
            ]
            records += await callers.play(requests)
        await callers.assert_checks_pass(records, {})
        fleet.store.set_faults(down=True)
        requests = [
            request
            for name in routers
            for request in make_model_requests(name, 2, label="outage")
        ]
        outage_records = await callers.play(requests)
        assert [each.outcome for each in outage_records] == [CallOutcome.RAN] * len(
            requests
        )
        request_id = new_request_id()
        for router in routers:
            status_code, body = await run_in_thread(
                post_sign_off, fleet, router, request_id, "lamp/1"
            )
            assert status_code == 503, body
            assert body["error"]["outcome"] == "not_run"
        assert count_sign_offs(fleet) == 0
        fleet.store.set_faults(down=False)
        records += outage_records
        evidence = await callers.assert_checks_pass(records, {})
        assert request_id not in evidence.bills_by_request_id()
        # A request that was refused as not run may be sent again and then runs.
        status_code, _ = await run_in_thread(
            post_sign_off, fleet, SECOND_ROUTER, request_id, "lamp/1"
        )
        assert (status_code, count_sign_offs(fleet)) == (200, 1)
        records += await callers.play(make_sign_off_requests(FIRST_ROUTER, 1))
        assert count_sign_offs(fleet) == 2
        await callers.assert_checks_pass(records, {})
        budget = await callers.budget()
        stated_tokens = sum(record.stated_tokens or 0 for record in records)
        assert budget.settled == stated_tokens + 2 * SIGN_OFF_TOKENS

    with start_fleet(write_configuration(tmp_path, wait_s=1.0)) as fleet:
        trio.run(scenario, fleet)


def apply_top_up(fleet) -> None:
    """Apply a configuration file that adds a payment to the budget."""
    prepaid = {"prepaid": {"second": TOP_UP_TOKENS}}
    organisation = {"budgets": {BUDGET.budget: prepaid}}
    text = yaml.safe_dump({"organisations": {ORGANISATION: organisation}})
    (fleet.folder / "50-topup.yaml").write_text(text, encoding="utf-8")
    fleet.apply()


def is_cut_detected(fleet, router: str, remote_target: str) -> bool:
    """Return whether a router has detected that it can't reach a remote target."""
    targets = router_status(fleet, router).get("targets")
    return bool(targets) and all(
        not each["connected"] for each in targets if each["target"] == remote_target
    )


def test_partition_between_regions_keeps_the_limit_and_delays_configuration(tmp_path):
    """A partition during which a budget is topped up must not allow overspending.

    Nor may it stop requests that are paid for.
    """

    async def scenario(fleet) -> None:
        callers = FleetCallers(fleet)
        records = []
        for label in ("warm-up", "more"):
            requests = [
                request
                for name in (WEST_ROUTER, EAST_ROUTER)
                for request in make_model_requests(name, 4, label=label)
            ]
            records += await callers.play(requests)
        fleet["link"].set_faults(cut=True)
        # The outcome of a run that is sent before its router detects the cut stays
        # unknown until the cut ends. This test doesn't cover such runs.
        for router, remote_target in (
            (WEST_ROUTER, "writer-2"),
            (EAST_ROUTER, "writer-1"),
        ):
            await wait_until(
                partial(is_cut_detected, fleet, router, remote_target),
                "the cut is detected",
            )
        records += await callers.play(make_model_requests(EAST_ROUTER, 2, label="cut"))
        records += await callers.play(
            make_model_requests(WEST_ROUTER, 20, label="before top-up")
        )
        assert (await callers.budget()).charged <= SMALL_LIMIT_TOKENS
        await run_in_thread(apply_top_up, fleet)
        await wait_until(
            lambda: router_status(fleet, WEST_ROUTER).get("revision") == fleet.revision,
            "the top-up is in effect in the store's region",
            timeout_s=CONFIG_IN_EFFECT_LIMIT_S,
        )
        assert router_status(fleet, EAST_ROUTER)["revision"] < fleet.revision
        # These cost more than the first payment covers.
        records += await callers.play(
            make_model_requests(WEST_ROUTER, 40, label="after top-up")
        )
        assert [r for r in records if r.outcome is not CallOutcome.RAN] == []
        charged = (await callers.budget()).charged
        assert SMALL_LIMIT_TOKENS < charged <= SMALL_LIMIT_TOKENS + TOP_UP_TOKENS
        fleet["link"].set_faults(cut=False)
        await run_in_thread(fleet.wait_in_effect, CONFIG_IN_EFFECT_LIMIT_S)
        contending_requests = [
            msgspec.structs.replace(request, expected=Expected.ANY)
            for name in (WEST_ROUTER, EAST_ROUTER)
            for request in make_model_requests(name, 25, label="contest")
        ]
        records += await callers.play(contending_requests)
        assert any(record.outcome is CallOutcome.NOT_RUN for record in records)
        await callers.assert_checks_pass(records, {})
        limit = SMALL_LIMIT_TOKENS + TOP_UP_TOKENS
        assert (await callers.budget()).charged <= limit

    configuration = write_configuration(
        tmp_path,
        regions=("west", "east"),
        limit=SMALL_LIMIT_TOKENS,
        quick_wait_s=4.0,
    )
    link = {"delay_s": 0.005}
    with start_fleet(configuration, routers_per_region=1, link=link) as fleet:
        trio.run(scenario, fleet)
