"""The bound on the tokens that a router has in progress at one target."""

import pytest
import trio

from lavenderfold.admission import TargetTokens
from lavenderfold.fleet import Service
from tests.direct_support import (
    EVENT_TOKENS,
    answer_successfully,
    count_target_requests,
    make_config,
    run_scenario,
)


def test_full_targets_by_the_tokens_of_the_next_request():
    tokens = TargetTokens()
    tokens.add("t0", 300)
    tokens.add("t0", 100)
    assert tokens.full(tokens=101, capacity=1000) == {"t0"}
    assert not tokens.full(tokens=100, capacity=1000)
    tokens.remove("t0", 300)
    tokens.remove("t0", 100)
    assert not tokens.full(tokens=10_000, capacity=1000)


def capacity_config(capacity):
    service = Service(
        name="service",
        connection_limit=9,
        tokens_per_event=EVENT_TOKENS,
        cache_capacity_tokens=capacity,
    )
    return make_config(services=(service,))


@pytest.mark.parametrize(
    ("capacity", "counts"), [(1000, [1, 2]), (100_000, [0, 3]), (100, [1, 2])]
)
def test_long_prompts_with_one_home_spread_before_it_is_full(capacity, counts):
    """Load: long prompts that share a prefix, three at a time.

    Guards against a target that crashes for want of memory, against a bound that is met
    with few requests, and against refusals where no target has room.
    """
    may_end = trio.Event()

    async def hold(request, writer):
        await may_end.wait()
        await answer_successfully(request, writer)

    async def scenario(fleet):
        async def send(number):
            headers = {"attempt": f"a{number}", "tokens": "150,50", "parts": "p,own"}
            assert (await fleet.send_request("/sign/x", **headers)).status == 200

        async with trio.open_nursery() as nursery:
            for number in range(3):
                nursery.start_soon(send, number)
                received = number + 1
                await fleet.wait_until(
                    lambda count=received: count_target_requests(fleet) == count
                )
            targets = fleet.target_by_id.values()
            assert sorted(len(each.received) for each in targets) == counts
            may_end.set()

    run_scenario(scenario, hold, hold, config=capacity_config(capacity))
