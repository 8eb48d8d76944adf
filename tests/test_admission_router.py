"""Priority and admission in a router with targets on loopback."""

import msgspec
import pytest

from lavenderfold.fleet import Organisation, RepeatPolicy, RouteTable
from tests.direct_support import (
    answer_successfully,
    make_config,
    make_route,
    run_scenario,
)


def ordered_config(**changes):
    """Return a configuration in which urgent requests precede those of batches."""
    routes = (
        make_route("urgent", RepeatPolicy.SINGLE_RUN, priority=1),
        make_route("batch", RepeatPolicy.SINGLE_RUN, priority=12),
    )
    return make_config(**{"routes": routes, **changes})


@pytest.mark.parametrize(("path", "priority"), [("/urgent/x", "1"), ("/batch/x", "9")])
def test_target_is_told_the_priority(path, priority):
    """Load: a batch and urgent requests meet in the engines.

    Guards against engines that can't tell them apart.
    """

    async def scenario(fleet):
        await fleet.send_request(path)
        (request,) = fleet.target_by_id["t0"].received
        assert request.header("x-priority") == priority

    run_scenario(scenario, answer_successfully, config=ordered_config())


def test_target_is_told_no_priority_if_routes_have_the_same():
    """Guards against a header where the configuration has no order."""

    async def scenario(fleet):
        await fleet.send_request("/read/x")
        (request,) = fleet.target_by_id["t0"].received
        assert request.header("x-priority") is None

    run_scenario(scenario, answer_successfully)


def test_priority_of_the_organisation_precedes_that_of_the_route():
    table = RouteTable(ordered_config())
    route = table.route("host", "/batch/x")
    first = Organisation(name="first", keys=(), priority=0)
    other = msgspec.structs.replace(first, priority=None)
    assert table.priority("service", route, first) == 0
    assert table.priority("service", route, other) == 9
    assert table.priority("service", route, None) == 9
