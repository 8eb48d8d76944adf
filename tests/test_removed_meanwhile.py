"""Requests in progress whose route, organisation or service a change removes."""

import pytest
import trio

from lavenderfold.fleet import RepeatPolicy
from standins.memory_store import WriteFault
from tests.direct_support import (
    answer_successfully,
    crash,
    make_config,
    make_route,
    run_scenario,
)

REMOVALS = [
    {"routes": (make_route("other", RepeatPolicy.IDEMPOTENT),)},
    {"organisations": ()},
    {"services": ()},
    {"routes": (), "organisations": (), "services": ()},
]


async def remove(fleet, changes) -> None:
    """Install a configuration without something."""
    fleet.configure(make_config(version=2, **changes))
    await fleet.wait_until(lambda: fleet.router._config.table.version == 2)


def reserved_tokens(fleet) -> list[int]:
    states = fleet.router._balance_manager.local_balance_states()
    return [state.reserved for state in states]


@pytest.mark.parametrize("changes", REMOVALS)
def test_request_that_waits_for_its_reservation_is_answered(changes):
    """Guards against an error instead of an answer when its configuration has gone."""

    async def scenario(fleet):
        answers = []

        async def ask():
            answers.append(await fleet.send_request("/read/x"))

        fleet.store.write_fault = WriteFault.REFUSED
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await fleet.wait_until(lambda: fleet.router.active == 1)
            await remove(fleet, changes)
            assert not answers
            fleet.store.write_fault = WriteFault.NONE
        assert (answers[0].status, answers[0].body) == (200, b"done")
        assert reserved_tokens(fleet) == [0]

    run_scenario(scenario, answer_successfully)


@pytest.mark.parametrize("changes", REMOVALS)
def test_request_that_is_repeated_is_answered_and_settled(changes):
    """Guards against a lost request or tokens that stay reserved after a change."""
    has_arrived, may_end = trio.Event(), trio.Event()

    async def fail_once(request, writer):
        if has_arrived.is_set():
            await answer_successfully(request, writer)
            return
        has_arrived.set()
        await may_end.wait()
        await crash(request, writer)

    async def scenario(fleet):
        answers = []

        async def ask():
            answers.append(await fleet.send_request("/read/x"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await has_arrived.wait()
            await remove(fleet, changes)
            may_end.set()
        assert (answers[0].status, answers[0].body) == (200, b"done")
        assert reserved_tokens(fleet) == [0]

    run_scenario(scenario, fail_once, fail_once)
