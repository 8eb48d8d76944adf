"""Requests that never reached a target are neither charged nor uncertain."""

from lavenderfold.fleet import RepeatPolicy
from tests.direct_support import make_config, make_route, run_scenario, stream
from tests.patience_support import move_target, silent_address


def test_caller_is_charged_nothing_if_its_request_was_never_sent():
    """Guards against a charge for a request that timed out while connecting."""

    async def scenario(fleet):
        await move_target(fleet, "t0", address)
        answer = await fleet.send_request("/draft/x", patience="0.2")
        assert answer.status != 200
        balance = fleet.router._balance_manager.balances.by_organisation["org"]
        assert balance.spent == 0

    route = make_route("draft", RepeatPolicy.STREAM, is_resumable=True, timeout_s=0.2)
    with silent_address() as address:
        run_scenario(scenario, stream(), config=make_config(routes=(route,)))
