"""Sign-offs of a dying or paused router and a leaving VM, on real processes."""

import contextlib
import http.client

import pytest
import trio
from fault_support import (
    Callers,
    in_thread,
    log_lines,
    make_asks,
    new_request_id,
    post_sign,
    sign_offs,
    start_fleet,
    wait_until,
    write_configuration,
)

from lavenderfold.replay import CallOutcome
from scripts.fleet import call_json

FIRST, SECOND = "router-west-1", "router-west-2"
VM_LIST_LAG_S = 2.0


@pytest.mark.parametrize("fault", ["kill", "pause"])
def test_sign_off_whose_router_fails_runs_once(tmp_path, fault):
    """The caller asks the other router while the first one's run is under way."""

    async def play(fleet) -> None:
        request_id = new_request_id()

        async def post(router: str) -> tuple[int, dict]:
            return await in_thread(post_sign, fleet, router, request_id, "lamp/1")

        async def post_and_lose() -> None:
            # The first router dies, or answers only after its pause.
            with contextlib.suppress(OSError, http.client.HTTPException):
                await post(FIRST)

        # The service holds the sign-off until it's told to go on.
        fleet["log-1-stand-in"].set_faults(frozen=True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(post_and_lose)
            await wait_until(
                lambda: log_lines(fleet["log-1-agent"], "run_start"), "a sign-off runs"
            )
            getattr(fleet[FIRST], fault)()
            answered, body = await post(SECOND)
            assert (answered, body["error"]["outcome"]) == (409, "may_have_run")
            fleet["log-1-stand-in"].set_faults(frozen=False)
            await wait_until(lambda: sign_offs(fleet) == 1, "the sign-off has run")
            if fault == "pause":
                fleet[FIRST].resume()
        answered, body = await post(SECOND)
        assert answered == 200 or body["error"]["outcome"] != "not_run", body
        assert sign_offs(fleet) == 1

    with start_fleet(write_configuration(tmp_path)) as fleet:
        trio.run(play, fleet)


def test_target_on_a_leaving_vm_gets_no_work(tmp_path):
    """The agent's own refusal counts, however late the list of VMs is."""

    async def play(fleet) -> None:
        callers = Callers(fleet)
        records = await callers.play(make_asks(FIRST, 4, label="before"))
        fleet["vm-list"].set_faults(lag_s=VM_LIST_LAG_S)
        leaving = {"vms": [{"name": "vm-writer-1", "state": "leaving"}]}
        await in_thread(call_json, fleet["vm-list"].address, "POST", "/v1/vms", leaving)
        await wait_until(
            lambda: log_lines(fleet["writer-1-agent"], "drain"), "the agent leaves"
        )
        stand_in = fleet["writer-1-stand-in"]
        before = stand_in.get("/stats")["runs_by_request_id"]
        for router in (FIRST, SECOND):
            records += await callers.play(make_asks(router, 4, label="after"))
        assert stand_in.get("/stats")["runs_by_request_id"] == before
        assert {each.outcome for each in records} == {CallOutcome.RAN}
        assert await in_thread(fleet["writer-1-agent"].wait_ended) == 0
        await callers.judge(records, {})

    with start_fleet(write_configuration(tmp_path)) as fleet:
        trio.run(play, fleet)
