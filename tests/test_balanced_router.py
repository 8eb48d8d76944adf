"""A direct router that chooses targets by cost, with scripted targets."""

import logging
import math
import random

import msgspec
import pytest

from lavenderfold.balancing import Balancer
from lavenderfold.direct import CallerRequest, PromptPart, TokenDemand
from lavenderfold.direct._balancing import request_demand
from lavenderfold.fleet import Target
from tests.direct_support import (
    answer_successfully,
    fail,
    reject,
    run_scenario,
    stream,
)
from tests.notice_support import read_metrics

REQUEST = CallerRequest(
    attempt_id="a",
    host="h",
    method="POST",
    target="/",
    path="/",
    forwarded_headers=[],
    body=b"",
    caller_timeout_s=1.0,
)
TARGET = Target(id="t0", service="service", host="h", port=1, domain="d", slots=8)


async def send_by_cost(fleet, path: str, requests: int, **headers: str) -> list[int]:
    """Send requests to a router that chooses by cost; return their statuses."""
    await fleet.start_router("by-cost", balances_by_cost=True)
    await fleet.wait_until(lambda: fleet.router.is_ready)
    answers = [await fleet.send_request(path, **headers) for _ in range(requests)]
    return [each.status for each in answers]


def request_lines(caplog) -> list[logging.LogRecord]:
    return [each for each in caplog.records if each.message == "request"]


def test_request_line_tells_cost_and_age_of_the_evidence(caplog):
    """Without them nobody can tell why a target was chosen."""

    async def scenario(fleet):
        with caplog.at_level(logging.INFO):
            assert await send_by_cost(fleet, "/read/x", 6) == [200] * 6

    run_scenario(scenario, answer_successfully, answer_successfully)
    lines = request_lines(caplog)
    assert {each.choice for each in lines} == {"cost"}
    assert lines[0].choice_age_ms is None
    assert any(each.choice_age_ms is not None for each in lines)
    assert all(each.choice_cost_ms > 0 for each in lines)


def test_request_line_has_no_cost_where_it_does_not_decide(caplog):
    """Logs and choices of other deployments stay as they were."""

    async def scenario(fleet):
        with caplog.at_level(logging.INFO):
            assert (await fleet.send_request("/read/x")).status == 200

    run_scenario(scenario, answer_successfully)
    (line,) = request_lines(caplog)
    assert line.choice == "least_outstanding"
    assert not hasattr(line, "choice_cost_ms")


@pytest.mark.parametrize("script", [fail, reject])
def test_failing_target_is_left_for_another(script):
    """A retry chooses by cost as well, and must not reach the same target again."""

    async def scenario(fleet):
        assert await send_by_cost(fleet, "/read/x", 8) == [200] * 8
        targets = fleet.target_by_id
        assert len(targets["t0"].received) < len(targets["t1"].received)
        assert no_load(fleet)

    run_scenario(scenario, script, answer_successfully)


def test_streams_leave_no_load_behind():
    """Load that stays after its request would keep a target from new ones."""

    async def scenario(fleet):
        assert await send_by_cost(fleet, "/chat/x", 4) == [200] * 4
        assert no_load(fleet)

    run_scenario(scenario, stream(end_at=6), stream(end_at=6))


def test_metrics_show_the_spread_of_own_sends():
    """Uneven load of one router is found without its logs."""

    async def scenario(fleet):
        await send_by_cost(fleet, "/read/x", 4)
        page = await read_metrics(fleet)
        assert 'lavenderfold_send_spread{service="service"}' in page

    run_scenario(scenario, answer_successfully, answer_successfully)


def test_size_of_what_callers_announce_is_bounded():
    """Ids of 16 KB would fill the memory, numbers of 400 digits don't fit a float."""
    large = 10**400
    request = msgspec.structs.replace(
        REQUEST,
        prompt_parts=tuple(PromptPart("x" * 16_000 + str(n), large) for n in range(50)),
        tokens=TokenDemand(large, large),
    )
    demand = request_demand("service", request)
    assert len(demand.shared_parts) <= 16
    assert len({id for id, _ in demand.shared_parts}) == len(demand.shared_parts)
    assert all(len(id) <= 32 for id, _ in demand.shared_parts)
    balancer, targets = Balancer(), [TARGET]
    choice = balancer.choose(
        targets, demand, router_count=1, rng=random.Random(1), now=0.0
    )
    assert math.isfinite(choice.cost_s)
    balancer.record_first(balancer.record_send(TARGET, demand, now=0.0), now=0.1)


def no_load(fleet) -> bool:
    balancer = fleet.router._services.balancing.balancer
    records = balancer._record_by_key.values()
    return all(
        abs(each.load) < 1e-9 and not each.read_at_by_waiting for each in records
    )
