"""Targets that send single bytes without end to requests that may run only once."""

import trio

from lavenderfold.fleet import RepeatPolicy
from tests.direct_support import (
    answer_successfully,
    make_config,
    make_route,
    run_scenario,
)

TIMEOUT_S = 1.5


async def send_bytes_slowly(request, writer):
    """Send a head without end, one byte now and then."""
    try:
        while True:
            await writer._stream.send_all(b"x")
            await trio.sleep(0.05)
    except trio.BrokenResourceError:
        pass


def test_target_that_never_completes_a_head_gets_no_further_single_runs():
    """Guards against one lost request after another at the same target.

    A single run can't be sent elsewhere, but the next ones can be.
    """

    async def scenario(fleet):
        # The choice among idle targets depends on the attempt id only.
        assert (await fleet.send_request("/sign/x", attempt="a")).status == 200
        targets = fleet.target_by_id.values()
        bad = next(target for target in targets if target.received)
        bad.script = send_bytes_slowly
        assert (await fleet.send_request("/sign/x", attempt="a")).status == 504
        before = len(bad.received)
        assert (await fleet.send_request("/sign/x", attempt="a")).status == 200
        assert len(bad.received) == before

    route = make_route("sign", RepeatPolicy.SINGLE_RUN, timeout_s=TIMEOUT_S)
    config = make_config(routes=(route,))
    run_scenario(scenario, answer_successfully, answer_successfully, config=config)
