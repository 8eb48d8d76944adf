"""Each decision of a direct router leaves its line, with what decided it."""

import logging

import msgspec
import pytest
import trio

from lavenderfold.direct._reachability import SILENCE_S
from tests.direct_support import (
    answer_whole,
    direct_fleet,
    fail,
    fleet_config,
    reject,
    stream,
)

REQUEST_FIELDS = {
    "request_id",
    "route",
    "organisation",
    "config_version",
    "service",
    "attempts",
    "events",
    "first_ms",
    "pause_ms",
    "total_ms",
    "left_ms",
}


async def delivered(fleet):
    await fleet.ask("/chat/x")


async def unknown_route(fleet):
    await fleet.ask("/none/x")


async def unknown_key(fleet):
    await fleet.ask("/read/x", key="other")


async def too_dear(fleet):
    await fleet.ask("/chat/x", tokens="9000,9000")


async def without_size(fleet):
    await fleet.ask("/chat/x", tokens="")


async def failing(fleet):
    fleet.target_by_id["t0"].script = fail
    await fleet.ask("/sign/x")


async def rejected(fleet):
    fleet.target_by_id["t0"].script = reject
    await fleet.ask("/sign/x")


async def without_target(fleet):
    fleet.store.remove("targets/t0")
    await trio.sleep(0.1)
    await fleet.ask("/read/x")


async def slow(request, writer):
    await trio.sleep(1.5)
    await answer_whole(request, writer)


async def draining(fleet):
    fleet.target_by_id["t0"].script = slow
    fleet.router.drain()
    async with trio.open_nursery() as nursery:
        await trio.sleep(2.0)
        # The router stays until this one has ended.
        nursery.start_soon(fleet.ask, "/sign/x")
        await trio.sleep(0.8)
        await fleet.ask("/read/x", attempt="late")


async def isolated(fleet):
    fleet.store.is_down = True
    await trio.sleep(SILENCE_S + 1.0)
    for _ in range(3):
        fleet.router.reachability.record_failure()
    await fleet.ask("/read/x")


async def new_configuration(fleet):
    fleet.configure(fleet_config(version=7))
    await trio.sleep(0.1)


async def bad_configuration(fleet):
    fleet.store.put("config", b"{")
    await trio.sleep(0.1)


async def strange_target(fleet):
    fleet.store.put("targets/strange", b"{")
    await trio.sleep(0.1)


async def leaving_target(fleet):
    fleet.register(fleet.target_by_id["t0"], is_draining=True)
    await trio.sleep(0.1)


async def store_outage(fleet):
    fleet.store.is_down = True
    await trio.sleep(1.5)
    fleet.store.is_down = False
    await trio.sleep(1.5)


async def reload(fleet):
    options = fleet.router.options
    fleet.router.reload(msgspec.structs.replace(options, grace_period_s=3.0))


@pytest.mark.parametrize(
    ("decision", "event", "fields"),
    [
        (delivered, "request", {"outcome": "delivered", "reserved": 30}),
        (too_dear, "request", {"refusal": "budget_spent", "needed": 18000}),
        (without_size, "request", {"refusal": "size_missing"}),
        (failing, "request", {"outcome": "failed"}),
        (rejected, "request", {"refusal": "no_target", "outcome": "rejected"}),
        (without_target, "request", {"refusal": "no_target"}),
        (unknown_route, "request_refused", {"status": 404, "path": "/none/x"}),
        (unknown_key, "request_refused", {"refusal": "unknown_key"}),
        (draining, "drain_started", {"active": 0}),
        (draining, "request_refused", {"refusal": "draining"}),
        (isolated, "router_isolated", {"failures": 3}),
        (isolated, "request_refused", {"refusal": "isolated"}),
        (new_configuration, "config_installed", {"version": 7}),
        (bad_configuration, "config_unreadable", {"key": "config"}),
        (strange_target, "target_unreadable", {"key": "targets/strange"}),
        (leaving_target, "target_changed", {"state": "draining"}),
        (without_target, "target_removed", {"key": "targets/t0"}),
        (store_outage, "store_lost", {"prefix": "targets/"}),
        (store_outage, "store_regained", {"prefix": "targets/"}),
        (reload, "settings_reloaded", {"installed": ["grace_period_s"]}),
    ],
)
def test_decision_has_its_line(caplog, decision, event, fields):
    """An engineer has only the lines to find out why a request failed."""
    caplog.set_level(logging.INFO)

    async def main():
        with trio.fail_after(20):
            async with direct_fleet(stream()) as fleet:
                if decision not in (delivered, too_dear, without_size):
                    fleet.target_by_id["t0"].script = answer_whole
                await decision(fleet)

    trio.run(main)
    lines = [vars(each) for each in caplog.records if each.getMessage() == event]
    matching = [line for line in lines if fields.items() <= line.items()]
    assert matching, lines
    if event == "request":
        assert matching[0].keys() >= REQUEST_FIELDS


def test_refusal_for_its_balance_says_what_the_router_knew(caplog):
    caplog.set_level(logging.INFO)

    async def main():
        async with direct_fleet(stream()) as fleet:
            await fleet.ask("/chat/x", tokens="9000,9000")

    trio.run(main)
    line = next(vars(each) for each in caplog.records if each.getMessage() == "request")
    assert line["balance"]["limit"] == 10_000
    assert line["balance"]["age_ms"] is not None
