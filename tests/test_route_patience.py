"""The patience of a route's callers, as it is read from the configuration."""

import msgspec
import pytest
from lavenderfold_platform.records import MAX_PATIENCE_S, read_config

from lavenderfold.shared import Item
from tests.test_platform_adapter import LIMITS, ROUTE


def read_route(**changes):
    """Return the route of a configuration; a change to None leaves the field out."""
    values = {**ROUTE, **changes}
    raw = {
        "version": 1,
        "routes": [{name: each for name, each in values.items() if each is not None}],
        "backends": [],
        "limits": LIMITS,
    }
    return read_config(Item("op/config", msgspec.json.encode(raw), 1)).routes[0]


@pytest.mark.parametrize(
    ("objective_ms", "pause_ms", "patience_s"),
    [
        (100, 50, 2.0),
        (1000, 300, 4.0),
        (500, 300, 2.4),
        (500, None, 2.0),
        (0, 0, 2.0),
        (0, 300, 2.4),
        (None, 300, 2.4),
        (None, None, 2.0),
        (-1000, -300, 2.0),
        (1e308, 300, MAX_PATIENCE_S),
        (500, 1e308, MAX_PATIENCE_S),
    ],
)
def test_patience_of_streams_follows_from_objective_and_pause(
    objective_ms, pause_ms, patience_s
):
    """Guards against a router that doesn't know when its callers abandon a stream."""
    route = read_route(target_latency_ms=objective_ms, target_itl_ms=pause_ms)
    assert route.patience_s == patience_s


@pytest.mark.parametrize("route_type", ["idempotent", "non_idempotent", "unknown"])
def test_other_routes_have_no_patience(route_type):
    """Guards against requests without a stream that are ended before their deadline."""
    assert read_route(route_type=route_type, target_itl_ms=300).patience_s is None
