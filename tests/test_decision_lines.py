"""Each decision of a direct router is logged with the facts behind it."""

import logging
from contextlib import suppress

import msgspec
import pytest
import trio

from lavenderfold.direct._reachability import SILENCE_S
from lavenderfold.http import ResponseLostError
from tests.direct_support import (
    answer_successfully,
    crash,
    direct_fleet,
    fail,
    make_config,
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
    await fleet.send_request("/chat/x")


async def unknown_route(fleet):
    await fleet.send_request("/none/x")


async def unknown_key(fleet):
    await fleet.send_request("/read/x", key="other")


async def over_budget(fleet):
    await fleet.send_request("/chat/x", tokens="9000,9000")


async def missing_size(fleet):
    await fleet.send_request("/chat/x", tokens="")


async def target_failure(fleet):
    fleet.target_by_id["t0"].script = fail
    await fleet.send_request("/sign/x")


async def target_crash(fleet):
    fleet.target_by_id["t0"].script = crash
    await fleet.send_request("/sign/x", parts="common,shared,own")


async def cut_stream(fleet):
    fleet.target_by_id["t0"].script = stream(cut=True)
    with suppress(ResponseLostError):
        await fleet.send_request("/chat/x")


async def deadly_prompt(fleet):
    target = fleet.target_by_id["t0"]
    target.down_s = 0.1

    async def crash_target(request, writer):
        target.crash()
        await trio.sleep_forever()

    target.script = crash_target
    for number in range(4):
        await fleet.send_request("/chat/x", attempt=f"a{number}", parts="bad,own")
        await trio.sleep(0.5)


async def target_rejection(fleet):
    fleet.target_by_id["t0"].script = reject
    await fleet.send_request("/sign/x")


async def no_target(fleet):
    fleet.store.remove("targets/t0")
    await trio.sleep(0.1)
    await fleet.send_request("/read/x")


async def slow(request, writer):
    await trio.sleep(1.5)
    await answer_successfully(request, writer)


async def draining(fleet):
    fleet.target_by_id["t0"].script = slow
    fleet.router.drain()
    async with trio.open_nursery() as nursery:
        await trio.sleep(2.0)
        # The router keeps running until this request has ended.
        nursery.start_soon(fleet.send_request, "/sign/x")
        await trio.sleep(0.8)
        await fleet.send_request("/read/x", attempt="late")


async def isolated(fleet):
    fleet.store.is_down = True
    await trio.sleep(SILENCE_S + 1.0)
    for _ in range(3):
        fleet.router.reachability.record_failure()
    await fleet.send_request("/read/x")


async def new_configuration(fleet):
    fleet.configure(make_config(version=7))
    await trio.sleep(0.1)


async def unreadable_configuration(fleet):
    fleet.store.put("config", b"{")
    await trio.sleep(0.1)


async def unreadable_target(fleet):
    fleet.store.put("targets/strange", b"{")
    await trio.sleep(0.1)


async def draining_target(fleet):
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
        (delivered, "request", {"answer": "whole", "not_repeated": None}),
        (cut_stream, "request", {"answer": "cut", "not_repeated": "not_repeatable"}),
        (over_budget, "request", {"refusal": "budget_spent", "needed": 18000}),
        (missing_size, "request", {"refusal": "size_missing"}),
        (target_failure, "request", {"outcome": "failed", "answer": "whole"}),
        (
            target_crash,
            "attempt_lost",
            {"target": "t0", "events": 0, "parts": ("common", "shared")},
        ),
        (target_crash, "request", {"parts": ("common", "shared")}),
        (deadly_prompt, "crash_observed", {"target": "t0", "parts": ("bad",)}),
        (deadly_prompt, "prompt_quarantined", {"parts": ["bad"]}),
        (
            deadly_prompt,
            "request",
            {"refusal": "prompt_quarantined", "status": 503, "parts": ("bad",)},
        ),
        (target_rejection, "request", {"refusal": "no_target", "outcome": "rejected"}),
        (target_rejection, "request", {"not_repeated": "no_target"}),
        (no_target, "request", {"refusal": "no_target"}),
        (unknown_route, "request_refused", {"status": 404, "path": "/none/x"}),
        (unknown_key, "request_refused", {"refusal": "unknown_key"}),
        (draining, "drain_started", {"active": 0}),
        (draining, "request_refused", {"refusal": "draining"}),
        (isolated, "router_isolated", {"failures": 3}),
        (isolated, "request_refused", {"refusal": "isolated"}),
        (new_configuration, "config_installed", {"version": 7}),
        (unreadable_configuration, "config_unreadable", {"key": "config"}),
        (unreadable_target, "target_unreadable", {"key": "targets/strange"}),
        (draining_target, "target_changed", {"state": "draining"}),
        (no_target, "target_removed", {"key": "targets/t0"}),
        (store_outage, "store_lost", {"prefix": "targets/"}),
        (store_outage, "store_regained", {"prefix": "targets/"}),
        (reload, "settings_reloaded", {"installed": ["grace_period_s"]}),
    ],
)
def test_decision_is_logged(caplog, decision, event, fields):
    """The log is the only source for finding out why a request failed."""
    caplog.set_level(logging.INFO)

    async def main():
        with trio.fail_after(20):
            async with direct_fleet(stream()) as fleet:
                if decision not in (delivered, over_budget, missing_size):
                    fleet.target_by_id["t0"].script = answer_successfully
                await decision(fleet)

    trio.run(main)
    lines = [vars(each) for each in caplog.records if each.getMessage() == event]
    matching = [line for line in lines if fields.items() <= line.items()]
    assert matching, lines
    if event == "request":
        assert matching[0].keys() >= REQUEST_FIELDS


def test_refusal_for_lack_of_balance_logs_the_known_balance(caplog):
    caplog.set_level(logging.INFO)

    async def main():
        async with direct_fleet(stream()) as fleet:
            await fleet.send_request("/chat/x", tokens="9000,9000")

    trio.run(main)
    line = next(vars(each) for each in caplog.records if each.getMessage() == "request")
    assert line["balance"]["limit"] == 10_000
    assert line["balance"]["age_ms"] is not None
