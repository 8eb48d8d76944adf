"""Requests that never reached a target are neither charged nor uncertain."""

import socket

import trio

from lavenderfold.fleet import RepeatPolicy
from lavenderfold.settings import Address
from tests.direct_support import make_config, make_route, run_scenario, stream


def test_caller_is_charged_nothing_if_its_request_was_never_sent():
    """Guards against a charge for a request that timed out while connecting."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    # Connections to a listener whose queue is full are neither accepted nor refused.
    fillers = [socket.socket() for _ in range(4)]
    for each in fillers:
        each.setblocking(False)
        each.connect_ex(listener.getsockname())

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        target.address = Address(host="127.0.0.1", port=listener.getsockname()[1])
        fleet.register(target)
        await trio.sleep(0.3)
        answer = await fleet.send_request("/draft/x", patience="0.2")
        assert answer.status != 200
        balance = fleet.router._balance_manager.balances.by_organisation["org"]
        assert balance.spent == 0

    route = make_route("draft", RepeatPolicy.STREAM, is_resumable=True, timeout_s=0.2)
    try:
        run_scenario(scenario, stream(), config=make_config(routes=(route,)))
    finally:
        for each in [*fillers, listener]:
            each.close()
