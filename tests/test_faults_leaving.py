"""Tests of router failures during a sign-off and of a leaving VM.

They use real processes.
"""

import contextlib
import http.client

import pytest
import trio
from fault_support import (
    FleetCallers,
    count_sign_offs,
    find_log_lines,
    make_model_requests,
    new_request_id,
    post_sign_off,
    run_in_thread,
    start_fleet,
    wait_until,
    write_configuration,
)

from lavenderfold.replay import CallOutcome
from scripts.fleet import call_json

FIRST_ROUTER, SECOND_ROUTER = "router-west-1", "router-west-2"
VM_LIST_LAG_S = 2.0


@pytest.mark.parametrize("fault", ["kill", "pause"])
def test_sign_off_whose_router_fails_runs_once(tmp_path, fault):
    """The caller retries at another router while the first router's run continues."""

    async def scenario(fleet) -> None:
        request_id = new_request_id()

        async def post(router: str) -> tuple[int, dict]:
            return await run_in_thread(
                post_sign_off, fleet, router, request_id, "lamp/1"
            )

        async def post_and_ignore_errors() -> None:
            # The first router is killed, or answers only after its pause.
            with contextlib.suppress(OSError, http.client.HTTPException):
                await post(FIRST_ROUTER)

        # The frozen service doesn't answer the sign-off until it's unfrozen.
        fleet["log-1-stand-in"].set_faults(frozen=True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(post_and_ignore_errors)
            await wait_until(
                lambda: find_log_lines(fleet["log-1-agent"], "run_start"),
                "a sign-off runs",
            )
            getattr(fleet[FIRST_ROUTER], fault)()
            status_code, body = await post(SECOND_ROUTER)
            assert (status_code, body["error"]["outcome"]) == (409, "may_have_run")
            fleet["log-1-stand-in"].set_faults(frozen=False)
            await wait_until(
                lambda: count_sign_offs(fleet) == 1, "the sign-off has run"
            )
            if fault == "pause":
                fleet[FIRST_ROUTER].resume()
        status_code, body = await post(SECOND_ROUTER)
        assert status_code == 200 or body["error"]["outcome"] != "not_run", body
        assert count_sign_offs(fleet) == 1

    with start_fleet(write_configuration(tmp_path)) as fleet:
        trio.run(scenario, fleet)


def test_target_on_a_leaving_vm_gets_no_new_runs(tmp_path):
    """The agent must refuse runs even while the routers' VM list is still outdated."""

    async def scenario(fleet) -> None:
        callers = FleetCallers(fleet)
        records = await callers.play(
            make_model_requests(FIRST_ROUTER, 4, label="before")
        )
        fleet["vm-list"].set_faults(lag_s=VM_LIST_LAG_S)
        leaving = {"vms": [{"name": "vm-writer-1", "state": "leaving"}]}
        await run_in_thread(
            call_json, fleet["vm-list"].address, "POST", "/v1/vms", leaving
        )
        await wait_until(
            lambda: find_log_lines(fleet["writer-1-agent"], "drain"), "the agent drains"
        )
        stand_in = fleet["writer-1-stand-in"]
        before = stand_in.get("/stats")["runs_by_request_id"]
        for router in (FIRST_ROUTER, SECOND_ROUTER):
            records += await callers.play(make_model_requests(router, 4, label="after"))
        assert stand_in.get("/stats")["runs_by_request_id"] == before
        assert {each.outcome for each in records} == {CallOutcome.RAN}
        assert await run_in_thread(fleet["writer-1-agent"].wait_ended) == 0
        await callers.assert_checks_pass(records, {})

    with start_fleet(write_configuration(tmp_path)) as fleet:
        trio.run(scenario, fleet)
